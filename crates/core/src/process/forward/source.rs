//! Choosing the control instances that an entry is connected to, and the one
//! that it hears everything from.
//!
//! An entry is connected to a few control instances of different failure
//! domains, and changes one that falls silent or out of contact with its group.
//! Each of these tells it what is urgent and small. What is large (tables, all
//! servers, all entries) comes from one of them, its source. Were it connected
//! to all, messages and bytes would grow with the product of both numbers, most
//! of them between regions.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::forward::place::PlaceStep;
use crate::process::rendezvous::rank;

/// Control instances that an entry is connected to.
pub const CONTROL_CONNECTIONS: usize = 2;

/// Where a control instance stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlSite {
    /// Its listener for entries and other instances.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Box<str>,
}

/// A control instance that an entry may connect to.
#[derive(Debug, Clone, Copy)]
pub struct ControlCandidate<'a> {
    /// Its listener for entries.
    pub address: SocketAddr,
    /// Its failure domain, and how far off that is, if known.
    pub place: Option<(&'a str, PlaceStep)>,
    /// When it last could not be reached, was silent, or was out of contact with
    /// its group; none if that was long ago, or it was heard to be well since.
    pub last_failed_at: Option<Duration>,
}

impl ControlCandidate<'_> {
    fn domain(&self) -> Option<&str> {
        self.place.map(|(domain, _)| domain)
    }
}

/// Chooses the control instances that an entry connects to.
///
/// One that is not doubted goes first, then the one that was doubted longest ago:
/// one that says now that it has lost its group is worse than any that failed
/// before. Then a near one goes first; among equals each entry has an order of its
/// own, so that they spread. The others stand in failure domains of their own, if
/// there are enough.
pub fn choose_control_connections(
    own: &str,
    candidates: &[ControlCandidate<'_>],
) -> Vec<SocketAddr> {
    let mut left: Vec<&ControlCandidate<'_>> = candidates.iter().collect();
    let mut chosen: Vec<&ControlCandidate<'_>> = Vec::with_capacity(CONTROL_CONNECTIONS);
    while chosen.len() < CONTROL_CONNECTIONS {
        let best = (0..left.len()).min_by_key(|index| {
            let candidate = left[*index];
            let domain = candidate.domain();
            let is_used = chosen.iter().any(|other| other.domain() == domain);
            let place = candidate.place.map(|(_, place)| place);
            let order = rank(own, &candidate.address.to_string());
            (
                candidate.last_failed_at,
                is_used && domain.is_some(),
                place.unwrap_or(PlaceStep::Elsewhere),
                Reverse(order),
            )
        });
        let Some(best) = best else {
            break;
        };
        chosen.push(left.swap_remove(best));
    }
    chosen.iter().map(|candidate| candidate.address).collect()
}

/// A control instance as an entry knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlPeer {
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it stands in the entry's failure domain.
    pub is_near: bool,
    /// Whether it is in contact with others of the group.
    pub has_quorum: bool,
    /// Whether it has started a moment ago, and may not know yet what the
    /// others know.
    pub started_recently: bool,
    /// Time that a connection to it took to open.
    pub connect_time: Duration,
}

/// Chooses the source out of the instances that an entry is connected to.
///
/// A settled one goes first, then one that is not fresh (or is the source
/// already), then a near one, then the source, then the one with the shortest
/// way.
pub fn choose_source(peers: &[ControlPeer], current: Option<SocketAddr>) -> Option<SocketAddr> {
    let best = peers.iter().min_by_key(|peer| {
        let is_other = current != Some(peer.address);
        (
            !peer.has_quorum,
            peer.started_recently && is_other,
            !peer.is_near,
            is_other,
            peer.connect_time,
            peer.address,
        )
    });
    best.map(|peer| peer.address)
}
