//! Registry of followers: the entries that are subscribed to each control instance.
//!
//! An entry subscribes to only a few control instances, but the number of entries and
//! the list of those that accept requests concern the whole group. Control instances
//! therefore exchange their follower lists.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_wire::group::GroupMessage;
use xxhash_rust::xxh3::xxh3_64;

/// An entry that is subscribed, and whether it accepts requests of other entries.
type FollowerRecord = (EntryPeer, bool);

/// The entries that are subscribed to this control instance and to its peers.
#[derive(Debug, Default)]
pub struct FollowerRegistry {
    /// Followers of this instance as last sent to the other control instances, by
    /// identity.
    local_followers: BTreeMap<Box<str>, FollowerRecord>,
    peer_followers: HashMap<SocketAddr, BTreeMap<Box<str>, FollowerRecord>>,
}

impl FollowerRegistry {
    /// Replaces the followers of this instance. Returns the message with the changes
    /// for the other control instances, or `None` if there are none.
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

    /// Returns a message with all followers of this instance, for another control
    /// instance.
    pub fn build_full_message(&self) -> GroupMessage {
        GroupMessage::Followers {
            whole: true,
            joined: self.local_followers.values().cloned().collect(),
            left: Vec::new(),
        }
    }

    /// Applies the follower list, or the changes of it, that another control instance
    /// sent.
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

    /// Removes the followers of a control instance that is gone.
    pub fn remove_peer(&mut self, address: &SocketAddr) {
        self.peer_followers.remove(address);
    }

    /// Returns a digest of the followers of this instance. Other control instances
    /// compare it with their copy and detect updates that they have missed.
    pub fn digest(&self) -> u64 {
        compute_digest(&self.local_followers)
    }

    /// Returns whether the local copy of another instance's followers has this digest.
    pub fn matches_digest(&self, from: SocketAddr, digest: u64) -> bool {
        let followers = self.peer_followers.get(&from);
        followers.map_or(0, compute_digest) == digest
    }

    /// Returns all entries that are subscribed to this instance or to a peer in
    /// contact, in the order of their names. An entry counts as accepting requests only
    /// if no control instance reports that it is leaving.
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

/// Returns a digest that does not depend on the order of the followers.
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
