//! Announcements of upstream servers: each server periodically publishes its
//! address, phase, snapshots and limits, under a lease.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::snapshot::SnapshotId;

/// A shard of a snapshot (an immutable version of the index) that a server
/// holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSnapshot {
    /// Identity of the snapshot.
    pub snapshot: SnapshotId,
    /// Number of the shard held, from 0.
    pub shard: u32,
    /// Number of shards into which the snapshot is divided.
    pub shards: u32,
}

/// Lifecycle phase of an upstream server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerPhase {
    /// The server started recently, and its caches are still empty.
    Starting,
    /// The server accepts requests.
    Serving,
    /// The server is shutting down: it finishes its requests and accepts no new
    /// ones.
    Draining,
    /// The server has shut down.
    Left,
}

impl ServerPhase {
    /// Returns whether a server in this phase accepts new requests.
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

/// One announcement of an upstream server.
///
/// Announcements are ordered by `(incarnation, sequence)`. A receiver ignores an
/// announcement that is not newer than the last one, so they may arrive in any
/// order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamAnnouncement {
    /// Name of the server, unique across all upstreams.
    pub name: Box<str>,
    /// Name of the upstream that the server belongs to.
    pub upstream: Box<str>,
    /// Name of the server's failure domain.
    pub domain: Box<str>,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Number of the server's start; increases with each start.
    pub incarnation: u64,
    /// Number of the announcement; increases within an incarnation.
    pub sequence: u64,
    /// Lifecycle phase of the server.
    pub phase: ServerPhase,
    /// Shards of snapshots that the server holds.
    pub held: Vec<HeldSnapshot>,
    /// Number of requests that the server processes in parallel.
    pub slots: u32,
    /// Number of connections that the server accepts from all entry instances
    /// together.
    pub connections: u32,
    /// Load reported by the server: requests running or queued there, as a
    /// multiple of `slots`.
    pub load: f32,
    /// Time after this announcement for which the server gets new requests,
    /// unless the lease is renewed.
    pub lease: Duration,
}
