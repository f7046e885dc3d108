//! A group on a wire and disks that a play harms.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use wheelmast_core::process::control::log::{LogEntry, ReplicaId};
use wheelmast_core::process::control::message::{
    ProposalEnd, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaRules, ReplicaStart};
use wheelmast_core::process::control::state::{ControlCommand, MemberRecord};

use crate::disk::Disk;

/// Messages at one moment that no group should need.
const STORM: usize = 5000;

#[derive(Debug, Clone)]
pub(crate) enum Event {
    Advance(u16),
    Deliver(u8),
    DeliverAll,
    Drop(u8),
    /// Cuts what one node sends, or also what it gets.
    Cut(u8, bool),
    Heal,
    Kill(u8),
    Start(u8),
    /// A node loses its disk and starts as another.
    Wipe(u8),
    Stall(u8),
    Propose(u8),
    Read(u8),
    HandOver(u8),
}

pub(crate) fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1u16..400).prop_map(Event::Advance),
        8 => any::<u8>().prop_map(Event::Deliver),
        14 => Just(Event::DeliverAll),
        2 => any::<u8>().prop_map(Event::Drop),
        1 => (any::<u8>(), any::<bool>()).prop_map(|(node, both)| Event::Cut(node, both)),
        3 => Just(Event::Heal),
        1 => any::<u8>().prop_map(Event::Kill),
        3 => any::<u8>().prop_map(Event::Start),
        1 => any::<u8>().prop_map(Event::Wipe),
        1 => any::<u8>().prop_map(Event::Stall),
        5 => any::<u8>().prop_map(Event::Propose),
        4 => any::<u8>().prop_map(Event::Read),
        1 => any::<u8>().prop_map(Event::HandOver),
    ]
}

pub(crate) struct Node {
    pub(crate) id: ReplicaId,
    machine: Option<ReplicaMachine>,
    disk: Disk,
    stalled: bool,
    /// What waits for a stalled disk.
    held: Vec<ReplicaAction>,
    /// Cut: what it sends, what it gets.
    cut: (bool, bool),
    /// Highest version that was in force in this lifetime.
    in_force: u64,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Broken {
    two_leaders: u32,
    lost_change: u32,
    pub(crate) stale_read: u32,
    unequal: u32,
    went_back: u32,
    not_mended: u32,
    storms: u32,
    two_changes: u32,
}

impl Broken {
    pub(crate) fn total(&self) -> u32 {
        self.two_leaders
            + self.lost_change
            + self.stale_read
            + self.unequal
            + self.went_back
            + self.not_mended
            + self.storms
            + self.two_changes
    }
}

/// What a wiped node is: another, or (a fault) itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WipedName {
    New,
    Old,
}

pub(crate) struct Group {
    pub(crate) nodes: Vec<Node>,
    size: usize,
    rules: ReplicaRules,
    wiped: WipedName,
    pub(crate) now: Duration,
    pub(crate) wire: Vec<(usize, ReplicaId, ReplicaId, ReplicaMessage)>,
    next_id: ReplicaId,
    seed: u64,
    versions: u64,
    /// Versions proposed, by tag.
    proposed: BTreeMap<u64, u64>,
    /// Highest version acknowledged when a read began, by tag.
    pub(crate) reads: BTreeMap<u64, (usize, u64)>,
    pub(crate) acknowledged: u64,
    pub(crate) tags: u64,
    leaders: BTreeMap<u64, ReplicaId>,
    pub(crate) broken: Broken,
}

