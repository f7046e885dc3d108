//! What is known of one request under which servers ended.
//!
//! Records of the same request are merged wherever they meet, in any order and
//! any number of times, with the same result for what is decided on them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::request::mark::RequestFingerprint;

/// Servers that have to end under a request before it is kept from all.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// Servers among these that have to end while the request is on trial there. With
/// one, a harmless request that is beside the one at fault twice was kept back
/// from all: in plays of 20 that come again and again 10 a play, with two none,
/// for one server more that ends.
const TRIALS: usize = 2;
/// Most ends that a record holds: more change nothing.
const MOST_ENDS: usize = 4;

/// A server that broke off while it had a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Digest of the server's lifetime.
    pub server: u64,
    /// Whether the request was on trial there: sent to this server alone, after
    /// others had broken off. A request that was beside the one at fault gets
    /// through its trial.
    pub on_trial: bool,
}

impl ServerCrash {
    /// Returns the end of a server's lifetime.
    pub fn of(instance: &str, on_trial: bool) -> ServerCrash {
        ServerCrash {
            server: xxh3_64(instance.as_bytes()),
            on_trial,
        }
    }
}

/// What is known of one request of one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub mark: RequestFingerprint,
    /// How often a server has run it to an end after others had ended. Ends of
    /// an earlier round say nothing.
    pub round: u32,
    /// Servers that ended in this round, each once.
    pub ends: Vec<ServerCrash>,
}

impl SuspectRecord {
    /// Returns the record of a request of which nothing is known.
    pub fn new(mark: RequestFingerprint) -> SuspectRecord {
        SuspectRecord {
            mark,
            round: 0,
            ends: Vec::with_capacity(MOST_ENDS),
        }
    }

    /// Adds the end of a server. Returns whether that is news.
    pub fn add(&mut self, end: ServerCrash) -> bool {
        if let Some(known) = self
            .ends
            .iter_mut()
            .find(|known| known.server == end.server)
        {
            let is_news = end.on_trial && !known.on_trial;
            known.on_trial |= end.on_trial;
            return is_news;
        }
        if self.ends.len() < MOST_ENDS {
            self.ends.push(end);
            return true;
        }
        // Full: only trials can still change what is decided.
        let is_news = end.on_trial && !self.has_failed_canaries();
        let mut others = self.ends.iter_mut().filter(|known| !known.on_trial);
        let Some(other) = others.next().filter(|_| is_news) else {
            return false;
        };
        *other = end;
        true
    }

    /// Takes note that a server ran the request to an end: what ended before
    /// ended for another reason.
    pub fn clear(&mut self) {
        self.round += 1;
        self.ends.clear();
    }

    /// Takes over what another record of the same request says. Returns whether
    /// that is news.
    pub fn merge(&mut self, other: &SuspectRecord) -> bool {
        if other.round < self.round {
            return false;
        }
        let mut is_news = false;
        if other.round > self.round {
            self.round = other.round;
            self.ends.clear();
            is_news = true;
        }
        for end in &other.ends {
            is_news |= self.add(*end);
        }
        is_news
    }

    /// Tells whether enough servers ended while the request was on trial there.
    pub fn has_failed_canaries(&self) -> bool {
        let tried = self.ends.iter().filter(|end| end.on_trial);
        tried.count() >= TRIALS
    }

    /// Tells whether enough servers ended to keep it from all.
    pub fn has_enough_crashes(&self) -> bool {
        self.ends.len() >= CRASHES_TO_QUARANTINE
    }
}
