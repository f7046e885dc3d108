//! Property tests of the replicated log under message loss, duplication and
//! reordering, network partitions and crashes: no accepted change is lost, and
//! the tests detect each safety check that is disabled.

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
    ProposalResult, ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::{
    ChangeOutcome, CommandOutcome, ControlCommand, ControlState,
};

/// One event of a simulated history. The `u8` values pick a node, a message, a
/// change or a key, modulo the number that exist.
#[derive(Debug, Clone)]
enum Event {
    /// Lets this many milliseconds pass.
    Advance(u16),
    Deliver(u8),
    DeliverAll,
    Drop(u8),
    Duplicate(u8),
    Isolate(u8),
    /// Reconnects all isolated nodes.
    Heal,
    /// The node crashes at once if the second value modulo 4 is 0. Otherwise the
    /// remainder n makes the node crash instead of its n-th next write.
    Crash(u8, u8),
    Restart(u8),
    Propose(u8, u8),
    Claim(u8, u8),
}

/// Generates random events.
fn event_strategy() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (1u16..300).prop_map(Event::Advance),
        10 => any::<u8>().prop_map(Event::Deliver),
        12 => Just(Event::DeliverAll),
        2 => any::<u8>().prop_map(Event::Drop),
        1 => any::<u8>().prop_map(Event::Duplicate),
        1 => any::<u8>().prop_map(Event::Isolate),
        2 => Just(Event::Heal),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Crash(a, b)),
        3 => any::<u8>().prop_map(Event::Restart),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Propose(a, b)),
        4 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Claim(a, b)),
    ]
}

/// A simulated replica and its disk.
struct TestNode {
    /// `None` while the node is down.
    machine: Option<ReplicaMachine>,
    disk: Disk,
    /// Whether all messages from and to this node are lost.
    is_isolated: bool,
    /// Number of further writes that reach the disk before the node crashes.
    writes_before_crash: Option<u8>,
    /// Version that was in effect here at the last change of the state.
    active_version: u64,
    /// Whether the disk reports entries as synced without writing them.
    has_faulty_disk: bool,
}

/// Number of violations of each property that the replicated log guarantees.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
struct Violations {
    /// A second leader in a term.
    leaders_in_same_term: u32,
    /// An accepted change is missing from the final history.
    lost_changes: u32,
    /// The final states of two replicas differ.
    diverged_states: u32,
    /// A resent change got another outcome than before.
    conflicting_outcomes: u32,
    /// A key was granted to two claimants.
    duplicate_claims: u32,
    /// A restarted replica is at an older version than before the crash.
    version_regressions: u32,
    /// The healed group does not have exactly one leader.
    missing_leader: u32,
    /// A change was reported as accepted while it was in effect on fewer nodes
    /// than a quorum.
    early_acknowledgements: u32,
}

impl Violations {
    fn total(&self) -> u32 {
        self.leaders_in_same_term
            + self.lost_changes
            + self.diverged_states
            + self.conflicting_outcomes
            + self.duplicate_claims
            + self.version_regressions
            + self.missing_leader
            + self.early_acknowledgements
    }
}

/// A simulated group with its network and the results seen so far.
struct TestGroup {
    nodes: Vec<TestNode>,
    now: Duration,
    /// Messages on their way: index of the sender, of the receiver, message.
    in_flight: Vec<(usize, usize, ReplicaMessage)>,
    safety_checks: SafetyChecks,
    seed: u64,
    /// Name of the change or claimed key of each proposal, by its tag.
    names_by_tag: HashMap<u64, String>,
    /// Claimant that was first granted a key.
    claims_by_key: HashMap<String, u64>,
    /// First outcome that was reported for a change.
    outcomes_by_change: BTreeMap<String, ChangeOutcome>,
    /// Node that first led in a term.
    leaders_by_term: HashMap<u64, usize>,
    violations: Violations,
}

/// Returns the replica identity of the node with index `node`.
fn replica_id(node: usize) -> ReplicaId {
    node as ReplicaId + 10
}

