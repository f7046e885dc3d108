//! Inputs of the entry machine: requests, replies, announcements and table
//! changes, as the driver (the code with sockets and clock) passes them in.

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

/// Identifier that the driver chooses for a request and gets back with its
/// outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallTag(pub u64);

/// Part of a request that is forwarded to the servers unchanged. The machine
/// does not interpret the payload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestBody {
    /// Kind of request.
    pub kind: RequestKind,
    /// Key of a fetch, or idempotency key of a submission.
    pub key: Option<Box<str>>,
    /// JSON text from the caller.
    pub payload: Box<[u8]>,
}

/// A request from a caller.
#[derive(Debug, Clone)]
pub struct QueryRequest {
    /// Identifier chosen by the driver.
    pub call: CallTag,
    /// Name of the requested service.
    pub service: Box<str>,
    /// Time limit set by the caller; the service's configured deadline if `None`.
    pub deadline: Option<Duration>,
    /// Content to forward to the servers.
    pub body: Arc<RequestBody>,
}

/// Body of a server's reply: the hits, and the identity that the server states
/// for them, which the machine checks against the attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplyBody {
    /// Attempt that the reply claims to answer.
    pub attempt: AttemptId,
    /// Request that the reply claims to answer.
    pub request: RequestId,
    /// Shard that the server claims to have searched.
    pub shard: u32,
    /// Snapshot that the server claims to have searched.
    pub snapshot: SnapshotId,
    /// Hits found.
    pub hits: Vec<ScoredHit>,
}

/// Result of an attempt (one subquery sent to one server).
#[derive(Debug, Clone, PartialEq)]
pub enum ReplyStatus {
    /// A well-formed reply was received.
    Body(ReplyBody),
    /// The server refused to run the attempt because it is overloaded or shutting
    /// down.
    Shed {
        /// Time after which the server asks to be tried again.
        retry_after: Option<Duration>,
    },
    /// The server did not run the attempt because it does not hold the snapshot.
    SnapshotNotHeld {
        /// Snapshots that the server holds now.
        held: Vec<HeldSnapshot>,
    },
    /// Nothing of the attempt was written to a connection, so no server can have
    /// run it.
    NeverSent,
    /// The attempt was written, but no readable reply was received. The server may
    /// have run it.
    Failed,
}

/// Result of an attempt, reported by the driver.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptReply {
    /// Key of the attempt.
    pub attempt: SlotKey,
    /// Result of the attempt.
    pub status: ReplyStatus,
    /// Time spent on opening a connection for the attempt, if one was opened.
    pub connect: Option<Duration>,
}

impl AttemptReply {
    /// Builds a valid reply to `order` without any hits, for tests and
    /// benchmarks.
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

/// New number of idle connections to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionChange {
    /// Key of the server.
    pub server: ServerKey,
    /// Number of idle connections to the server now.
    pub idle: u32,
}

/// An input of [`EntryMachine::step`](crate::process::entry::EntryMachine::step).
#[derive(Debug, Clone)]
pub enum EntryInput {
    /// An announcement of an upstream server was received.
    Announce(UpstreamAnnouncement),
    /// The lease of the named server expired, as reported by an instance that
    /// tracks the server's lease.
    Expired(String),
    /// Instances that track the leases of the named servers confirm that these
    /// servers are alive; their leases are renewed.
    Vouch(Vec<String>),
    /// The number of entry instances that share the servers' limits changed.
    InstanceCount(u32),
    /// A caller sent a request.
    Submit(QueryRequest),
    /// A caller disconnected before it got an answer.
    CallerLeft(CallTag),
    /// An attempt ended with a reply or a failure.
    Reply(AttemptReply),
    /// The number of idle connections to a server changed.
    Connection(ConnectionChange),
    /// A new service table was published.
    Table(ServiceTable),
    /// The time of the earliest timer was reached.
    Wake,
    /// The instance shuts down: it admits no new requests and finishes those it
    /// has.
    Leave,
}
