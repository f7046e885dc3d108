//! Which requests are let in, and which shards they are asked of.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::backlog::ServerBacklog;
use wheelmast_core::process::forward::decay::DecayingRate;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{AttemptEnd, LoadReport, ServerAnswer};

use crate::harness::{answer, route, shards, table, Harness};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn loaded(waiting: u32) -> Option<LoadReport> {
    Some(LoadReport {
        running: 2,
        waiting,
        slots: 2,
        pace: None,
    })
}

/// Answers a send, from a server at which others wait.
fn end_loaded(harness: &mut Harness, send: usize, waiting: u32) {
    let stamp = harness.sends[send].instance.clone();
    let end = ServerAnswer {
        load: loaded(waiting),
        ..answer(200, &stamp, b"")
    };
    harness.end(send, AttemptEnd::Answer(end));
}

/// A route over four shards, the first of which has more work than time.
fn crowded(least: f64) -> Harness {
    let mut harness = Harness::new();
    let mut rule = route("q", shards(4));
    rule.least_coverage = least;
    harness.obey(table(1, vec![rule]));
    for shard in 0..4 {
        harness.serve(&format!("s{shard}"), 1);
    }
    harness.call("q");
    for send in 0..4 {
        end_loaded(&mut harness, send, if send == 0 { 40 } else { 0 });
    }
    harness
}

struct RoomCase {
    name: &'static str,
    least: f64,
    /// Sends of the next request.
    sends: usize,
    failure: Option<ForwardFailure>,
}

#[test]
fn a_shard_without_room_is_left_out_or_the_request_refused_at_once() {
    let cases = [
        RoomCase {
            name: "it can do without",
            least: 0.75,
            sends: 3,
            failure: None,
        },
        RoomCase {
            name: "it cannot",
            least: 1.0,
            sends: 0,
            failure: Some(ForwardFailure::Overload),
        },
    ];
    for case in cases {
        let mut harness = crowded(case.least);
        let call = harness.call("q");
        assert_eq!(harness.sends.len(), 4 + case.sends, "{}", case.name);
        assert_eq!(harness.failure_of(call), case.failure, "{}", case.name);
        if let Some(ForwardAnswer::Failure { retry_after, .. }) = harness.answer_to(call) {
            assert!(retry_after.is_some(), "{}: when to come back", case.name);
        }
    }
}

#[test]
fn a_shard_is_asked_again_once_its_work_is_done() {
    let mut harness = crowded(1.0);
    let refused = harness.call("q");
    assert!(harness.failure_of(refused).is_some());
    harness.pass(400);
    harness.call("q");
    assert_eq!(harness.sends.len(), 8);
}

#[test]
fn a_part_that_was_turned_away_waits_for_the_bound() {
    let mut harness = Harness::with_bound(ExtraBound {
        ratio: 0.0,
        slack: 0.0,
        window: Duration::from_secs(10),
    });
    let mut rule = route("q", shards(2));
    rule.least_coverage = 1.0;
    harness.obey(table(1, vec![rule]));
    harness.serve("s0", 2);
    harness.serve("s1", 2);
    let call = harness.call("q");
    let rejected = ServerAnswer {
        not_run: true,
        ..answer(503, "s", b"")
    };
    harness.end(0, AttemptEnd::Answer(rejected));
    harness.pass(60);
    assert!(
        harness.answer_to(call).is_none(),
        "the bound may leave room"
    );
    assert_eq!(harness.sends.len(), 2, "nothing beyond the bound");
    harness.pass(1000);
    assert!(harness.failure_of(call).is_some(), "its time is over");
}

#[test]
fn shards_that_bundles_missed_are_probed() {
    let mut harness = Harness::new();
    let mut rule = route("q", shards(4));
    rule.least_coverage = 1.0;
    harness.obey(table(1, vec![rule]));
    for shard in 0..4 {
        harness.serve_in(&format!("s{shard}"), "far");
    }
    harness.meet(&["far"]);
    let mut refused = 0;
    for _ in 0..40 {
        let record_send = harness.sends.len();
        let call = harness.call("q");
        if harness.sends.len() > record_send {
            harness.end_bundle(record_send, &["s0"], b"");
        } else {
            refused += 1;
            let failure = harness.failure_of(call);
            assert_eq!(failure, Some(ForwardFailure::Overload));
        }
        harness.pass(20);
    }
    assert!(refused > 10, "{refused} refused");
    let before = harness.sends.len();
    for _ in 0..50 {
        harness.call("q");
        harness.pass(20);
    }
    let probes = harness.sends.len() - before;
    assert!((3..=50).contains(&probes), "{probes} probes in a second");
}

struct BacklogCase {
    name: &'static str,
    /// Requests that wait by the server's word.
    waiting: u32,
    /// Own sends after it.
    sends: u32,
    expected_wait: Duration,
}

#[test]
fn a_backlog_counts_others_only_while_something_waits() {
    let cases = [
        BacklogCase {
            name: "idle: own sends alone",
            waiting: 0,
            sends: 2,
            expected_wait: ms(20),
        },
        BacklogCase {
            name: "busy: all entries send alike",
            waiting: 4,
            sends: 2,
            expected_wait: ms(40 + 8 * 20),
        },
    ];
    for case in cases {
        let (now, work) = (ms(1000), ms(20));
        let mut backlog = ServerBacklog::default();
        backlog.record_report(case.waiting, work, 2, now);
        for _ in 0..case.sends {
            backlog.record_send(work, 2, 8, now);
        }
        assert_eq!(
            backlog.expected_wait(now),
            case.expected_wait,
            "{}",
            case.name
        );
        assert_eq!(
            backlog.expected_wait(now + case.expected_wait),
            Duration::ZERO,
            "{}",
            case.name
        );
    }
}

#[test]
fn a_share_fades_without_events() {
    let mut share = DecayingRate::default();
    for _ in 0..40 {
        share.add(1.0, ms(1000));
    }
    assert!(share.value_at(ms(1000)) > 0.95);
    assert!(share.value_at(ms(1000 + 2500)) < 0.51);
    assert!(share.value_at(ms(20_000)) < 0.01);
}
