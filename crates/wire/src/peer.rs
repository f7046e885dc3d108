//! Messages between instances, as bincode over HTTP/2 streams.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaMessage;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, TableVersion};
use wheelmast_core::process::gossip::message::GossipMessage;

use crate::upstream::MessageError;

/// Path of a message at another instance.
pub const PEER_PATH: &str = "/v1/peer";
/// Header with the key of the cluster.
pub const KEY_HEADER: &str = "wheelmast-key";
/// Largest message, in bytes.
pub const MAX_PEER_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// A message to another instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A message between replicas.
    Replica {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A version of the table that came in force at the sender.
    Table(TableVersion),
    /// Asks for the table, if it is newer than `have`.
    AskTable {
        /// Version in force at the sender; 0 for none.
        have: u64,
    },
    /// A message between members.
    Gossip(Box<GossipMessage>),
    /// A command for the leader.
    Command(ControlCommand),
    /// Asks for the history of the table.
    AskHistory,
}

/// The answer to a [`PeerRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum PeerReply {
    /// The message was taken.
    Taken,
    /// The table in force, if it is newer than was asked.
    Table(Option<TableVersion>),
    /// What became of a command.
    Command(CommandReply),
    /// The versions known, oldest first.
    History(Vec<TableVersion>),
}

/// What became of a command at an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// It is committed, with this outcome.
    Done(CommandOutcome),
    /// The instance does not lead the control group.
    NotLeader,
    /// Whether it will be committed is not known; it may be resent.
    Unknown,
}

/// Encodes a value.
///
/// # Errors
///
/// Fails if the value cannot be written as bincode.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, MessageError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|error| MessageError(error.to_string()))
}

/// Decodes a value that takes up all of `bytes`.
///
/// # Errors
///
/// Fails if they are no such value, or if it would take too much memory.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    let config = bincode::config::standard().with_limit::<MAX_PEER_MESSAGE_BYTES>();
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|error| MessageError(error.to_string()))?;
    if used != bytes.len() {
        return Err(MessageError("bytes left over".to_string()));
    }
    Ok(value)
}
