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
use wheelmast_wire::group::{ControlMark, GroupMessage, GroupTell};

use crate::connection::frame::write_frame;
use crate::process::group::disk::DiskWrite;
use crate::process::group::followers::FollowerRegistry;
use crate::process::group::rollouts::PublishedRollouts;
use crate::process::group::traffic::{TrafficStats, TrafficTarget};
use crate::ring::RingSender;

/// Time that an entry which is no longer subscribed keeps its part of the
/// servers' limits: it may be cut off and at work.
const ENTRY_LEASE: Duration = Duration::from_secs(10);
/// Time without a message after which a control instance is not in contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

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
    pub fn to_message(&self) -> GroupMessage {
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
    pub fn to_message(&self) -> GroupMessage {
        GroupMessage::Evacuations {
            revision: self.revision,
            domains: self.domains.clone(),
        }
    }
}

/// News of a server that wait to be held by others.
#[derive(Debug)]
pub struct ReplicationWait {
    /// Others that still have to hold it.
    pub missing_acks: usize,
    /// Takes the word that they do.
    pub completed: oneshot::Sender<()>,
}

/// An entry that follows this instance.
#[derive(Debug)]
pub struct Subscriber {
    /// Who it is.
    pub peer: EntryPeer,
    /// Whether it takes no more requests of other entries.
    pub is_leaving: bool,
    /// Whether it hears everything here, not only what is urgent.
    pub is_full_subscriber: bool,
    /// Identities of the entries that it was told of.
    pub known_peers: HashSet<Box<str>>,
    /// Takes messages for it.
    pub sender: RingSender<Rc<EncodedFrame>>,
}

impl Subscriber {
    /// Gives it a frame and counts that. Returns whether it keeps up.
    pub fn queue_frame(&self, frame: Rc<EncodedFrame>, traffic: &mut TrafficStats) -> bool {
        traffic.add(TrafficTarget::Entry, frame.kind, frame.bytes.len());
        self.sender.offer(frame).is_ok()
    }

    /// Returns the message that brings it from what it was told to `roster`, if
    /// there is anything to tell.
    fn build_members_update(
        &mut self,
        roster: &EntryRoster,
        entries_changed: bool,
    ) -> Option<GroupMessage> {
        let mut joined = Vec::new();
        let mut ids = HashSet::new();
        for peer in select_known_peers(&self.peer, &roster.peers) {
            let id = peer.id();
            if !self.known_peers.contains(&id) {
                joined.push(peer.clone());
            }
            ids.insert(id);
        }
        let left: Vec<Box<str>> = self.known_peers.difference(&ids).cloned().collect();
        let has_changes = entries_changed || !joined.is_empty() || !left.is_empty();
        self.known_peers = ids;
        has_changes.then_some(GroupMessage::Members {
            entries: roster.entries,
            joined,
            left,
        })
    }
}

/// A message as it is written, the same for all that it goes to.
#[derive(Debug)]
pub struct EncodedFrame {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// A word for its kind.
    pub kind: &'static str,
    /// Whether it is a route table, which a newer one overtakes.
    pub is_route_table: bool,
}

impl EncodedFrame {
    /// Returns the frame of a message; none if it is too large.
    pub fn new(message: &GroupMessage) -> Option<Rc<EncodedFrame>> {
        let mut bytes = Vec::new();
        if let Err(error) = write_frame(message, &mut bytes) {
            tracing::error!(target: "group", "peer: message not sent, {error:#}");
            return None;
        }
        let is_route_table = matches!(message, GroupMessage::Routes { .. });
        let kind = message.kind();
        Some(Rc::new(EncodedFrame {
            bytes,
            kind,
            is_route_table,
        }))
    }
}

/// What entries are told of each other and of the group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryRoster {
    /// Entries that share the servers' limits.
    pub entries: u32,
    /// Entries that take requests.
    pub peers: Vec<EntryPeer>,
}

