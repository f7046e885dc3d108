//! What callers got in a play.

use std::time::Duration;

use wheelmast_core::process::forward::expectation::ExpectationStats;

/// How a caller's request ended, over all of its tries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallerEnd {
    /// It was answered after this time, with this fraction of the shards.
    Answered {
        /// Time since the first try.
        after: Duration,
        /// Fraction of the shards in the answer.
        coverage: f64,
    },
    /// It was refused as not run.
    Refused,
    /// It failed otherwise.
    Failed,
}

/// What the callers of one kind of request got.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindTally {
    /// Requests.
    pub asked: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Refused in the end.
    pub refused: u32,
    /// Failed in the end.
    pub failed: u32,
    /// Requests that came back after a refusal.
    pub returns: u32,
    /// Worth owed, if all were whole and in time.
    pub owed: f64,
    /// Worth earned: with the square of the coverage.
    pub earned: f64,
}

impl KindTally {
    /// Returns the part of the worth owed that was earned.
    pub fn share(&self) -> f64 {
        self.earned / self.owed.max(f64::MIN_POSITIVE)
    }
}

/// What became of a play.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PlayTally {
    /// Expected against real times, over all entries.
    pub expectations: ExpectationStats,
    /// By kind of request, in the order of the specification.
    pub kinds: Vec<KindTally>,
    /// Requests that reached a server.
    pub arrivals: u64,
    /// Repeats that reached a server: the second and later of one part.
    pub extras: u64,
    /// Slots busy, summed over all servers.
    pub busy: Duration,
    /// The part of it that no answer to a caller had use for.
    pub wasted: Duration,
    /// Requests said not to have run of which a server had run a part.
    pub false_refusals: u32,
    /// By how many arrivals the bound on extra load was exceeded at most in any
    /// window and at any shard; less than 0 if it never was.
    pub excess: f64,
    /// Parts of requests that ran more often than their route allows.
    pub over_attempts: usize,
    /// Servers that ended under requests.
    pub ends: u32,
    /// Sends of one request to servers, later than all should know it: the most
    /// of any.
    pub late_deadly: u32,
    /// Harmless requests that were refused in the end because servers had ended
    /// under them.
    pub mistaken: u32,
    /// Broken attempts whose server had ended, as the entries decided.
    pub ended_breaks: u64,
    /// Broken attempts whose server was alive, as the entries decided.
    pub lost_answers: u64,
    /// Records of requests under which servers ended that entries told the others.
    pub suspect_reports: u32,
    /// Requests and slots that were still taken at the end.
    pub left: usize,
}

impl PlayTally {
    /// Returns the part of all worth owed that was earned.
    pub fn share(&self) -> f64 {
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}
