//! Whether servers end these days.
//!
//! What another entry learned of a request does not come through a cut, and dies
//! with an entry that is killed. That servers ended is seen by all who ask them.

use std::time::Duration;

use crate::arena::ServerKey;

/// Servers that end within [`ALERT_WINDOW`] before one is careful.
const ENDS_TO_ALERT: usize = 2;
/// Time within which they end.
const ALERT_WINDOW: Duration = Duration::from_secs(2);
/// Time for which one is careful. Cuts last some seconds; while one server tries
/// first, an answer takes one more round, and of urgent requests a fortieth is
/// too late where servers pause.
const ALERT_TIME: Duration = Duration::from_secs(10);
/// Time within which a server answered that can end: one that has long been away
/// ends no more.
const ALIVE_TIME: Duration = Duration::from_secs(5);
/// Time after another entry was lost in which it may know what nobody was told:
/// cuts last some seconds. While none is, news come at once, and to be careful on
/// each day on which servers crash cost 0.04 of what was served.
const LOST_TIME: Duration = Duration::from_secs(20);
/// Ends that are remembered.
const MOST_ENDS: usize = 8;

/// The servers that broke off or could not be reached lately.
#[derive(Debug, Default)]
pub struct CrashWatch {
    ends: Vec<(ServerKey, Duration)>,
    until: Duration,
    /// Until when another entry may know what nobody was told.
    untold_until: Duration,
}

impl CrashWatch {
    /// Takes note that another entry was lost.
    pub fn record_lost_entry(&mut self, now: Duration) {
        self.untold_until = now + LOST_TIME;
    }

    /// Takes note of a server that broke off or could not be reached, and had
    /// answered last at `answered_at`.
    pub fn note(&mut self, server: ServerKey, answered_at: Duration, now: Duration) {
        if answered_at.is_zero() || now > answered_at + ALIVE_TIME {
            return;
        }
        self.ends
            .retain(|(other, at)| *other != server && now < *at + ALERT_WINDOW);
        if self.ends.len() < MOST_ENDS {
            self.ends.push((server, now));
        }
        if self.ends.len() >= ENDS_TO_ALERT {
            self.until = now + ALERT_TIME;
        }
    }

    /// Tells whether one is careful now.
    pub fn is_alert(&self, now: Duration) -> bool {
        now < self.until && now < self.untold_until
    }
}