impl TestGroup {
    fn new(
        count: usize,
        safety_checks: SafetyChecks,
        has_faulty_disk: bool,
        seed: u64,
    ) -> TestGroup {
        let nodes = (0..count).map(|_| TestNode {
            machine: None,
            disk: Disk::default(),
            is_isolated: false,
            writes_before_crash: None,
            active_version: 0,
            has_faulty_disk,
        });
        let mut group = TestGroup {
            nodes: nodes.collect(),
            now: Duration::ZERO,
            in_flight: Vec::new(),
            safety_checks,
            seed,
            names_by_tag: HashMap::new(),
            claims_by_key: HashMap::new(),
            outcomes_by_change: BTreeMap::new(),
            leaders_by_term: HashMap::new(),
            violations: Violations::default(),
        };
        for node in 0..count {
            group.restart(node);
        }
        group
    }

    /// Starts a node that is down from the state on its disk.
    fn restart(&mut self, node: usize) {
        if self.nodes[node].machine.is_some() {
            return;
        }
        self.seed += 1;
        let members = (0..self.nodes.len()).map(replica_id).collect();
        let disk = self.nodes[node].disk.clone();
        let start = ReplicaStart {
            id: replica_id(node),
            members,
            target_size: 0,
            hard_state: disk.hard_state,
            snapshot: (disk.place, disk.state),
            entries: disk.entries,
            commit: disk.commit,
            timing: ReplicaTiming::default(),
            safety_checks: self.safety_checks,
            seed: self.seed,
        };
        self.nodes[node].writes_before_crash = None;
        let machine = ReplicaMachine::new(start, self.now);
        if machine.state().version() < self.nodes[node].active_version {
            self.violations.version_regressions += 1;
        }
        self.nodes[node].machine = Some(machine);
    }

    /// Passes an input to a node and performs the actions that follow.
    fn step(&mut self, node: usize, input: ReplicaInput) {
        let Some(machine) = &mut self.nodes[node].machine else {
            return;
        };
        let mut out = Vec::new();
        machine.step(self.now, input, &mut out);
        // As the driver must, syncs all persistence actions before it performs
        // any other action.
        for action in &out {
            if action.must_persist_first() && !self.persist(node, action) {
                return;
            }
        }
        for action in out {
            self.perform_action(node, action);
        }
    }

    /// Writes one persistence action to the node's disk, unless the node crashes
    /// first. Returns whether the node is still running.
    fn persist(&mut self, node: usize, action: &ReplicaAction) -> bool {
        let node = &mut self.nodes[node];
        match node.writes_before_crash {
            Some(0) => {
                node.machine = None;
                false
            }
            Some(left) => {
                node.writes_before_crash = Some(left - 1);
                node.disk.persist_action(action);
                true
            }
            None => {
                // A faulty disk drops the log entries, unless a crash is scheduled.
                let drops_write =
                    node.has_faulty_disk && matches!(action, ReplicaAction::PersistEntry(_));
                if !drops_write {
                    node.disk.persist_action(action);
                }
                true
            }
        }
    }