impl Group {
    pub(crate) fn new(
        count: usize,
        size: usize,
        rules: ReplicaRules,
        wiped: WipedName,
        seed: u64,
    ) -> Group {
        let nodes = (0..count).map(|_| Node {
            id: 0,
            machine: None,
            disk: Disk::default(),
            stalled: false,
            held: Vec::new(),
            cut: (false, false),
            in_force: 0,
        });
        let mut group = Group {
            nodes: nodes.collect(),
            size,
            rules,
            wiped,
            now: Duration::from_secs(1),
            wire: Vec::new(),
            next_id: 10,
            seed,
            versions: 0,
            proposed: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged: 0,
            tags: 0,
            leaders: BTreeMap::new(),
            broken: Broken::default(),
        };
        for node in 0..count {
            group.nodes[node].id = group.draw_id();
            group.start(node);
        }
        let founder = group.record(0);
        group.step(0, ReplicaInput::Found(founder));
        group.settle(4000);
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
            size: self.size,
            hard: disk.hard,
            snapshot: (disk.place, disk.state),
            entries: disk.entries,
            commit: disk.commit,
            timing: ReplicaTiming::default(),
            rules: self.rules,
            seed: self.seed,
        };
        state.stalled = false;
        state.held.clear();
        state.machine = Some(ReplicaMachine::new(start, self.now));
        state.in_force = 0;
    }

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
                self.broken.two_leaders += 1;
            }
        }
        if machine.is_leader() {
            let commit = machine.commit_index();
            let kept = self.nodes[node].disk.entries.iter();
            let open = kept.filter(|entry| entry.index > commit && names_members(entry));
            let named = out.iter().any(|action| match action {
                ReplicaAction::KeepEntry(entry) => names_members(entry),
                _ => false,
            });
            if named && open.count() > 0 {
                self.broken.two_changes += 1;
            }
        }
        self.nodes[node].held.extend(out);
        self.release(node);
    }

    /// Does what a node asks for, in order; a stalled disk holds up what it is
    /// to keep and all that comes after.
    fn release(&mut self, node: usize) {
        let held = std::mem::take(&mut self.nodes[node].held);
        let mut held = held.into_iter();
        while let Some(action) = held.next() {
            if action.is_kept() && self.nodes[node].stalled {
                self.nodes[node].held.push(action);
                self.nodes[node].held.extend(held);
                return;
            }
            self.nodes[node].disk.persist_action(&action);
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                let from = self.nodes[node].id;
                self.wire.push((node, from, to, message));
            }
            ReplicaAction::End { tag, end } => self.end(node, tag, end),
            ReplicaAction::Changed => {
                let version = self.version(node);
                let known = &mut self.nodes[node].in_force;
                if version < *known {
                    self.broken.went_back += 1;
                }
                *known = version.max(*known);
            }
            _ => {}
        }
    }

    fn end(&mut self, node: usize, tag: u64, end: ProposalEnd) {
        let done = matches!(end, ProposalEnd::Done(_));
        if let Some(version) = self.proposed.remove(&tag) {
            if done {
                self.acknowledged = self.acknowledged.max(version);
            }
        }
        if let Some((_, before)) = self.reads.remove(&tag) {
            if done && self.version(node) < before {
                self.broken.stale_read += 1;
            }
        }
    }

    fn version(&self, node: usize) -> u64 {
        let machine = self.nodes[node].machine.as_ref();
        machine.map_or(0, |machine| machine.state().route_version())
    }

    pub(crate) fn deliver(&mut self, place: usize) {
        let (sender, from, to, message) = self.wire.remove(place);
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
        self.greet();
    }

    /// Nodes without a vote, or without a leader, ask to be kept up to date.
    fn greet(&mut self) {
        let learners: Vec<usize> = (0..self.nodes.len())
            .filter(|node| {
                let machine = self.nodes[*node].machine.as_ref();
                machine.is_some_and(ReplicaMachine::asks_to_learn)
            })
            .filter(|node| !self.nodes[*node].cut.0)
            .collect();
        for learner in learners {
            for node in 0..self.nodes.len() {
                if node != learner && !self.nodes[node].cut.1 {
                    let record = self.record(learner);
                    self.step(node, ReplicaInput::Learner(record));
                }
            }
        }
    }

    pub(crate) fn settle(&mut self, millis: u64) {
        for _ in 0..millis / 20 {
            self.advance(20);
            let mut delivered = 0;
            while !self.wire.is_empty() {
                self.deliver(0);
                delivered += 1;
                if delivered > STORM {
                    self.broken.storms += 1;
                    self.wire.clear();
                }
            }
        }
    }

    /// Tells whether the group is whole: every member lives, has its disk, and
    /// holds all that was acknowledged.
    fn is_whole(&self) -> bool {
        let machines = self.nodes.iter().filter_map(|node| node.machine.as_ref());
        let leaders = machines.filter(|machine| machine.is_leader());
        let leader = leaders.max_by_key(|machine| machine.term());
        let Some(leader) = leader else {
            return false;
        };
        // A repair counts once it is decided.
        let members = leader.state().members();
        members == leader.member_records()
            && members.len() >= self.size
            && members.iter().all(|member| {
                let node = self.nodes.iter().find(|node| node.id == member.id);
                node.is_some_and(|node| {
                    !node.stalled
                        && node
                            .machine
                            .as_ref()
                            .is_some_and(|machine| machine.commit_index() >= leader.commit_index())
                })
            })
    }

    fn down(&self) -> usize {
        let down = self.nodes.iter().filter(|node| node.machine.is_none());
        down.count()
    }

    pub(crate) fn play(&mut self, event: &Event) {
        let count = self.nodes.len();
        let at = |pick: u8| usize::from(pick) % count;
        match *event {
            Event::Advance(millis) => self.advance(u64::from(millis)),
            Event::Deliver(pick) if !self.wire.is_empty() => {
                self.deliver(usize::from(pick) % self.wire.len());
            }
            Event::Drop(pick) if !self.wire.is_empty() => {
                let place = usize::from(pick) % self.wire.len();
                self.wire.remove(place);
            }
            Event::Deliver(_) | Event::Drop(_) => {}
            Event::DeliverAll => {
                for _ in 0..self.wire.len() {
                    self.deliver(0);
                }
            }
            Event::Cut(pick, both) => self.nodes[at(pick)].cut = (true, both),
            Event::Heal => self.heal(),
            Event::Kill(pick) => {
                // What its disk has not taken yet is gone with it.
                self.nodes[at(pick)].machine = None;
                self.nodes[at(pick)].held.clear();
            }
            Event::Start(pick) => self.start(at(pick)),
            Event::Wipe(pick) if self.is_whole() && self.down() == 0 => self.wipe(at(pick)),
            Event::Wipe(_) => {}
            Event::Stall(pick) => self.nodes[at(pick)].stalled = true,
            Event::Propose(pick) => self.propose(at(pick)),
            Event::Read(pick) => {
                self.tags += 1;
                let node = at(pick);
                self.reads.insert(self.tags, (node, self.acknowledged));
                self.step(node, ReplicaInput::Read { tag: self.tags });
            }
            Event::HandOver(pick) => self.step(at(pick), ReplicaInput::HandOver),
        }
    }

    pub(crate) fn propose(&mut self, node: usize) {
        let machine = self.nodes[node].machine.as_ref();
        if !machine.is_some_and(|machine| machine.state().is_founded()) {
            return;
        }
        self.tags += 1;
        self.versions += 1;
        self.proposed.insert(self.tags, self.versions);
        let command = ControlCommand::Route {
            version: self.versions,
            base: None,
            text: self.versions.to_string().into_bytes(),
        };
        let tag = self.tags;
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    fn wipe(&mut self, node: usize) {
        let id = match self.wiped {
            WipedName::New => self.draw_id(),
            WipedName::Old => self.nodes[node].id,
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
            self.nodes[node].stalled = false;
            self.release(node);
        }
    }

    /// Ends all trouble and looks at what is left.
    pub(crate) fn finish(mut self) -> Broken {
        self.heal();
        for node in 0..self.nodes.len() {
            self.start(node);
        }
        self.settle(12_000);
        if !self.is_whole() {
            self.broken.not_mended += 1;
        }
        let versions: BTreeSet<u64> = (0..self.nodes.len())
            .map(|node| self.version(node))
            .collect();
        if versions.len() > 1 {
            self.broken.unequal += 1;
        }
        if versions
            .first()
            .is_some_and(|least| *least < self.acknowledged)
        {
            self.broken.lost_change += 1;
        }
        self.broken
    }
}

fn names_members(entry: &LogEntry) -> bool {
    matches!(entry.command, ControlCommand::Members { .. })
}
