//! Driving the replica: its disk, its messages, its proposals and reads.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::control::message::{
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::ControlCommand;
use wheelmast_wire::group::{ControlRevisions, GroupMessage, LeaderReply, LeaderRequest};
use wheelmast_wire::pack::unpack;

use crate::process::group::disk::{DiskNote, DiskOrder};
use crate::process::group::node::GroupNode;
use crate::process::group::state::{PublishedEvacuations, PublishedTable};
use crate::process::store::replica_store::KeptState;
use crate::ring::RingReceiver;

/// Longest time that a question to the leader may take.
const ASK_TIME: Duration = Duration::from_millis(850);
/// Pause before a leader is looked for again.
const LEADER_PAUSE: Duration = Duration::from_millis(20);
/// Timing of the replicas.
const TIMING: ReplicaTiming = ReplicaTiming {
    heartbeat: Duration::from_millis(120),
    election: Duration::from_millis(600),
};

/// Returns a replica that goes on with what its disk holds.
pub fn make_replica(id: u64, kept: KeptState, tolerate: usize, now: Duration) -> ReplicaMachine {
    let start = ReplicaStart {
        id,
        members: Vec::new(),
        target_size: tolerate * 2 + 1,
        hard_state: kept.hard_state,
        snapshot: (kept.place, kept.state),
        entries: kept.entries,
        commit: kept.commit,
        timing: TIMING,
        safety_checks: SafetyChecks::default(),
        seed: rand::random(),
    };
    ReplicaMachine::new(start, now)
}