    /// Sends a message, or checks a reported result against the earlier ones.
    fn perform_action(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                self.in_flight.push((node, to as usize - 10, message));
            }
            ReplicaAction::Complete { tag, result } => {
                let name = self.names_by_tag[&tag].clone();
                match result {
                    ProposalResult::Done(CommandOutcome::Change(outcome)) => {
                        let first = *self.outcomes_by_change.entry(name).or_insert(outcome);
                        self.violations.conflicting_outcomes += u32::from(first != outcome);
                        self.violations.early_acknowledgements +=
                            u32::from(self.is_below_quorum(outcome));
                    }
                    ProposalResult::Done(CommandOutcome::Claim(ClaimOutcome::Granted)) => {
                        let first = *self.claims_by_key.entry(name).or_insert(tag);
                        self.violations.duplicate_claims += u32::from(first != tag);
                    }
                    _ => {}
                }
            }
            ReplicaAction::StateChanged => {
                let node = &mut self.nodes[node];
                let version = node
                    .machine
                    .as_ref()
                    .map(|machine| machine.state().version());
                node.active_version = version.unwrap_or(node.active_version);
            }
            ReplicaAction::RoleChanged { term, leads: true } => {
                let first = *self.leaders_by_term.entry(term).or_insert(node);
                self.violations.leaders_in_same_term += u32::from(first != node);
            }
            _ => {}
        }
    }

    /// Returns whether an accepted change is in effect on fewer nodes than a quorum.
    fn is_below_quorum(&self, outcome: ChangeOutcome) -> bool {
        let ChangeOutcome::Accepted(version) = outcome else {
            return false;
        };
        let nodes = self.nodes.iter();
        let known = nodes.filter(|node| node.active_version >= version);
        known.count() < self.nodes.len() / 2 + 1
    }

    /// Delivers one message, unless the sender or the receiver is isolated.
    fn deliver(&mut self, pick: usize) {
        if self.in_flight.is_empty() {
            return;
        }
        let (from, to, message) = self.in_flight.remove(pick % self.in_flight.len());
        if self.nodes[from].is_isolated || self.nodes[to].is_isolated {
            return;
        }
        let from = replica_id(from);
        self.step(to, ReplicaInput::Message { from, message });
    }

    /// Delivers the messages that are on their way now, in order.
    fn deliver_all(&mut self) {
        for _ in 0..self.in_flight.len() {
            self.deliver(0);
        }
    }

    /// Advances the clock and runs the timers of all nodes.
    fn advance(&mut self, time: Duration) {
        self.now += time;
        for node in 0..self.nodes.len() {
            self.step(node, ReplicaInput::Wake);
        }
    }

    /// Applies one event of the simulated history.
    fn apply_event(&mut self, event: &Event) {
        let count = self.nodes.len();
        let node_at = |pick: &u8| usize::from(*pick) % count;
        match event {
            Event::Advance(millis) => self.advance(Duration::from_millis(u64::from(*millis))),
            Event::Deliver(pick) => self.deliver(usize::from(*pick)),
            Event::DeliverAll => self.deliver_all(),
            Event::Drop(pick) => {
                if !self.in_flight.is_empty() {
                    self.in_flight
                        .remove(usize::from(*pick) % self.in_flight.len());
                }
            }
            Event::Duplicate(pick) => {
                if !self.in_flight.is_empty() {
                    let message = self.in_flight[usize::from(*pick) % self.in_flight.len()].clone();
                    self.in_flight.push(message);
                }
            }
            Event::Isolate(pick) => self.nodes[node_at(pick)].is_isolated = true,
            Event::Heal => self
                .nodes
                .iter_mut()
                .for_each(|node| node.is_isolated = false),
            Event::Crash(pick, writes) => {
                let node = &mut self.nodes[node_at(pick)];
                match writes % 4 {
                    0 => node.machine = None,
                    writes => node.writes_before_crash = Some(writes - 1),
                }
            }
            Event::Restart(pick) => self.restart(node_at(pick)),
            Event::Propose(pick, change) => self.propose(node_at(pick), change % 12),
            Event::Claim(pick, key) => self.propose_claim(node_at(pick), key % 4),
        }
    }

    /// Proposes a claim of a key by a new claimant.
    fn propose_claim(&mut self, node: usize, key: u8) {
        let tag = self.names_by_tag.len() as u64;
        let key = format!("key-{key}");
        self.names_by_tag.insert(tag, key.clone());
        let command = ControlCommand::Claim(ClaimRequest {
            key,
            digest: 1,
            claimant: tag,
            at_ms: tag,
        });
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    /// Proposes a change. A number that was proposed before resends that change.
    fn propose(&mut self, node: usize, change: u8) {
        let Some(machine) = &self.nodes[node].machine else {
            return;
        };
        let base = machine.state().version();
        let tag = self.names_by_tag.len() as u64;
        let change = format!("change-{change}");
        self.names_by_tag.insert(tag, change.clone());
        let command = ControlCommand::Change {
            csv: change.clone(),
            change,
            base,
            note: String::new(),
        };
        self.step(node, ReplicaInput::Propose { tag, command });
    }

    /// Reconnects and restarts all nodes, lets 8 s pass, and checks that the
    /// group has one leader, equal states and all accepted changes.
    fn heal_and_check(mut self) -> Violations {
        for node in 0..self.nodes.len() {
            self.nodes[node].is_isolated = false;
            self.nodes[node].writes_before_crash = None;
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
            self.violations.missing_leader += 1;
        }
        let states: Vec<&ControlState> = machines().map(ReplicaMachine::state).collect();
        self.violations.diverged_states +=
            u32::from(states.iter().any(|state| *state != states[0]));
        let committed_versions: HashSet<(u64, &str)> = states[0]
            .history()
            .map(|version| (version.version, version.change.as_str()))
            .collect();
        for (change, outcome) in &self.outcomes_by_change {
            if let ChangeOutcome::Accepted(version) = outcome {
                let is_committed = committed_versions.contains(&(*version, change.as_str()));
                self.violations.lost_changes += u32::from(!is_committed);
            }
        }
        self.violations
    }
}

