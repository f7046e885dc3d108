//! What a control instance holds in memory.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::cap::owner::CapOwner;
use wheelmast_core::process::cap::stock::CapStock;
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::replica::ReplicaMachine;
use wheelmast_core::process::forward::directory::{AnnouncementPosition, ServerDirectory};
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::roll::select_known_peers;
use wheelmast_core::process::forward::source::ControlSite;
use wheelmast_core::process::forward::suspect::registry::SuspectRegistry;
use wheelmast_core::request::mark::RequestFingerprint;
use wheelmast_wire::group::{ControlRevisions, GroupMessage, LeaderReply};

use crate::connection::frame::write_frame;
use crate::process::group::disk::DiskOrder;
use crate::process::group::followers::FollowerBook;
use crate::process::group::rollouts::PublishedRollouts;
use crate::process::group::traffic::{TrafficBook, TrafficTarget};
use crate::ring::RingSender;

/// Time that an entry which is no longer subscribed keeps its part of the
/// servers' limits: it may be cut off and at work.
const ENTRY_LEASE: Duration = Duration::from_secs(10);
/// Time without a message after which a control instance is not in contact.
const CONTACT_TIME: Duration = Duration::from_secs(2);

/// A route table in force.
#[derive(Debug, Clone, Default)]
pub struct PublishedTable {
    /// Its version; 0 for none.
    pub version: u64,
    /// As the operator sent it, packed.
    pub packed: Rc<Vec<u8>>,
}

impl PublishedTable {
    /// Returns the message that tells it.
    pub fn message(&self) -> GroupMessage {
        GroupMessage::Routes {
            version: self.version,
            packed: self.packed.to_vec(),
        }
    }
}

/// The failure domains out of use.
#[derive(Debug, Clone, Default)]
pub struct PublishedEvacuations {
    /// Revision of the last change; 0 before the first.
    pub revision: u64,
    /// All of them.
    pub domains: Vec<Box<str>>,
}

impl PublishedEvacuations {
    /// Returns the message that tells them.
    pub fn message(&self) -> GroupMessage {
        GroupMessage::Evacuations {
            revision: self.revision,
            domains: self.domains.clone(),
        }
    }
}

/// News of a server that wait to be held by others.
#[derive(Debug)]
pub struct KeepWait {
    /// Others that still have to hold it.
    pub missing: usize,
    /// Takes the word that they do.
    pub done: oneshot::Sender<()>,
}

/// An entry that follows this instance.
#[derive(Debug)]
pub struct Subscriber {
    /// Who it is.
    pub peer: EntryPeer,
    /// Whether it takes no more requests of other entries.
    pub leaving: bool,
    /// Whether it hears everything here, not only what is urgent.
    pub whole: bool,
    /// Identities of the entries that it was told of.
    pub told: HashSet<Box<str>>,
    /// Takes messages for it.
    pub sender: RingSender<Rc<OutFrame>>,
}

impl Subscriber {
    /// Gives it a frame and counts that. Returns whether it keeps up.
    pub fn offer(&self, frame: Rc<OutFrame>, traffic: &mut TrafficBook) -> bool {
        traffic.add(TrafficTarget::Entry, frame.kind, frame.bytes.len());
        self.sender.offer(frame).is_ok()
    }

    /// Returns the message that brings it from what it was told to `roll`, if
    /// there is anything to tell.
    fn catch_up(&mut self, roll: &GroupRoll, entries_changed: bool) -> Option<GroupMessage> {
        let mut joined = Vec::new();
        let mut ids = HashSet::new();
        for peer in select_known_peers(&self.peer, &roll.peers) {
            let id = peer.id();
            if !self.told.contains(&id) {
                joined.push(peer.clone());
            }
            ids.insert(id);
        }
        let left: Vec<Box<str>> = self.told.difference(&ids).cloned().collect();
        let is_news = entries_changed || !joined.is_empty() || !left.is_empty();
        self.told = ids;
        is_news.then_some(GroupMessage::Members {
            entries: roll.entries,
            joined,
            left,
        })
    }
}

/// A message as it is written, the same for all that it goes to.
#[derive(Debug)]
pub struct OutFrame {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// A word for its kind.
    pub kind: &'static str,
    /// Whether it is a route table, which a newer one overtakes.
    pub is_table: bool,
}

