//! Detects that servers are crashing while suspect records may be missing.
//!
//! Suspect records do not cross a network partition, and an entry that is killed loses the
//! ones that it had not sent. Crashes of servers, however, are visible to every entry that
//! sends requests to them. [`CrashWatch`] raises an alert if several servers crash within
//! a short time soon after another entry was lost.

use std::time::Duration;

use crate::arena::ServerKey;

/// Number of servers that must crash within [`ALERT_WINDOW`] to raise the alert.
const CRASHES_TO_ALERT: usize = 2;
/// Time within which these crashes must happen.
const ALERT_WINDOW: Duration = Duration::from_secs(2);
/// Time for which the alert lasts after the last crash that raised it. Network
/// partitions last some seconds. During an alert a canary attempt costs each
/// scatter-gather request one more round trip, and makes one urgent request in 40 late
/// where servers stall.
const ALERT_DURATION: Duration = Duration::from_secs(10);
/// A server counts as crashed only if it answered within this time: a server that was
/// unreachable for longer did not crash now.
const RECENT_ANSWER_WINDOW: Duration = Duration::from_secs(5);
/// Time after the loss of another entry during which that entry may know of crashes that
/// it reported to nobody; network partitions last some seconds. While no entry is lost,
/// suspect records arrive at once. If every crash raised an alert, with or
/// without a lost entry, the served fraction of the load would fall by 0.04.
const LOST_ENTRY_WINDOW: Duration = Duration::from_secs(20);
/// Maximum number of crashes that are remembered.
const MAX_TRACKED_CRASHES: usize = 8;

/// The servers that recently crashed or became unreachable, and the alert state.
#[derive(Debug, Default)]
pub struct CrashWatch {
    /// The crashed servers and the times of their crashes, each server once.
    crashes: Vec<(ServerKey, Duration)>,
    /// Time until which the crashes justify an alert.
    crash_alert_until: Duration,
    /// Time until which a lost entry may have unreported crashes.
    unreported_until: Duration,
}

impl CrashWatch {
    /// Records that another entry was lost.
    pub fn record_lost_entry(&mut self, now: Duration) {
        self.unreported_until = now + LOST_ENTRY_WINDOW;
    }

    /// Records that a server broke off a request or refused a connection. `answered_at` is
    /// the time of the server's last answer; a server that has not answered recently is
    /// ignored.
    pub fn record_crash(&mut self, server: ServerKey, answered_at: Duration, now: Duration) {
        if answered_at.is_zero() || now > answered_at + RECENT_ANSWER_WINDOW {
            return;
        }
        self.crashes
            .retain(|(other, at)| *other != server && now < *at + ALERT_WINDOW);
        if self.crashes.len() < MAX_TRACKED_CRASHES {
            self.crashes.push((server, now));
        }
        if self.crashes.len() >= CRASHES_TO_ALERT {
            self.crash_alert_until = now + ALERT_DURATION;
        }
    }

    /// Returns whether the alert is raised: servers crashed recently, and a lost entry may
    /// know of crashes that it did not report.
    pub fn is_alert(&self, now: Duration) -> bool {
        now < self.crash_alert_until && now < self.unreported_until
    }
}
