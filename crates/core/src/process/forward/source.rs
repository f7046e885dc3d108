//! Selection of the control instances that an entry connects to, and of its source.
//!
//! An entry connects to a few control instances in different failure domains, and
//! replaces one that becomes unresponsive or loses its quorum. Each of them sends
//! small, urgent updates. Large state (route tables, all servers, all entries) comes
//! from only one of them, the source. If every entry were connected to every control
//! instance, traffic would grow with the product of both numbers, most of it between
//! regions.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::forward::place::DomainProximity;
use crate::process::rendezvous::rank;

/// Number of control instances that an entry connects to.
pub const CONTROL_CONNECTIONS: usize = 2;

/// Address and failure domain of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlSite {
    /// Address on which the instance listens for entries and other instances.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: Box<str>,
}

/// A control instance that an entry may connect to.
#[derive(Debug, Clone, Copy)]
pub struct ControlCandidate<'a> {
    /// Address on which the instance listens for entries.
    pub address: SocketAddr,
    /// Failure domain of the instance and its proximity to the entry, if known.
    pub place: Option<(&'a str, DomainProximity)>,
    /// When the instance last failed: it could not be reached, was unresponsive or had no
    /// quorum. `None` if the failure was long ago or the instance reported a quorum
    /// since.
    pub last_failed_at: Option<Duration>,
}

impl ControlCandidate<'_> {
    /// Returns the failure domain of the instance, if known.
    fn domain(&self) -> Option<&str> {
        self.place.map(|(domain, _)| domain)
    }
}

/// Chooses the control instances that the entry `local_id` connects to, at most
/// `CONTROL_CONNECTIONS`.
///
/// Prefers instances that have not failed, then the one that failed longest ago: an
/// instance that has just reported the loss of its quorum is a worse choice than one
/// that failed earlier. Next, prefers instances in a failure domain that no chosen
/// instance is in, then near ones. Ties are broken by rendezvous hashing of the
/// entry's id, so that the entries spread over the instances.
pub fn choose_control_connections(
    local_id: &str,
    candidates: &[ControlCandidate<'_>],
) -> Vec<SocketAddr> {
    let mut remaining: Vec<&ControlCandidate<'_>> = candidates.iter().collect();
    let mut chosen: Vec<&ControlCandidate<'_>> = Vec::with_capacity(CONTROL_CONNECTIONS);
    while chosen.len() < CONTROL_CONNECTIONS {
        let best = (0..remaining.len()).min_by_key(|index| {
            let candidate = remaining[*index];
            let domain = candidate.domain();
            let is_domain_used = chosen.iter().any(|other| other.domain() == domain);
            let place = candidate.place.map(|(_, place)| place);
            let order = rank(local_id, &candidate.address.to_string());
            (
                candidate.last_failed_at,
                is_domain_used && domain.is_some(),
                place.unwrap_or(DomainProximity::Elsewhere),
                Reverse(order),
            )
        });
        let Some(best) = best else {
            break;
        };
        chosen.push(remaining.swap_remove(best));
    }
    chosen.iter().map(|candidate| candidate.address).collect()
}

/// A control instance that an entry is connected to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlPeer {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Whether the instance is in the entry's failure domain.
    pub is_near: bool,
    /// Whether the instance is connected to a quorum of the control group with a leader.
    pub has_quorum: bool,
    /// Whether the instance has just started, so that it may still lack state that the
    /// other instances have.
    pub started_recently: bool,
    /// Time that it took to establish the connection.
    pub connect_time: Duration,
}

/// Chooses the source among the instances that an entry is connected to.
///
/// Prefers, in this order: an instance with a quorum, one that has not just started
/// (unless it is the current source), one in the entry's failure domain, the current
/// source, the one with the shortest connect time.
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
