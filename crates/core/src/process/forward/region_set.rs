//! Restricts where a request may be sent: to the route's allowed regions, and never to
//! an evacuated failure domain.
//!
//! A route's setting `homes` lists its allowed regions: none of its requests may reach a
//! server or another entry outside of these regions. In addition, an operator may evacuate
//! a failure domain, that is, take it out of use. Both restrictions apply to every send:
//! first attempts, retries, hedges and relays to other entries.
//!
//! A send needs a `PermittedServer`, which only `RegionSet::permit` creates. So no code
//! that sends a request can skip the check.

use crate::arena::ServerKey;
use crate::process::forward::server::ServerState;

/// Maximum number of regions that are distinguished. Further regions count as unknown, so
/// a request that is restricted to some regions is never sent there.
const MAX_REGIONS: usize = 63;

/// A region, identified by its index among the regions in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionKey(u8);

impl RegionKey {
    /// Stands for every region that the settings do not name.
    pub const UNKNOWN: RegionKey = RegionKey(MAX_REGIONS as u8);

    /// Creates the key of the region at this index.
    pub fn new(index: usize) -> RegionKey {
        RegionKey(index.min(MAX_REGIONS) as u8)
    }
}

/// The regions in which a request may be served, as a bit set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RegionSet(u64);

impl RegionSet {
    /// All regions, including unknown ones.
    pub const ANYWHERE: RegionSet = RegionSet(u64::MAX);

    /// Creates a set of these regions, without unknown ones.
    pub fn of(regions: impl Iterator<Item = RegionKey>) -> RegionSet {
        let known = regions.filter(|region| *region != RegionKey::UNKNOWN);
        RegionSet(known.fold(0, |set, region| set | 1 << region.0))
    }

    /// Returns the regions that are in both sets.
    pub fn intersection(self, other: RegionSet) -> RegionSet {
        RegionSet(self.0 & other.0)
    }

    /// Returns whether the set contains a region.
    pub fn contains(self, region: RegionKey) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Returns whether a request restricted to this set may be sent to a server or an
    /// entry: its region is in the set, its failure domain is not evacuated, and its
    /// version was not rolled back.
    pub(super) fn allows(self, state: &ServerState) -> bool {
        !state.is_evacuated && !state.is_rolled_back && self.contains(state.region)
    }

    /// Returns the permission to send a request to a server or an entry, or `None` if
    /// [`RegionSet::allows`] forbids that.
    pub(super) fn permit(self, key: ServerKey, state: &ServerState) -> Option<PermittedServer> {
        self.allows(state).then_some(PermittedServer(key))
    }
}

/// Permission to send a request to a server or an entry, created by
/// [`RegionSet::permit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PermittedServer(ServerKey);

impl PermittedServer {
    /// Returns the key of the server or entry.
    pub(super) fn key(self) -> ServerKey {
        self.0
    }
}
