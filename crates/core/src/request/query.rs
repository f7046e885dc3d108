//! The state of one request while it runs: its shards and the attempts sent for them.

use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::gate::GateKey;
use crate::process::input::{CallTag, RequestBody};
use crate::request::answer::{CoverageReport, MissingReason, MissingShard};
use crate::request::decision::SendCause;
use crate::request::identity::{AttemptId, RequestId};
use crate::request::merge::ScoredHit;
use crate::version::row::ServiceRow;
use crate::version::snapshot::SnapshotId;

/// Maximum number of attempts that may be outstanding for one shard.
pub const MAX_SHARD_ATTEMPTS: usize = 2;
/// Maximum number of servers remembered as tried for one shard.
pub const MAX_SHARD_TRIED: usize = 8;

/// The progress of one shard of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStatus {
    /// An attempt is outstanding, or the shard waits to be sent.
    Open,
    /// A reply for the shard was accepted.
    Answered,
    /// The shard was given up.
    Missing(MissingReason),
}

/// The state of one shard of a query.
#[derive(Debug)]
pub struct ShardState {
    /// Number of the shard in the snapshot.
    pub number: u32,
    /// Progress of the shard.
    pub status: ShardStatus,
    /// The outstanding attempts.
    pub attempts: ArrayVec<SlotKey, MAX_SHARD_ATTEMPTS>,
    /// Servers that the shard's subquery was sent to already.
    pub tried: ArrayVec<ServerKey, MAX_SHARD_TRIED>,
    /// Number of sends so far.
    pub sends: u32,
    /// Time of the last send.
    pub sent_at: Duration,
    /// Whether the shard waits in the queues of its servers.
    pub is_queued: bool,
    /// Whether the last attempt failed before any of it was written to a connection.
    pub was_last_unsent: bool,
    /// Why the last attempt failed, if one did.
    pub failure_reason: Option<MissingReason>,
    /// The hits of the shard.
    pub hits: Vec<ScoredHit>,
}

impl ShardState {
    /// Creates the state of a shard that was not sent yet.
    pub fn new(number: u32) -> ShardState {
        ShardState {
            number,
            status: ShardStatus::Open,
            attempts: ArrayVec::new(),
            tried: ArrayVec::new(),
            sends: 0,
            sent_at: Duration::ZERO,
            is_queued: false,
            was_last_unsent: false,
            failure_reason: None,
            hits: Vec::new(),
        }
    }
}

/// An outstanding attempt: one send of a shard's subquery.
#[derive(Debug)]
pub struct AttemptState {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// The query that the attempt belongs to.
    pub query: SlotKey,
    /// Index of the shard in the query.
    pub index: u32,
    /// The server that the attempt was sent to.
    pub server: ServerKey,
    /// Time of the send.
    pub sent_at: Duration,
    /// Why the attempt was sent.
    pub cause: SendCause,
}

/// The state of one request of a caller.
#[derive(Debug)]
pub struct QueryState {
    /// Tag by which the driver of the state machine knows the request.
    pub call: CallTag,
    /// Identity of the request.
    pub request: RequestId,
    /// Admission gate of the service.
    pub gate: GateKey,
    /// The service's row of the service table, as it was when the request arrived.
    pub row: Arc<ServiceRow>,
    /// Version of the table that the row is from.
    pub table_version: u64,
    /// The request body, which is passed on to servers.
    pub body: Arc<RequestBody>,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the request was admitted and started.
    pub started: Duration,
    /// Time by which the request must be answered.
    pub deadline: Duration,
    /// Whether the request has started.
    pub is_running: bool,
    /// The upstream, once the request has started.
    pub upstream: Option<UpstreamKey>,
    /// The snapshot that is read, once the request has started.
    pub snapshot: SnapshotId,
    /// The shards of the snapshot.
    pub shards: Vec<ShardState>,
    /// Number of shards that were answered.
    pub answered: u32,
    /// Number of shards that were given up.
    pub missing: u32,
    /// Whether a hedge (a second attempt while the first was outstanding) was sent.
    pub hedged: bool,
    /// Whether the query was restarted on another snapshot.
    pub restarted: bool,
    /// Whether the time has come at which a partial answer may be sent.
    pub partial_due: bool,
    /// Number of sent attempts that ran or may have run.
    pub possible_runs: u32,
    /// Whether the decisions for this request are recorded.
    pub is_traced: bool,
}

impl QueryState {
    /// Returns the number of shards that are neither answered nor given up.
    pub fn open_shards(&self) -> u32 {
        self.shards.len() as u32 - self.answered - self.missing
    }

    /// Returns the fraction of the shards that answered.
    pub fn answered_fraction(&self) -> f64 {
        ratio(self.answered, self.shards.len())
    }

    /// Returns the fraction of the shards that were not given up, so that they can still be in
    /// the answer.
    pub fn reachable_fraction(&self) -> f64 {
        let shards = self.shards.len() as u32;
        ratio(shards - self.missing, self.shards.len())
    }

    /// Returns the coverage report. Shards that are still open count as too late.
    pub fn coverage(&self) -> CoverageReport {
        let missing = self.shards.iter().filter_map(|shard| {
            let reason = match shard.status {
                ShardStatus::Answered => return None,
                ShardStatus::Open => MissingReason::TooLate,
                ShardStatus::Missing(reason) => reason,
            };
            Some(MissingShard {
                shard: shard.number,
                reason,
            })
        });
        CoverageReport {
            asked: self.shards.len() as u32,
            answered: self.answered,
            missing: missing.collect(),
        }
    }
}

/// Returns `part` divided by `whole`, or 0 if `whole` is 0.
fn ratio(part: u32, whole: usize) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    f64::from(part) / whole as f64
}
