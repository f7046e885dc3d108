//! What the entry machine asks its driver to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::input::{CallTag, RequestBody};
use crate::request::answer::QueryOutcome;
use crate::request::decision::DecisionEvent;
use crate::request::identity::{AttemptId, RequestId};
use crate::version::snapshot::SnapshotId;

/// An order to send one subquery.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// Key under which the reply is handed back.
    pub attempt: SlotKey,
    /// Identity sent with it and expected in the reply.
    pub id: AttemptId,
    /// Request it belongs to.
    pub request: RequestId,
    /// Server to send to.
    pub server: ServerKey,
    /// Address of the server.
    pub address: SocketAddr,
    /// Shard to search.
    pub shard: u32,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// The request's deadline, since the process started. A span would grow old
    /// until it is written: another thread does that, on a connection that may
    /// have to be opened first.
    pub deadline: Duration,
    /// What is passed on.
    pub body: Arc<RequestBody>,
}

/// One action of the entry machine.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Send a subquery.
    Send(SendOrder),
    /// Cancel a subquery; its reply is no longer wanted.
    Cancel {
        /// The attempt.
        attempt: SlotKey,
        /// The server it was sent to.
        server: ServerKey,
    },
    /// Hand a request's outcome to its caller.
    Finish {
        /// The request's name at the driver.
        call: CallTag,
        /// The outcome.
        outcome: QueryOutcome,
    },
    /// Record a decision. Boxed, as it is large and seldom: each action takes
    /// the room of the largest.
    RecordDecision(Box<DecisionEvent>),
    /// The last request has ended after [`Leave`](super::input::EntryInput::Leave).
    Left,
}
