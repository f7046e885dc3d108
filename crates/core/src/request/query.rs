//! The state of one request while it is at work.

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

/// Most attempts outstanding for one shard.
pub const MAX_SHARD_ATTEMPTS: usize = 2;
/// Most servers remembered as tried for one shard.
pub const MAX_SHARD_TRIED: usize = 8;

/// How far a shard of a query has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStatus {
    /// It is being asked for, or waits to be.
    Open,
    /// Its reply was taken.
    Answered,
    /// It was given up.
    Missing(MissingReason),
}

/// One shard of a query.
#[derive(Debug)]
pub struct ShardState {
    /// Number of the shard in the snapshot.
    pub number: u32,
    /// How far it has come.
    pub status: ShardStatus,
    /// Attempts outstanding.
    pub attempts: ArrayVec<SlotKey, MAX_SHARD_ATTEMPTS>,
    /// Servers asked already.
    pub tried: ArrayVec<ServerKey, MAX_SHARD_TRIED>,
    /// Sends so far.
    pub sends: u32,
    /// Time of the last send.
    pub sent_at: Duration,
    /// Whether it stands in the queues of its servers.
    pub is_queued: bool,
    /// Whether nothing of the last attempt was written to a connection.
    pub was_last_unsent: bool,
    /// What went wrong last.
    pub failure_reason: Option<MissingReason>,
    /// Its hits.
    pub hits: Vec<ScoredHit>,
}

impl ShardState {
    /// Returns a shard that has not been asked for yet.
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

/// One send of a subquery that is outstanding.
#[derive(Debug)]
pub struct AttemptState {
    /// Its identity.
    pub id: AttemptId,
    /// The query it belongs to.
    pub query: SlotKey,
    /// Index of the shard in the query.
    pub index: u32,
    /// The server asked.
    pub server: ServerKey,
    /// When it was sent.
    pub sent_at: Duration,
    /// Why it was sent.
    pub cause: SendCause,
}

/// One request of a caller.
#[derive(Debug)]
pub struct QueryState {
    /// The driver's name for it.
    pub call: CallTag,
    /// Its identity.
    pub request: RequestId,
    /// Gate of its service.
    pub gate: GateKey,
    /// The row that steers it, pinned at its arrival.
    pub row: Arc<ServiceRow>,
    /// Version of the table the row is from.
    pub table_version: u64,
    /// What is passed on.
    pub body: Arc<RequestBody>,
    /// When it came.
    pub arrived: Duration,
    /// When it started.
    pub started: Duration,
    /// When its time is over.
    pub deadline: Duration,
    /// Whether it has started.
    pub is_running: bool,
    /// Its upstream, once started.
    pub upstream: Option<UpstreamKey>,
    /// Its snapshot, once started.
    pub snapshot: SnapshotId,
    /// Its shards.
    pub shards: Vec<ShardState>,
    /// Shards answered.
    pub answered: u32,
    /// Shards given up.
    pub missing: u32,
    /// Whether a hedge was sent.
    pub hedged: bool,
    /// Whether it was restarted.
    pub restarted: bool,
    /// Whether a partial answer may go out.
    pub partial_due: bool,
    /// Attempts sent that are not known not to have run.
    pub possible_runs: u32,
    /// Whether its decisions are recorded.
    pub is_traced: bool,
}

impl QueryState {
    /// Returns the number of shards still open.
    pub fn open_shards(&self) -> u32 {
        self.shards.len() as u32 - self.answered - self.missing
    }

    /// Returns the fraction of the shards that answered.
    pub fn answered_fraction(&self) -> f64 {
        ratio(self.answered, self.shards.len())
    }

    /// Returns the fraction of the shards that could still be in an answer.
    pub fn reachable_fraction(&self) -> f64 {
        let shards = self.shards.len() as u32;
        ratio(shards - self.missing, self.shards.len())
    }

    /// Returns the coverage; shards still open count as too late.
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

fn ratio(part: u32, whole: usize) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    f64::from(part) / whole as f64
}
