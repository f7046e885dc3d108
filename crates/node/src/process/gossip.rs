//! The gossip thread: members, and the upstream servers they tell each other
//! of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::prelude::EntryInput;
use wheelmast_core::process::gossip::machine::{GossipAction, GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::MemberLifecycle;
use wheelmast_wire::operator::MemberStatus;
use wheelmast_wire::peer::PeerRequest;

use crate::connection::peer::PeerLink;
use crate::process::clock::ProcessClock;
use crate::process::entry::EntryMessage;
use crate::ring::{RingReceiver, RingSender};

/// Messages handled together.
const BATCH: usize = 256;
/// Time a member's share of the servers is held after it was lost, before the
/// others take it.
const SHARE_LEASE: Duration = Duration::from_secs(5);

/// A message to the gossip thread.
#[derive(Debug)]
pub enum GossipOrder {
    /// An input of the machine.
    Input(Box<GossipInput>),
    /// Asks for the members.
    Members(oneshot::Sender<Vec<MemberStatus>>),
}

/// What the gossip thread needs.
#[derive(Debug)]
pub struct GossipDriver {
    /// The machine.
    pub machine: GossipMachine,
    /// Its messages.
    pub ring: RingReceiver<GossipOrder>,
    /// The entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The cluster's key.
    pub key: Arc<str>,
    /// When the process started.
    pub started: ProcessClock,
    /// Links to members by address.
    pub links: HashMap<SocketAddr, PeerLink>,
    /// How the servers' limits are divided just now.
    pub shares: ShareCount,
}

/// The number of instances that a server's limits are divided by.
#[derive(Debug)]
pub struct ShareCount {
    count: u32,
    fewer_since: Option<Duration>,
}

impl ShareCount {
    /// Returns a count that starts with all instances that may be there.
    pub fn new(count: u32) -> ShareCount {
        ShareCount {
            count,
            fewer_since: None,
        }
    }

    /// Takes the number of members that are there. Returns the new count if
    /// the limits are to be divided anew: at once for more members, and for
    /// fewer only once they have been fewer for a lease, so that a member that
    /// was cut off does not share with those that took its part.
    pub fn update(&mut self, there: u32, now: Duration) -> Option<u32> {
        if there >= self.count {
            self.fewer_since = None;
            let is_more = there > self.count;
            self.count = there;
            return is_more.then_some(there);
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.saturating_sub(since) < SHARE_LEASE {
            return None;
        }
        self.fewer_since = None;
        self.count = there;
        Some(there)
    }
}

impl GossipDriver {
    /// Runs until the instance ends.
    pub async fn run(mut self) {
        let mut orders = Vec::with_capacity(BATCH);
        loop {
            let wake = self.machine.next_wake();
            let sleep = self.started.sleep_until(wake);
            tokio::select! {
                count = self.ring.recv_many(&mut orders, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for order in orders.drain(..) {
                        self.take(order).await;
                    }
                }
                () = tokio::time::sleep(sleep) => self.step(GossipInput::Wake).await,
            }
            self.divide().await;
        }
    }

    async fn take(&mut self, order: GossipOrder) {
        match order {
            GossipOrder::Input(input) => self.step(*input).await,
            GossipOrder::Members(reply) => {
                let _ = reply.send(self.members());
            }
        }
    }

    async fn step(&mut self, input: GossipInput) {
        let mut actions = Vec::new();
        self.machine
            .step(self.started.elapsed(), input, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, message } => {
                    let link = self.link(to);
                    link.send_best_effort(PeerRequest::Gossip(Box::new(message)));
                }
                GossipAction::ServerAnnounced(news) => {
                    self.hand_on(EntryInput::Announce(news)).await
                }
                GossipAction::Expired(name) => self.hand_on(EntryInput::Expired(name)).await,
                GossipAction::Vouch(names) => self.hand_on(EntryInput::Vouch(names)).await,
                GossipAction::MemberChanged(news) => {
                    let standing = standing_word(news.standing);
                    tracing::info!("member: {} of {} is {standing}", news.name, news.domain);
                }
            }
        }
    }

    async fn hand_on(&self, input: EntryInput) {
        self.entry.put(EntryMessage::Input(input)).await;
    }

    /// Divides the servers' limits anew if the members call for it.
    async fn divide(&mut self) {
        let there = self.machine.others().count() as u32 + 1;
        if let Some(count) = self.shares.update(there, self.started.elapsed()) {
            tracing::info!("share: servers' limits divided by {count} instances");
            self.hand_on(EntryInput::InstanceCount(count)).await;
        }
    }

    /// Returns the link to an address, a new one if there is none.
    fn link(&mut self, to: SocketAddr) -> &PeerLink {
        let key = &self.key;
        self.links.entry(to).or_insert_with(|| {
            let (link, teller) = PeerLink::new(&to.to_string(), to, None, key.clone());
            tokio::spawn(teller.run());
            link
        })
    }

    fn members(&self) -> Vec<MemberStatus> {
        let others = self.machine.members();
        let members = others
            .chain([self.machine.local_member()])
            .map(|news| MemberStatus {
                name: news.name.clone(),
                domain: news.domain.clone(),
                address: news.address,
                incarnation: news.incarnation,
                standing: standing_word(news.standing).to_string(),
            });
        members.collect()
    }
}

fn standing_word(standing: MemberLifecycle) -> &'static str {
    match standing {
        MemberLifecycle::Alive => "alive",
        MemberLifecycle::Suspect => "suspect",
        MemberLifecycle::Dead => "dead",
        MemberLifecycle::Left => "left",
    }
}
