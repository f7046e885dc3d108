//! What comes into the entry machine.

use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::action::SendOrder;
use crate::process::news::{HeldSnapshot, UpstreamAnnouncement};
use crate::request::identity::{AttemptId, RequestId};
use crate::request::merge::ScoredHit;
use crate::version::row::RequestKind;
use crate::version::snapshot::SnapshotId;
use crate::version::table::ServiceTable;

/// The driver's own name for a request, handed back with its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTag(pub u64);

/// What is passed on to the upstreams, unread by the decisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestBody {
    /// Kind of request the caller made.
    pub kind: RequestKind,
    /// Key of a fetch, or idempotency key of a submission.
    pub key: Option<Box<str>>,
    /// The caller's JSON text.
    pub payload: Box<[u8]>,
}

/// A caller's request.
#[derive(Debug, Clone)]
pub struct QueryRequest {
    /// The driver's name for it.
    pub call: CallTag,
    /// Service asked for.
    pub service: Box<str>,
    /// Time the caller gives it; the row's deadline if none.
    pub deadline: Option<Duration>,
    /// What is passed on.
    pub body: Arc<RequestBody>,
}

/// The body of an upstream's reply: what it says of itself, and the hits.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplyBody {
    /// Attempt it says it answers.
    pub attempt: AttemptId,
    /// Request it says it answers.
    pub request: RequestId,
    /// Shard it says it searched.
    pub shard: u32,
    /// Snapshot it says it searched.
    pub snapshot: SnapshotId,
    /// The hits.
    pub hits: Vec<ScoredHit>,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplyStatus {
    /// A well-formed reply came.
    Body(ReplyBody),
    /// The server says that it did not run it, because it has too much to do
    /// or is leaving.
    Shed {
        /// When it asks to be tried again.
        retry_after: Option<Duration>,
    },
    /// The server says that it did not run it, because it does not hold the
    /// snapshot; it tells what it holds.
    SnapshotNotHeld {
        /// Snapshots the server holds now.
        held: Vec<HeldSnapshot>,
    },
    /// Nothing of the attempt was written to a connection.
    NeverSent,
    /// It was written, and no reply came that could be read.
    Failed,
}

/// An attempt's end, as the driver saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptReply {
    /// The attempt.
    pub attempt: SlotKey,
    /// How it ended.
    pub status: ReplyStatus,
    /// Time it took to open a connection for it, if one was opened.
    pub connect: Option<Duration>,
}

impl AttemptReply {
    /// Returns the answer of a server that found nothing to an order.
    pub fn with_no_hits(order: &SendOrder) -> AttemptReply {
        AttemptReply {
            attempt: order.attempt,
            status: ReplyStatus::Body(ReplyBody {
                attempt: order.id,
                request: order.request,
                shard: order.shard,
                snapshot: order.snapshot,
                hits: Vec::new(),
            }),
            connect: None,
        }
    }
}

/// A change to the idle connections of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionChange {
    /// The server.
    pub server: ServerKey,
    /// Idle connections open to it now.
    pub idle: u32,
}

/// One input of the entry machine.
#[derive(Debug, Clone)]
pub enum EntryInput {
    /// A server announced itself.
    Announce(UpstreamAnnouncement),
    /// A server's lease ran out, by the word of a home.
    Expired(String),
    /// The homes of these servers vouch for them.
    Vouch(Vec<String>),
    /// The servers' limits are to be divided by this many instances.
    InstanceCount(u32),
    /// A caller made a request.
    Submit(QueryRequest),
    /// A caller left before its answer.
    CallerLeft(CallTag),
    /// An attempt ended.
    Reply(AttemptReply),
    /// Idle connections were closed.
    Connection(ConnectionChange),
    /// A table comes in force.
    Table(ServiceTable),
    /// A timer may be due.
    Wake,
    /// The instance leaves: nothing new is let in.
    Leave,
}
