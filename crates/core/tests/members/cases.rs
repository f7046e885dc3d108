//! Random sequences of faults, with every safety check on, and with one off to show
//! that the harness notices the violation.

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use wheelmast_core::process::control::log::{HardState, LogPosition};
use wheelmast_core::process::control::message::{ReplicaInput, ReplicaMessage, ReplicaTiming};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::ControlState;

use crate::harness::{event, Group, Violations, WipedIdentity};

struct GroupCase {
    name: &'static str,
    nodes: usize,
    target_size: usize,
    safety_checks: SafetyChecks,
    wiped_identity: WipedIdentity,
    /// Whether at least one sequence must violate an invariant.
    expects_violation: bool,
    /// Number of random sequences to try.
    seeds: u32,
}

/// Applies random event sequences until one violates an invariant; returns its
/// violations, or none.
fn run(case: &GroupCase) -> Violations {
    let config = Config {
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec(event(), 80..160);
    let mut violations = Violations::default();
    for seed in 0..case.seeds {
        let events = events.new_tree(&mut runner).expect("events").current();
        let mut group = Group::new(
            case.nodes,
            case.target_size,
            case.safety_checks,
            case.wiped_identity,
            u64::from(seed) * 1000,
        );
        for event in &events {
            group.apply_event(event);
        }
        violations = group.finish();
        if violations.total() > 0 {
            if !case.expects_violation {
                eprintln!("{}: seed {seed}: {violations:?}", case.name);
            }
            return violations;
        }
    }
    violations
}

#[test]
fn no_acknowledged_change_is_lost_and_each_check_is_needed() {
    let safety_checks = SafetyChecks::default();
    let cases = [
        GroupCase {
            name: "three of three",
            nodes: 3,
            target_size: 3,
            safety_checks,
            wiped_identity: WipedIdentity::New,
            expects_violation: false,
            seeds: 300,
        },
        GroupCase {
            name: "three of four",
            nodes: 4,
            target_size: 3,
            safety_checks,
            wiped_identity: WipedIdentity::New,
            expects_violation: false,
            seeds: 300,
        },
        GroupCase {
            name: "five of six",
            nodes: 6,
            target_size: 5,
            safety_checks,
            wiped_identity: WipedIdentity::New,
            expects_violation: false,
            seeds: 150,
        },
        GroupCase {
            name: "a wiped replica votes under its old identity",
            nodes: 3,
            target_size: 3,
            safety_checks,
            wiped_identity: WipedIdentity::Old,
            expects_violation: true,
            seeds: 600,
        },
        GroupCase {
            name: "a learner counts towards the quorum",
            nodes: 4,
            target_size: 3,
            safety_checks: SafetyChecks {
                excludes_learners: false,
                ..safety_checks
            },
            wiped_identity: WipedIdentity::New,
            expects_violation: true,
            seeds: 1500,
        },
        GroupCase {
            name: "two membership changes at once",
            nodes: 5,
            target_size: 3,
            safety_checks: SafetyChecks {
                changes_one_member: false,
                ..safety_checks
            },
            wiped_identity: WipedIdentity::New,
            expects_violation: true,
            seeds: 1500,
        },
    ];
    for case in &cases {
        let violations = run(case);
        assert_eq!(
            violations.total() > 0,
            case.expects_violation,
            "{}: {violations:?}",
            case.name
        );
    }
}

#[test]
fn a_leader_that_was_suspended_confirms_no_read() {
    for confirmed in [true, false] {
        let safety_checks = SafetyChecks {
            confirms_reads: confirmed,
            ..SafetyChecks::default()
        };
        let mut group = Group::new(3, 3, safety_checks, WipedIdentity::New, 1);
        // Node 0 bootstrapped the group and leads. Suspend it while the other nodes
        // go on and elect a new leader.
        for _ in 0..100 {
            group.now += Duration::from_millis(20);
            for node in 1..3 {
                group.step(node, ReplicaInput::Wake);
            }
            group
                .in_flight
                .retain(|(sender, _, to, _)| *sender != 0 && *to != group.nodes[0].id);
            while !group.in_flight.is_empty() {
                group.deliver(0);
                group
                    .in_flight
                    .retain(|(_, _, to, _)| *to != group.nodes[0].id);
            }
        }
        for node in 1..3 {
            group.propose(node);
        }
        group
            .in_flight
            .retain(|(_, _, to, _)| *to != group.nodes[0].id);
        while !group.in_flight.is_empty() {
            group.deliver(0);
            group
                .in_flight
                .retain(|(_, _, to, _)| *to != group.nodes[0].id);
        }
        assert!(
            group.acknowledged_version > 0,
            "the other nodes have a leader"
        );
        group.last_tag += 1;
        group
            .reads
            .insert(group.last_tag, (0, group.acknowledged_version));
        let tag = group.last_tag;
        group.step(0, ReplicaInput::Read { tag });
        group.run_for(2000);
        assert_eq!(group.violations.stale_reads > 0, !confirmed);
    }
}

#[test]
fn a_learner_notices_that_it_has_lost_its_leader() {
    let leader = 1;
    let mut learner = ReplicaMachine::new(
        ReplicaStart {
            id: 9,
            members: vec![leader, 2, 3],
            target_size: 0,
            hard_state: HardState::default(),
            snapshot: (LogPosition::default(), ControlState::default()),
            entries: Vec::new(),
            commit: 0,
            timing: ReplicaTiming::default(),
            safety_checks: SafetyChecks::default(),
            seed: 1,
        },
        Duration::ZERO,
    );
    let heartbeat = ReplicaInput::Message {
        from: leader,
        message: ReplicaMessage::Append {
            term: 1,
            previous: LogPosition::default(),
            entries: Vec::new(),
            commit: 0,
            round: 1,
        },
    };
    let mut actions = Vec::new();
    let begin = Duration::from_secs(1);
    learner.step(begin, heartbeat, &mut actions);
    assert_eq!(learner.leader(), Some(leader));
    let leader_timeout = ReplicaTiming::default().election * 2;
    while learner.next_wake() <= begin + leader_timeout {
        learner.step(learner.next_wake(), ReplicaInput::Wake, &mut actions);
    }
    assert_eq!(
        learner.leader(),
        None,
        "the leader sent nothing for {leader_timeout:?}"
    );
    assert!(!learner.is_leader());
}
