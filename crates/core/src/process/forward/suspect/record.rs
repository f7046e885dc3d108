//! The record of one suspect request: which servers crashed under it.
//!
//! Entries and control instances exchange records and merge those of the same request.
//! Decisions based on the merged record do not depend on the order of the merges or on
//! how often each record was merged.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::request::mark::RequestFingerprint;

/// Number of servers that must crash under a request before it is quarantined, so that
/// no server gets it.
pub const CRASHES_TO_QUARANTINE: usize = 3;
/// How many of those crashes must happen during canary attempts. With 1, harmless requests
/// that twice ran beside the harmful one were quarantined: 10 per simulation with 20
/// distinct requests that recur. With 2, none were, at the cost of one more crashed server.
pub const CANARY_CRASHES_TO_QUARANTINE: usize = 2;
/// Maximum number of crashes in a record: more would not change any decision.
const MAX_RECORDED_CRASHES: usize = 4;
/// Upper half of the digest in a [`ServerCrash`] that holds a number of failed trials in place
/// of a server.
const FAILED_TRIALS_TAG: u64 = 0xffff_ffff;

/// The crash of a server that was running a request: the server broke off the request's
/// connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Digest of the server's id, which is unique to its incarnation.
    pub server: u64,
    /// Whether the server crashed during a canary attempt: the request was sent to this
    /// server alone after other servers had crashed. A harmless request that only ran
    /// beside the harmful one completes its canary attempt.
    #[serde(rename = "on_trial")]
    pub during_canary: bool,
}

impl ServerCrash {
    /// Returns the crash of the server incarnation with the id `instance`.
    pub fn of(instance: &str, during_canary: bool) -> ServerCrash {
        ServerCrash {
            server: xxh3_64(instance.as_bytes()),
            during_canary,
        }
    }

    /// Returns the form in which a record holds a number of failed trials.
    fn of_failed_trials(number: u32) -> ServerCrash {
        ServerCrash {
            server: FAILED_TRIALS_TAG << u32::BITS | u64::from(number),
            during_canary: true,
        }
    }

    /// Returns the number of failed trials, if the value holds one in place of a crash.
    fn failed_trials(&self) -> Option<u32> {
        let has_tag = self.server >> u32::BITS == FAILED_TRIALS_TAG;
        has_tag.then_some(self.server as u32)
    }
}

/// The crashes that happened under one request of one caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Fingerprint of the request.
    pub mark: RequestFingerprint,
    /// Number of times that a server completed the request after others had crashed. Each
    /// completion starts a new round: the earlier crashes had another cause and are
    /// dropped.
    pub round: u32,
    /// Servers that crashed under the request in this round, each once, and the number of
    /// failed trials, if there were any.
    ///
    /// The number is stored in the form of a crash, so that instances of earlier versions can
    /// read the record. To them the request is quarantined, and has been before.
    ends: Vec<ServerCrash>,
}

impl SuspectRecord {
    /// Returns a record without crashes.
    pub fn new(mark: RequestFingerprint) -> SuspectRecord {
        SuspectRecord {
            mark,
            round: 0,
            ends: Vec::with_capacity(MAX_RECORDED_CRASHES),
        }
    }

    /// Iterates over the servers that crashed in this round.
    fn crashes(&self) -> impl Iterator<Item = &ServerCrash> {
        let ends = self.ends.iter();
        ends.filter(|crash| crash.failed_trials().is_none())
    }

    /// Returns the number of servers that crashed in this round.
    pub fn crash_count(&self) -> usize {
        self.crashes().count()
    }

    /// Returns the number of these that crashed during canary attempts.
    pub fn canary_crash_count(&self) -> usize {
        self.crashes().filter(|crash| crash.during_canary).count()
    }

    /// Returns the number of trials in this round under which a server crashed. A trial is an
    /// attempt to send the request to one server although it is quarantined.
    pub fn failed_trials(&self) -> u32 {
        let numbers = self.ends.iter().filter_map(ServerCrash::failed_trials);
        numbers.max().unwrap_or(0)
    }

    /// Raises the number of failed trials to `number`. Returns whether the record changed.
    pub fn raise_failed_trials(&mut self, number: u32) -> bool {
        if number <= self.failed_trials() {
            return false;
        }
        self.ends.retain(|crash| crash.failed_trials().is_none());
        self.ends.push(ServerCrash::of_failed_trials(number));
        true
    }

    /// Adds the crash of a server. Returns whether the record changed.
    pub fn add(&mut self, crash: ServerCrash) -> bool {
        if let Some(number) = crash.failed_trials() {
            return self.raise_failed_trials(number);
        }
        if let Some(known) = self
            .ends
            .iter_mut()
            .find(|known| known.server == crash.server)
        {
            let has_changed = crash.during_canary && !known.during_canary;
            known.during_canary |= crash.during_canary;
            return has_changed;
        }
        if self.crash_count() < MAX_RECORDED_CRASHES {
            self.ends.push(crash);
            return true;
        }
        // The record is full. Only a crash during a canary attempt can still change a
        // decision; it replaces one that happened otherwise.
        let can_change = crash.during_canary && !self.has_failed_canaries();
        let mut others = self.ends.iter_mut().filter(|known| !known.during_canary);
        let Some(other) = others.next().filter(|_| can_change) else {
            return false;
        };
        *other = crash;
        true
    }

    /// Starts a new round without crashes, as a server completed the request: the earlier
    /// crashes had another cause.
    pub fn start_round(&mut self) {
        self.round += 1;
        self.ends.clear();
    }

    /// Merges another record of the same request into this one. Returns whether this
    /// record changed.
    pub fn merge(&mut self, other: &SuspectRecord) -> bool {
        if other.round < self.round {
            return false;
        }
        let mut has_changed = false;
        if other.round > self.round {
            self.round = other.round;
            self.ends.clear();
            has_changed = true;
        }
        for crash in &other.ends {
            has_changed |= self.add(*crash);
        }
        has_changed
    }

    /// Returns whether enough servers crashed during canary attempts for a quarantine.
    pub fn has_failed_canaries(&self) -> bool {
        self.canary_crash_count() >= CANARY_CRASHES_TO_QUARANTINE
    }

    /// Returns whether enough servers crashed for a quarantine.
    pub fn has_enough_crashes(&self) -> bool {
        self.crash_count() >= CRASHES_TO_QUARANTINE
    }
}
