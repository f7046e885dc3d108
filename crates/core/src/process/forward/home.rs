//! Where a request may be sent: homes and evacuated failure domains.
//!
//! A route may name its homes, the regions outside which none of its requests
//! may reach a server or another entry. And an operator may take a failure
//! domain out of use. Both bind each send, whatever its cause: first sends,
//! repeats, hedges, parts passed on to other entries.
//!
//! A send needs a `PermittedServer`, and only the set of a route's homes makes one.
//! So a new cause of sends cannot forget to ask.

use crate::arena::ServerKey;
use crate::process::forward::server::ServerState;

/// Most regions that are told apart; requests with homes are sent to none of
/// those beyond.
const MOST_REGIONS: usize = 63;

/// A region, by its place among the regions in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RegionKey(u8);

impl RegionKey {
    /// A region that the settings do not name.
    pub const UNKNOWN: RegionKey = RegionKey(MOST_REGIONS as u8);

    /// Returns the key of the region at this place.
    pub fn new(place: usize) -> RegionKey {
        RegionKey(place.min(MOST_REGIONS) as u8)
    }
}

/// The regions in which a request may be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeSet(u64);

impl HomeSet {
    /// All regions, also those that are not known.
    pub const ANYWHERE: HomeSet = HomeSet(u64::MAX);

    /// Returns the set of these regions.
    pub fn of(regions: impl Iterator<Item = RegionKey>) -> HomeSet {
        let known = regions.filter(|region| *region != RegionKey::UNKNOWN);
        HomeSet(known.fold(0, |set, region| set | 1 << region.0))
    }

    /// Returns the regions that both sets hold.
    pub fn both(self, other: HomeSet) -> HomeSet {
        HomeSet(self.0 & other.0)
    }

    /// Tells whether a region is one of them.
    pub fn holds(self, region: RegionKey) -> bool {
        self.0 & (1 << region.0) != 0
    }

    /// Tells whether a request may be sent to a server or an entry.
    pub(super) fn allows(self, state: &ServerState) -> bool {
        !state.is_evacuated && !state.is_rolled_back && self.holds(state.region)
    }

    /// Returns the leave to send a request to a server or an entry, if it may
    /// be sent there.
    pub(super) fn permit(self, key: ServerKey, state: &ServerState) -> Option<PermittedServer> {
        self.allows(state).then_some(PermittedServer(key))
    }
}

/// A server or an entry that a request may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PermittedServer(ServerKey);

impl PermittedServer {
    /// Returns its key.
    pub(super) fn key(self) -> ServerKey {
        self.0
    }
}
