//! Identity of a snapshot, a consistent view of an upstream's data.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a consistent view of an upstream's data.
///
/// Ordered by partitioning epoch, then by index version; a newer snapshot is
/// greater.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct SnapshotId {
    /// Partitioning epoch. It increases when the data is divided into shards in a
    /// new way.
    pub epoch: u32,
    /// Version of the index within the epoch.
    pub version: u64,
}

impl fmt::Display for SnapshotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.version)
    }
}
