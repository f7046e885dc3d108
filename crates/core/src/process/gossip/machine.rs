//! The gossip protocol of one instance, as a pure state machine.
//!
//! The machine takes inputs with the current time and returns actions. It opens
//! no sockets and reads no clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;

use crate::process::gossip::member::{MemberLifecycle, MemberRecord, MemberState};
use crate::process::gossip::message::{GossipMessage, GossipPurpose, ServerUpdate};
use crate::process::news::UpstreamAnnouncement;

/// Interval between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two rounds of dissemination while updates are queued.
pub const DISSEMINATION_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two digests sent for anti-entropy.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two checks of the servers' leases.
pub const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of updates of each kind (members, servers) in one message.
pub const MAX_UPDATES_PER_MESSAGE: usize = 12;
/// Number of random members that receive the updates of a dissemination round.
pub const FANOUT: usize = 3;
/// Time for which the state of a dead or departed member is retained, so that a
/// delayed older update does not make it reappear.
pub const DEPARTED_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of members that are retained.
pub const MAX_MEMBERS: usize = 2048;

/// Input of a [`GossipMachine`].
#[derive(Debug, Clone)]
pub enum GossipInput {
    /// A timer may be due, see [`GossipMachine::next_wake`].
    Wake,
    /// Another member sent this message.
    Message(GossipMessage),
    /// An upstream server announced itself to this instance.
    Announced(UpstreamAnnouncement),
    /// This instance leaves the group.
    Leave,
}

/// Action that a [`GossipMachine`] requests from its driver.
#[derive(Debug, Clone)]
pub enum GossipAction {
    /// Send a message; the protocol tolerates its loss.
    Send {
        /// Address of the receiver's listener for peers.
        to: SocketAddr,
        /// The message.
        message: GossipMessage,
    },
    /// Pass a server's newer announcement to the entry.
    ServerAnnounced(UpstreamAnnouncement),
    /// Tell the entry that the lease of the named server expired at one of its
    /// lease trackers, so that the server gets no new work.
    Expired(String),
    /// Renew the leases of these servers at the entry. Their lease trackers, not
    /// this instance, receive the renewals, and none of them reported an expiry.
    Vouch(Vec<String>),
    /// Report that the state of a member changed.
    MemberChanged(MemberState),
}

/// A queued update and the number of times it is still to be sent.
#[derive(Debug, Clone)]
pub(super) struct QueuedUpdate<T> {
    pub(super) update: T,
    pub(super) remaining_sends: u32,
}

/// The latest state of an upstream server that this instance knows.
#[derive(Debug, Clone)]
pub(super) struct KnownServer {
    pub(super) update: ServerUpdate,
    /// Version of the last change that all members are to know. Digests are
    /// computed from it, because plain renewals reach only the lease trackers.
    pub(super) disseminated_version: (u64, u64, bool),
    /// When the lease was last renewed here. It counts only if this instance is
    /// a lease tracker of the server.
    pub(super) renewed_at: Duration,
    /// Whether this instance is a lease tracker of the server, as of
    /// `tracked_at_version`.
    pub(super) is_lease_tracker: bool,
    /// Membership version for which `is_lease_tracker` was computed.
    pub(super) tracked_at_version: u64,
}

/// The gossip protocol state of one instance.
#[derive(Debug)]
pub struct GossipMachine {
    pub(super) local_member: MemberState,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) rng: SmallRng,
    pub(super) members: BTreeMap<String, MemberRecord>,
    pub(super) servers: BTreeMap<String, KnownServer>,
    pub(super) member_queue: Vec<QueuedUpdate<MemberState>>,
    pub(super) server_queue: Vec<QueuedUpdate<ServerUpdate>>,
    /// Names of the members that are still to be probed in this round.
    pub(super) probe_round: Vec<String>,
    pub(super) pending_probe: Option<super::probe::PendingProbe>,
    pub(super) last_probe_number: u64,
    /// Number of changes to the set of active members so far.
    pub(super) membership_version: u64,
    /// Probes made on behalf of other members.
    pub(super) indirect_probes: Vec<super::probe::IndirectProbe>,
    next_probe_at: Duration,
    next_dissemination_at: Duration,
    next_digest_at: Duration,
    next_lease_check_at: Duration,
}

