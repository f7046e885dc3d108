//! A share of recent events that is forgotten without new ones.
//!
//! What is decided by such a share may keep new events away. It fades, so that
//! no decision feeds itself for ever.

use std::time::Duration;

/// Weight of a new event: about the last seven count.
const EVENT_WEIGHT: f64 = 0.15;
/// Time in which half of it is forgotten. At 0.7 s the few events a second that
/// an entry sees of one shard were forgotten before they added up.
const HALF_TIME: Duration = Duration::from_millis(2500);

/// The share of recent events of one kind, from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingRate {
    share: f64,
    noted_at: Duration,
}

impl DecayingRate {
    /// Takes an event: 1 if it is of the kind, else 0.
    pub fn add(&mut self, sample: f64, now: Duration) {
        let share = self.at(now);
        self.share = share + EVENT_WEIGHT * (sample - share);
        self.noted_at = now;
    }

    /// Returns the share as of now.
    pub fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.noted_at).as_secs_f64();
        self.share * 0.5f64.powf(age / HALF_TIME.as_secs_f64())
    }
}
