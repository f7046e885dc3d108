//! How much may be sent to a server that is cold.
//!
//! A server that has just started, or came back with its failure domain, takes
//! few requests a second and falls over above that. The bound holds for all
//! entries together, also for those that are cut off and hear nothing. So what
//! an entry may send must follow from what it knows at all times.
//!
//! Two views of who the entries are may be held at once, by those that have
//! heard of a change and those that have not. Each view spends half of the
//! bound.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the bound that one view of the entries spends.
const VIEW_PART: f64 = 0.5;
/// Span in which requests to a cold server are counted, with some time for the
/// way: what is sent a second apart may arrive closer together.
const COLD_WINDOW: Duration = Duration::from_millis(1100);
/// Time for which a server is taken for cold whose failure domain came back
/// into use or that was silent: it says so itself with its next sign of life.
pub(super) const ASSUMED_COLD_TIME: Duration = Duration::from_millis(2500);

/// The bound on what a cold server gets, as the operator sets it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Times what the service says a cold server takes in a second.
    pub excess: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Default for ColdBound {
    fn default() -> Self {
        ColdBound {
            excess: 1.0,
            slack: 0.0,
        }
    }
}

impl ColdBound {
    /// Returns the most requests that all entries may send in a second to a
    /// server of a service that takes `per_s` while it is cold.
    pub fn max_per_second(&self, per_s: f64) -> f64 {
        per_s * self.excess + self.slack
    }
}

/// What an entry knows of those that share a server with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdView {
    /// Entries that share it.
    pub entries: u32,
    /// Whether the server falls to this one among the entries of the server's
    /// failure domain.
    pub is_owner: bool,
}

/// What one entry may send to a cold server in a second.
pub trait ShareStrategy {
    /// Returns the number, out of `max_per_second` for all entries.
    fn allowance(&self, max_per_second: f64, view: ColdView) -> usize;
}

/// An equal part for each entry. Of many entries none has a whole request.
#[derive(Debug, Clone, Copy)]
pub struct EqualShare;

impl ShareStrategy for EqualShare {
    fn allowance(&self, max_per_second: f64, view: ColdView) -> usize {
        (max_per_second * VIEW_PART / f64::from(view.entries.max(1))) as usize
    }
}

/// All for the one entry to which the server falls.
#[derive(Debug, Clone, Copy)]
pub struct OwnerShare;

impl ShareStrategy for OwnerShare {
    fn allowance(&self, max_per_second: f64, view: ColdView) -> usize {
        if view.is_owner {
            (max_per_second * VIEW_PART) as usize
        } else {
            0
        }
    }
}

/// Equal parts while each entry has a whole request, else all for one. Of 20
/// requests a second, 30 entries could send none in equal parts, where the one
/// holder sends 10; 5 entries can send 2 each, where one holder would have 10
/// for a fifth of the callers.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveShare;

impl ShareStrategy for AdaptiveShare {
    fn allowance(&self, max_per_second: f64, view: ColdView) -> usize {
        match EqualShare.allowance(max_per_second, view) {
            0 => OwnerShare.allowance(max_per_second, view),
            equal => equal,
        }
    }
}

/// What was sent to a server in the last second.
#[derive(Debug, Clone, Default)]
pub struct SendWindow {
    record_send: VecDeque<Duration>,
}

impl SendWindow {
    /// Takes note of a send.
    pub fn record_send(&mut self, now: Duration) {
        self.forget(now);
        self.record_send.push_back(now);
    }

    /// Tells whether one more may be sent where `allowance` are allowed.
    pub fn has_capacity(&self, allowance: usize, now: Duration) -> bool {
        let live = self
            .record_send
            .iter()
            .filter(|record_send| is_live(**record_send, now));
        live.count() < allowance
    }

    fn forget(&mut self, now: Duration) {
        while self
            .record_send
            .front()
            .is_some_and(|record_send| !is_live(*record_send, now))
        {
            self.record_send.pop_front();
        }
    }
}

fn is_live(record_send: Duration, now: Duration) -> bool {
    now < record_send + COLD_WINDOW
}
