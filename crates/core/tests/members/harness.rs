//! Simulates a control group with a network and disks on which random events inject
//! faults, and counts violated invariants.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use wheelmast_core::process::control::log::{LogEntry, ReplicaId};
use wheelmast_core::process::control::message::{
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::{ControlCommand, MemberRecord};

use crate::disk::Disk;

/// Maximum number of messages delivered in one step of time; more is a message storm.
const MAX_MESSAGES_PER_STEP: usize = 5000;

/// A random event; numbers select a node, or a message in flight, modulo the count.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    /// Advances the clock by this many milliseconds.
    Advance(u16),
    Deliver(u8),
    DeliverAll,
    Drop(u8),
    /// Drops what a node sends and, if true, also what is sent to the node.
    Cut(u8, bool),
    /// Ends all cuts and disk stalls.
    Heal,
    Kill(u8),
    Start(u8),
    /// Deletes a node's disk and restarts the node.
    Wipe(u8),
    /// Stalls a node's disk: writes wait until the next heal.
    Stall(u8),
    Propose(u8),
    Read(u8),
    TransferLeadership(u8),
}

pub(crate) fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1u16..400).prop_map(Event::Advance),
        8 => any::<u8>().prop_map(Event::Deliver),
        14 => Just(Event::DeliverAll),
        2 => any::<u8>().prop_map(Event::Drop),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(node, cuts_inbound)| Event::Cut(node, cuts_inbound)),
        3 => Just(Event::Heal),
        1 => any::<u8>().prop_map(Event::Kill),
        3 => any::<u8>().prop_map(Event::Start),
        1 => any::<u8>().prop_map(Event::Wipe),
        1 => any::<u8>().prop_map(Event::Stall),
        5 => any::<u8>().prop_map(Event::Propose),
        4 => any::<u8>().prop_map(Event::Read),
        1 => any::<u8>().prop_map(Event::TransferLeadership),
    ]
}

pub(crate) struct Node {
    pub(crate) id: ReplicaId,
    machine: Option<ReplicaMachine>,
    disk: Disk,
    is_stalled: bool,
    /// Actions that wait for a stalled disk, in order.
    pending_actions: Vec<ReplicaAction>,
    /// Whether messages from the node, and to the node, are dropped.
    cut: (bool, bool),
    /// Highest route table version seen since the node started.
    highest_version: u64,
}

/// Number of violations by invariant.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Violations {
    leaders_in_one_term: u32,
    lost_changes: u32,
    pub(crate) stale_reads: u32,
    diverged_states: u32,
    version_regressions: u32,
    unrepaired_groups: u32,
    message_storms: u32,
    concurrent_member_changes: u32,
}

impl Violations {
    pub(crate) fn total(&self) -> u32 {
        self.leaders_in_one_term
            + self.lost_changes
            + self.stale_reads
            + self.diverged_states
            + self.version_regressions
            + self.unrepaired_groups
            + self.message_storms
            + self.concurrent_member_changes
    }
}

/// Identity of a node after its disk was wiped: a new one, or its old one (a fault
/// that the harness must notice).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WipedIdentity {
    New,
    Old,
}

pub(crate) struct Group {
    pub(crate) nodes: Vec<Node>,
    target_size: usize,
    safety_checks: SafetyChecks,
    wiped_identity: WipedIdentity,
    pub(crate) now: Duration,
    /// Messages in flight: sending node, sender's identity, receiver's identity.
    pub(crate) in_flight: Vec<(usize, ReplicaId, ReplicaId, ReplicaMessage)>,
    next_id: ReplicaId,
    seed: u64,
    /// Last route table version that was proposed.
    last_version: u64,
    /// Proposed route table versions, by proposal tag.
    proposed: BTreeMap<u64, u64>,
    /// Reading node and highest version acknowledged when the read began, by tag.
    pub(crate) reads: BTreeMap<u64, (usize, u64)>,
    /// Highest route table version that was acknowledged to a proposer.
    pub(crate) acknowledged_version: u64,
    pub(crate) last_tag: u64,
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    pub(crate) violations: Violations,
}

impl Group {
    pub(crate) fn new(
        count: usize,
        target_size: usize,
        safety_checks: SafetyChecks,
        wiped_identity: WipedIdentity,
        seed: u64,
    ) -> Group {
        let nodes = (0..count).map(|_| Node {
            id: 0,
            machine: None,
            disk: Disk::default(),
            is_stalled: false,
            pending_actions: Vec::new(),
            cut: (false, false),
            highest_version: 0,
        });
        let mut group = Group {
            nodes: nodes.collect(),
            target_size,
            safety_checks,
            wiped_identity,
            now: Duration::from_secs(1),
            in_flight: Vec::new(),
            next_id: 10,
            seed,
            last_version: 0,
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged_version: 0,
            last_tag: 0,
            leaders: BTreeMap::new(),
            violations: Violations::default(),
        };
        for node in 0..count {
            group.nodes[node].id = group.draw_id();
            group.start(node);
        }
        let founder = group.record(0);
        group.step(0, ReplicaInput::Bootstrap(founder));
        group.run_for(4000);
        group
    }

