//! The control thread: the replica of this instance, if it is one, and the
//! spreading of the table.

use std::collections::HashMap;
use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::sync::oneshot;
use wheelmast_core::prelude::{EntryInput, ServiceTable};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::{
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaMessage,
};
use wheelmast_core::process::control::replica::ReplicaMachine;
use wheelmast_core::process::control::state::{ControlCommand, TableVersion};
use wheelmast_wire::peer::{CommandReply, PeerReply, PeerRequest};

use crate::connection::peer::PeerLink;
use crate::process::clock::ProcessClock;
use crate::process::entry::EntryMessage;
use crate::process::store::replica_store::ReplicaStore;
use crate::ring::{RingReceiver, RingSender};

/// Messages handled together, with one sync for all of them.
const BATCH: usize = 256;
/// Interval at which a random peer is asked for a newer table.
const ASK_INTERVAL: Duration = Duration::from_millis(500);
/// Peers that are asked one after the other until one answers.
const ASKED_PEERS: usize = 4;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// A message of another instance, and where the answer goes.
    Peer {
        /// The message.
        request: PeerRequest,
        /// Takes the answer.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A table that a peer told when it was asked.
    Told(TableVersion),
}

/// The replica of an instance with a disk.
#[derive(Debug)]
pub struct ReplicaDuty {
    /// The replica.
    pub machine: ReplicaMachine,
    /// What it keeps.
    pub store: ReplicaStore,
}

/// What the control thread needs.
#[derive(Debug)]
pub struct ControlDriver {
    /// The replica, if this instance is one.
    pub replica: Option<ReplicaDuty>,
    /// The table in force here.
    pub table: Option<TableVersion>,
    /// The other instances.
    pub peers: Vec<PeerLink>,
    /// Its messages.
    pub ring: RingReceiver<ControlMessage>,
    /// The sending end of its ring.
    pub own: RingSender<ControlMessage>,
    /// The entry thread.
    pub entry: RingSender<EntryMessage>,
    /// When the process started.
    pub started: ProcessClock,
    /// Proposals that wait for their end.
    pub waiting: HashMap<u64, oneshot::Sender<PeerReply>>,
    /// Counts the proposals.
    pub proposals: u64,
}

impl ControlDriver {
    /// Runs until the instance ends.
    pub async fn run(mut self) {
        self.adopt_kept().await;
        let mut ask = tokio::time::interval(ASK_INTERVAL);
        let mut messages = Vec::with_capacity(BATCH);
        loop {
            let wake = self.wake_time();
            tokio::select! {
                count = self.ring.recv_many(&mut messages, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.take_all(&mut messages).await;
                }
                () = tokio::time::sleep(wake) => self.step_replica(vec![ReplicaInput::Wake]).await,
                _ = ask.tick() => self.ask_peer(),
            }
        }
    }

    fn wake_time(&self) -> Duration {
        let Some(replica) = &self.replica else {
            return ASK_INTERVAL;
        };
        let wake = replica.machine.next_wake();
        self.started.sleep_until(wake)
    }

    /// Puts what was in force before a restart in force again.
    async fn adopt_kept(&mut self) {
        let kept = self.replica.as_ref();
        let current = kept.and_then(|replica| replica.machine.state().current().cloned());
        if let Some(table) = current {
            self.adopt(table).await;
        }
    }

    async fn take_all(&mut self, messages: &mut Vec<ControlMessage>) {
        let mut inputs = Vec::new();
        for message in messages.drain(..) {
            match message {
                ControlMessage::Told(table) => self.adopt(table).await,
                ControlMessage::Peer { request, reply } => {
                    let input = self.take_request(request, reply).await;
                    inputs.extend(input);
                }
            }
        }
        if !inputs.is_empty() {
            self.step_replica(inputs).await;
        }
    }

    /// Answers a request, or turns it into an input of the replica.
    async fn take_request(
        &mut self,
        request: PeerRequest,
        reply: oneshot::Sender<PeerReply>,
    ) -> Option<ReplicaInput> {
        let answer = match request {
            PeerRequest::Replica { from, message } => {
                // The sender does not wait for this answer.
                let _ = reply.send(PeerReply::Taken);
                return Some(ReplicaInput::Message { from, message });
            }
            PeerRequest::Table(table) => {
                self.adopt(table).await;
                PeerReply::Taken
            }
            PeerRequest::AskTable { have } => {
                let newer = self.table.as_ref().filter(|table| table.version > have);
                PeerReply::Table(newer.cloned())
            }
            PeerRequest::AskHistory => PeerReply::History(self.history()),
            // The peers thread hands these to the gossip thread.
            PeerRequest::Gossip(_) => PeerReply::Taken,
            PeerRequest::Command(command) => return self.propose(command, reply),
        };
        let _ = reply.send(answer);
        None
    }

