//! The replicated log under loss, duplication, reorder, cuts and crashes: no
//! accepted change is lost, and a rule that is off is noticed.

#[path = "support/disk.rs"]
mod disk;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use disk::Disk;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use wheelmast_core::process::control::fence::{ClaimOutcome, ClaimRequest};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::{
    ProposalEnd, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaRules, ReplicaStart};
use wheelmast_core::process::control::state::{
    ChangeOutcome, CommandOutcome, ControlCommand, ControlState,
};

/// One thing that happens.
#[derive(Debug, Clone)]
enum Event {
    Advance(u16),
    Deliver(u8),
    DeliverAll,
    Drop(u8),
    Duplicate(u8),
    Cut(u8),
    Heal,
    /// The replica ends; of what it writes next, only some is synced.
    Crash(u8, u8),
    Restart(u8),
    Propose(u8, u8),
    Claim(u8, u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1u16..300).prop_map(Event::Advance),
        10 => any::<u8>().prop_map(Event::Deliver),
        12 => Just(Event::DeliverAll),
        2 => any::<u8>().prop_map(Event::Drop),
        1 => any::<u8>().prop_map(Event::Duplicate),
        1 => any::<u8>().prop_map(Event::Cut),
        2 => Just(Event::Heal),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Crash(a, b)),
        3 => any::<u8>().prop_map(Event::Restart),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Propose(a, b)),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Claim(a, b)),
    ]
}

struct Node {
    machine: Option<ReplicaMachine>,
    disk: Disk,
    cut: bool,
    /// Actions still to be synced when it is to crash.
    crash_after: Option<u8>,
    /// Highest version that came in force here.
    in_force: u64,
    /// A disk that says it synced and did not.
    lies: bool,
}

/// Broken promises.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Broken {
    two_leaders: u32,
    lost_change: u32,
    unequal_states: u32,
    two_outcomes: u32,
    two_claims: u32,
    fell_back: u32,
    no_leader: u32,
    /// Accepted while fewer than a quorum had it in force.
    known_to_few: u32,
}

impl Broken {
    fn total(&self) -> u32 {
        self.two_leaders
            + self.lost_change
            + self.unequal_states
            + self.two_outcomes
            + self.two_claims
            + self.fell_back
            + self.no_leader
            + self.known_to_few
    }
}

struct Group {
    nodes: Vec<Node>,
    now: Duration,
    wire: Vec<(usize, usize, ReplicaMessage)>,
    rules: ReplicaRules,
    seed: u64,
    tags: HashMap<u64, String>,
    claimants: HashMap<String, u64>,
    outcomes: BTreeMap<String, ChangeOutcome>,
    leaders: HashMap<u64, usize>,
    broken: Broken,
}

fn id_of(node: usize) -> ReplicaId {
    node as ReplicaId + 10
}

