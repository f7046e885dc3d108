//! No interleaving of replies, duplicates, losses, version changes and
//! cancellations breaks a promise; and with a guard off, it is noticed.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use support::{EntryHarness, Violations, REPLICAS, SHARDS};
use wheelmast_core::prelude::*;

/// One thing that happens.
#[derive(Debug, Clone)]
enum Event {
    Submit(u8),
    CallerLeft(u8),
    Advance(u16),
    Reply(u8),
    /// A true reply that arrives twice.
    Duplicate(u8),
    /// A reply to an order that had ended before.
    Late(u8),
    /// Another order's reply.
    Crossed(u8, u8),
    WrongShard(u8),
    WrongSnapshot(u8),
    /// It ran, and the reply was lost.
    Broke(u8),
    NeverSent(u8),
    Shed(u8),
    SnapshotNotHeld(u8),
    NewVersion(u8),
    Drain(u8),
    Serve(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => any::<u8>().prop_map(Event::Submit),
        1 => any::<u8>().prop_map(Event::CallerLeft),
        4 => (0u16..80).prop_map(Event::Advance),
        16 => any::<u8>().prop_map(Event::Reply),
        1 => any::<u8>().prop_map(Event::Duplicate),
        1 => any::<u8>().prop_map(Event::Late),
        2 => (any::<u8>(), any::<u8>()).prop_map(|(a, b)| Event::Crossed(a, b)),
        1 => any::<u8>().prop_map(Event::WrongShard),
        1 => any::<u8>().prop_map(Event::WrongSnapshot),
        2 => any::<u8>().prop_map(Event::Broke),
        1 => any::<u8>().prop_map(Event::NeverSent),
        1 => any::<u8>().prop_map(Event::Shed),
        1 => any::<u8>().prop_map(Event::SnapshotNotHeld),
        2 => any::<u8>().prop_map(Event::NewVersion),
        1 => any::<u8>().prop_map(Event::Drain),
        1 => any::<u8>().prop_map(Event::Serve),
    ]
}

fn server_of(pick: u8) -> u32 {
    u32::from(pick) % (SHARDS * REPLICAS)
}

fn play(harness: &mut EntryHarness, event: &Event) {
    match event {
        Event::Submit(pick) => {
            let (service, kind) = match pick % 4 {
                0 => ("search", RequestKind::Query),
                1 => ("whole", RequestKind::Query),
                2 => ("order", RequestKind::NonRepeatable),
                _ => ("record", RequestKind::Fetch),
            };
            harness.submit(service, kind);
        }
        Event::CallerLeft(pick) => harness.step(EntryInput::CallerLeft(CallTag(u64::from(*pick)))),
        Event::Advance(millis) => harness.advance(Duration::from_millis(u64::from(*millis))),
        Event::Late(pick) => {
            if let Some(order) = harness.done.get(usize::from(*pick)).cloned() {
                let body = harness.build_late_reply(&order);
                harness.reply(&order, ReplyStatus::Body(body));
            }
        }
        Event::NewVersion(pick) => harness.add_snapshot_version(server_of(*pick)),
        Event::Drain(pick) => harness.announce(server_of(*pick), ServerPhase::Draining),
        Event::Serve(pick) => harness.announce(server_of(*pick), ServerPhase::Serving),
        reply => play_reply(harness, reply),
    }
}