/// Where another control instance stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlLocation {
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it takes the calls of servers and operators.
    pub call_address: SocketAddr,
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
    pub synced_batch: u64,
    /// What waits for the disk, with the batch it waits for.
    pub outbox: VecDeque<(u64, Vec<ReplicaAction>)>,
    /// The route table in force.
    pub published_table: PublishedTable,
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
    pub unsent_renewals: HashMap<Box<str>, AnnouncementPosition>,
    /// Lines to other control instances.
    pub links: HashMap<SocketAddr, RingSender<GroupMessage>>,
    /// When another control instance was last heard.
    pub last_contacts: HashMap<SocketAddr, Duration>,
    /// Where the other control instances stand, by their addresses.
    pub locations: HashMap<SocketAddr, ControlLocation>,
    /// Addresses of replicas, from what they said themselves.
    pub replica_addresses: HashMap<ReplicaId, SocketAddr>,
    /// What was sent to others.
    pub traffic: TrafficStats,
    /// Entries that follow this instance.
    pub subscribers: HashMap<u64, Subscriber>,
    /// When each entry was last subscribed.
    pub entries_last_seen: HashMap<Box<str>, Duration>,
    /// Who the entries are.
    pub roster: EntryRoster,
    /// Which entries follow which control instance.
    pub followers: FollowerRegistry,
    /// What the entries were told last of the control instances.
    pub last_sent_control: Vec<ControlSite>,
    /// Questions that wait for their answer.
    pub pending_replies: HashMap<u64, oneshot::Sender<GroupTell>>,
    /// Answers that came to no question.
    pub unmatched_replies: u64,
    /// Servers that other instances said to hear and that were not known here.
    pub servers_missed: u64,
    /// Announcements that were refused.
    pub announcements_refused: u64,
    /// News that wait to be held by others.
    pub pending_replications: HashMap<u64, ReplicationWait>,
    /// The tokens of all capped workspaces, while this instance leads.
    pub cap_owner: CapOwner,
    /// The tokens that this instance holds.
    pub cap_stock: CapStock,
    /// Requests under which servers ended.
    pub suspects: SuspectRegistry,
    /// Those of them of which there is news to tell to other control instances.
    pub suspects_for_control: HashSet<RequestFingerprint>,
    /// The same, to tell to entries.
    pub suspects_for_entries: HashSet<RequestFingerprint>,
}

impl GroupState {
    /// Returns an order to the disk, of the batch given last and with nothing to
    /// keep yet.
    pub fn new_disk_write(&self) -> DiskWrite {
        DiskWrite {
            epoch: self.epoch,
            batch: self.batch,
            actions: Vec::new(),
            servers: None,
            suspects: None,
        }
    }

    /// Returns how far what is in force here has come.
    pub fn current_mark(&self) -> ControlMark {
        ControlMark {
            version: self.published_table.version,
            evacuations: self.evacuations.revision,
            rollouts: self.rollouts.revision,
        }
    }

    /// Tells whether what is in force here has come as far as `mark`.
    pub fn has_reached(&self, mark: ControlMark) -> bool {
        let current = self.current_mark();
        current.version >= mark.version
            && current.evacuations >= mark.evacuations
            && current.rollouts >= mark.rollouts
    }

    /// Takes note of who follows this instance. Returns what the others are to
    /// be told, if that changed.
    pub fn update_followers(&mut self) -> Option<GroupMessage> {
        let subscribers = self.subscribers.values();
        let followers =
            subscribers.map(|subscriber| (subscriber.peer.clone(), !subscriber.is_leaving));
        self.followers.set_local_followers(followers)
    }

    /// Returns all entries that follow this instance or one in contact, and
    /// whether they take requests.
    pub fn list_followers(&self, now: Duration) -> Vec<(EntryPeer, bool)> {
        self.followers
            .list_all(|address| self.is_in_contact(address, now))
    }

    /// Returns the number of entries that share the servers' limits, where these
    /// follow some instance.
    pub fn update_entry_count(&mut self, followers: &[(EntryPeer, bool)], now: Duration) -> u32 {
        for (peer, _) in followers {
            self.entries_last_seen.insert(peer.instance.clone(), now);
        }
        self.entries_last_seen
            .retain(|_, last_seen| now < *last_seen + ENTRY_LEASE);
        self.entries_last_seen.len() as u32
    }

