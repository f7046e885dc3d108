//! What an upstream server announces of itself.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::snapshot::SnapshotId;

/// A snapshot that a server holds, and its part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSnapshot {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// The shard held, from 0.
    pub shard: u32,
    /// Number of shards of the snapshot.
    pub shards: u32,
}

/// Phase of a server's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// It started a short while ago and is still cold.
    Starting,
    /// It takes work.
    Serving,
    /// It is leaving: it ends what it has and takes nothing new.
    Draining,
    /// It has left.
    Left,
}

impl ServerPhase {
    /// Tells whether a server in this phase may get new work.
    pub fn takes_work(self) -> bool {
        matches!(self, ServerPhase::Starting | ServerPhase::Serving)
    }
}

impl fmt::Display for ServerPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServerPhase::Starting => "starting",
            ServerPhase::Serving => "serving",
            ServerPhase::Draining => "draining",
            ServerPhase::Left => "left",
        })
    }
}

/// One announcement of a server.
///
/// Announcements are ordered by `(incarnation, sequence)`: an older one never
/// undoes a newer one, in whatever order they arrive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Name of the server, unique over all upstreams.
    pub name: Box<str>,
    /// Name of the upstream it serves.
    pub upstream: Box<str>,
    /// Failure domain it stands in.
    pub domain: Box<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Greater with each start of the server.
    pub incarnation: u64,
    /// Greater with each announcement of an incarnation.
    pub sequence: u64,
    /// Phase of its life.
    pub phase: ServerPhase,
    /// Snapshots it holds.
    pub held: Vec<HeldSnapshot>,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Connections it accepts over all instances.
    pub connections: u32,
    /// Requests it says it has at work or queued, as a multiple of its slots.
    pub load: f32,
    /// Time without renewal after which it gets no new work.
    pub lease: Duration,
}