impl GossipMachine {
    /// Creates the machine of `local_member`, which initially knows only the
    /// addresses of some members (`seeds`). `seed` initializes its random number
    /// generator.
    pub fn new(
        local_member: MemberState,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: Duration,
    ) -> Self {
        GossipMachine {
            local_member,
            seeds,
            rng: SmallRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            servers: BTreeMap::new(),
            member_queue: Vec::new(),
            server_queue: Vec::new(),
            probe_round: Vec::new(),
            pending_probe: None,
            last_probe_number: 0,
            membership_version: 1,
            indirect_probes: Vec::new(),
            next_probe_at: now,
            next_dissemination_at: now,
            next_digest_at: now,
            next_lease_check_at: now,
        }
    }

    /// Handles one input at time `now`, runs the timers that are due and appends
    /// the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: GossipInput, out: &mut Vec<GossipAction>) {
        match input {
            GossipInput::Wake => {}
            GossipInput::Message(message) => self.handle_message(message, now, out),
            GossipInput::Announced(announcement) => {
                self.handle_announcement(announcement, now, out)
            }
            GossipInput::Leave => self.leave(out),
        }
        self.run_timers(now, out);
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self
            .next_probe_at
            .min(self.next_digest_at)
            .min(self.next_lease_check_at);
        if self.has_updates() {
            wake = wake.min(self.next_dissemination_at);
        }
        wake
    }

    /// Returns the active members other than this instance.
    pub fn others(&self) -> impl Iterator<Item = &MemberState> {
        let records = self.members.values();
        records
            .map(|record| &record.state)
            .filter(|state| state.is_active())
    }

    /// Returns the names of all active members, including this instance.
    pub fn active_names(&self) -> impl Iterator<Item = &str> {
        let others = self.others().map(|member| member.name.as_str());
        others.chain([self.local_member.name.as_str()])
    }

    /// Returns the state that this instance reports about itself.
    pub fn local_member(&self) -> &MemberState {
        &self.local_member
    }

    /// Returns all retained members other than this instance, including dead and
    /// departed ones.
    pub fn members(&self) -> impl Iterator<Item = &MemberState> {
        self.members.values().map(|record| &record.state)
    }

    /// Returns the number of known servers.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the latest update about the server `name`.
    pub fn server(&self, name: &str) -> Option<&ServerUpdate> {
        self.servers.get(name).map(|server| &server.update)
    }

    /// Returns the number of retained members other than this instance, including
    /// dead and departed ones.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }

    fn handle_message(
        &mut self,
        message: GossipMessage,
        now: Duration,
        out: &mut Vec<GossipAction>,
    ) {
        if message.from.name == self.local_member.name {
            return;
        }
        let sender = message.from.address;
        self.apply_member_state(message.from, now, out);
        for state in message.members {
            self.apply_member_state(state, now, out);
        }
        for update in message.servers {
            self.apply_server_update(update, now, out);
        }
        match message.purpose {
            GossipPurpose::Ping { probe } => self.send(sender, GossipPurpose::Ack { probe }, out),
            GossipPurpose::Ack { probe } => self.handle_ack(probe, out),
            GossipPurpose::PingFor { probe, target } => {
                self.handle_indirect_probe(sender, probe, target, out)
            }
            GossipPurpose::Updates => {}
            GossipPurpose::Renewal(announcement) => self.handle_renewal(*announcement, now, out),
            GossipPurpose::Digest { members, servers } => {
                self.reply_to_digest(sender, members, &servers, out);
            }
            GossipPurpose::Known {
                members,
                buckets,
                servers,
            } => {
                for state in members {
                    self.apply_member_state(state, now, out);
                }
                self.send_missing_updates(sender, &buckets, &servers, out);
            }
        }
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        if now >= self.next_probe_at {
            self.next_probe_at = now + PROBE_INTERVAL;
            self.start_next_probe(now, out);
            self.remove_departed(now);
        }
        self.send_indirect_probes(now, out);
        if now >= self.next_dissemination_at && self.has_updates() {
            self.next_dissemination_at = now + DISSEMINATION_INTERVAL;
            self.disseminate(out);
        }
        if now >= self.next_digest_at {
            self.next_digest_at = now + DIGEST_INTERVAL;
            self.send_digest(out);
        }
        if now >= self.next_lease_check_at {
            self.next_lease_check_at = now + LEASE_CHECK_INTERVAL;
            self.check_leases(now, out);
        }
    }

    /// Sends a message and piggybacks up to [`MAX_UPDATES_PER_MESSAGE`] queued
    /// updates of each kind.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        purpose: GossipPurpose,
        out: &mut Vec<GossipAction>,
    ) {
        let message = GossipMessage {
            from: self.local_member.clone(),
            purpose,
            members: take_updates(&mut self.member_queue),
            servers: take_updates(&mut self.server_queue),
        };
        out.push(GossipAction::Send { to, message });
    }

    /// Returns the addresses of up to `count` active members, chosen at random.
    pub(super) fn random_members(&mut self, count: usize) -> Vec<SocketAddr> {
        let addresses: Vec<SocketAddr> = self.others().map(|member| member.address).collect();
        let chosen = addresses.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
    }

    /// Returns how many times each update is sent: 3 times for each doubling of
    /// the group's size. Updates then reach all members even if some messages
    /// are lost.
    pub(super) fn sends_per_update(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }

    /// Queues the state of a member for dissemination in place of an older one.
    pub(super) fn queue_member_update(&mut self, state: MemberState) {
        self.member_queue
            .retain(|queued| queued.update.name != state.name);
        let remaining_sends = self.sends_per_update();
        self.member_queue.push(QueuedUpdate {
            update: state,
            remaining_sends,
        });
    }

    /// Returns whether no update is queued for dissemination.
    pub fn is_queue_empty(&self) -> bool {
        !self.has_updates()
    }

    fn has_updates(&self) -> bool {
        !self.member_queue.is_empty() || !self.server_queue.is_empty()
    }

    /// Sends queued updates to [`FANOUT`] random members.
    fn disseminate(&mut self, out: &mut Vec<GossipAction>) {
        for to in self.random_members(FANOUT) {
            if self.has_updates() {
                self.send(to, GossipPurpose::Updates, out);
            }
        }
    }

    /// Notifies all other members that this instance leaves the group.
    fn leave(&mut self, out: &mut Vec<GossipAction>) {
        self.local_member.standing = MemberLifecycle::Left;
        let addresses: Vec<SocketAddr> = self.others().map(|member| member.address).collect();
        for to in addresses {
            self.send(to, GossipPurpose::Updates, out);
        }
    }

    /// Removes dead and departed members after [`DEPARTED_RETENTION`].
    fn remove_departed(&mut self, now: Duration) {
        self.members.retain(|_, record| {
            record.state.is_active() || now < record.recorded_at + DEPARTED_RETENTION
        });
    }
}

/// Returns up to [`MAX_UPDATES_PER_MESSAGE`] updates from the end of the queue for
/// one message, and removes those that have been sent often enough. New updates are
/// pushed to the end of the queue, so they go first.
fn take_updates<T: Clone>(queue: &mut Vec<QueuedUpdate<T>>) -> Vec<T> {
    let start = queue.len().saturating_sub(MAX_UPDATES_PER_MESSAGE);
    let mut updates = Vec::new();
    for queued in queue[start..].iter_mut().rev() {
        queued.remaining_sends -= 1;
        updates.push(queued.update.clone());
    }
    queue.retain(|queued| queued.remaining_sends > 0);
    // Moves the sent updates behind the waiting ones, so that every update in a
    // long queue gets its turn.
    let sent = updates.len().min(queue.len());
    queue.rotate_right(sent);
    updates
}
