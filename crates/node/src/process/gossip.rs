//! The gossip thread. It drives the gossip machine, which tracks the members of
//! the cluster and disseminates announcements of upstream servers, and it
//! passes changes on to the entry thread.

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

/// Maximum number of commands received at once.
const MAX_BATCH: usize = 256;
/// Time for which a server's limits stay divided by the higher number of
/// instances after a member was lost. Only then do the others take over the
/// lost member's share.
const DECREASE_DELAY: Duration = Duration::from_secs(5);

/// A command to the gossip thread.
#[derive(Debug)]
pub enum GossipCommand {
    /// An input of the gossip machine.
    Input(Box<GossipInput>),
    /// Requests the list of members.
    Members(oneshot::Sender<Vec<MemberStatus>>),
}

/// The state of the gossip thread.
#[derive(Debug)]
pub struct GossipDriver {
    /// The gossip machine.
    pub machine: GossipMachine,
    /// The receiving end of the thread's ring.
    pub ring: RingReceiver<GossipCommand>,
    /// The ring to the entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The key that authenticates messages within the cluster.
    pub key: Arc<str>,
    /// The clock of the gossip machine.
    pub process_clock: ProcessClock,
    /// Links to other members, by address.
    pub links: HashMap<SocketAddr, PeerLink>,
    /// The number of instances that the servers' limits are currently divided
    /// by.
    pub limit_divisor: LimitDivisor,
}

/// Tracks the number of instances among which each server's limits are divided.
/// The divisor follows an increase of the members at once and a decrease after
/// a delay.
#[derive(Debug)]
pub struct LimitDivisor {
    /// The current divisor.
    count: u32,
    /// Time at which the number of members fell below `count`; `None` if it has
    /// not.
    fewer_since: Option<Duration>,
}

impl LimitDivisor {
    /// Returns a divisor that starts with `count`, the number of instances that
    /// may be running.
    pub fn new(count: u32) -> LimitDivisor {
        LimitDivisor {
            count,
            fewer_since: None,
        }
    }

    /// Updates the divisor with the current number of members, and returns it
    /// if it changed. More members count at once. Fewer members count only
    /// after they have been fewer for `DECREASE_DELAY`, so that a member that
    /// was cut off does not use its share of the limits at the same time as the
    /// members that take it over.
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
    /// Runs until the ring is closed.
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

    /// Handles a command to this thread.
    async fn handle_command(&mut self, command: GossipCommand) {
        match command {
            GossipCommand::Input(input) => self.step(*input).await,
            GossipCommand::Members(reply) => {
                let _ = reply.send(self.list_members());
            }
        }
    }

    /// Passes an input to the gossip machine and performs the resulting
    /// actions.
    async fn step(&mut self, input: GossipInput) {
        let mut actions = Vec::new();
        self.machine
            .step(self.process_clock.elapsed(), input, &mut actions);
        for action in actions {
            match action {
                GossipAction::Send { to, message } => {
                    let link = self.link(to);
                    link.send_best_effort(PeerRequest::Gossip(Box::new(message)));
                }
                GossipAction::ServerAnnounced(announcement) => {
                    self.send_to_entry(EntryInput::Announce(announcement)).await
                }
                GossipAction::Expired(name) => self.send_to_entry(EntryInput::Expired(name)).await,
                GossipAction::Vouch(names) => self.send_to_entry(EntryInput::Vouch(names)).await,
                GossipAction::MemberChanged(member) => {
                    let standing = lifecycle_label(member.standing);
                    tracing::info!("member: {} of {} is {standing}", member.name, member.domain);
                }
            }
        }
    }

    /// Sends an input to the entry thread.
    async fn send_to_entry(&self, input: EntryInput) {
        self.entry.put(EntryMessage::Input(input)).await;
    }

    /// Updates the divisor of the servers' limits, and reports a change to the
    /// entry thread.
    async fn update_limit_divisor(&mut self) {
        let member_count = self.machine.others().count() as u32 + 1;
        if let Some(count) = self
            .limit_divisor
            .update(member_count, self.process_clock.elapsed())
        {
            tracing::info!("share: servers' limits divided by {count} instances");
            self.send_to_entry(EntryInput::InstanceCount(count)).await;
        }
    }

    /// Returns the link to a member's address. Creates the link on first use.
    fn link(&mut self, to: SocketAddr) -> &PeerLink {
        let key = &self.key;
        self.links.entry(to).or_insert_with(|| {
            let (link, teller) = PeerLink::new(&to.to_string(), to, None, key.clone());
            tokio::spawn(teller.run());
            link
        })
    }

    /// Returns the state of all known members, including this instance.
    fn list_members(&self) -> Vec<MemberStatus> {
        let others = self.machine.members();
        let members = others
            .chain([self.machine.local_member()])
            .map(|member| MemberStatus {
                name: member.name.clone(),
                domain: member.domain.clone(),
                address: member.address,
                incarnation: member.incarnation,
                standing: lifecycle_label(member.standing).to_string(),
            });
        members.collect()
    }
}

/// Returns the lifecycle state of a member as it is written to operators and
/// the log.
fn lifecycle_label(standing: MemberLifecycle) -> &'static str {
    match standing {
        MemberLifecycle::Alive => "alive",
        MemberLifecycle::Suspect => "suspect",
        MemberLifecycle::Dead => "dead",
        MemberLifecycle::Left => "left",
    }
}
