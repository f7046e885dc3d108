//! Property tests of the entry machine's promises, that is, the guarantees that `Violations`
//! counts violations of: for example that an answer never mixes two snapshots.
//!
//! Random sequences of replies, duplicates, losses, new snapshot versions and cancellations
//! must not violate any promise. With one safety check (a field of `EntrySafetyChecks`) switched off,
//! the tests must find a violation; otherwise they could not detect a missing check.

mod support;

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};
use support::{EntryHarness, Violations, REPLICAS, SHARDS};
use wheelmast_core::prelude::*;

/// One step of a random sequence.
///
/// The number in an event chooses a service, a caller, a server or an order (a subquery that
/// the machine has sent). In `Advance` the number is a time in milliseconds.
#[derive(Debug, Clone)]
enum Event {
    Submit(u8),
    CallerLeft(u8),
    Advance(u16),
    Reply(u8),
    /// A correct reply that arrives twice.
    Duplicate(u8),
    /// A reply to an order that has already ended.
    Late(u8),
    /// Two orders whose replies are swapped.
    Crossed(u8, u8),
    WrongShard(u8),
    WrongSnapshot(u8),
    /// The server runs the subquery, and its reply is lost.
    ReplyLost(u8),
    NeverSent(u8),
    Shed(u8),
    SnapshotNotHeld(u8),
    NewVersion(u8),
    Drain(u8),
    Serve(u8),
}

/// Returns the strategy that generates events, with their weights.
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
        2 => any::<u8>().prop_map(Event::ReplyLost),
        1 => any::<u8>().prop_map(Event::NeverSent),
        1 => any::<u8>().prop_map(Event::Shed),
        1 => any::<u8>().prop_map(Event::SnapshotNotHeld),
        2 => any::<u8>().prop_map(Event::NewVersion),
        1 => any::<u8>().prop_map(Event::Drain),
        1 => any::<u8>().prop_map(Event::Serve),
    ]
}

/// Returns the number of the server that `pick` chooses.
fn choose_server(pick: u8) -> u32 {
    u32::from(pick) % (SHARDS * REPLICAS)
}

/// Applies an event to the machine under test.
fn apply_event(harness: &mut EntryHarness, event: &Event) {
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
        Event::NewVersion(pick) => harness.add_snapshot_version(choose_server(*pick)),
        Event::Drain(pick) => harness.announce(choose_server(*pick), ServerPhase::Draining),
        Event::Serve(pick) => harness.announce(choose_server(*pick), ServerPhase::Serving),
        reply => apply_reply(harness, reply),
    }
}

/// Ends the order that the event chooses, in the way the event says.
fn apply_reply(harness: &mut EntryHarness, event: &Event) {
    let (Event::Reply(pick)
    | Event::Duplicate(pick)
    | Event::Crossed(pick, _)
    | Event::WrongShard(pick)
    | Event::WrongSnapshot(pick)
    | Event::ReplyLost(pick)
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
            let own_body = harness.run(&order);
            let other = harness.remove_order(usize::from(*other));
            let Some(other) = other else {
                return harness.reply(&order, ReplyStatus::Body(own_body));
            };
            let other_body = harness.run(&other);
            harness.reply(&order, ReplyStatus::Body(other_body));
            harness.reply(&other, ReplyStatus::Body(own_body));
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
        Event::ReplyLost(_) => {
            harness.run(&order);
            harness.reply(&order, ReplyStatus::Failed);
        }
        Event::NeverSent(_) => harness.reply(&order, ReplyStatus::NeverSent),
        Event::Shed(_) => harness.reply(&order, ReplyStatus::Shed { retry_after: None }),
        _ => harness.reply(&order, ReplyStatus::SnapshotNotHeld { held: Vec::new() }),
    }
}

/// Runs one sequence of events on a new machine and returns the violations.
fn run_sequence(events: &[Event], seed: u64, safety_checks: EntrySafetyChecks) -> Violations {
    let mut harness = EntryHarness::new(safety_checks, seed);
    for event in events {
        apply_event(&mut harness, event);
    }
    harness.finish_case()
}

/// Number of random sequences that the property test runs.
const CASE_COUNT: u32 = 3000;

proptest! {
    #![proptest_config(Config {
        cases: CASE_COUNT,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        ..Config::default()
    })]

    #[test]
    fn promises_hold(events in prop::collection::vec(event(), 1..120), seed in any::<u64>()) {
        prop_assert_eq!(run_sequence(&events, seed, EntrySafetyChecks::default()), Violations::default());
    }
}

/// Runs 400 random sequences from a fixed seed with the given checks, and returns the sum of
/// the violations.
fn count_violations(safety_checks: EntrySafetyChecks) -> Violations {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[9; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = prop::collection::vec(event(), 40..120);
    let mut total = Violations::default();
    for seed in 0..400 {
        let tree = strategy
            .new_tree(&mut runner)
            .expect("the strategy rejects nothing");
        let violations = run_sequence(&tree.current(), seed, safety_checks);
        total.mixed_snapshot += violations.mixed_snapshot;
        total.false_coverage += violations.false_coverage;
        total.foreign_answer += violations.foreign_answer;
        total.double_run += violations.double_run;
        total.false_not_run += violations.false_not_run;
        total.work_after_leaving += violations.work_after_leaving;
    }
    total
}

/// A safety check to switch off, and the violations that this must cause.
struct DisabledCheckCase {
    name: &'static str,
    disable: fn(&mut EntrySafetyChecks),
    count: fn(&Violations) -> u32,
}

#[test]
fn a_disabled_safety_check_violates_its_promise() {
    let cases = [
        DisabledCheckCase {
            name: "snapshot",
            disable: |safety_checks| safety_checks.snapshot = false,
            count: |violations| violations.mixed_snapshot,
        },
        DisabledCheckCase {
            name: "shard",
            disable: |safety_checks| safety_checks.shard = false,
            count: |violations| violations.false_coverage,
        },
        DisabledCheckCase {
            name: "identity",
            disable: |safety_checks| safety_checks.reply_identity = false,
            count: |violations| violations.foreign_answer,
        },
        DisabledCheckCase {
            name: "once",
            disable: |safety_checks| safety_checks.single_run = false,
            count: |violations| violations.double_run,
        },
        DisabledCheckCase {
            name: "refusal",
            disable: |safety_checks| safety_checks.not_run_claim = false,
            count: |violations| violations.false_not_run,
        },
        DisabledCheckCase {
            name: "drain",
            disable: |safety_checks| safety_checks.drain = false,
            count: |violations| violations.work_after_leaving,
        },
    ];
    for case in cases {
        let mut safety_checks = EntrySafetyChecks::default();
        (case.disable)(&mut safety_checks);
        let violations = count_violations(safety_checks);
        assert!(
            (case.count)(&violations) > 0,
            "{} off: {violations:?}",
            case.name
        );
    }
    assert_eq!(
        count_violations(EntrySafetyChecks::default()),
        Violations::default()
    );
}