impl OutFrame {
    /// Returns the frame of a message; none if it is too large.
    pub fn new(message: &GroupMessage) -> Option<Rc<OutFrame>> {
        let mut bytes = Vec::new();
        if let Err(error) = write_frame(message, &mut bytes) {
            tracing::error!(target: "group", "peer: message not sent, {error:#}");
            return None;
        }
        let is_table = matches!(message, GroupMessage::Routes { .. });
        let kind = message.kind();
        Some(Rc::new(OutFrame {
            bytes,
            kind,
            is_table,
        }))
    }
}

/// What entries are told of each other and of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupRoll {
    /// Entries that share the servers' limits.
    pub entries: u32,
    /// Entries that take requests.
    pub peers: Vec<EntryPeer>,
}

/// Where another control instance stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlPlace {
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it takes the calls of servers and operators.
    pub calls: SocketAddr,
}

/// What a control instance holds.
#[derive(Debug, Default)]
pub struct GroupState {
    /// The replica; `None` while its disk fails.
    pub replica: Option<ReplicaMachine>,
    /// Which opening of the store is current.
    pub epoch: u64,
    /// Number of the last batch given to the disk.
    pub batch: u64,
    /// Number of the last batch that lasts.
    pub lasting: u64,
    /// What waits for the disk, with the batch it waits for.
    pub outbox: VecDeque<(u64, Vec<ReplicaAction>)>,
    /// The route table in force.
    pub published: PublishedTable,
    /// The failure domains out of use.
    pub evacuations: PublishedEvacuations,
    /// The last roll-outs of the services.
    pub rollouts: PublishedRollouts,
    /// Services that the route table in force names.
    pub services: HashSet<Box<str>>,
    /// Servers known.
    pub directory: ServerDirectory,
    /// Whether servers came or went since they were last kept.
    pub servers_changed: bool,
    /// Servers heard of here since the others were told.
    pub renewals: HashMap<Box<str>, AnnouncementPosition>,
    /// Lines to other control instances.
    pub links: HashMap<SocketAddr, RingSender<GroupMessage>>,
    /// When another control instance was last heard.
    pub contacts: HashMap<SocketAddr, Duration>,
    /// Where the other control instances stand, by their addresses.
    pub places: HashMap<SocketAddr, ControlPlace>,
    /// Addresses of replicas, from what they said themselves.
    pub addresses: HashMap<ReplicaId, SocketAddr>,
    /// What was sent to others.
    pub traffic: TrafficBook,
    /// Entries that follow this instance.
    pub subscribers: HashMap<u64, Subscriber>,
    /// When each entry was last subscribed.
    pub entries: HashMap<Box<str>, Duration>,
    /// Who the entries are.
    pub roll: GroupRoll,
    /// Which entries follow which control instance.
    pub followers: FollowerBook,
    /// What the entries were told last of the control instances.
    pub told_control: Vec<ControlSite>,
    /// Questions that wait for their answer.
    pub asks: HashMap<u64, oneshot::Sender<LeaderReply>>,
    /// Answers that came to no question.
    pub stray_answers: u64,
    /// Servers that other instances said to hear and that were not known here.
    pub servers_missed: u64,
    /// Announcements that were refused.
    pub announcements_refused: u64,
    /// News that wait to be held by others.
    pub keeps: HashMap<u64, KeepWait>,
    /// The tokens of all capped workspaces, while this instance leads.
    pub cap_owner: CapOwner,
    /// The tokens that this instance holds.
    pub cap_stock: CapStock,
    /// Requests under which servers ended.
    pub suspects: SuspectRegistry,
    /// Those of them of which there is news to tell to other control instances.
    pub suspect_news: HashSet<RequestFingerprint>,
    /// The same, to tell to entries.
    pub suspect_heard: HashSet<RequestFingerprint>,
}

impl GroupState {
    /// Returns an order to the disk, of the batch given last and with nothing to
    /// keep yet.
    pub fn disk_order(&self) -> DiskOrder {
        DiskOrder {
            epoch: self.epoch,
            batch: self.batch,
            actions: Vec::new(),
            servers: None,
            suspects: None,
        }
    }

    /// Returns how far what is in force here has come.
    pub fn mark(&self) -> ControlRevisions {
        ControlRevisions {
            version: self.published.version,
            evacuations: self.evacuations.revision,
            rollouts: self.rollouts.revision,
        }
    }

    /// Tells whether what is in force here has come as far as `mark`.
    pub fn has_reached(&self, mark: ControlRevisions) -> bool {
        let here = self.mark();
        here.version >= mark.version
            && here.evacuations >= mark.evacuations
            && here.rollouts >= mark.rollouts
    }