/// Applies the events to a new group and returns the violations.
fn run_case(
    events: &[Event],
    count: usize,
    seed: u64,
    safety_checks: SafetyChecks,
    has_faulty_disk: bool,
) -> Violations {
    let mut group = TestGroup::new(count, safety_checks, has_faulty_disk, seed);
    for event in events {
        group.apply_event(event);
    }
    group.heal_and_check()
}

/// Number of random histories for each group size.
const CASES_PER_GROUP_SIZE: u32 = 1500;

proptest! {
    #![proptest_config(Config {
        cases: CASES_PER_GROUP_SIZE,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(410),
        ..Config::default()
    })]

    #[test]
    fn three_replicas_lose_no_accepted_change(events in prop::collection::vec(event_strategy(), 1..200), seed in any::<u32>()) {
        let violations = run_case(&events, 3, seed.into(), SafetyChecks::default(), false);
        prop_assert_eq!(violations, Violations::default());
    }

    #[test]
    fn five_replicas_lose_no_accepted_change(events in prop::collection::vec(event_strategy(), 1..200), seed in any::<u32>()) {
        let violations = run_case(&events, 5, seed.into(), SafetyChecks::default(), false);
        prop_assert_eq!(violations, Violations::default());
    }
}

/// A safety check, or the sync of a disk, that a test switches off.
struct DisabledCheck {
    name: &'static str,
    disable: fn(&mut SafetyChecks),
    has_faulty_disk: bool,
}

#[test]
fn a_disabled_safety_check_is_detected() {
    let cases = [
        DisabledCheck {
            name: "one vote in a term",
            disable: |safety_checks| safety_checks.votes_once_per_term = false,
            has_faulty_disk: false,
        },
        DisabledCheck {
            name: "no vote for a log that is behind",
            disable: |safety_checks| safety_checks.requires_up_to_date_log = false,
            has_faulty_disk: false,
        },
        DisabledCheck {
            name: "a majority for elections and commits",
            disable: |safety_checks| safety_checks.requires_majority = false,
            has_faulty_disk: false,
        },
        DisabledCheck {
            name: "a commit is known to a quorum before its report",
            disable: |safety_checks| safety_checks.awaits_known_commit = false,
            has_faulty_disk: false,
        },
        DisabledCheck {
            name: "a sync before an answer (faulty disk)",
            disable: |_| (),
            has_faulty_disk: true,
        },
    ];
    for case in cases {
        let mut safety_checks = SafetyChecks::default();
        (case.disable)(&mut safety_checks);
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let strategy = prop::collection::vec(event_strategy(), 100..200);
        let mut total = 0;
        for seed in 0..600 {
            let tree = strategy
                .new_tree(&mut runner)
                .expect("the strategy rejects nothing");
            total += run_case(
                &tree.current(),
                3,
                seed,
                safety_checks,
                case.has_faulty_disk,
            )
            .total();
        }
        assert!(
            total > 0,
            "no violation seen without the check: {}",
            case.name
        );
    }
}

#[test]
fn a_rejoining_replica_does_not_depose_the_leader() {
    let mut group = TestGroup::new(3, SafetyChecks::default(), false, 1);
    let run = |group: &mut TestGroup, rounds: u32| {
        for _ in 0..rounds {
            group.advance(Duration::from_millis(40));
            for _ in 0..4 {
                group.deliver_all();
            }
        }
    };
    run(&mut group, 50);
    let leader = |group: &TestGroup| {
        let is_leader =
            |node: &TestNode| node.machine.as_ref().is_some_and(ReplicaMachine::is_leader);
        group.nodes.iter().position(is_leader)
    };
    let first = leader(&group).expect("the group elected a leader");
    let term = group.nodes[first]
        .machine
        .as_ref()
        .map(ReplicaMachine::term);
    let isolated = (first + 1) % 3;
    group.nodes[isolated].is_isolated = true;
    // The isolated node requests pre-votes again and again and gets none.
    for _ in 0..60 {
        run(&mut group, 1);
        group.advance(Duration::from_millis(10));
    }
    group.nodes[isolated].is_isolated = false;
    run(&mut group, 50);
    assert_eq!(leader(&group), Some(first));
    let after = group.nodes[first]
        .machine
        .as_ref()
        .map(ReplicaMachine::term);
    assert_eq!(after, term);
}
