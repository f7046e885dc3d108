//! Limits the request rate to cold servers.
//!
//! A server is cold when it has just started or its failure domain has just come
//! back: its caches are empty, so it serves only a few requests per second and
//! fails under more. The limit applies to the sum over all entries, including
//! those that are partitioned from the control group. An entry therefore derives
//! its allowance only from state that every entry always has.
//!
//! While a change of the set of entries disseminates, some entries use the old
//! set and others the new one. All entries with the same set may together use half
//! of the limit, so that both groups together stay within the limit.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the limit that the entries with the same view of the set of
/// entries may use together.
const VIEW_FRACTION: f64 = 0.5;
/// Length of the sliding window in which requests to a cold server are counted:
/// one second, plus a margin for the network delay, because requests that were
/// sent a second apart may arrive closer together.
const COLD_WINDOW: Duration = Duration::from_millis(1100);
/// Time for which a server is assumed to be cold after its failure domain came
/// back into use or its lease had expired. By then the server's next announcement
/// says whether it is cold.
pub(super) const ASSUMED_COLD_TIME: Duration = Duration::from_millis(2500);

/// The operator's limit on the request rate to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBound {
    /// Factor applied to the rate that the service is configured to accept while
    /// cold.
    pub excess: f64,
    /// Requests per second that are allowed in addition.
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
    /// Returns how many requests all entries together may send per second to a
    /// cold server of a service that accepts `per_s` requests per second while
    /// cold.
    pub fn max_per_second(&self, per_s: f64) -> f64 {
        per_s * self.excess + self.slack
    }
}

/// What one entry knows about the entries that send requests to the same cold
/// server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerSharing {
    /// Number of entries that send requests to the server, this one included.
    pub entries: u32,
    /// Whether this entry owns the server: rendezvous hashing assigns each
    /// server to one entry of the server's failure domain.
    pub is_owner: bool,
}

/// Strategy for dividing the limit of a cold server among the entries.
pub trait ShareStrategy {
    /// Returns how many requests this entry may send per second, if all entries
    /// together may send `max_per_second`.
    fn allowance(&self, max_per_second: f64, sharing: ServerSharing) -> usize;
}

/// Gives each entry an equal share, rounded down. With many entries the share is
/// less than one request, so no entry may send any.
#[derive(Debug, Clone, Copy)]
pub struct EqualShare;

impl ShareStrategy for EqualShare {
    fn allowance(&self, max_per_second: f64, sharing: ServerSharing) -> usize {
        (max_per_second * VIEW_FRACTION / f64::from(sharing.entries.max(1))) as usize
    }
}

/// Gives the whole limit to the entry that owns the server.
#[derive(Debug, Clone, Copy)]
pub struct OwnerShare;

impl ShareStrategy for OwnerShare {
    fn allowance(&self, max_per_second: f64, sharing: ServerSharing) -> usize {
        if sharing.is_owner {
            (max_per_second * VIEW_FRACTION) as usize
        } else {
            0
        }
    }
}

/// Uses [`EqualShare`] while each entry gets at least one request, and
/// [`OwnerShare`] otherwise.
///
/// With a limit of 20 requests per second, equal shares would leave 30 entries
/// none, whereas the owner may send 10. Of 5 entries each may send 2 in equal
/// shares, whereas an owner alone would have 10 for a fifth of the callers.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveShare;

impl ShareStrategy for AdaptiveShare {
    fn allowance(&self, max_per_second: f64, sharing: ServerSharing) -> usize {
        match EqualShare.allowance(max_per_second, sharing) {
            0 => OwnerShare.allowance(max_per_second, sharing),
            equal => equal,
        }
    }
}

/// Sliding window of the requests that this entry recently sent to one server.
#[derive(Debug, Clone, Default)]
pub struct SendWindow {
    sent_at: VecDeque<Duration>,
}

impl SendWindow {
    /// Records that a request was sent at `now`.
    pub fn record_send(&mut self, now: Duration) {
        self.remove_expired(now);
        self.sent_at.push_back(now);
    }

    /// Returns whether another request may be sent, if `allowance` requests are
    /// allowed per window.
    pub fn has_capacity(&self, allowance: usize, now: Duration) -> bool {
        let recent = self.sent_at.iter().filter(|sent| is_recent(**sent, now));
        recent.count() < allowance
    }

    fn remove_expired(&mut self, now: Duration) {
        while self
            .sent_at
            .front()
            .is_some_and(|sent| !is_recent(*sent, now))
        {
            self.sent_at.pop_front();
        }
    }
}

/// Returns whether a request sent at `sent` is still within the window.
fn is_recent(sent: Duration, now: Duration) -> bool {
    now < sent + COLD_WINDOW
}
