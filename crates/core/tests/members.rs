//! A group that keeps its replicas in its own log: founding, learners, lost
//! disks, replacements, stalled disks, one-way cuts, sure reads.

#[path = "support/disk.rs"]
mod disk;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use disk::Disk;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use wheelmast_core::process::control::log::{LogEntry, ReplicaId};
use wheelmast_core::process::control::message::{
    ProposalEnd, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaRules, ReplicaStart};
use wheelmast_core::process::control::state::{ControlCommand, MemberRecord};

/// Messages at one moment that no group should need.
const STORM: usize = 5000;

#[derive(Debug, Clone)]
enum Event {
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

fn event() -> impl Strategy<Value = Event> {
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

struct Node {
    id: ReplicaId,
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
struct Broken {
    two_leaders: u32,
    lost_change: u32,
    stale_read: u32,
    unequal: u32,
    went_back: u32,
    not_mended: u32,
    storms: u32,
    two_changes: u32,
}

impl Broken {
    fn total(&self) -> u32 {
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
enum WipedName {
    New,
    Old,
}

struct Group {
    nodes: Vec<Node>,
    size: usize,
    rules: ReplicaRules,
    wiped: WipedName,
    now: Duration,
    wire: Vec<(usize, ReplicaId, ReplicaId, ReplicaMessage)>,
    next_id: ReplicaId,
    seed: u64,
    versions: u64,
    /// Versions proposed, by tag.
    proposed: BTreeMap<u64, u64>,
    /// Highest version acknowledged when a read began, by tag.
    reads: BTreeMap<u64, (usize, u64)>,
    acknowledged: u64,
    tags: u64,
    leaders: BTreeMap<u64, ReplicaId>,
    broken: Broken,
}

impl Group {
    fn new(count: usize, size: usize, rules: ReplicaRules, wiped: WipedName, seed: u64) -> Group {
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

    fn step(&mut self, node: usize, input: ReplicaInput) {
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
            self.nodes[node].disk.keep(&action);
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

    fn deliver(&mut self, place: usize) {
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

    fn settle(&mut self, millis: u64) {
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

    fn play(&mut self, event: &Event) {
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

    fn propose(&mut self, node: usize) {
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
    fn finish(mut self) -> Broken {
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

struct GroupCase {
    name: &'static str,
    nodes: usize,
    size: usize,
    rules: ReplicaRules,
    wiped: WipedName,
    /// Whether something must break.
    breaks: bool,
    seeds: u32,
}

fn run(case: &GroupCase) -> Broken {
    let config = Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 80..160);
    let mut broken = Broken::default();
    for seed in 0..case.seeds {
        let events = events.new_tree(&mut runner).expect("events").current();
        let mut group = Group::new(
            case.nodes,
            case.size,
            case.rules,
            case.wiped,
            u64::from(seed) * 1000,
        );
        for event in &events {
            group.play(event);
        }
        broken = group.finish();
        if broken.total() > 0 {
            if !case.breaks {
                eprintln!("{}: seed {seed}: {broken:?}", case.name);
            }
            return broken;
        }
    }
    broken
}

#[test]
fn nothing_acknowledged_is_lost_and_each_rule_counts() {
    let rules = ReplicaRules::default();
    let cases = [
        GroupCase {
            name: "three of three",
            nodes: 3,
            size: 3,
            rules,
            wiped: WipedName::New,
            breaks: false,
            seeds: 300,
        },
        GroupCase {
            name: "three of four",
            nodes: 4,
            size: 3,
            rules,
            wiped: WipedName::New,
            breaks: false,
            seeds: 300,
        },
        GroupCase {
            name: "five of six",
            nodes: 6,
            size: 5,
            rules,
            wiped: WipedName::New,
            breaks: false,
            seeds: 150,
        },
        GroupCase {
            name: "a wiped replica votes under its old name",
            nodes: 3,
            size: 3,
            rules,
            wiped: WipedName::Old,
            breaks: true,
            seeds: 600,
        },
        GroupCase {
            name: "a learner counts",
            nodes: 4,
            size: 3,
            rules: ReplicaRules {
                learners_apart: false,
                ..rules
            },
            wiped: WipedName::New,
            breaks: true,
            seeds: 1500,
        },
        GroupCase {
            name: "two changes at once",
            nodes: 5,
            size: 3,
            rules: ReplicaRules {
                one_change: false,
                ..rules
            },
            wiped: WipedName::New,
            breaks: true,
            seeds: 1500,
        },
    ];
    for case in &cases {
        let broken = run(case);
        assert_eq!(broken.total() > 0, case.breaks, "{}: {broken:?}", case.name);
    }
}

#[test]
fn a_leader_that_was_frozen_confirms_no_read() {
    for confirmed in [true, false] {
        let rules = ReplicaRules {
            confirmed_reads: confirmed,
            ..ReplicaRules::default()
        };
        let mut group = Group::new(3, 3, rules, WipedName::New, 1);
        // The founder leads and stands still while the others go on.
        for _ in 0..100 {
            group.now += Duration::from_millis(20);
            for node in 1..3 {
                group.step(node, ReplicaInput::Wake);
            }
            group
                .wire
                .retain(|(sender, _, to, _)| *sender != 0 && *to != group.nodes[0].id);
            while !group.wire.is_empty() {
                group.deliver(0);
                group.wire.retain(|(_, _, to, _)| *to != group.nodes[0].id);
            }
        }
        for node in 1..3 {
            group.propose(node);
        }
        group.wire.retain(|(_, _, to, _)| *to != group.nodes[0].id);
        while !group.wire.is_empty() {
            group.deliver(0);
        }
        assert!(group.acknowledged > 0, "the others have a leader");
        group.tags += 1;
        group.reads.insert(group.tags, (0, group.acknowledged));
        let tag = group.tags;
        group.step(0, ReplicaInput::Read { tag });
        group.settle(2000);
        assert_eq!(group.broken.stale_read > 0, !confirmed);
    }
}
