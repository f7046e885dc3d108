//! Which entries follow which control instance.
//!
//! An entry follows a few control instances. What all entries share is worked
//! out from all of them, so that control instances tell each other who follows
//! them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_wire::group::GroupMessage;
use xxhash_rust::xxh3::xxh3_64;

/// An entry that follows, and whether it takes requests.
type FollowerRecord = (EntryPeer, bool);

/// The entries that follow this instance and the others.
#[derive(Debug, Default)]
pub struct FollowerRegistry {
    /// Those of this instance, as the others were told, by identity.
    local_followers: BTreeMap<Box<str>, FollowerRecord>,
    peer_followers: HashMap<SocketAddr, BTreeMap<Box<str>, FollowerRecord>>,
}

impl FollowerRegistry {
    /// Takes over who follows this instance. Returns what the others are to be
    /// told, if that changed.
    pub fn set_local_followers(
        &mut self,
        followers: impl Iterator<Item = FollowerRecord>,
    ) -> Option<GroupMessage> {
        let followers: BTreeMap<_, _> = followers.map(|record| (record.0.id(), record)).collect();
        let changed = followers.iter();
        let changed = changed.filter(|(id, record)| self.local_followers.get(*id) != Some(*record));
        let joined: Vec<FollowerRecord> = changed.map(|(_, record)| record.clone()).collect();
        let removed = self.local_followers.keys();
        let removed = removed.filter(|id| !followers.contains_key(*id));
        let left: Vec<Box<str>> = removed.cloned().collect();
        let has_changes = !joined.is_empty() || !left.is_empty();
        self.local_followers = followers;
        has_changes.then_some(GroupMessage::Followers {
            whole: false,
            joined,
            left,
        })
    }

    /// Returns all that follow this instance, for another one.
    pub fn build_full_message(&self) -> GroupMessage {
        GroupMessage::Followers {
            whole: true,
            joined: self.local_followers.values().cloned().collect(),
            left: Vec::new(),
        }
    }

    /// Takes what another instance says of its followers.
    pub fn apply_update(
        &mut self,
        from: SocketAddr,
        whole: bool,
        joined: Vec<FollowerRecord>,
        left: &[Box<str>],
    ) {
        let followers = self.peer_followers.entry(from).or_default();
        if whole {
            followers.clear();
        }
        for id in left {
            followers.remove(id);
        }
        followers.extend(joined.into_iter().map(|record| (record.0.id(), record)));
    }

    /// Forgets the followers of an instance.
    pub fn remove_peer(&mut self, address: &SocketAddr) {
        self.peer_followers.remove(address);
    }

    /// Returns a digest of the followers of this instance, by which the others
    /// notice that they have missed news.
    pub fn digest(&self) -> u64 {
        compute_digest(&self.local_followers)
    }

    /// Tells whether what is known of another instance's followers has this
    /// digest.
    pub fn matches_digest(&self, from: SocketAddr, digest: u64) -> bool {
        let followers = self.peer_followers.get(&from);
        followers.map_or(0, compute_digest) == digest
    }

    /// Returns all entries that follow this instance or one in contact, in the
    /// order of their names; one takes requests only if nobody heard that it
    /// leaves.
    pub fn list_all(&self, is_in_contact: impl Fn(&SocketAddr) -> bool) -> Vec<FollowerRecord> {
        let mut followers_by_key: BTreeMap<(&str, u64), FollowerRecord> = BTreeMap::new();
        let peer_followers = self.peer_followers.iter();
        let peer_followers = peer_followers.filter(|(address, _)| is_in_contact(address));
        let peer_followers = peer_followers.flat_map(|(_, followers)| followers.values());
        for (peer, takes_requests) in self.local_followers.values().chain(peer_followers) {
            let key = (&*peer.instance, peer.incarnation);
            let record = followers_by_key
                .entry(key)
                .or_insert_with(|| (peer.clone(), *takes_requests));
            record.1 &= takes_requests;
        }
        followers_by_key.into_values().collect()
    }
}

/// Returns a digest that does not depend on an order.
fn compute_digest(followers: &BTreeMap<Box<str>, FollowerRecord>) -> u64 {
    let digests = followers.iter().map(|(id, (_, takes_requests))| {
        let digest = xxh3_64(id.as_bytes());
        if *takes_requests {
            digest
        } else {
            !digest
        }
    });
    digests.fold(0, u64::wrapping_add)
}
