//! The gossip of one instance, as a pure state machine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;

use crate::process::gossip::member::{MemberNews, MemberRecord, MemberStanding};
use crate::process::gossip::message::{GossipMessage, GossipPurpose, ServerUpdate};
use crate::process::news::UpstreamAnnouncement;

/// Time between two probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two rounds of spreading updates, while there are any.
pub const SPREAD_INTERVAL: Duration = Duration::from_millis(150);
/// Time between two exchanges of digests.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two looks at leases.
pub const LEASE_INTERVAL: Duration = Duration::from_millis(250);
/// Most updates of each kind in one message.
pub const UPDATES: usize = 12;
/// Members that get a round's updates.
pub const FANOUT: usize = 3;
/// Time a member that is gone is remembered, so that old news of it is not
/// taken for new.
pub const GONE_TIME: Duration = Duration::from_secs(120);
/// Most members remembered.
pub const MEMBERS: usize = 2048;

/// What comes into the gossip.
#[derive(Debug, Clone)]
pub enum GossipInput {
    /// A timer may be due.
    Wake,
    /// A message of another member.
    Message(GossipMessage),
    /// A server announced itself here.
    Announced(UpstreamAnnouncement),
    /// The instance leaves.
    Leave,
}

/// What the gossip asks its driver to do.
#[derive(Debug, Clone)]
pub enum GossipAction {
    /// Send a message; it may be lost.
    Send {
        /// The receiver's listener for peers.
        to: SocketAddr,
        /// The message.
        message: GossipMessage,
    },
    /// Something was learned of a server: hand it to the entry.
    Server(UpstreamAnnouncement),
    /// A server's lease ran out at a home: it gets no new work.
    Expired(String),
    /// The homes vouch for these servers: renew their leases.
    Vouch(Vec<String>),
    /// A member's standing changed.
    Member(MemberNews),
}

/// An update on its way, and how often it is still to be sent.
#[derive(Debug, Clone)]
pub(super) struct QueuedUpdate<T> {
    pub(super) update: T,
    pub(super) left: u32,
}

/// A server as the gossip holds it.
#[derive(Debug, Clone)]
pub(super) struct ServerHold {
    pub(super) update: ServerUpdate,
    /// Order of the last change, which digests are made of.
    pub(super) changed: (u64, u64, bool),
    /// When it was last renewed here, if this instance is a home.
    pub(super) renewed: Duration,
    /// Whether this instance is a home, as of `members_seen`.
    pub(super) is_home: bool,
    /// Count of membership changes that `is_home` was worked out at.
    pub(super) members_seen: u64,
}

/// The gossip of one instance.
#[derive(Debug)]
pub struct GossipMachine {
    pub(super) own: MemberNews,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) rng: SmallRng,
    pub(super) members: BTreeMap<String, MemberRecord>,
    pub(super) servers: BTreeMap<String, ServerHold>,
    pub(super) member_queue: Vec<QueuedUpdate<MemberNews>>,
    pub(super) server_queue: Vec<QueuedUpdate<ServerUpdate>>,
    /// Members still to be probed in this round.
    pub(super) round: Vec<String>,
    pub(super) probe: Option<super::probe::OpenProbe>,
    pub(super) probes: u64,
    /// Counts the changes of who is there.
    pub(super) member_changes: u64,
    /// Probes made for others: own number, asker, and the asker's number.
    pub(super) relays: Vec<super::probe::RelayedProbe>,
    probe_at: Duration,
    spread_at: Duration,
    digest_at: Duration,
    lease_at: Duration,
}

impl GossipMachine {
    /// Returns the gossip of `own`, which knows only the addresses of seeds.
    pub fn new(own: MemberNews, seeds: Vec<SocketAddr>, seed: u64, now: Duration) -> Self {
        GossipMachine {
            own,
            seeds,
            rng: SmallRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            servers: BTreeMap::new(),
            member_queue: Vec::new(),
            server_queue: Vec::new(),
            round: Vec::new(),
            probe: None,
            probes: 0,
            member_changes: 1,
            relays: Vec::new(),
            probe_at: now,
            spread_at: now,
            digest_at: now,
            lease_at: now,
        }
    }

    /// Takes one input at time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: GossipInput, out: &mut Vec<GossipAction>) {
        match input {
            GossipInput::Wake => {}
            GossipInput::Message(message) => self.take(message, now, out),
            GossipInput::Announced(news) => self.announced(news, now, out),
            GossipInput::Leave => self.leave(out),
        }
        self.run_timers(now, out);
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Duration {
        let mut wake = self.probe_at.min(self.digest_at).min(self.lease_at);
        if self.has_updates() {
            wake = wake.min(self.spread_at);
        }
        wake
    }

    /// Returns the members that are there, this one not among them.
    pub fn others(&self) -> impl Iterator<Item = &MemberNews> {
        let records = self.members.values();
        records
            .map(|record| &record.news)
            .filter(|news| news.is_there())
    }

