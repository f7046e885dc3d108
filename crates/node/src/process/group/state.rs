//! The in-memory state of a control instance, and the sending of messages to subscribed
//! entries and other control instances.

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
use wheelmast_core::process::load::board::LoadBoard;
use wheelmast_core::request::mark::RequestFingerprint;
use wheelmast_core::version::workspace::WorkspaceRegistry;
use wheelmast_wire::group::{ControlRevisions, GroupMessage, LeaderReply};

use crate::connection::frame::write_frame;
use crate::process::group::disk::DiskWrite;
use crate::process::group::followers::FollowerRegistry;
use crate::process::group::rollouts::PublishedRollouts;
use crate::process::group::traffic::{TrafficStats, TrafficTarget};
use crate::ring::RingSender;

/// Time for which an entry that is no longer subscribed still counts as a user of the
/// servers' limits, since it may be cut off from the control group but still running.
const ENTRY_LEASE: Duration = Duration::from_secs(10);
/// Time without a message after which another control instance counts as out of
/// contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(2);

/// The route table in force.
#[derive(Debug, Clone, Default)]
pub struct PublishedTable {
    /// Version of the table; 0 if there is none.
    pub version: u64,
    /// The text that the operator sent, compressed.
    pub packed: Rc<Vec<u8>>,
}

impl PublishedTable {
    /// Returns the message that sends the table to an entry.
    pub fn to_message(&self) -> GroupMessage {
        GroupMessage::Routes {
            version: self.version,
            packed: self.packed.to_vec(),
        }
    }
}

/// The evacuated failure domains (taken out of use by an operator).
#[derive(Debug, Clone, Default)]
pub struct PublishedEvacuations {
    /// Revision of the last change; 0 before the first.
    pub revision: u64,
    /// All evacuated failure domains.
    pub domains: Vec<Box<str>>,
}

impl PublishedEvacuations {
    /// Returns the message that sends the evacuated domains to an entry.
    pub fn to_message(&self) -> GroupMessage {
        GroupMessage::Evacuations {
            revision: self.revision,
            domains: self.domains.clone(),
        }
    }
}

/// A server's departure that other control instances must store before it is
/// acknowledged.
#[derive(Debug)]
pub struct ReplicationWait {
    /// Acknowledgements of other instances that are still missing.
    pub missing_acks: usize,
    /// Notified when no acknowledgement is missing any more.
    pub completed: oneshot::Sender<()>,
}

/// An entry that is subscribed to this control instance.
#[derive(Debug)]
pub struct Subscriber {
    /// Identity and address of the entry.
    pub peer: EntryPeer,
    /// Whether the entry accepts no more requests of other entries.
    pub is_leaving: bool,
    /// Whether the entry receives the full state and all changes, not only urgent
    /// messages (leaving servers, control instances, versions of the route table).
    pub is_full_subscriber: bool,
    /// Identities of the other entries that this entry knows from earlier messages.
    pub known_peers: HashSet<Box<str>>,
    /// Queues frames for the entry's connection.
    pub sender: RingSender<Rc<EncodedFrame>>,
}

impl Subscriber {
    /// Queues a frame for the entry and counts it as sent. Returns `false` if the queue
    /// is full.
    pub fn queue_frame(&self, frame: Rc<EncodedFrame>, traffic: &mut TrafficStats) -> bool {
        traffic.add(TrafficTarget::Entry, frame.kind, frame.bytes.len());
        self.sender.offer(frame).is_ok()
    }

    /// Returns the message that updates the entry from the peers it knows to `roster`,
    /// or `None` if nothing changed.
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

/// An encoded message, shared by all its recipients.
#[derive(Debug)]
pub struct EncodedFrame {
    /// The encoded bytes, with the length prefix of the frame.
    pub bytes: Vec<u8>,
    /// Label of the message's kind, for metrics.
    pub kind: &'static str,
    /// Whether the message is a route table, which a newer one supersedes.
    pub is_route_table: bool,
}

impl EncodedFrame {
    /// Encodes a message. Returns `None` if it exceeds the largest frame.
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

/// The entries as other entries see them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EntryRoster {
    /// Number of entries that share the servers' limits.
    pub entries: u32,
    /// Entries that accept requests of other entries.
    pub peers: Vec<EntryPeer>,
}

/// Failure domain and address of another control instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ControlLocation {
    /// Failure domain of the instance.
    pub domain: Box<str>,
    /// Address for the HTTP calls of servers and operators.
    pub call_address: SocketAddr,
}