    /// Takes note of who follows this instance. Returns what the others are to
    /// be told, if that changed.
    pub fn note_followers(&mut self) -> Option<GroupMessage> {
        let subscribers = self.subscribers.values();
        let followers =
            subscribers.map(|subscriber| (subscriber.peer.clone(), !subscriber.leaving));
        self.followers.set_own(followers)
    }

    /// Returns all entries that follow this instance or one in contact, and
    /// whether they take requests.
    pub fn all_followers(&self, now: Duration) -> Vec<(EntryPeer, bool)> {
        self.followers.all(|address| self.in_contact(address, now))
    }

    /// Returns the number of entries that share the servers' limits, where these
    /// follow some instance.
    pub fn count_entries(&mut self, all: &[(EntryPeer, bool)], now: Duration) -> u32 {
        for (peer, _) in all {
            self.entries.insert(peer.instance.clone(), now);
        }
        self.entries.retain(|_, seen| now < *seen + ENTRY_LEASE);
        self.entries.len() as u32
    }

    /// Returns how many other control instances were heard lately.
    pub fn count_contacts(&self, now: Duration) -> usize {
        let contacts = self.contacts.keys();
        contacts
            .filter(|address| self.in_contact(address, now))
            .count()
    }

    fn in_contact(&self, address: &SocketAddr, now: Duration) -> bool {
        let heard = self.contacts.get(address);
        heard.is_some_and(|heard| now < *heard + CONTACT_TIME)
    }

    /// Returns where another control instance of a failure domain takes calls,
    /// if one is in contact.
    pub fn calls_in(&self, domain: &str, now: Duration) -> Option<SocketAddr> {
        let mut places = self.places.iter();
        let found = places
            .find(|(address, place)| *place.domain == *domain && self.in_contact(address, now));
        found.map(|(_, place)| place.calls)
    }

    /// Returns the address of a replica.
    pub fn address_of(&self, id: ReplicaId) -> Option<SocketAddr> {
        if let Some(address) = self.addresses.get(&id) {
            return Some(*address);
        }
        let replica = self.replica.as_ref()?;
        let mut members = replica.member_records().iter();
        let found = members.find(|member| member.id == id);
        found.map(|member| member.address)
    }

    /// Tells all entries that follow this instance.
    pub fn tell_entries(&mut self, message: GroupMessage) {
        self.tell(message, |_| true);
    }

    /// Tells the entries that hear everything here.
    pub fn tell_whole(&mut self, message: GroupMessage) {
        self.tell(message, |subscriber| subscriber.whole);
    }

    /// Tells the entries that hear only what is urgent here.
    pub fn tell_urgent(&mut self, message: GroupMessage) {
        self.tell(message, |subscriber| !subscriber.whole);
    }

    /// Tells some of the entries. One that does not keep up is let go, and
    /// asks for everything again.
    fn tell(&mut self, message: GroupMessage, wants: impl Fn(&Subscriber) -> bool) {
        let Some(frame) = OutFrame::new(&message) else {
            return;
        };
        let traffic = &mut self.traffic;
        self.subscribers
            .retain(|_, subscriber| !wants(subscriber) || subscriber.offer(frame.clone(), traffic));
    }

    /// Takes over who the entries are, and tells those that hear everything
    /// here what has changed for them.
    pub fn take_roll(&mut self, roll: GroupRoll) {
        if roll == self.roll {
            return;
        }
        let entries_changed = roll.entries != self.roll.entries;
        self.roll = roll;
        let roll = &self.roll;
        let traffic = &mut self.traffic;
        self.subscribers.retain(|_, subscriber| {
            if !subscriber.whole {
                return true;
            }
            let news = subscriber.catch_up(roll, entries_changed);
            let frame = news.and_then(|news| OutFrame::new(&news));
            frame.is_none_or(|frame| subscriber.offer(frame, traffic))
        });
    }

    /// Returns what an entry is told of the others when it asks for all.
    pub fn first_members(&mut self, key: u64) -> Option<GroupMessage> {
        let subscriber = self.subscribers.get_mut(&key)?;
        subscriber.told.clear();
        subscriber.catch_up(&self.roll, true)
    }

    /// Returns the message that tells what is known of these requests.
    pub fn suspects_message(&self, marks: &HashSet<RequestFingerprint>) -> GroupMessage {
        let records = marks.iter();
        let records = records.filter_map(|mark| self.suspects.record(*mark));
        GroupMessage::Suspects(records.cloned().collect())
    }

    /// Tells all other control instances.
    pub fn tell_control(&self, message: &GroupMessage) {
        for link in self.links.values() {
            // A full ring loses it, as the network may.
            let _ = link.offer(message.clone());
        }
    }
}
