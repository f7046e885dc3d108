//! The control thread. It runs this instance's replica of the control group, if
//! it has one, answers requests of other instances, and distributes the service
//! table: replicas push each new version to all instances, and each instance
//! also polls a random peer.

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

/// Maximum number of messages handled together, with one disk sync for all of
/// them.
const MAX_BATCH: usize = 256;
/// Interval at which a random peer is asked for a newer service table.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of peers asked one after the other until one replies.
const MAX_FETCH_PEERS: usize = 4;

/// A message to the control thread.
#[derive(Debug)]
pub enum ControlMessage {
    /// A request of another instance or of this one, and the channel for the
    /// reply.
    Peer {
        /// The request.
        request: PeerRequest,
        /// Receives the reply.
        reply: oneshot::Sender<PeerReply>,
    },
    /// A service table that was fetched from a peer.
    Fetched(TableVersion),
}

/// A replica of the control group together with its storage on disk.
#[derive(Debug)]
pub struct StoredReplica {
    /// The state machine of the replica.
    pub machine: ReplicaMachine,
    /// The storage of the replica's log, term and vote.
    pub store: ReplicaStore,
}

/// The state of the control thread.
#[derive(Debug)]
pub struct ControlDriver {
    /// The replica; `None` if this instance is not one or its storage failed.
    pub replica: Option<StoredReplica>,
    /// The service table that this instance uses.
    pub table: Option<TableVersion>,
    /// Links to the other instances.
    pub peers: Vec<PeerLink>,
    /// The receiving end of the thread's ring.
    pub ring: RingReceiver<ControlMessage>,
    /// The sending end of the thread's ring, for tables that a spawned task
    /// fetches.
    pub self_sender: RingSender<ControlMessage>,
    /// The ring to the entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The clock of the replica machine.
    pub process_clock: ProcessClock,
    /// Reply channels of proposals that are not decided yet, by tag.
    pub pending_proposals: HashMap<u64, oneshot::Sender<PeerReply>>,
    /// The tag of the last proposal; each proposal gets the next number.
    pub last_proposal_tag: u64,
}

impl ControlDriver {
    /// Runs until the ring is closed.
    pub async fn run(mut self) {
        self.apply_stored_table().await;
        let mut fetch_timer = tokio::time::interval(FETCH_INTERVAL);
        let mut messages = Vec::with_capacity(MAX_BATCH);
        loop {
            let wake = self.time_until_wake();
            tokio::select! {
                count = self.ring.recv_many(&mut messages, MAX_BATCH) => {
                    if count == 0 {
                        return;
                    }
                    self.handle_messages(&mut messages).await;
                }
                () = tokio::time::sleep(wake) => self.step_replica(vec![ReplicaInput::Wake]).await,
                _ = fetch_timer.tick() => self.fetch_newer_table(),
            }
        }
    }

    /// Returns the time until the replica machine must be woken.
    fn time_until_wake(&self) -> Duration {
        let Some(replica) = &self.replica else {
            return FETCH_INTERVAL;
        };
        let wake = replica.machine.next_wake();
        self.process_clock.sleep_time_until(wake)
    }

    /// Applies the service table that the replica had stored before a restart.
    async fn apply_stored_table(&mut self) {
        let replica = self.replica.as_ref();
        let current = replica.and_then(|replica| replica.machine.state().current().cloned());
        if let Some(table) = current {
            self.apply_table(table).await;
        }
    }

    /// Handles a batch of messages. Inputs for the replica are collected and
    /// processed in one step, so that one disk sync covers all of them.
    async fn handle_messages(&mut self, messages: &mut Vec<ControlMessage>) {
        let mut inputs = Vec::new();
        for message in messages.drain(..) {
            match message {
                ControlMessage::Fetched(table) => self.apply_table(table).await,
                ControlMessage::Peer { request, reply } => {
                    let input = self.handle_request(request, reply).await;
                    inputs.extend(input);
                }
            }
        }
        if !inputs.is_empty() {
            self.step_replica(inputs).await;
        }
    }

    /// Replies to a request, or converts it into an input of the replica.
    async fn handle_request(
        &mut self,
        request: PeerRequest,
        reply: oneshot::Sender<PeerReply>,
    ) -> Option<ReplicaInput> {
        let answer = match request {
            PeerRequest::Replica { from, message } => {
                // The sender does not wait for the result, so the reply is sent
                // at once.
                let _ = reply.send(PeerReply::Taken);
                return Some(ReplicaInput::Message { from, message });
            }
            PeerRequest::Table(table) => {
                self.apply_table(table).await;
                PeerReply::Taken
            }
            PeerRequest::AskTable { have } => {
                let newer = self.table.as_ref().filter(|table| table.version > have);
                PeerReply::Table(newer.cloned())
            }
            PeerRequest::AskHistory => PeerReply::History(self.list_versions()),
            // The peers thread passes gossip messages to the gossip thread, so
            // none arrive here.
            PeerRequest::Gossip(_) => PeerReply::Taken,
            PeerRequest::Command(command) => return self.propose(command, reply),
        };
        let _ = reply.send(answer);
        None
    }