impl GroupNode {
    /// Steps the replica. What it sends waits until what it keeps lasts; the
    /// order is kept, so that a stalled disk under a leader silences it and
    /// another is elected.
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
        let (keeps, others): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(ReplicaAction::must_persist_first);
        {
            let mut state = self.state.borrow_mut();
            if !keeps.is_empty() {
                state.batch += 1;
                let order = DiskOrder {
                    actions: keeps,
                    ..state.disk_order()
                };
                if self.disk.try_send(order).is_err() {
                    tracing::error!(target: "group", "disk: too much waits for it");
                    state.replica = None;
                    return;
                }
            }
            let batch = state.batch;
            state.outbox.push_back((batch, others));
        }
        self.flush(0);
        self.wake.notify_one();
    }

    /// Does what waited for the disk, up to a batch that lasts.
    fn flush(self: &Rc<Self>, done: u64) {
        let mut ready = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            state.lasting = state.lasting.max(done);
            let lasts = state.lasting;
            while let Some((batch, _)) = state.outbox.front() {
                if *batch > lasts {
                    break;
                }
                if let Some((_, actions)) = state.outbox.pop_front() {
                    ready.extend(actions);
                }
            }
        }
        self.act_all(ready);
    }

    fn act_all(self: &Rc<Self>, actions: Vec<ReplicaAction>) {
        for action in actions {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                let state = self.state.borrow();
                let address = state.address_of(to);
                let link = address.and_then(|address| state.links.get(&address));
                if let Some(link) = link {
                    let from = self.me.id;
                    // A full ring loses it, as the network may.
                    let _ = link.offer(GroupMessage::Replica { from, to, message });
                } else if let Some(address) = address {
                    drop(state);
                    self.meet(address);
                }
            }
            ReplicaAction::Complete { tag, result } => {
                let asked = self.state.borrow_mut().asks.remove(&tag);
                if let Some(asked) = asked {
                    // The asker may have given up.
                    let _ = asked.send(self.tell(result));
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

    fn tell(&self, result: ProposalResult) -> LeaderReply {
        match result {
            ProposalResult::Done(outcome) => LeaderReply::Done(outcome),
            ProposalResult::NotLeader(_) | ProposalResult::Unknown => LeaderReply::Unknown,
        }
    }

    /// Puts in force what the replica has and tells the entries.
    pub fn publish(&self) {
        self.publish_evacuations();
        self.publish_rollouts();
        self.publish_routes();
        self.published.notify_waiters();
    }

    /// Takes over which failure domains are out of use. Every entry is told:
    /// each has a few seconds to obey, whatever its source is.
    fn publish_evacuations(&self) {
        let mut state = self.state.borrow_mut();
        let Some(replica) = &state.replica else {
            return;
        };
        let book = replica.state().evacuations();
        if book.revision() <= state.evacuations.revision {
            return;
        }
        let published = PublishedEvacuations {
            revision: book.revision(),
            domains: book.evacuated().map(Into::into).collect(),
        };
        tracing::info!(target: "group", revision = published.revision, domains = ?published.domains, "evacuation: in force");
        let message = published.message();
        state.evacuations = published;
        state.tell_entries(message);
    }

    /// Puts the replica's table in force and tells the entries.
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
        if version <= state.published.version {
            tracing::info!(target: "group", ?members, "group: members");
            return;
        }
        let packed = Rc::new(committed.route_text().to_vec());
        tracing::info!(target: "group", table_version = version, ?members, "table: in force");
        state.published = PublishedTable { version, packed };
        let routes = state.published.message();
        state.tell_whole(routes);
        let here = self.here(&state);
        state.tell_urgent(here);
        let packed = state.published.packed.clone();
        drop(state);
        self.adopt_table(&packed);
    }

    /// Takes over the services and caps of a table in force, as it was sent and
    /// packed.
    fn adopt_table(&self, packed: &[u8]) {
        let table = unpack(packed).ok();
        let table = table.and_then(|text| (self.read_table)(&text).ok());
        let Some(table) = table else {
            return;
        };
        let services = table.services.iter();
        let services = services.map(|service| service.name.as_str().into());
        self.state.borrow_mut().services = services.collect();
        let workspaces = table.workspaces.unwrap_or_default();
        let capped = workspaces.into_iter().filter_map(|workspace| {
            let cap = workspace.cap?;
            Some((workspace.name.into(), cap))
        });
        let caps: Vec<_> = capped.collect();
        self.adopt_caps(&caps);
    }

    /// Waits until what is in force here has come as far as `mark`, for a short
    /// while.
    pub async fn wait_published(&self, mark: ControlRevisions) -> bool {
        let wait = async {
            loop {
                let changed = self.published.notified();
                if self.state.borrow().has_reached(mark) {
                    return;
                }
                changed.await;
            }
        };
        tokio::time::timeout(ASK_TIME, wait).await.is_ok()
    }

    /// Makes a change, wherever the leader is.
    pub async fn propose(self: &Rc<Self>, command: ControlCommand) -> LeaderReply {
        self.ask_leader(LeaderRequest::Propose(command)).await
    }

    /// Asks what is in force for sure, wherever the leader is.
    pub async fn read(self: &Rc<Self>) -> LeaderReply {
        self.ask_leader(LeaderRequest::Read).await
    }

    pub(super) async fn ask_leader(self: &Rc<Self>, ask: LeaderRequest) -> LeaderReply {
        let wait = async {
            loop {
                if self.leads() {
                    return match ask {
                        LeaderRequest::Propose(command) => self.propose_here(command).await,
                        LeaderRequest::Read => self.read_here().await,
                        LeaderRequest::Caps(asks) => self.grant_here(&asks),
                    };
                }
                if let Some(answer) = self.ask_over_link(&ask) {
                    return answer.await.unwrap_or(LeaderReply::Unknown);
                }
                tokio::time::sleep(LEADER_PAUSE).await;
            }
        };
        let told = tokio::time::timeout(ASK_TIME, wait).await;
        told.unwrap_or(LeaderReply::Unknown)
    }

    pub(super) fn leads(&self) -> bool {
        let state = self.state.borrow();
        let replica = state.replica.as_ref();
        replica.is_some_and(ReplicaMachine::is_leader)
    }

    fn ask_over_link(&self, ask: &LeaderRequest) -> Option<oneshot::Receiver<LeaderReply>> {
        let tag = self.next_tag();
        let mut state = self.state.borrow_mut();
        let leader = state.replica.as_ref()?.leader()?;
        let address = state.address_of(leader)?;
        let (sender, receiver) = oneshot::channel();
        let ask = ask.clone();
        state
            .links
            .get(&address)?
            .offer(GroupMessage::Ask { tag, ask })
            .ok()?;
        state.asks.insert(tag, sender);
        Some(receiver)
    }

    /// Makes a change, if this instance leads.
    ///
    /// Nothing is taken before the group has the size it needs: what is
    /// acknowledged must outlast the losses that are to be borne.
    pub async fn propose_here(self: &Rc<Self>, command: ControlCommand) -> LeaderReply {
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

    /// Asks what is in force for sure, if this instance leads.
    pub async fn read_here(self: &Rc<Self>) -> LeaderReply {
        match self.step_and_wait(|tag| ReplicaInput::Read { tag }).await {
            LeaderReply::Done(_) => LeaderReply::Mark(self.state.borrow().mark()),
            _ => LeaderReply::Unknown,
        }
    }

    async fn step_and_wait(
        self: &Rc<Self>,
        input: impl FnOnce(u64) -> ReplicaInput,
    ) -> LeaderReply {
        let tag = self.next_tag();
        let (sender, receiver) = oneshot::channel();
        self.state.borrow_mut().asks.insert(tag, sender);
        self.step_replica(input(tag));
        let told = tokio::time::timeout(ASK_TIME, receiver).await;
        self.state.borrow_mut().asks.remove(&tag);
        match told {
            Ok(Ok(tell)) => tell,
            _ => LeaderReply::Unknown,
        }
    }

    /// Wakes the replica when its timers are due.
    pub async fn keep_time(self: Rc<Self>) {
        loop {
            let next = {
                let state = self.state.borrow();
                state.replica.as_ref().map(ReplicaMachine::next_wake)
            };
            let Some(next) = next else {
                self.wake.notified().await;
                continue;
            };
            let wait = self.clock.sleep_until(next);
            tokio::select! {
                () = tokio::time::sleep(wait) => self.step_replica(ReplicaInput::Wake),
                () = self.wake.notified() => {}
            }
        }
    }

    /// Takes the notes of the disk thread.
    pub async fn take_notes(self: Rc<Self>, mut notes: RingReceiver<DiskNote>) {
        while let Some(note) = notes.recv().await {
            match note {
                DiskNote::Done(batch) => self.flush(batch),
                DiskNote::Failed(error) => {
                    tracing::error!(target: "group", "disk: replica steps aside, {error}");
                    let mut state = self.state.borrow_mut();
                    state.replica = None;
                    state.outbox = VecDeque::new();
                    state.asks.clear();
                }
                DiskNote::Opened(epoch, kept) => {
                    tracing::warn!(target: "group", "disk: replica goes on with what it holds");
                    let tolerate = self.settings.tolerate;
                    let replica = make_replica(self.me.id, *kept, tolerate, self.now());
                    {
                        let mut state = self.state.borrow_mut();
                        state.epoch = epoch;
                        state.lasting = state.batch;
                        state.replica = Some(replica);
                    }
                    self.publish();
                    self.wake.notify_one();
                    // What was given for the former opening is not kept.
                    self.suspects_changed.notify_one();
                }
            }
        }
    }
}
