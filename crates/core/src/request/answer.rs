//! The outcome of a request: an answer that states its coverage, or a refusal with its reason.

use std::fmt;
use std::time::Duration;

use crate::request::identity::RequestId;
use crate::request::merge::ScoredHit;
use crate::version::snapshot::SnapshotId;

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingReason {
    /// No live server holds the shard of the snapshot.
    NoServer,
    /// No reply arrived in time.
    TooLate,
    /// All servers that the subquery was sent to failed.
    Failed,
    /// The servers no longer hold the snapshot.
    SnapshotRetired,
}

impl MissingReason {
    /// Returns the name used in answers to callers.
    pub fn label(self) -> &'static str {
        match self {
            MissingReason::NoServer => "no-server",
            MissingReason::TooLate => "too-late",
            MissingReason::Failed => "failed",
            MissingReason::SnapshotRetired => "snapshot-retired",
        }
    }
}

/// A shard that an answer does not include.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MissingShard {
    /// Number of the shard, from 0.
    pub shard: u32,
    /// Why the shard is missing.
    pub reason: MissingReason,
}

/// Which shards an answer includes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CoverageReport {
    /// Number of all shards of the snapshot.
    pub asked: u32,
    /// Number of shards whose reply is in the answer.
    pub answered: u32,
    /// The shards that are not in the answer, in ascending order.
    pub missing: Vec<MissingShard>,
}

impl CoverageReport {
    /// Returns the fraction of the shards that answered, from 0 to 1.
    pub fn fraction(&self) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        f64::from(self.answered) / f64::from(self.asked)
    }
}

/// Whether a refused request may have run at an upstream server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// No server has started the request; it may safely be sent again.
    NotRun,
    /// A server may have run the request.
    Unknown,
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryAnswer {
    /// Identity of the request.
    pub request: RequestId,
    /// Version of the service table that the request was routed by.
    pub table_version: u64,
    /// The snapshot that all hits come from.
    pub snapshot: SnapshotId,
    /// Which shards are in the answer.
    pub coverage: CoverageReport,
    /// Whether a hedge (a second attempt while the first was outstanding) was sent.
    pub hedged: bool,
    /// Whether the query was restarted on another snapshot.
    pub restarted: bool,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// The merged hits.
    pub hits: Vec<ScoredHit>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The service table has no service of this name.
    UnknownService,
    /// The service accepts only another kind of request.
    WrongKind,
    /// The deadline has passed.
    DeadlinePassed,
    /// The service's queue is full.
    QueueFull,
    /// The expected wait in the queue exceeds the time until the deadline.
    QueueTooSlow,
    /// The instance is shutting down.
    Leaving,
    /// No live server can take the request.
    NoServer,
    /// Fewer shards answered than the service's minimum coverage requires.
    BelowFloor,
    /// The server rejected the request without running it, as it was overloaded.
    Shed,
    /// The request was sent, but its outcome is unknown.
    OutcomeUnknown,
    /// The caller closed its connection.
    CallerLeft,
}

impl RefusalReason {
    /// Returns the name used in answers to callers and in logs.
    pub fn label(self) -> &'static str {
        match self {
            RefusalReason::UnknownService => "unknown-service",
            RefusalReason::WrongKind => "wrong-kind",
            RefusalReason::DeadlinePassed => "deadline-passed",
            RefusalReason::QueueFull => "queue-full",
            RefusalReason::QueueTooSlow => "queue-too-slow",
            RefusalReason::Leaving => "leaving",
            RefusalReason::NoServer => "no-server",
            RefusalReason::BelowFloor => "below-floor",
            RefusalReason::Shed => "shed",
            RefusalReason::OutcomeUnknown => "outcome-unknown",
            RefusalReason::CallerLeft => "caller-left",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// A refusal of a request, sent as soon as it is certain that no answer is possible.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRefusal {
    /// Identity of the refused request.
    pub request: RequestId,
    /// Version of the service table that the request was routed by.
    pub table_version: u64,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Whether the request may have run.
    pub run: RunState,
    /// Time after which a retry may succeed, if a retry can help.
    pub retry_after: Option<Duration>,
    /// Coverage that was reached before the refusal; empty if nothing was sent.
    pub coverage: CoverageReport,
}

/// The outcome of a request; each request has exactly one.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryOutcome {
    /// An answer, complete or partial.
    Answer(QueryAnswer),
    /// A refusal.
    Refusal(QueryRefusal),
}
