//! The gossip thread: members, and the upstream servers they tell each other
//! of.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::prelude::EntryInput;
use wheelmast_core::process::gossip::machine::{GossipAction, GossipInput, GossipMachine};
use wheelmast_core::process::gossip::member::MemberStanding;
use wheelmast_wire::operator::MemberStatus;
use wheelmast_wire::peer::PeerRequest;

use crate::connection::peer::PeerLink;
use crate::process::clock::ProcessClock;
use crate::process::entry::EntryMessage;
use crate::ring::{RingReceiver, RingSender};

/// Messages handled together.
const MAX_BATCH: usize = 256;
/// Time a member's share of the servers is held after it was lost, before the
/// others take it.
const DECREASE_DELAY: Duration = Duration::from_secs(5);

/// A message to the gossip thread.
#[derive(Debug)]
pub enum GossipCommand {
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
    pub ring: RingReceiver<GossipCommand>,
    /// The entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The cluster's key.
    pub key: Arc<str>,
    /// When the process started.
    pub process_clock: ProcessClock,
    /// Links to members by address.
    pub links: HashMap<SocketAddr, PeerLink>,
    /// How the servers' limits are divided just now.
    pub limit_divisor: LimitDivisor,
}

/// The number of instances that a server's limits are divided by.
#[derive(Debug)]
pub struct LimitDivisor {
    count: u32,
    fewer_since: Option<Duration>,
}

impl LimitDivisor {
    /// Returns a count that starts with all instances that may be there.
    pub fn new(count: u32) -> LimitDivisor {
        LimitDivisor {
            count,
            fewer_since: None,
        }
    }

    /// Takes the number of members that are there. Returns the new count if
    /// the limits are to be divided anew: at once for more members, and for
    /// fewer only once they have been fewer for a lease, so that a member that
    /// was cut off does not share with those that took its part.
    pub fn update(&mut self, member_count: u32, now: Duration) -> Option<u32> {
        if member_count >= self.count {
            self.fewer_since = None;
            let has_increased = member_count > self.count;
            self.count = member_count;
            return has_increased.then_some(member_count);
        }
        let since = *self.fewer_since.get_or_insert(now);
        if now.saturating_sub(since) < DECREASE_DELAY {
            return None;
        }
        self.fewer_since = None;
        self.count = member_count;
        Some(member_count)
    }
}

impl GossipDriver {
    /// Runs until the instance ends.
    pub async fn run(mut self) {
        let mut commands = Vec::with_capacity(MAX_BATCH);
        loop {
            let wake = self.machine.next_wake();
            let sleep = self.process_clock.sleep_time_until(wake);
            tokio::select! {
                count = self.ring.recv_many(&mut commands, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for command in commands.drain(..) {
                        self.handle_command(command).await;
                    }
                }
                () = tokio::time::sleep(sleep) => self.step(GossipInput::Wake).await,
            }
            self.update_limit_divisor().await;
        }
    }

    async fn handle_command(&mut self, command: GossipCommand) {
        match command {
            GossipCommand::Input(input) => self.step(*input).await,
            GossipCommand::Members(reply) => {
                let _ = reply.send(self.list_members());
            }
        }
    }

    async fn step(&mut self, input: GossipInput) {
        let mut actions = Vec::new();
        self.machine
            .step(self.process_clock.elapsed(), input, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, message } => {
                    let link = self.link(to);
                    link.tell(PeerRequest::Gossip(Box::new(message)));
                }
                GossipAction::Server(news) => self.send_to_entry(EntryInput::Announce(news)).await,
                GossipAction::Expired(name) => self.send_to_entry(EntryInput::Expired(name)).await,
                GossipAction::Vouch(names) => self.send_to_entry(EntryInput::Vouch(names)).await,
                GossipAction::Member(news) => {
                    let standing = lifecycle_label(news.standing);
                    tracing::info!("member: {} of {} is {standing}", news.name, news.domain);
                }
            }
        }
    }

    async fn send_to_entry(&self, input: EntryInput) {
        self.entry.put(EntryMessage::Input(input)).await;
    }

    /// Divides the servers' limits anew if the members call for it.
    async fn update_limit_divisor(&mut self) {
        let member_count = self.machine.others().count() as u32 + 1;
        if let Some(count) = self
            .limit_divisor
            .update(member_count, self.process_clock.elapsed())
        {
            tracing::info!("share: servers' limits divided by {count} instances");
            self.send_to_entry(EntryInput::Instances(count)).await;
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

    fn list_members(&self) -> Vec<MemberStatus> {
        let others = self.machine.members();
        let members = others.chain([self.machine.own()]).map(|news| MemberStatus {
            name: news.name.clone(),
            domain: news.domain.clone(),
            address: news.address,
            incarnation: news.incarnation,
            standing: lifecycle_label(news.standing).to_string(),
        });
        members.collect()
    }
}

fn lifecycle_label(standing: MemberStanding) -> &'static str {
    match standing {
        MemberStanding::Alive => "alive",
        MemberStanding::Suspect => "suspect",
        MemberStanding::Dead => "dead",
        MemberStanding::Left => "left",
    }
}