    /// Returns the versions of the service table that this instance stores,
    /// oldest first.
    fn list_versions(&self) -> Vec<TableVersion> {
        match &self.replica {
            Some(replica) => replica.machine.state().history().cloned().collect(),
            None => self.table.iter().cloned().collect(),
        }
    }

    /// Proposes a command to the replica if it is the leader; otherwise replies
    /// that it is not.
    fn propose(
        &mut self,
        command: ControlCommand,
        reply: oneshot::Sender<PeerReply>,
    ) -> Option<ReplicaInput> {
        let is_leader = self.replica.as_ref().is_some_and(|r| r.machine.is_leader());
        if !is_leader {
            let _ = reply.send(PeerReply::Command(CommandReply::NotLeader));
            return None;
        }
        self.last_proposal_tag += 1;
        self.pending_proposals.insert(self.last_proposal_tag, reply);
        Some(ReplicaInput::Propose {
            tag: self.last_proposal_tag,
            command,
        })
    }

    /// Passes inputs to the replica machine. All data that must be persisted is
    /// written and synced once, before any reply or message is sent.
    async fn step_replica(&mut self, inputs: Vec<ReplicaInput>) {
        let now = self.process_clock.elapsed();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut actions = Vec::new();
        for input in inputs {
            replica.machine.step(now, input, &mut actions);
        }
        if let Err(error) = persist_actions(&mut replica.store, &actions) {
            // After a failed sync the contents of the disk are unknown, and a
            // repeated sync could wrongly succeed. The replica therefore stops
            // until the process restarts.
            tracing::error!("control: replica stopped, its data could not be stored: {error:#}");
            self.replica = None;
            return;
        }
        for action in actions {
            self.perform(action).await;
        }
    }

    /// Performs an action of the replica machine. Actions that persist data
    /// were already performed before.
    async fn perform(&mut self, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => self.send(to, message),
            ReplicaAction::Complete { tag, result } => {
                if let Some(reply) = self.pending_proposals.remove(&tag) {
                    let _ = reply.send(PeerReply::Command(command_reply(result)));
                }
            }
            ReplicaAction::StateChanged => {
                let replica = self.replica.as_ref();
                let current = replica.and_then(|r| r.machine.state().current().cloned());
                if let Some(table) = current {
                    self.apply_table(table.clone()).await;
                    self.push_table(&table);
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

    /// Sends a message to another replica, if this instance has a link to it.
    fn send(&self, to: ReplicaId, message: ReplicaMessage) {
        let Some(replica) = &self.replica else {
            return;
        };
        let from = replica.machine.id();
        let peer = self.peers.iter().find(|peer| peer.replica == Some(to));
        if let Some(peer) = peer {
            peer.send_best_effort(PeerRequest::Replica { from, message });
        }
    }

    /// Sends a service table to every other instance.
    fn push_table(&self, table: &TableVersion) {
        for peer in &self.peers {
            peer.send_best_effort(PeerRequest::Table(table.clone()));
        }
    }

    /// Asks a random peer for a newer service table, for instances that a
    /// pushed table did not reach. Peers that do not reply are skipped and the
    /// next one is asked: with two of three instances stopped, a starting
    /// instance received the table after up to 3.0 s without this, and within 1
    /// s with it (`tests/cluster.rs`).
    fn fetch_newer_table(&self) {
        let peers = self
            .peers
            .choose_multiple(&mut rand::rng(), MAX_FETCH_PEERS);
        let peers: Vec<PeerLink> = peers.cloned().collect();
        let have = self.table.as_ref().map_or(0, |table| table.version);
        let self_sender = self.self_sender.clone();
        tokio::spawn(async move {
            for peer in peers {
                let Ok(reply) = peer.ask(PeerRequest::AskTable { have }).await else {
                    continue;
                };
                if let PeerReply::Table(Some(table)) = reply {
                    self_sender.put(ControlMessage::Fetched(table)).await;
                }
                return;
            }
        });
    }

    /// Applies a service table if it is newer than the current one: passes it
    /// to the entry thread.
    async fn apply_table(&mut self, table: TableVersion) {
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
                tracing::error!(
                    "control: version {} of the service table is invalid, {findings}",
                    table.version
                );
            }
        }
    }
}

/// Writes the data that `actions` ask to persist, and syncs it to disk.
fn persist_actions(store: &mut ReplicaStore, actions: &[ReplicaAction]) -> anyhow::Result<()> {
    for action in actions {
        store.persist(action)?;
    }
    store.sync()
}

/// Converts the result of a proposal into the reply to its sender.
fn command_reply(result: ProposalResult) -> CommandReply {
    match result {
        ProposalResult::Done(outcome) => CommandReply::Done(outcome),
        ProposalResult::NotLeader(_) => CommandReply::NotLeader,
        ProposalResult::Unknown => CommandReply::Unknown,
    }
}