fn play_reply(harness: &mut EntryHarness, event: &Event) {
    let (Event::Reply(pick)
    | Event::Duplicate(pick)
    | Event::Crossed(pick, _)
    | Event::WrongShard(pick)
    | Event::WrongSnapshot(pick)
    | Event::Broke(pick)
    | Event::NeverSent(pick)
    | Event::Shed(pick)
    | Event::SnapshotNotHeld(pick)) = event
    else {
        return;
    };
    let Some(order) = harness.remove_order(usize::from(*pick)) else {
        return;
    };
    match event {
        Event::Reply(_) => {
            let body = harness.run(&order);
            harness.reply(&order, ReplyStatus::Body(body));
        }
        Event::Duplicate(_) => {
            let body = harness.run(&order);
            harness.reply(&order, ReplyStatus::Body(body.clone()));
            harness.reply(&order, ReplyStatus::Body(body));
        }
        Event::Crossed(_, other) => {
            let own = harness.run(&order);
            let other = harness.remove_order(usize::from(*other));
            let Some(other) = other else {
                return harness.reply(&order, ReplyStatus::Body(own));
            };
            let foreign = harness.run(&other);
            harness.reply(&order, ReplyStatus::Body(foreign));
            harness.reply(&other, ReplyStatus::Body(own));
        }
        Event::WrongShard(_) => {
            let body = harness.run_with(&order, (order.shard + 1) % SHARDS, order.snapshot);
            harness.reply(&order, ReplyStatus::Body(body));
        }
        Event::WrongSnapshot(_) => {
            let mut snapshot = order.snapshot;
            snapshot.version += 1;
            let body = harness.run_with(&order, order.shard, snapshot);
            harness.reply(&order, ReplyStatus::Body(body));
        }
        Event::Broke(_) => {
            harness.run(&order);
            harness.reply(&order, ReplyStatus::Failed);
        }
        Event::NeverSent(_) => harness.reply(&order, ReplyStatus::NeverSent),
        Event::Shed(_) => harness.reply(&order, ReplyStatus::Shed { retry_after: None }),
        _ => harness.reply(&order, ReplyStatus::SnapshotNotHeld { held: Vec::new() }),
    }
}

fn run_case(events: &[Event], seed: u64, safety_checks: EntrySafetyChecks) -> Violations {
    let mut harness = EntryHarness::new(safety_checks, seed);
    for event in events {
        play(&mut harness, event);
    }
    harness.finish_case()
}

/// Cases that the promise is tried on.
const CASES: u32 = 3000;

proptest! {
    #![proptest_config(Config {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]

    #[test]
    fn promises_hold(events in prop::collection::vec(event(), 1..120), seed in any::<u64>()) {
        prop_assert_eq!(run_case(&events, seed, EntrySafetyChecks::default()), Violations::default());
    }
}

/// Runs seeded cases without a guard and sums what broke.
fn broken_without(safety_checks: EntrySafetyChecks) -> Violations {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(event(), 40..120);
    let mut sum = Violations::default();
    for seed in 0..400 {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the strategy rejects nothing");
        let violations = run_case(&tree.current(), seed, safety_checks);
        sum.mixed_snapshot += violations.mixed_snapshot;
        sum.false_coverage += violations.false_coverage;
        sum.foreign_answer += violations.foreign_answer;
        sum.double_run += violations.double_run;
        sum.false_not_run += violations.false_not_run;
        sum.work_after_leaving += violations.work_after_leaving;
    }
    sum
}

struct GuardCase {
    name: &'static str,
    off: fn(&mut EntrySafetyChecks),
    count: fn(&Violations) -> u32,
}

#[test]
fn a_guard_that_is_off_is_noticed() {
    let cases = [
        GuardCase {
            name: "snapshot",
            off: |safety_checks| safety_checks.snapshot = false,
            count: |violations| violations.mixed_snapshot,
        },
        GuardCase {
            name: "shard",
            off: |safety_checks| safety_checks.shard = false,
            count: |violations| violations.false_coverage,
        },
        GuardCase {
            name: "identity",
            off: |safety_checks| safety_checks.reply_identity = false,
            count: |violations| violations.foreign_answer,
        },
        GuardCase {
            name: "once",
            off: |safety_checks| safety_checks.single_run = false,
            count: |violations| violations.double_run,
        },
        GuardCase {
            name: "refusal",
            off: |safety_checks| safety_checks.not_run_claim = false,
            count: |violations| violations.false_not_run,
        },
        GuardCase {
            name: "drain",
            off: |safety_checks| safety_checks.drain = false,
            count: |violations| violations.work_after_leaving,
        },
    ];
    for case in cases {
        let mut safety_checks = EntrySafetyChecks::default();
        (case.off)(&mut safety_checks);
        let violations = broken_without(safety_checks);
        assert!(
            (case.count)(&violations) > 0,
            "{} off: {violations:?}",
            case.name
        );
    }
    assert_eq!(
        broken_without(EntrySafetyChecks::default()),
        Violations::default()
    );
}