    /// Returns the names of all members that are there, this one among them.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let others = self.others().map(|news| news.name.as_str());
        others.chain([self.own.name.as_str()])
    }

    /// Returns this instance, as it sees itself.
    pub fn own(&self) -> &MemberNews {
        &self.own
    }

    /// Returns all members that are remembered, gone ones among them.
    pub fn members(&self) -> impl Iterator<Item = &MemberNews> {
        self.members.values().map(|record| &record.news)
    }

    /// Returns the number of servers known.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the update last taken of a server.
    pub fn server(&self, name: &str) -> Option<&ServerUpdate> {
        self.servers.get(name).map(|hold| &hold.update)
    }

    /// Returns the number of members remembered, gone ones among them.
    pub fn remembered(&self) -> usize {
        self.members.len()
    }

    fn take(&mut self, message: GossipMessage, now: Duration, out: &mut Vec<GossipAction>) {
        if message.from.name == self.own.name {
            return;
        }
        let sender = message.from.address;
        self.learn_member(message.from, now, out);
        for news in message.members {
            self.learn_member(news, now, out);
        }
        for update in message.servers {
            self.learn_server(update, now, out);
        }
        match message.purpose {
            GossipPurpose::Ping { probe } => self.send(sender, GossipPurpose::Ack { probe }, out),
            GossipPurpose::Ack { probe } => self.acked(probe, out),
            GossipPurpose::PingFor { probe, target } => self.probe_for(sender, probe, target, out),
            GossipPurpose::Updates => {}
            GossipPurpose::Renewal(news) => self.renewed(*news, now, out),
            GossipPurpose::Digest { members, servers } => {
                self.answer_digest(sender, members, &servers, out);
            }
            GossipPurpose::Known {
                members,
                buckets,
                servers,
            } => {
                for news in members {
                    self.learn_member(news, now, out);
                }
                self.send_newer(sender, &buckets, &servers, out);
            }
        }
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<GossipAction>) {
        if now >= self.probe_at {
            self.probe_at = now + PROBE_INTERVAL;
            self.run_probes(now, out);
            self.forget_gone(now);
        }
        self.ask_indirectly(now, out);
        if now >= self.spread_at && self.has_updates() {
            self.spread_at = now + SPREAD_INTERVAL;
            self.spread(out);
        }
        if now >= self.digest_at {
            self.digest_at = now + DIGEST_INTERVAL;
            self.offer_digest(out);
        }
        if now >= self.lease_at {
            self.lease_at = now + LEASE_INTERVAL;
            self.look_at_leases(now, out);
        }
    }

    /// Sends a message with as many updates as fit.
    pub(super) fn send(
        &mut self,
        to: SocketAddr,
        purpose: GossipPurpose,
        out: &mut Vec<GossipAction>,
    ) {
        let message = GossipMessage {
            from: self.own.clone(),
            purpose,
            members: take_updates(&mut self.member_queue),
            servers: take_updates(&mut self.server_queue),
        };
        out.push(GossipAction::Send { to, message });
    }

    /// Returns some members at random.
    pub(super) fn some_members(&mut self, count: usize) -> Vec<SocketAddr> {
        let there: Vec<SocketAddr> = self.others().map(|news| news.address).collect();
        let chosen = there.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
    }

    /// Returns how often an update is sent: enough to reach all by far, even
    /// with a part of the messages lost.
    pub(super) fn repeats(&self) -> u32 {
        let members = self.members.len() as u32 + 2;
        3 * (u32::BITS - members.leading_zeros())
    }

    pub(super) fn queue_member(&mut self, news: MemberNews) {
        self.member_queue
            .retain(|queued| queued.update.name != news.name);
        let left = self.repeats();
        self.member_queue.push(QueuedUpdate { update: news, left });
    }

    /// Tells whether no update waits to be sent.
    pub fn is_quiet(&self) -> bool {
        !self.has_updates()
    }

    fn has_updates(&self) -> bool {
        !self.member_queue.is_empty() || !self.server_queue.is_empty()
    }

    fn spread(&mut self, out: &mut Vec<GossipAction>) {
        for to in self.some_members(FANOUT) {
            if self.has_updates() {
                self.send(to, GossipPurpose::Updates, out);
            }
        }
    }

    fn leave(&mut self, out: &mut Vec<GossipAction>) {
        self.own.standing = MemberStanding::Left;
        let everybody: Vec<SocketAddr> = self.others().map(|news| news.address).collect();
        for to in everybody {
            self.send(to, GossipPurpose::Updates, out);
        }
    }

    fn forget_gone(&mut self, now: Duration) {
        self.members
            .retain(|_, record| record.news.is_there() || now < record.since + GONE_TIME);
    }
}

/// Takes updates out of a queue for one message; the newest go first.
fn take_updates<T: Clone>(queue: &mut Vec<QueuedUpdate<T>>) -> Vec<T> {
    let start = queue.len().saturating_sub(UPDATES);
    let mut updates = Vec::new();
    for queued in queue[start..].iter_mut().rev() {
        queued.left -= 1;
        updates.push(queued.update.clone());
    }
    queue.retain(|queued| queued.left > 0);
    // What was sent goes behind what waits, so that a long queue moves on.
    let sent = updates.len().min(queue.len());
    queue.rotate_right(sent);
    updates
}
