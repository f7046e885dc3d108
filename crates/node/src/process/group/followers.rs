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
pub struct FollowerBook {
    /// Those of this instance, as the others were told, by identity.
    own: BTreeMap<Box<str>, FollowerRecord>,
    others: HashMap<SocketAddr, BTreeMap<Box<str>, FollowerRecord>>,
}

impl FollowerBook {
    /// Takes over who follows this instance. Returns what the others are to be
    /// told, if that changed.
    pub fn set_own(
        &mut self,
        followers: impl Iterator<Item = FollowerRecord>,
    ) -> Option<GroupMessage> {
        let followers: BTreeMap<_, _> = followers.map(|known| (known.0.id(), known)).collect();
        let news = followers.iter();
        let news = news.filter(|(id, record)| self.own.get(*id) != Some(*record));
        let joined: Vec<FollowerRecord> = news.map(|(_, record)| record.clone()).collect();
        let gone = self.own.keys();
        let gone = gone.filter(|id| !followers.contains_key(*id));
        let left: Vec<Box<str>> = gone.cloned().collect();
        let is_news = !joined.is_empty() || !left.is_empty();
        self.own = followers;
        is_news.then_some(GroupMessage::Followers {
            whole: false,
            joined,
            left,
        })
    }

    /// Returns all that follow this instance, for another one.
    pub fn whole(&self) -> GroupMessage {
        GroupMessage::Followers {
            whole: true,
            joined: self.own.values().cloned().collect(),
            left: Vec::new(),
        }
    }

    /// Takes what another instance says of its followers.
    pub fn take(
        &mut self,
        from: SocketAddr,
        whole: bool,
        joined: Vec<FollowerRecord>,
        left: &[Box<str>],
    ) {
        let known = self.others.entry(from).or_default();
        if whole {
            known.clear();
        }
        for id in left {
            known.remove(id);
        }
        known.extend(joined.into_iter().map(|record| (record.0.id(), record)));
    }

    /// Forgets the followers of an instance.
    pub fn forget(&mut self, address: &SocketAddr) {
        self.others.remove(address);
    }

    /// Returns a digest of the followers of this instance, by which the others
    /// notice that they have missed news.
    pub fn digest(&self) -> u64 {
        digest_of(&self.own)
    }

    /// Tells whether what is known of another instance's followers has this
    /// digest.
    pub fn is_current(&self, from: SocketAddr, digest: u64) -> bool {
        let known = self.others.get(&from);
        known.map_or(0, digest_of) == digest
    }

    /// Returns all entries that follow this instance or one in contact, in the
    /// order of their names; one takes requests only if nobody heard that it
    /// leaves.
    pub fn all(&self, in_contact: impl Fn(&SocketAddr) -> bool) -> Vec<FollowerRecord> {
        let mut all: BTreeMap<(&str, u64), FollowerRecord> = BTreeMap::new();
        let others = self.others.iter();
        let others = others.filter(|(address, _)| in_contact(address));
        let others = others.flat_map(|(_, followers)| followers.values());
        for (peer, takes) in self.own.values().chain(others) {
            let key = (&*peer.instance, peer.incarnation);
            let known = all.entry(key).or_insert_with(|| (peer.clone(), *takes));
            known.1 &= takes;
        }
        all.into_values().collect()
    }
}

/// Returns a digest that does not depend on an order.
fn digest_of(followers: &BTreeMap<Box<str>, FollowerRecord>) -> u64 {
    let digests = followers.iter().map(|(id, (_, takes))| {
        let digest = xxh3_64(id.as_bytes());
        if *takes {
            digest
        } else {
            !digest
        }
    });
    digests.fold(0, u64::wrapping_add)
}