    fn draw_id(&mut self) -> ReplicaId {
        self.next_id += 1;
        self.next_id
    }

    fn record(&self, node: usize) -> MemberRecord {
        MemberRecord {
            id: self.nodes[node].id,
            instance: format!("node-{node}").into(),
            address: ([127, 0, 0, 1], 100 + node as u16).into(),
        }
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            return;
        }
        self.seed += 1;
        let state = &mut self.nodes[node];
        let disk = state.disk.clone();
        let start = ReplicaStart {
            id: state.id,
            members: Vec::new(),
            target_size: self.target_size,
            hard_state: disk.hard_state,
            snapshot: (disk.place, disk.state),
            entries: disk.entries,
            commit: disk.commit,
            timing: ReplicaTiming::default(),
            safety_checks: self.safety_checks,
            seed: self.seed,
        };
        state.is_stalled = false;
        state.pending_actions.clear();
        state.machine = Some(ReplicaMachine::new(start, self.now));
        state.highest_version = 0;
    }

    /// Passes an input to a node's state machine, checks the leader invariants, and
    /// runs the resulting actions.
    pub(crate) fn step(&mut self, node: usize, input: ReplicaInput) {
        let mut out = Vec::new();
        let Some(machine) = &mut self.nodes[node].machine else {
            return;
        };
        machine.step(self.now, input, &mut out);
        if machine.is_leader() {
            let (term, id) = (machine.term(), machine.id());
            let known = *self.leaders.entry(term).or_insert(id);
            if known != id {
                self.violations.leaders_in_one_term += 1;
            }
        }
        if machine.is_leader() {
            let commit = machine.commit_index();
            let persisted = self.nodes[node].disk.entries.iter();
            let uncommitted =
                persisted.filter(|entry| entry.index > commit && is_membership_change(entry));
            let proposes_members = out.iter().any(|action| match action {
                ReplicaAction::PersistEntry(entry) => is_membership_change(entry),
                _ => false,
            });
            if proposes_members && uncommitted.count() > 0 {
                self.violations.concurrent_member_changes += 1;
            }
        }
        self.nodes[node].pending_actions.extend(out);
        self.run_pending_actions(node);
    }

    /// Runs a node's pending actions in order. On a stalled disk, an action that must
    /// be persisted waits, and so do all actions after it.
    fn run_pending_actions(&mut self, node: usize) {
        let pending_actions = std::mem::take(&mut self.nodes[node].pending_actions);
        let mut pending_actions = pending_actions.into_iter();
        while let Some(action) = pending_actions.next() {
            if action.must_persist_first() && self.nodes[node].is_stalled {
                self.nodes[node].pending_actions.push(action);
                self.nodes[node].pending_actions.extend(pending_actions);
                return;
            }
            self.nodes[node].disk.persist_action(&action);
            self.run_action(node, action);
        }
    }

    fn run_action(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                let from = self.nodes[node].id;
                self.in_flight.push((node, from, to, message));
            }
            ReplicaAction::Complete { tag, result } => self.handle_completion(node, tag, result),
            ReplicaAction::StateChanged => {
                let version = self.version(node);
                let known = &mut self.nodes[node].highest_version;
                if version < *known {
                    self.violations.version_regressions += 1;
                }
                *known = version.max(*known);
            }
            _ => {}
        }
    }

    /// Records the result of a proposal or read, and checks reads for staleness.
    fn handle_completion(&mut self, node: usize, tag: u64, result: ProposalResult) {
        let done = matches!(result, ProposalResult::Done(_));
        if let Some(version) = self.proposed.remove(&tag) {
            if done {
                self.acknowledged_version = self.acknowledged_version.max(version);
            }
        }
        if let Some((_, before)) = self.reads.remove(&tag) {
            if done && self.version(node) < before {
                self.violations.stale_reads += 1;
            }
        }
    }

    fn version(&self, node: usize) -> u64 {
        let machine = self.nodes[node].machine.as_ref();
        machine.map_or(0, |machine| machine.state().route_version())
    }

    pub(crate) fn deliver(&mut self, place: usize) {
        let (sender, from, to, message) = self.in_flight.remove(place);
        let Some(node) = self.nodes.iter().position(|node| node.id == to) else {
            return;
        };
        if self.nodes[sender].cut.0 || self.nodes[node].cut.1 {
            return;
        }
        self.step(node, ReplicaInput::Message { from, message });
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        for node in 0..self.nodes.len() {
            self.step(node, ReplicaInput::Wake);
        }
        self.send_learner_requests();
    }

    /// Lets every node that should join as a learner send its request to all others.
    fn send_learner_requests(&mut self) {
        let learners: Vec<usize> = (0..self.nodes.len())
            .filter(|node| {
                let machine = self.nodes[*node].machine.as_ref();
                machine.is_some_and(ReplicaMachine::should_join_as_learner)
            })
            .filter(|node| !self.nodes[*node].cut.0)
            .collect();
        for learner in learners {
            for node in 0..self.nodes.len() {
                if node != learner && !self.nodes[node].cut.1 {
                    let record = self.record(learner);
                    self.step(node, ReplicaInput::AddLearner(record));
                }
            }
        }
    }

    /// Runs the group for this time, delivering all messages at once.
    pub(crate) fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.advance(20);
            let mut delivered = 0;
            while !self.in_flight.is_empty() {
                self.deliver(0);
                delivered += 1;
                if delivered > MAX_MESSAGES_PER_STEP {
                    self.violations.message_storms += 1;
                    self.in_flight.clear();
                }
            }
        }
    }

    /// Returns whether the group has its target size, and every member is running, has
    /// a working disk, and has the leader's commit index.
    fn is_fully_repaired(&self) -> bool {
        let machines = self.nodes.iter().filter_map(|node| node.machine.as_ref());
        let leaders = machines.filter(|machine| machine.is_leader());
        let leader = leaders.max_by_key(|machine| machine.term());
        let Some(leader) = leader else {
            return false;
        };
        // A membership change counts only once it is committed.
        let members = leader.state().members();
        members == leader.member_records()
            && members.len() >= self.target_size
            && members.iter().all(|member| {
                let node = self.nodes.iter().find(|node| node.id == member.id);
                node.is_some_and(|node| {
                    !node.is_stalled
                        && node
                            .machine
                            .as_ref()
                            .is_some_and(|machine| machine.commit_index() >= leader.commit_index())
                })
            })
    }

    fn stopped_count(&self) -> usize {
        let stopped = self.nodes.iter().filter(|node| node.machine.is_none());
        stopped.count()
    }

    pub(crate) fn apply_event(&mut self, event: &Event) {
        let count = self.nodes.len();
        let at = |selector: u8| usize::from(selector) % count;
        match *event {
            Event::Advance(millis) => self.advance(u64::from(millis)),
            Event::Deliver(selector) if !self.in_flight.is_empty() => {
                self.deliver(usize::from(selector) % self.in_flight.len());
            }
            Event::Drop(selector) if !self.in_flight.is_empty() => {
                let place = usize::from(selector) % self.in_flight.len();
                self.in_flight.remove(place);
            }
            Event::Deliver(_) | Event::Drop(_) => {}
            Event::DeliverAll => {
                for _ in 0..self.in_flight.len() {
                    self.deliver(0);
                }
            }
            Event::Cut(selector, cuts_inbound) => {
                self.nodes[at(selector)].cut = (true, cuts_inbound)
            }
            Event::Heal => self.heal(),
            Event::Kill(selector) => {
                // Actions that were not yet persisted are lost with the process.
                self.nodes[at(selector)].machine = None;
                self.nodes[at(selector)].pending_actions.clear();
            }
            Event::Start(selector) => self.start(at(selector)),
            Event::Wipe(selector) if self.is_fully_repaired() && self.stopped_count() == 0 => {
                self.wipe(at(selector))
            }
            Event::Wipe(_) => {}
            Event::Stall(selector) => self.nodes[at(selector)].is_stalled = true,
            Event::Propose(selector) => self.propose(at(selector)),
            Event::Read(selector) => {
                self.last_tag += 1;
                let node = at(selector);
                self.reads
                    .insert(self.last_tag, (node, self.acknowledged_version));
                self.step(node, ReplicaInput::Read { tag: self.last_tag });
            }
            Event::TransferLeadership(selector) => {
                self.step(at(selector), ReplicaInput::TransferLeadership)
            }
        }
    }

    /// Proposes the next route table version at a node.
    pub(crate) fn propose(&mut self, node: usize) {
        let machine = self.nodes[node].machine.as_ref();
        if !machine.is_some_and(|machine| machine.state().is_founded()) {
            return;
        }
        self.last_tag += 1;
        self.last_version += 1;
        self.proposed.insert(self.last_tag, self.last_version);
        let command = ControlCommand::Route {
            version: self.last_version,
            base: None,
            text: self.last_version.to_string().into_bytes(),
        };
        let tag = self.last_tag;
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    fn wipe(&mut self, node: usize) {
        let id = match self.wiped_identity {
            WipedIdentity::New => self.draw_id(),
            WipedIdentity::Old => self.nodes[node].id,
        };
        let state = &mut self.nodes[node];
        state.machine = None;
        state.disk = Disk::default();
        state.id = id;
        self.start(node);
    }

    fn heal(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].cut = (false, false);
            self.nodes[node].is_stalled = false;
            self.run_pending_actions(node);
        }
    }

    /// Heals all faults, restarts all nodes, and checks the final state.
    pub(crate) fn finish(mut self) -> Violations {
        self.heal();
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        self.run_for(12_000);
        if !self.is_fully_repaired() {
            self.violations.unrepaired_groups += 1;
        }
        let versions: BTreeSet<u64> = (0..self.nodes.len())
            .map(|node| self.version(node))
            .collect();
        if versions.len() > 1 {
            self.violations.diverged_states += 1;
        }
        if versions
            .first()
            .is_some_and(|least| *least < self.acknowledged_version)
        {
            self.violations.lost_changes += 1;
        }
        self.violations
    }
}

fn is_membership_change(entry: &LogEntry) -> bool {
    matches!(entry.command, ControlCommand::Members { .. })
}