    fn history(&self) -> Vec<TableVersion> {
        match &self.replica {
            Some(replica) => replica.machine.state().history().cloned().collect(),
            None => self.table.iter().cloned().collect(),
        }
    }

    fn propose(
        &mut self,
        command: ControlCommand,
        reply: oneshot::Sender<PeerReply>,
    ) -> Option<ReplicaInput> {
        let leads = self.replica.as_ref().is_some_and(|r| r.machine.is_leader());
        if !leads {
            let _ = reply.send(PeerReply::Command(CommandReply::NotLeader));
            return None;
        }
        self.proposals += 1;
        self.waiting.insert(self.proposals, reply);
        Some(ReplicaInput::Propose {
            tag: self.proposals,
            command,
        })
    }

    /// Steps the replica through inputs: all that is to be kept is synced once
    /// before anything is answered or sent.
    async fn step_replica(&mut self, inputs: Vec<ReplicaInput>) {
        let now = self.started.elapsed();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut actions = Vec::new();
        for input in inputs {
            replica.machine.step(now, input, &mut actions);
        }
        if let Err(error) = keep_all(&mut replica.store, &actions) {
            // What is on the disk is not known any more: a sync that failed
            // must not be tried again as if it could still succeed.
            tracing::error!("control: replica steps aside, {error:#}");
            self.replica = None;
            return;
        }
        for action in actions {
            self.act(action).await;
        }
    }

    async fn act(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => self.send(to, message),
            ReplicaAction::Complete { tag, result } => {
                if let Some(reply) = self.waiting.remove(&tag) {
                    let _ = reply.send(PeerReply::Command(command_reply(result)));
                }
            }
            ReplicaAction::StateChanged => {
                let replica = self.replica.as_ref();
                let current = replica.and_then(|r| r.machine.state().current().cloned());
                if let Some(table) = current {
                    self.adopt(table.clone()).await;
                    self.push(&table);
                }
            }
            ReplicaAction::RoleChanged { term, leads } => {
                let role = if leads { "leads" } else { "follows" };
                tracing::info!("control: {role} in term {term}");
            }
            ReplicaAction::PersistHardState(_)
            | ReplicaAction::PersistEntry(_)
            | ReplicaAction::PersistCommitIndex(_)
            | ReplicaAction::PersistSnapshot { .. } => {}
        }
    }

    fn send(&self, to: ReplicaId, message: ReplicaMessage) {
        let Some(replica) = &self.replica else {
            return;
        };
        let from = replica.machine.id();
        let peer = self.peers.iter().find(|peer| peer.replica == Some(to));
        if let Some(peer) = peer {
            peer.tell(PeerRequest::Replica { from, message });
        }
    }

    /// Tells every other instance of a table.
    fn push(&self, table: &TableVersion) {
        for peer in &self.peers {
            peer.tell(PeerRequest::Table(table.clone()));
        }
    }

    /// Asks a random peer for a newer table: what a push did not reach learns
    /// of it this way. Peers that do not answer are passed over: where two of
    /// three were gone, a start found the table after up to 3.0 s without this,
    /// and within 1 s with it (`tests/cluster.rs`).
    fn ask_peer(&self) {
        let peers = self.peers.choose_multiple(&mut rand::rng(), ASKED_PEERS);
        let peers: Vec<PeerLink> = peers.cloned().collect();
        let have = self.table.as_ref().map_or(0, |table| table.version);
        let own = self.own.clone();
        tokio::spawn(async move {
            for peer in peers {
                let Ok(reply) = peer.ask(PeerRequest::AskTable { have }).await else {
                    continue;
                };
                if let PeerReply::Table(Some(table)) = reply {
                    own.put(ControlMessage::Told(table)).await;
                }
                return;
            }
        });
    }

    /// Puts a table in force, unless a newer one is.
    async fn adopt(&mut self, table: TableVersion) {
        let have = self.table.as_ref().map_or(0, |table| table.version);
        if table.version <= have {
            return;
        }
        match ServiceTable::parse(&table.csv, table.version) {
            Ok(parsed) => {
                self.table = Some(table);
                let input = EntryInput::Table(parsed);
                self.entry.put(EntryMessage::Input(input)).await;
            }
            Err(findings) => {
                tracing::error!("control: version {} not taken, {findings}", table.version);
            }
        }
    }
}

fn keep_all(store: &mut ReplicaStore, actions: &[ReplicaAction]) -> anyhow::Result<()> {
    for action in actions {
        store.persist(action)?;
    }
    store.sync()
}

fn command_reply(result: ProposalResult) -> CommandReply {
    match result {
        ProposalResult::Done(outcome) => CommandReply::Done(outcome),
        ProposalResult::NotLeader(_) => CommandReply::NotLeader,
        ProposalResult::Unknown => CommandReply::Unknown,
    }
}
