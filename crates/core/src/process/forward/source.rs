//! Choosing the control instance that an entry hears everything from.
//!
//! Every control instance tells an entry what is urgent and small. What is
//! large (tables, all servers, all entries) comes from one of them, its source:
//! at hundreds of entries the bytes would otherwise grow with the product of
//! both numbers, most of them between regions.

use std::net::SocketAddr;
use std::time::Duration;

/// A control instance as an entry knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlPeer {
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it stands in the entry's failure domain.
    pub is_near: bool,
    /// Whether it is in contact with others of the group, and has been for
    /// long enough to know what they know.
    pub is_settled: bool,
    /// Time that a connection to it took to open.
    pub way: Duration,
}

/// Chooses the source out of the instances that an entry is connected to.
///
/// A settled one goes first, then a near one, then the one that is the source
/// already, then the one with the shortest way.
pub fn choose_source(peers: &[ControlPeer], current: Option<SocketAddr>) -> Option<SocketAddr> {
    let best = peers.iter().min_by_key(|peer| {
        (
            !peer.is_settled,
            !peer.is_near,
            current != Some(peer.address),
            peer.way,
            peer.address,
        )
    });
    best.map(|peer| peer.address)
}