    /// Returns how many other control instances were heard lately.
    pub fn count_contacts(&self, now: Duration) -> usize {
        let addresses = self.last_contacts.keys();
        addresses
            .filter(|address| self.is_in_contact(address, now))
            .count()
    }

    fn is_in_contact(&self, address: &SocketAddr, now: Duration) -> bool {
        let last_contact = self.last_contacts.get(address);
        last_contact.is_some_and(|last_contact| now < *last_contact + CONTACT_TIMEOUT)
    }

    /// Returns where another control instance of a failure domain takes calls,
    /// if one is in contact.
    pub fn find_call_address(&self, domain: &str, now: Duration) -> Option<SocketAddr> {
        let mut locations = self.locations.iter();
        let location = locations.find(|(address, location)| {
            *location.domain == *domain && self.is_in_contact(address, now)
        });
        location.map(|(_, location)| location.call_address)
    }

    /// Returns the address of a replica.
    pub fn replica_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        if let Some(address) = self.replica_addresses.get(&id) {
            return Some(*address);
        }
        let replica = self.replica.as_ref()?;
        let mut members = replica.member_records().iter();
        let member = members.find(|member| member.id == id);
        member.map(|member| member.address)
    }

    /// Tells all entries that follow this instance.
    pub fn send_to_entries(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |_| true);
    }

    /// Tells the entries that hear everything here.
    pub fn send_to_full_subscribers(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |subscriber| subscriber.is_full_subscriber);
    }

    /// Tells the entries that hear only what is urgent here.
    pub fn send_to_urgent_subscribers(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |subscriber| !subscriber.is_full_subscriber);
    }

    /// Tells some of the entries. One that does not keep up is let go, and
    /// asks for everything again.
    fn send_to_subscribers(
        &mut self,
        message: GroupMessage,
        is_recipient: impl Fn(&Subscriber) -> bool,
    ) {
        let Some(frame) = EncodedFrame::new(&message) else {
            return;
        };
        let traffic = &mut self.traffic;
        self.subscribers.retain(|_, subscriber| {
            !is_recipient(subscriber) || subscriber.queue_frame(frame.clone(), traffic)
        });
    }

    /// Takes over who the entries are, and tells those that hear everything
    /// here what has changed for them.
    pub fn apply_roster(&mut self, roster: EntryRoster) {
        if roster == self.roster {
            return;
        }
        let entries_changed = roster.entries != self.roster.entries;
        self.roster = roster;
        let roster = &self.roster;
        let traffic = &mut self.traffic;
        self.subscribers.retain(|_, subscriber| {
            if !subscriber.is_full_subscriber {
                return true;
            }
            let update = subscriber.build_members_update(roster, entries_changed);
            let frame = update.and_then(|update| EncodedFrame::new(&update));
            frame.is_none_or(|frame| subscriber.queue_frame(frame, traffic))
        });
    }

    /// Returns what an entry is told of the others when it asks for all.
    pub fn build_initial_members(&mut self, key: u64) -> Option<GroupMessage> {
        let subscriber = self.subscribers.get_mut(&key)?;
        subscriber.known_peers.clear();
        subscriber.build_members_update(&self.roster, true)
    }

    /// Returns the message that tells what is known of these requests.
    pub fn build_suspects_message(
        &self,
        fingerprints: &HashSet<RequestFingerprint>,
    ) -> GroupMessage {
        let records = fingerprints.iter();
        let records = records.filter_map(|mark| self.suspects.record(*mark));
        GroupMessage::Suspects(records.cloned().collect())
    }

    /// Tells all other control instances.
    pub fn send_to_control(&self, message: &GroupMessage) {
        for link in self.links.values() {
            // A full ring loses it, as the network may.
            let _ = link.offer(message.clone());
        }
    }
}