impl Group {
    fn new(count: usize, rules: ReplicaRules, lies: bool, seed: u64) -> Group {
        let nodes = (0..count).map(|_| Node {
            machine: None,
            disk: Disk::default(),
            cut: false,
            crash_after: None,
            in_force: 0,
            lies,
        });
        let mut group = Group {
            nodes: nodes.collect(),
            now: Duration::ZERO,
            wire: Vec::new(),
            rules,
            seed,
            tags: HashMap::new(),
            claimants: HashMap::new(),
            outcomes: BTreeMap::new(),
            leaders: HashMap::new(),
            broken: Broken::default(),
        };
        for node in 0..count {
            group.restart(node);
        }
        group
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            return;
        }
        self.seed += 1;
        let members = (0..self.nodes.len()).map(id_of).collect();
        let disk = self.nodes[node].disk.clone();
        let start = ReplicaStart {
            id: id_of(node),
            members,
            size: 0,
            hard: disk.hard,
            snapshot: (disk.place, disk.state),
            entries: disk.entries,
            commit: disk.commit,
            timing: ReplicaTiming::default(),
            rules: self.rules,
            seed: self.seed,
        };
        self.nodes[node].crash_after = None;
        let machine = ReplicaMachine::new(start, self.now);
        if machine.state().version() < self.nodes[node].in_force {
            self.broken.fell_back += 1;
        }
        self.nodes[node].machine = Some(machine);
    }

    fn step(&mut self, node: usize, input: ReplicaInput) {
        let Some(machine) = &mut self.nodes[node].machine else {
            return;
        };
        let mut out = Vec::new();
        machine.step(self.now, input, &mut out);
        // The driver's duty: everything to be kept is synced before anything
        // else is done.
        for action in &out {
            if action.is_kept() && !self.sync(node, action) {
                return;
            }
        }
        for action in out {
            self.act(node, action);
        }
    }

    /// Keeps one action, unless the node crashes before. Returns whether it
    /// is still there.
    fn sync(&mut self, node: usize, action: &ReplicaAction) -> bool {
        let node = &mut self.nodes[node];
        match node.crash_after {
            Some(0) => {
                node.machine = None;
                false
            }
            Some(left) => {
                node.crash_after = Some(left - 1);
                node.disk.persist_action(action);
                true
            }
            None => {
                // Sound disks sync; a lying one forgets entries now and then.
                let forgets = node.lies && matches!(action, ReplicaAction::KeepEntry(_));
                if !forgets {
                    node.disk.persist_action(action);
                }
                true
            }
        }
    }

    fn act(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                self.wire.push((node, to as usize - 10, message));
            }
            ReplicaAction::End { tag, end } => {
                let name = self.tags[&tag].clone();
                match end {
                    ProposalEnd::Done(CommandOutcome::Change(outcome)) => {
                        let first = *self.outcomes.entry(name).or_insert(outcome);
                        self.broken.two_outcomes += u32::from(first != outcome);
                        self.broken.known_to_few += u32::from(self.is_known_to_few(outcome));
                    }
                    ProposalEnd::Done(CommandOutcome::Claim(ClaimOutcome::Granted)) => {
                        let first = *self.claimants.entry(name).or_insert(tag);
                        self.broken.two_claims += u32::from(first != tag);
                    }
                    _ => {}
                }
            }
            ReplicaAction::Changed => {
                let node = &mut self.nodes[node];
                let version = node
                    .machine
                    .as_ref()
                    .map(|machine| machine.state().version());
                node.in_force = version.unwrap_or(node.in_force);
            }
            ReplicaAction::Role { term, leads: true } => {
                let first = *self.leaders.entry(term).or_insert(node);
                self.broken.two_leaders += u32::from(first != node);
            }
            _ => {}
        }
    }

    /// Tells whether an accepted change is in force at fewer than a quorum.
    fn is_known_to_few(&self, outcome: ChangeOutcome) -> bool {
        let ChangeOutcome::Accepted(version) = outcome else {
            return false;
        };
        let nodes = self.nodes.iter();
        let known = nodes.filter(|node| node.in_force >= version);
        known.count() < self.nodes.len() / 2 + 1
    }

    fn deliver(&mut self, pick: usize) {
        if self.wire.is_empty() {
            return;
        }
        let (from, to, message) = self.wire.remove(pick % self.wire.len());
        if self.nodes[from].cut || self.nodes[to].cut {
            return;
        }
        let from = id_of(from);
        self.step(to, ReplicaInput::Message { from, message });
    }

    fn deliver_all(&mut self) {
        for _ in 0..self.wire.len() {
            self.deliver(0);
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        for node in 0..self.nodes.len() {
            self.step(node, ReplicaInput::Wake);
        }
    }

    fn play(&mut self, event: &Event) {
        let count = self.nodes.len();
        let of = |pick: &u8| usize::from(*pick) % count;
        match event {
            Event::Advance(millis) => self.advance(Duration::from_millis(u64::from(*millis))),
            Event::Deliver(pick) => self.deliver(usize::from(*pick)),
            Event::DeliverAll => self.deliver_all(),
            Event::Drop(pick) => {
                if !self.wire.is_empty() {
                    self.wire.remove(usize::from(*pick) % self.wire.len());
                }
            }
            Event::Duplicate(pick) => {
                if !self.wire.is_empty() {
                    let message = self.wire[usize::from(*pick) % self.wire.len()].clone();
                    self.wire.push(message);
                }
            }
            Event::Cut(pick) => self.nodes[of(pick)].cut = true,
            Event::Heal => self.nodes.iter_mut().for_each(|node| node.cut = false),
            Event::Crash(pick, writes) => {
                let node = &mut self.nodes[of(pick)];
                match writes % 4 {
                    0 => node.machine = None,
                    writes => node.crash_after = Some(writes - 1),
                }
            }
            Event::Restart(pick) => self.restart(of(pick)),
            Event::Propose(pick, change) => self.propose(of(pick), change % 12),
            Event::Claim(pick, key) => self.propose_claim(of(pick), key % 4),
        }
    }

    /// Proposes a claim of one of a few keys, each time as another claimant.
    fn propose_claim(&mut self, node: usize, key: u8) {
        let tag = self.tags.len() as u64;
        let key = format!("key-{key}");
        self.tags.insert(tag, key.clone());
        let command = ControlCommand::Claim(ClaimRequest {
            key,
            digest: 1,
            claimant: tag,
            at_ms: tag,
        });
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    /// Proposes a change; a number seen before is a resent change.
    fn propose(&mut self, node: usize, change: u8) {
        let Some(machine) = &self.nodes[node].machine else {
            return;
        };
        let base = machine.state().version();
        let tag = self.tags.len() as u64;
        let change = format!("change-{change}");
        self.tags.insert(tag, change.clone());
        let command = ControlCommand::Change {
            csv: change.clone(),
            change,
            base,
            note: String::new(),
        };
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    /// Heals everything, gives it time, and checks what must hold.
    fn close(mut self) -> Broken {
        for node in 0..self.nodes.len() {
            self.nodes[node].cut = false;
            self.nodes[node].crash_after = None;
            self.restart(node);
        }
        for _ in 0..200 {
            self.advance(Duration::from_millis(40));
            for _ in 0..4 {
                self.deliver_all();
            }
        }
        let machines = || self.nodes.iter().filter_map(|node| node.machine.as_ref());
        if machines().filter(|machine| machine.is_leader()).count() != 1 {
            self.broken.no_leader += 1;
        }
        let states: Vec<&ControlState> = machines().map(ReplicaMachine::state).collect();
        self.broken.unequal_states += u32::from(states.iter().any(|state| *state != states[0]));
        let made: HashSet<(u64, &str)> = states[0]
            .history()
            .map(|version| (version.version, version.change.as_str()))
            .collect();
        for (change, outcome) in &self.outcomes {
            if let ChangeOutcome::Accepted(version) = outcome {
                let is_there = made.contains(&(*version, change.as_str()));
                self.broken.lost_change += u32::from(!is_there);
            }
        }
        self.broken
    }
}

fn run_case(events: &[Event], count: usize, seed: u64, rules: ReplicaRules, lies: bool) -> Broken {
    let mut group = Group::new(count, rules, lies, seed);
    for event in events {
        group.play(event);
    }
    group.close()
}

/// Cases for each size of group.
const CASES: u32 = 1500;

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(410),
        ..Config::default()
    })]

    #[test]
    fn three_replicas_lose_nothing(events in prop::collection::vec(event(), 1..200), seed in any::<u32>()) {
        let broken = run_case(&events, 3, seed.into(), ReplicaRules::default(), false);
        prop_assert_eq!(broken, Broken::default());
    }

    #[test]
    fn five_replicas_lose_nothing(events in prop::collection::vec(event(), 1..200), seed in any::<u32>()) {
        let broken = run_case(&events, 5, seed.into(), ReplicaRules::default(), false);
        prop_assert_eq!(broken, Broken::default());
    }
}

