//! Placement of snapshots: which servers hold which shards of each snapshot.
//!
//! A snapshot is one consistent version of an upstream's data, split into shards.

use crate::arena::ServerKey;
use crate::process::news::HeldSnapshot;
use crate::version::snapshot::SnapshotId;

/// The servers that hold the shards of one snapshot.
#[derive(Debug)]
pub struct SnapshotPlacement {
    /// The placed snapshot.
    pub snapshot: SnapshotId,
    /// For each shard number, the servers that hold that shard.
    pub servers_by_shard: Vec<Vec<ServerKey>>,
}

/// The snapshot chosen for a query, with the number of its live shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SnapshotChoice {
    /// The chosen snapshot.
    pub snapshot: SnapshotId,
    /// Number of shards of the snapshot that have at least one live server.
    pub live: u32,
    /// Number of shards of the snapshot.
    pub shards: u32,
}

impl SnapshotChoice {
    /// Returns the fraction of the shards that have a live server (0 to 1).
    pub fn live_fraction(self) -> f64 {
        f64::from(self.live) / f64::from(self.shards)
    }
}

/// Adds a server to the placement of the snapshot that `held` names, under the shard that
/// the server holds. Creates the placement if the snapshot has none yet.
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
