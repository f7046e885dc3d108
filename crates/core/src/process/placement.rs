//! Which servers cover which shards of a snapshot.

use crate::arena::ServerKey;
use crate::process::news::HeldSnapshot;
use crate::version::snapshot::SnapshotId;

/// The servers of each shard of one snapshot.
#[derive(Debug)]
pub struct SnapshotPlacement {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// For each shard, the servers that hold it.
    pub servers_by_shard: Vec<Vec<ServerKey>>,
}

/// A snapshot chosen for a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotChoice {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Its shards that have a live server.
    pub live: u32,
    /// Its shards.
    pub shards: u32,
}

impl SnapshotChoice {
    /// Returns the fraction of the shards that have a live server.
    pub fn live_fraction(self) -> f64 {
        f64::from(self.live) / f64::from(self.shards)
    }
}

/// Adds a server to the cover of a snapshot that it holds a shard of.
pub(super) fn add_to_placement(
    placements: &mut Vec<SnapshotPlacement>,
    held: HeldSnapshot,
    server: ServerKey,
) {
    let existing = placements
        .iter()
        .position(|placement| placement.snapshot == held.snapshot);
    let index = existing.unwrap_or_else(|| {
        placements.push(SnapshotPlacement {
            snapshot: held.snapshot,
            servers_by_shard: Vec::new(),
        });
        placements.len() - 1
    });
    let servers_by_shard = &mut placements[index].servers_by_shard;
    if servers_by_shard.len() < held.shards as usize {
        servers_by_shard.resize(held.shards as usize, Vec::new());
    }
    servers_by_shard[held.shard as usize].push(server);
}
