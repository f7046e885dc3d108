//! Messages between instances: a [`PeerRequest`] and its [`PeerReply`], encoded as
//! bincode and sent as HTTP/2 bodies.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaMessage;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, TableVersion};
use wheelmast_core::process::gossip::message::GossipMessage;

use crate::upstream::MessageError;

/// HTTP path to which a [`PeerRequest`] is sent.
pub const PEER_PATH: &str = "/v1/peer";
/// Header with the cluster key, a secret that all instances of a cluster share.
pub const KEY_HEADER: &str = "wheelmast-key";
/// Maximum size of a message, in bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Request to another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Message of the replicated log, from one replica to another.
    Replica {
        /// Id of the replica that sends the message.
        from: ReplicaId,
        /// Message for the receiver's replica.
        message: ReplicaMessage,
    },
    /// Sends a version of the service table that took effect at the sender.
    Table(TableVersion),
    /// Requests the service table, if the receiver's version is newer than `have`.
    AskTable {
        /// Version in effect at the sender; 0 for none.
        have: u64,
    },
    /// Gossip message, from one cluster member to another.
    Gossip(Box<GossipMessage>),
    /// Command for the leader of the control group.
    Command(ControlCommand),
    /// Requests the history of the service table.
    AskHistory,
}

/// Reply to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// Acknowledges that the message was received.
    Taken,
    /// Service table in effect; `None` if it is not newer than the requested version.
    Table(Option<TableVersion>),
    /// Result of a command.
    Command(CommandReply),
    /// Known versions of the service table, oldest first.
    History(Vec<TableVersion>),
}

/// Result of a command that was sent to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The command is committed, with this outcome.
    Done(CommandOutcome),
    /// The instance is not the leader of the control group.
    NotLeader,
    /// It is unknown whether the command will be committed. It may be resent.
    Unknown,
}

/// Encodes a value as bincode.
///
/// # Errors
///
/// Fails if bincode cannot represent the value.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, MessageError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| MessageError(error.to_string()))
}

/// Decodes a bincode value that occupies all of `bytes`.
///
/// # Errors
///
/// Fails if the bytes are not a valid value, if bytes are left over, or if decoding
/// would exceed [`MAX_PEER_MESSAGE_BYTES`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| MessageError(error.to_string()))?;
    if used != bytes.len() {
        return Err(MessageError("bytes left over".to_string()));
    }
    Ok(value)
}