/// The state of a control instance.
#[derive(Debug, Default)]
pub struct GroupState {
    /// The replica state machine; `None` while its disk fails.
    pub replica: Option<ReplicaMachine>,
    /// Counts how often the store was reopened after a failure; writes of earlier
    /// epochs are dropped.
    pub epoch: u64,
    /// Number of the last batch sent to the disk thread.
    pub batch: u64,
    /// Number of the last batch that is synced to disk.
    pub synced_batch: u64,
    /// Replica actions that wait for the disk, with the batch that must be synced
    /// first.
    pub outbox: VecDeque<(u64, Vec<ReplicaAction>)>,
    /// The route table in force.
    pub published_table: PublishedTable,
    /// The evacuated failure domains in force.
    pub evacuations: PublishedEvacuations,
    /// The last roll-out of each service.
    pub rollouts: PublishedRollouts,
    /// Services in the route table in force.
    pub services: HashSet<Box<str>>,
    /// Workspaces in the route table in force.
    pub workspaces: WorkspaceRegistry,
    /// All known servers.
    pub directory: ServerDirectory,
    /// Whether servers came or went since they were last written to disk.
    pub servers_changed: bool,
    /// Number of departures of servers that were recorded since the start.
    pub departures_recorded: u64,
    /// Number of these departures that are synced to disk.
    pub departures_synced: u64,
    /// Servers that this instance has started to observe since it last sent such a list
    /// to the other control instances.
    pub unsent_renewals: HashMap<Box<str>, AnnouncementPosition>,
    /// Queues of the outbound links to other control instances, by address.
    pub links: HashMap<SocketAddr, RingSender<GroupMessage>>,
    /// When a message of each other control instance last arrived.
    pub last_contacts: HashMap<SocketAddr, Duration>,
    /// Failure domains and call addresses of the other control instances, by peer
    /// address.
    pub locations: HashMap<SocketAddr, ControlLocation>,
    /// Addresses of replicas, from their hello messages.
    pub replica_addresses: HashMap<ReplicaId, SocketAddr>,
    /// Counts of sent messages.
    pub traffic: TrafficStats,
    /// Entries that are subscribed to this instance, by connection.
    pub subscribers: HashMap<u64, Subscriber>,
    /// When each entry was last known to be subscribed to any control instance.
    pub entries_last_seen: HashMap<Box<str>, Duration>,
    /// The entries as other entries see them.
    pub roster: EntryRoster,
    /// The entries that are subscribed to each control instance.
    pub followers: FollowerRegistry,
    /// The list of control instances that entries were last sent.
    pub last_sent_control: Vec<ControlSite>,
    /// Requests to the leader, and proposals and reads of the local replica, that wait
    /// for a reply, by tag.
    pub pending_replies: HashMap<u64, oneshot::Sender<LeaderReply>>,
    /// Number of replies that matched no waiting request.
    pub unmatched_replies: u64,
    /// Number of servers that other control instances observed and that were unknown
    /// here.
    pub servers_missed: u64,
    /// Number of refused announcements.
    pub announcements_refused: u64,
    /// Departures of servers that wait for acknowledgements of other instances, by tag.
    pub pending_replications: HashMap<u64, ReplicationWait>,
    /// The tokens of all capped workspaces; used while this instance is the leader.
    pub cap_owner: CapOwner,
    /// The tokens that this instance holds for the entries it serves.
    pub cap_stock: CapStock,
    /// Load reports of the entries and of the other control instances.
    pub load_board: LoadBoard,
    /// Records of suspect requests (requests under which servers crashed).
    pub suspects: SuspectRegistry,
    /// Fingerprints of the suspect requests whose records must be sent to other control
    /// instances.
    pub suspects_for_control: HashSet<RequestFingerprint>,
    /// Fingerprints of the suspect requests whose records must be sent to entries.
    pub suspects_for_entries: HashSet<RequestFingerprint>,
}

impl GroupState {
    /// Returns an empty write for the disk thread, with the current epoch and batch
    /// number.
    pub fn new_disk_write(&self) -> DiskWrite {
        DiskWrite {
            epoch: self.epoch,
            batch: self.batch,
            actions: Vec::new(),
            servers: None,
            suspects: None,
            departures: None,
        }
    }

    /// Returns the version of the route table and the revisions of evacuations and
    /// roll-outs that are in force here.
    pub fn current_mark(&self) -> ControlRevisions {
        ControlRevisions {
            version: self.published_table.version,
            evacuations: self.evacuations.revision,
            rollouts: self.rollouts.revision,
        }
    }