struct RuleCase {
    name: &'static str,
    off: fn(&mut ReplicaRules),
    lies: bool,
}

#[test]
fn a_rule_that_is_off_is_noticed() {
    let cases = [
        RuleCase {
            name: "a vote once a term",
            off: |rules| rules.one_vote = false,
            lies: false,
        },
        RuleCase {
            name: "a vote for no log that is behind",
            off: |rules| rules.up_to_date = false,
            lies: false,
        },
        RuleCase {
            name: "a majority",
            off: |rules| rules.majority = false,
            lies: false,
        },
        RuleCase {
            name: "what comes in force is known to a quorum",
            off: |rules| rules.known_commits = false,
            lies: false,
        },
        RuleCase {
            name: "a sync before an answer",
            off: |_| (),
            lies: true,
        },
    ];
    for case in cases {
        let mut rules = ReplicaRules::default();
        (case.off)(&mut rules);
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let strategy = prop::collection::vec(event(), 100..200);
        let mut total = 0;
        for seed in 0..600 {
            let tree = strategy.new_tree(&mut runner).expect("nothing is rejected");
            total += run_case(&tree.current(), 3, seed, rules, case.lies).total();
        }
        assert!(total > 0, "{}", case.name);
    }
}

#[test]
fn a_replica_that_was_cut_off_disturbs_nobody() {
    let mut group = Group::new(3, ReplicaRules::default(), false, 1);
    let run = |group: &mut Group, rounds: u32| {
        for _ in 0..rounds {
            group.advance(Duration::from_millis(40));
            for _ in 0..4 {
                group.deliver_all();
            }
        }
    };
    run(&mut group, 50);
    let leader = |group: &Group| {
        let is_leader = |node: &Node| node.machine.as_ref().is_some_and(ReplicaMachine::is_leader);
        group.nodes.iter().position(is_leader)
    };
    let first = leader(&group).expect("a leader stands");
    let term = group.nodes[first]
        .machine
        .as_ref()
        .map(ReplicaMachine::term);
    let cut = (first + 1) % 3;
    group.nodes[cut].cut = true;
    // It asks for pre-votes all the time, and gets none.
    for _ in 0..60 {
        run(&mut group, 1);
        group.advance(Duration::from_millis(10));
    }
    group.nodes[cut].cut = false;
    run(&mut group, 50);
    assert_eq!(leader(&group), Some(first));
    let after = group.nodes[first]
        .machine
        .as_ref()
        .map(ReplicaMachine::term);
    assert_eq!(after, term);
}
