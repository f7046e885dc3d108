//! An exponentially weighted moving average that also decays with time.
//!
//! Some rates influence how many samples follow: a shard with a high shortage
//! rate gets fewer requests, so there are fewer samples that could lower the
//! rate. Because the rate also decays without samples, it cannot stay high
//! forever.

use std::time::Duration;

/// Weight of a new sample. The rate is mostly determined by the last seven samples.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Default time in which a rate halves without samples. At 0.7 s, the few events per
/// second that an entry sees of one shard decayed before they added up.
const DEFAULT_HALF_LIFE: Duration = Duration::from_millis(2500);

/// The fraction of recent events of one kind, from 0 to 1, decaying towards 0
/// when there are no events.
#[derive(Debug, Clone, Copy)]
pub struct DecayingRate {
    rate: f64,
    updated_at: Duration,
    /// Time in which the rate halves without samples.
    half_life: Duration,
}

impl Default for DecayingRate {
    fn default() -> Self {
        DecayingRate::new(DEFAULT_HALF_LIFE)
    }
}

impl DecayingRate {
    /// Returns a rate of 0 that halves in this time without samples.
    pub fn new(half_life: Duration) -> DecayingRate {
        DecayingRate {
            rate: 0.0,
            updated_at: Duration::ZERO,
            half_life,
        }
    }

    /// Records an event: `sample` is 1 if the event is of the counted kind, else
    /// 0.
    pub fn add(&mut self, sample: f64, now: Duration) {
        let rate = self.value_at(now);
        self.rate = rate + SAMPLE_WEIGHT * (sample - rate);
        self.updated_at = now;
    }

    /// Returns the rate, decayed up to `now`.
    pub fn value_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * 0.5f64.powf(age / self.half_life.as_secs_f64())
    }
}
