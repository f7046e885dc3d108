//! Driver of the replica: passes messages, timers and disk events to the replica state
//! machine, executes its actions, and proposes changes and confirmed reads to the
//! leader.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::finding::FindingList;
use wheelmast_core::process::control::message::{
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::ControlCommand;
use wheelmast_core::version::workspace::WorkspaceRegistry;
use wheelmast_wire::group::{ControlRevisions, GroupMessage, LeaderReply, LeaderRequest};
use wheelmast_wire::pack::unpack;

use crate::process::group::disk::{DiskEvent, DiskWrite};
use crate::process::group::node::GroupNode;
use crate::process::group::state::{PublishedEvacuations, PublishedTable};
use crate::process::store::replica_store::PersistedState;
use crate::ring::RingReceiver;

/// Longest time to wait for the leader's reply.
const LEADER_REPLY_TIMEOUT: Duration = Duration::from_millis(850);
/// Time to wait before looking for a leader again.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Timing of heartbeats and elections.
const TIMING: ReplicaTiming = ReplicaTiming {
    heartbeat: Duration::from_millis(120),
    election: Duration::from_millis(600),
};

/// Returns a replica that continues from the state that its disk holds. `tolerate` is
/// the number of lost replicas that the group must survive.
pub fn create_replica(
    id: u64,
    kept: PersistedState,
    tolerate: usize,
    now: Duration,
) -> ReplicaMachine {
    let start = ReplicaStart {
        id,
        members: Vec::new(),
        target_size: tolerate * 2 + 1,
        hard_state: kept.hard_state,
        snapshot: (kept.snapshot_position, kept.state),
        entries: kept.entries,
        commit: kept.commit,
        timing: TIMING,
        safety_checks: SafetyChecks::default(),
        seed: rand::random(),
    };
    ReplicaMachine::new(start, now)
}

impl GroupNode {
    /// Passes an input to the replica state machine. All other actions wait until the
    /// persist actions before them are synced, and stay in order. A leader with a
    /// stalled disk therefore sends no heartbeats, and another replica is elected.
    pub fn step_replica(self: &Rc<Self>, input: ReplicaInput) {
        let now = self.now();
        let mut actions = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let Some(replica) = &mut state.replica else {
                return;
            };
            replica.step(now, input, &mut actions);
        }
        let (persist_actions, deferred_actions): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(ReplicaAction::must_persist_first);
        {
            let mut state = self.state.borrow_mut();
            if !persist_actions.is_empty() {
                state.batch += 1;
                let write = DiskWrite {
                    actions: persist_actions,
                    ..state.new_disk_write()
                };
                if self.disk.try_send(write).is_err() {
                    tracing::error!(target: "group", "disk: write queue is full; the replica stops");
                    state.replica = None;
                    return;
                }
            }
            let batch = state.batch;
            state.outbox.push_back((batch, deferred_actions));
        }
        self.run_synced_actions(0);
        self.wake_changed.notify_one();
    }

    /// Runs the actions that waited for the disk, up to the last synced batch.
    fn run_synced_actions(self: &Rc<Self>, newly_synced: u64) {
        let mut runnable = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.synced_batch = state.synced_batch.max(newly_synced);
            let synced_batch = state.synced_batch;
            while let Some((batch, _)) = state.outbox.front() {
                if *batch > synced_batch {
                    break;
                }
                if let Some((_, actions)) = state.outbox.pop_front() {
                    runnable.extend(actions);
                }
            }
        }
        self.run_actions(runnable);
    }

    fn run_actions(self: &Rc<Self>, actions: Vec<ReplicaAction>) {
        for action in actions {
            self.run_action(action);
        }
    }

    fn run_action(self: &Rc<Self>, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                let state = self.state.borrow();
                let address = state.replica_address(to);
                let link = address.and_then(|address| state.links.get(&address));
                if let Some(link) = link {
                    let from = self.local_member.id;
                    // If the link's ring is full, the message is lost, as it might be
                    // on the network.
                    let _ = link.offer(GroupMessage::Replica { from, to, message });
                } else if let Some(address) = address {
                    drop(state);
                    self.ensure_link(address);
                }
            }
            ReplicaAction::Complete { tag, result } => {
                let pending_reply = self.state.borrow_mut().pending_replies.remove(&tag);
                if let Some(pending_reply) = pending_reply {
                    // The requester may have timed out.
                    let _ = pending_reply.send(self.build_reply(result));
                }
            }
            ReplicaAction::StateChanged => self.publish(),
            ReplicaAction::RoleChanged { term, leads } => {
                tracing::info!(target: "group", term, leads, "replica: role changed");
                if leads {
                    let now = self.now();
                    self.state.borrow_mut().cap_owner.empty_buckets(now);
                }
            }
            ReplicaAction::PersistHardState(_)
            | ReplicaAction::PersistEntry(_)
            | ReplicaAction::PersistCommitIndex(_)
            | ReplicaAction::PersistSnapshot { .. } => {}
        }
    }

    fn build_reply(&self, result: ProposalResult) -> LeaderReply {
        match result {
            ProposalResult::Done(outcome) => LeaderReply::Done(outcome),
            ProposalResult::NotLeader(_) | ProposalResult::Unknown => LeaderReply::Unknown,
        }
    }

    /// Puts the state that the replica has committed in force and sends it to the
    /// entries.
    pub fn publish(&self) {
        self.publish_evacuations();
        self.publish_rollouts();
        self.publish_routes();
        self.state_published.notify_waiters();
    }

    /// Applies a change of the evacuated failure domains. All subscribed entries get it
    /// immediately, whichever instance is their source, since each must obey within
    /// seconds.
    fn publish_evacuations(&self) {
        let mut state = self.state.borrow_mut();
        let Some(replica) = &state.replica else {
            return;
        };
        let registry = replica.state().evacuations();
        if registry.revision() <= state.evacuations.revision {
            return;
        }
        let published = PublishedEvacuations {
            revision: registry.revision(),
            domains: registry.evacuated().map(Into::into).collect(),
        };
        tracing::info!(target: "group", revision = published.revision, domains = ?published.domains, "evacuation: in force");
        let message = published.to_message();
        state.evacuations = published;
        state.send_to_entries(message);
    }

    /// Applies a new version of the route table. Full subscribers get the table; the
    /// others get a status message with its version.
    fn publish_routes(&self) {
        let mut state = self.state.borrow_mut();
        let Some(replica) = &state.replica else {
            return;
        };
        let members: Vec<_> = replica
            .member_records()
            .iter()
            .map(|member| member.address)
            .collect();
        let committed = replica.state();
        let version = committed.route_version();
        if version <= state.published_table.version {
            tracing::info!(target: "group", ?members, "group: members");
            return;
        }
        let packed = Rc::new(committed.route_text().to_vec());
        tracing::info!(target: "group", table_version = version, ?members, "table: in force");
        state.published_table = PublishedTable { version, packed };
        let routes = state.published_table.to_message();
        state.send_to_full_subscribers(routes);
        let status = self.build_status(&state);
        state.send_to_urgent_subscribers(status);
        let packed = state.published_table.packed.clone();
        drop(state);
        self.apply_table(&packed);
    }

    /// Applies the services and usage caps of the route table in force. `packed` is the
    /// compressed text that the operator sent.
    fn apply_table(&self, packed: &[u8]) {
        let table = unpack(packed).ok();
        let table = table.and_then(|text| (self.read_table)(&text).ok());
        let Some(table) = table else {
            return;
        };
        let services = table.services.iter();
        let services = services.map(|service| service.name.as_str().into());
        self.state.borrow_mut().services = services.collect();
        // The table was checked when it was accepted.
        let workspaces = table.workspaces.unwrap_or_default();
        let registry = WorkspaceRegistry::check(workspaces, &mut FindingList::default());
        let capped = registry.rules().iter().filter_map(|workspace| {
            let cap = workspace.cap?;
            Some((workspace.name.as_str().into(), cap))
        });
        let caps: Vec<_> = capped.collect();
        self.state.borrow_mut().workspaces = registry;
        self.apply_caps(&caps);
    }

    /// Waits for a limited time until this instance has applied the state up to `mark`.
    /// Returns whether that succeeded.
    pub async fn wait_published(&self, mark: ControlRevisions) -> bool {
        let wait = async {
            loop {
                let changed = self.state_published.notified();
                if self.state.borrow().has_reached(mark) {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(LEADER_REPLY_TIMEOUT, wait)
            .await
            .is_ok()
    }

    /// Proposes a change to the leader, wherever the leader runs.
    pub async fn propose(self: &Rc<Self>, command: ControlCommand) -> LeaderReply {
        self.request_leader(LeaderRequest::Propose(command)).await
    }

    /// Returns how far the committed state has come, as confirmed by the leader and a
    /// quorum.
    pub async fn read_confirmed(self: &Rc<Self>) -> LeaderReply {
        self.request_leader(LeaderRequest::Read).await
    }

    /// Executes a request on the leader, whether that is this instance or another one.
    /// Waits for a leader if there is none; returns [`LeaderReply::Unknown`] on timeout.
    pub(super) async fn request_leader(self: &Rc<Self>, ask: LeaderRequest) -> LeaderReply {
        let wait = async {
            loop {
                if self.is_leader() {
                    return match ask {
                        LeaderRequest::Propose(command) => self.propose_as_leader(command).await,
                        LeaderRequest::Read => self.read_as_leader().await,
                        LeaderRequest::Caps(asks) => self.grant_as_leader(&asks),
                    };
                }
                if let Some(reply_receiver) = self.send_to_leader(&ask) {
                    return reply_receiver.await.unwrap_or(LeaderReply::Unknown);
                }
                tokio::time::sleep(LEADER_RETRY_INTERVAL).await;
            }
        };
        let reply = tokio::time::timeout(LEADER_REPLY_TIMEOUT, wait).await;
        reply.unwrap_or(LeaderReply::Unknown)
    }

    pub(super) fn is_leader(&self) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        replica.is_some_and(ReplicaMachine::is_leader)
    }

    /// Sends a request to the leader over its link. Returns the receiver of the reply, or
    /// `None` if no leader is known or the link does not accept the message.
    fn send_to_leader(&self, ask: &LeaderRequest) -> Option<oneshot::Receiver<LeaderReply>> {
        let tag = self.next_tag();
        let mut state = self.state.borrow_mut();
        let leader = state.replica.as_ref()?.leader()?;
        let address = state.replica_address(leader)?;
        let (sender, receiver) = oneshot::channel();
        let ask = ask.clone();
        state
            .links
            .get(&address)?
            .offer(GroupMessage::Ask { tag, ask })
            .ok()?;
        state.pending_replies.insert(tag, sender);
        Some(receiver)
    }

    /// Proposes a change if this instance is the leader.
    ///
    /// Refuses it until the group has reached its target size: an acknowledged change
    /// must survive the number of lost replicas that the settings tolerate.
    pub async fn propose_as_leader(self: &Rc<Self>, command: ControlCommand) -> LeaderReply {
        let is_founded = {
            let state = self.state.borrow();
            let replica = state.replica.as_ref();
            replica.is_some_and(|replica| replica.state().is_founded())
        };
        if !is_founded {
            return LeaderReply::Unknown;
        }
        self.step_and_wait(|tag| ReplicaInput::Propose { tag, command })
            .await
    }

    /// Returns how far the committed state has come, as confirmed by a quorum, if this
    /// instance is the leader.
    pub async fn read_as_leader(self: &Rc<Self>) -> LeaderReply {
        match self.step_and_wait(|tag| ReplicaInput::Read { tag }).await {
            LeaderReply::Done(_) => LeaderReply::Mark(self.state.borrow().current_mark()),
            _ => LeaderReply::Unknown,
        }
    }

    /// Passes an input with a new tag to the replica and waits for its result.
    async fn step_and_wait(
        self: &Rc<Self>,
        input: impl FnOnce(u64) -> ReplicaInput,
    ) -> LeaderReply {
        let tag = self.next_tag();
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().pending_replies.insert(tag, sender);
        self.step_replica(input(tag));
        let reply = tokio::time::timeout(LEADER_REPLY_TIMEOUT, receiver).await;
        self.state.borrow_mut().pending_replies.remove(&tag);
        match reply {
            Ok(Ok(reply)) => reply,
            _ => LeaderReply::Unknown,
        }
    }

    /// Wakes the replica whenever its next timer is due.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = {
                let state = self.state.borrow();
                state.replica.as_ref().map(ReplicaMachine::next_wake)
            };
            let Some(next) = next else {
                self.wake_changed.notified().await;
                continue;
            };
            let wait = self.clock.sleep_time_until(next);
            tokio::select! {
                () = tokio::time::sleep(wait) => self.step_replica(ReplicaInput::Wake),
                () = self.wake_changed.notified() => {}
            }
        }
    }

    /// Handles the events of the disk thread, until that thread ends.
    pub async fn handle_disk_events(self: Rc<Self>, mut events: RingReceiver<DiskEvent>) {
        while let Some(event) = events.recv().await {
            match event {
                DiskEvent::Synced(batch) => self.run_synced_actions(batch),
                DiskEvent::DeparturesSynced(recorded) => self.record_departures_synced(recorded),
                DiskEvent::Failed(error) => {
                    tracing::error!(target: "group", "disk: write failed; the replica stops until the store is reopened, {error}");
                    let mut state = self.state.borrow_mut();
                    state.replica = None;
                    state.outbox = VecDeque::new();
                    state.pending_replies.clear();
                }
                DiskEvent::Reopened(epoch, kept) => {
                    tracing::warn!(target: "group", "disk: store reopened; the replica continues from the state on disk");
                    let tolerate = self.settings.tolerate;
                    let replica = create_replica(self.local_member.id, *kept, tolerate, self.now());
                    {
                        let mut state = self.state.borrow_mut();
                        state.epoch = epoch;
                        state.synced_batch = state.batch;
                        state.replica = Some(replica);
                    }
                    self.publish();
                    self.wake_changed.notify_one();
                    // Writes of suspect records and departures for the previous epoch were
                    // dropped; write them again.
                    self.suspects_to_persist.notify_one();
                    self.departures_to_persist.notify_one();
                }
            }
        }
    }
}
