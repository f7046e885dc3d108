//! Which other entries an entry is told of.
//!
//! It divides shards among all entries of its failure domain and asks some of
//! the others' for bundles. Were all told of all, the bytes at a start of many
//! would grow with the cube of their number.

use std::collections::BTreeMap;

use crate::process::forward::input::EntryPeer;
use crate::process::rendezvous::select_highest;

/// Entries of another failure domain that an entry is told of.
pub const FAR_PEERS: usize = 8;

/// Returns those of `all` that the entry `own` is told of: all of its domain,
/// and a few of each other one, spread so that each entry is told to as many.
pub fn view_of<'a>(own: &EntryPeer, all: &'a [EntryPeer]) -> Vec<&'a EntryPeer> {
    let mut domains: BTreeMap<&str, Vec<&EntryPeer>> = BTreeMap::new();
    for peer in all {
        domains.entry(&peer.domain).or_default().push(peer);
    }
    let key = own.id();
    let mut view = Vec::new();
    for (domain, peers) in domains {
        if *domain == *own.domain {
            view.extend(peers);
            continue;
        }
        let named = peers.into_iter().map(|peer| (peer.id(), peer));
        let some = select_highest(&key, FAR_PEERS, named, |(id, _)| id);
        view.extend(some.into_iter().map(|(_, peer)| peer));
    }
    view
}