    /// Returns whether the state in force here is at least as new as `mark`.
    pub fn has_reached(&self, mark: ControlRevisions) -> bool {
        let current = self.current_mark();
        current.version >= mark.version
            && current.evacuations >= mark.evacuations
            && current.rollouts >= mark.rollouts
    }

    /// Updates the followers of this instance from its subscribers. Returns the message
    /// with the changes for other control instances, or `None` if there are none.
    pub fn update_followers(&mut self) -> Option<GroupMessage> {
        let subscribers = self.subscribers.values();
        let followers =
            subscribers.map(|subscriber| (subscriber.peer.clone(), !subscriber.is_leaving));
        self.followers.set_local_followers(followers)
    }

    /// Returns all entries that are subscribed to this instance or to one in contact,
    /// each with whether it accepts requests.
    pub fn list_followers(&self, now: Duration) -> Vec<(EntryPeer, bool)> {
        self.followers
            .list_all(|address| self.is_in_contact(address, now))
    }

    /// Records that these followers are subscribed now. Returns the number of entries
    /// that share the servers' limits, including those whose subscription ended
    /// recently.
    pub fn update_entry_count(&mut self, followers: &[(EntryPeer, bool)], now: Duration) -> u32 {
        for (peer, _) in followers {
            self.entries_last_seen.insert(peer.instance.clone(), now);
        }
        self.entries_last_seen
            .retain(|_, last_seen| now < *last_seen + ENTRY_LEASE);
        self.entries_last_seen.len() as u32
    }

    /// Returns the number of other control instances in contact.
    pub fn count_contacts(&self, now: Duration) -> usize {
        let addresses = self.last_contacts.keys();
        addresses
            .filter(|address| self.is_in_contact(address, now))
            .count()
    }

    /// Returns whether a message of the control instance at this address arrived within
    /// the contact time-out.
    fn is_in_contact(&self, address: &SocketAddr, now: Duration) -> bool {
        let last_contact = self.last_contacts.get(address);
        last_contact.is_some_and(|last_contact| now < *last_contact + CONTACT_TIMEOUT)
    }

    /// Returns the call address of another control instance in a failure domain, if one
    /// is in contact.
    pub fn find_call_address(&self, domain: &str, now: Duration) -> Option<SocketAddr> {
        let mut locations = self.locations.iter();
        let location = locations.find(|(address, location)| {
            *location.domain == *domain && self.is_in_contact(address, now)
        });
        location.map(|(_, location)| location.call_address)
    }

    /// Returns the peer address of a replica.
    pub fn replica_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        if let Some(address) = self.replica_addresses.get(&id) {
            return Some(*address);
        }
        let replica = self.replica.as_ref()?;
        let mut members = replica.member_records().iter();
        let member = members.find(|member| member.id == id);
        member.map(|member| member.address)
    }

    /// Sends a message to all subscribed entries.
    pub fn send_to_entries(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |_| true);
    }

    /// Sends a message to the entries that receive the full state and all changes.
    pub fn send_to_full_subscribers(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |subscriber| subscriber.is_full_subscriber);
    }

    /// Sends a message to the entries that receive only urgent messages.
    pub fn send_to_urgent_subscribers(&mut self, message: GroupMessage) {
        self.send_to_subscribers(message, |subscriber| !subscriber.is_full_subscriber);
    }

    /// Sends a message to the subscribers that `is_recipient` selects. Drops the
    /// subscription of an entry whose queue is full; that entry subscribes again and
    /// requests the full state.
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

    /// Replaces the roster of entries, and sends each full subscriber the changes that
    /// concern it.
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

    /// Returns the message with the other entries for a subscriber that requests the
    /// full state.
    pub fn build_initial_members(&mut self, key: u64) -> Option<GroupMessage> {
        let subscriber = self.subscribers.get_mut(&key)?;
        subscriber.known_peers.clear();
        subscriber.build_members_update(&self.roster, true)
    }

    /// Returns the message with the records of these suspect requests.
    pub fn build_suspects_message(
        &self,
        fingerprints: &HashSet<RequestFingerprint>,
    ) -> GroupMessage {
        let records = fingerprints.iter();
        let records = records.filter_map(|fingerprint| self.suspects.record(*fingerprint));
        GroupMessage::Suspects(records.cloned().collect())
    }

    /// Sends a message to all other control instances.
    pub fn send_to_control(&self, message: &GroupMessage) {
        for link in self.links.values() {
            // If the link's ring is full, the message is lost, as it might be on the
            // network.
            let _ = link.offer(message.clone());
        }
    }
}
