//! Random plays with each rule on, and with one off.

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use wheelmast_core::process::control::log::{HardState, LogPosition};
use wheelmast_core::process::control::message::{ReplicaInput, ReplicaMessage, ReplicaTiming};
use wheelmast_core::process::control::replica::{ReplicaMachine, ReplicaStart, SafetyChecks};
use wheelmast_core::process::control::state::ControlState;

use crate::harness::{event, Broken, Group, WipedName};

struct GroupCase {
    name: &'static str,
    nodes: usize,
    target_size: usize,
    safety_checks: SafetyChecks,
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
            case.target_size,
            case.safety_checks,
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
    let safety_checks = SafetyChecks::default();
    let cases = [
        GroupCase {
            name: "three of three",
            nodes: 3,
            target_size: 3,
            safety_checks,
            wiped: WipedName::New,
            breaks: false,
            seeds: 300,
        },
        GroupCase {
            name: "three of four",
            nodes: 4,
            target_size: 3,
            safety_checks,
            wiped: WipedName::New,
            breaks: false,
            seeds: 300,
        },
        GroupCase {
            name: "five of six",
            nodes: 6,
            target_size: 5,
            safety_checks,
            wiped: WipedName::New,
            breaks: false,
            seeds: 150,
        },
        GroupCase {
            name: "a wiped replica votes under its old name",
            nodes: 3,
            target_size: 3,
            safety_checks,
            wiped: WipedName::Old,
            breaks: true,
            seeds: 600,
        },
        GroupCase {
            name: "a learner counts",
            nodes: 4,
            target_size: 3,
            safety_checks: SafetyChecks {
                excludes_learners: false,
                ..safety_checks
            },
            wiped: WipedName::New,
            breaks: true,
            seeds: 1500,
        },
        GroupCase {
            name: "two changes at once",
            nodes: 5,
            target_size: 3,
            safety_checks: SafetyChecks {
                changes_one_member: false,
                ..safety_checks
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
        let safety_checks = SafetyChecks {
            confirms_reads: confirmed,
            ..SafetyChecks::default()
        };
        let mut group = Group::new(3, 3, safety_checks, WipedName::New, 1);
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
            group.wire.retain(|(_, _, to, _)| *to != group.nodes[0].id);
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

#[test]
fn a_replica_without_a_vote_knows_that_it_has_lost_its_leader() {
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
    let silent = ReplicaTiming::default().election * 2;
    while learner.next_wake() <= begin + silent {
        learner.step(learner.next_wake(), ReplicaInput::Wake, &mut actions);
    }
    assert_eq!(
        learner.leader(),
        None,
        "its leader is silent for {silent:?}"
    );
    assert!(!learner.is_leader());
}
