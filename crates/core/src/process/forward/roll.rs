//! Selects which other entries an entry is notified of, out of the list of all entries
//! (the roll).
//!
//! An entry divides shards among all entries of its own failure domain, and requests
//! bundles (several shards in one message) from a few entries of other domains. If
//! every entry were notified of all others, the bytes sent when many entries start
//! would grow with the cube of their number.

use std::collections::BTreeMap;

use crate::process::forward::input::EntryPeer;
use crate::process::rendezvous::select_highest;

/// Number of entries of each other failure domain that an entry is notified of.
pub const PEERS_PER_REMOTE_DOMAIN: usize = 8;

/// Returns the entries of `all` that the entry `local` is notified of: all entries of
/// its failure domain and a few of each other domain. Rendezvous hashing spreads the
/// choice, so that each entry is known to about the same number of others.
pub fn select_known_peers<'a>(local: &EntryPeer, all: &'a [EntryPeer]) -> Vec<&'a EntryPeer> {
    let mut domains: BTreeMap<&str, Vec<&EntryPeer>> = BTreeMap::new();
    for peer in all {
        domains.entry(&peer.domain).or_default().push(peer);
    }
    let key = local.id();
    let mut selected = Vec::new();
    for (domain, peers) in domains {
        if *domain == *local.domain {
            selected.extend(peers);
            continue;
        }
        let named = peers.into_iter().map(|peer| (peer.id(), peer));
        let some = select_highest(&key, PEERS_PER_REMOTE_DOMAIN, named, |(id, _)| id);
        selected.extend(some.into_iter().map(|(_, peer)| peer));
    }
    selected
}
