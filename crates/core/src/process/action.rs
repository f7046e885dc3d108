//! Outputs of the entry machine: the actions that its driver carries out.
//!
//! The entry machine does no input or output itself. It returns a list of [`EntryAction`]s
//! for each input, and the driver (threads and sockets) executes them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::input::{CallTag, RequestBody};
use crate::request::answer::QueryOutcome;
use crate::request::decision::DecisionEvent;
use crate::request::identity::{AttemptId, RequestId};
use crate::version::snapshot::SnapshotId;

/// An order to send one subquery, that is, a request for one shard to one server.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// Key of the attempt. The driver returns the reply under this key.
    pub attempt: SlotKey,
    /// Identity of the attempt, sent to the server and expected back in the reply.
    pub id: AttemptId,
    /// Request that the subquery belongs to.
    pub request: RequestId,
    /// Server to send to.
    pub server: ServerKey,
    /// Address of the server.
    pub address: SocketAddr,
    /// Shard to search.
    pub shard: u32,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// The request's deadline, as the time since the process started.
    ///
    /// An absolute time, because another thread writes the subquery and may have to open
    /// a connection first: a remaining time would be outdated by then.
    pub deadline: Duration,
    /// Content of the request, passed to the server unchanged.
    pub body: Arc<RequestBody>,
}

/// An action that the driver carries out for the entry machine.
#[derive(Debug, Clone)]
pub enum EntryAction {
    /// Sends a subquery.
    Send(SendOrder),
    /// Cancels a subquery whose reply is no longer needed.
    Cancel {
        /// Key of the attempt to cancel.
        attempt: SlotKey,
        /// Server that the attempt was sent to.
        server: ServerKey,
    },
    /// Sends the outcome of a request to its caller.
    Finish {
        /// The driver's tag of the request.
        call: CallTag,
        /// Answer or refusal.
        outcome: QueryOutcome,
    },
    /// Records a routing decision in the decision log. The event is large and rare, so it
    /// is boxed to keep the size of all other actions small.
    RecordDecision(Box<DecisionEvent>),
    /// Reports that the instance is drained: the last request has ended after
    /// [`Leave`](super::input::EntryInput::Leave).
    Left,
}
