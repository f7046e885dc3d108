//! What a caller gets: an answer that tells its coverage, or a refusal.

use std::fmt;
use std::time::Duration;

use crate::request::identity::RequestId;
use crate::request::merge::ScoredHit;
use crate::version::snapshot::SnapshotId;

/// Why a shard is missing from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MissingReason {
    /// No live server holds the shard in the snapshot.
    NoServer,
    /// No reply came in time.
    TooLate,
    /// Every server that was asked failed.
    Failed,
    /// The servers no longer hold the snapshot.
    SnapshotRetired,
}

impl MissingReason {
    /// Returns the word used towards callers.
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
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Which shards an answer includes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CoverageReport {
    /// Number of shards of the snapshot.
    pub asked: u32,
    /// Number of shards whose reply is in the answer.
    pub answered: u32,
    /// The others, in the order of their numbers.
    pub missing: Vec<MissingShard>,
}

impl CoverageReport {
    /// Returns the fraction of the shards that answered (0 to 1).
    pub fn fraction(&self) -> f64 {
        if self.asked == 0 {
            return 0.0;
        }
        f64::from(self.answered) / f64::from(self.asked)
    }
}

/// What is known of a request's effect upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// No upstream has begun it; it may safely be asked again.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

/// An answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryAnswer {
    /// The request answered.
    pub request: RequestId,
    /// Version of the table that steered it.
    pub table_version: u64,
    /// The one snapshot that all hits come from.
    pub snapshot: SnapshotId,
    /// Which shards are in the answer.
    pub coverage: CoverageReport,
    /// Whether a hedge was sent for it.
    pub hedged: bool,
    /// Whether it was restarted on another snapshot.
    pub restarted: bool,
    /// Time left until its deadline.
    pub time_left: Duration,
    /// The merged hits.
    pub hits: Vec<ScoredHit>,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The table has no such service.
    UnknownService,
    /// The service takes another kind of request.
    WrongKind,
    /// No time is left.
    DeadlinePassed,
    /// The queue is full.
    QueueFull,
    /// The wait would outlast the deadline.
    QueueTooSlow,
    /// The instance is leaving.
    Leaving,
    /// No live server can be asked.
    NoServer,
    /// Fewer shards answered than the service's floor asks for.
    BelowFloor,
    /// The server refused without running it.
    Shed,
    /// The request was sent and its outcome was not learned.
    OutcomeUnknown,
    /// The caller left.
    CallerLeft,
}

impl RefusalReason {
    /// Returns the word used towards callers and in logs.
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

/// A refusal, given as soon as it is certain.
#[derive(Debug, Clone, PartialEq)]
pub struct QueryRefusal {
    /// The request refused.
    pub request: RequestId,
    /// Version of the table that steered it.
    pub table_version: u64,
    /// Why.
    pub reason: RefusalReason,
    /// What is known of its effect.
    pub run: RunState,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
    /// Coverage reached, if it was sent at all.
    pub coverage: CoverageReport,
}

/// The one outcome of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum QueryOutcome {
    /// An answer, complete or partial.
    Answer(QueryAnswer),
    /// A refusal.
    Refusal(QueryRefusal),
}
