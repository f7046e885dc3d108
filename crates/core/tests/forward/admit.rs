//! Tests of admission control (which requests an entry accepts and which shards
//! it omits), and of the backlog and decaying-rate estimates behind it.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::backlog::ServerBacklog;
use wheelmast_core::process::forward::decay::DecayingRate;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{AttemptResult, LoadReport, ServerAnswer};

use crate::harness::{answer, route, shards, table, Harness};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the load report of a server with two slots, both busy, and `waiting`
/// queued requests.
fn load_report(waiting: u32) -> Option<LoadReport> {
    Some(LoadReport {
        running: 2,
        waiting,
        slots: 2,
        pace: None,
    })
}

/// Answers an attempt, with a load report of `waiting` queued requests.
pub(crate) fn answer_with_load(harness: &mut Harness, send: usize, waiting: u32) {
    let stamp = harness.sends[send].instance.clone();
    let end = ServerAnswer {
        load: load_report(waiting),
        ..answer(200, &stamp, b"")
    };
    harness.end(send, AttemptResult::Answer(end));
}

/// Returns an entry with a route over four shards, the first of which is
/// overloaded. The route has the minimum coverage `least_coverage`.
fn entry_with_overloaded_shard(least_coverage: f64) -> Harness {
    let mut harness = Harness::new();
    let mut rule = route("q", shards(4));
    rule.least_coverage = least_coverage;
    harness.set_table(table(1, vec![rule]));
    for shard in 0..4 {
        harness.add_servers(&format!("s{shard}"), 1);
    }
    harness.call("q");
    for send in 0..4 {
        answer_with_load(&mut harness, send, if send == 0 { 40 } else { 0 });
    }
    harness
}

struct OverloadCase {
    name: &'static str,
    /// Minimum coverage of the route.
    least_coverage: f64,
    /// Number of attempts that the next request sends.
    sends: usize,
    /// Failure of the next request, or `None` if it is accepted.
    failure: Option<ForwardFailure>,
}

#[test]
fn an_overloaded_shard_is_omitted_or_the_request_is_refused_at_once() {
    let cases = [
        OverloadCase {
            name: "the minimum coverage is reached without the shard",
            least_coverage: 0.75,
            sends: 3,
            failure: None,
        },
        OverloadCase {
            name: "the minimum coverage needs the shard",
            least_coverage: 1.0,
            sends: 0,
            failure: Some(ForwardFailure::Overload),
        },
    ];
    for case in cases {
        let mut harness = entry_with_overloaded_shard(case.least_coverage);
        let call = harness.call("q");
        assert_eq!(harness.sends.len(), 4 + case.sends, "{}", case.name);
        assert_eq!(harness.failure_of(call), case.failure, "{}", case.name);
        if let Some(ForwardAnswer::Failure { retry_after, .. }) = harness.answer_to(call) {
            assert!(
                retry_after.is_some(),
                "{}: the refusal says when to retry",
                case.name
            );
        }
    }
}

#[test]
fn a_shard_is_used_again_once_its_queue_is_worked_off() {
    let mut harness = entry_with_overloaded_shard(1.0);
    let refused = harness.call("q");
    assert!(harness.failure_of(refused).is_some());
    harness.advance(400);
    harness.call("q");
    assert_eq!(harness.sends.len(), 8);
}

#[test]
fn a_part_rejected_by_its_server_waits_for_the_extra_load_budget() {
    let mut harness = Harness::with_bound(ExtraBound {
        ratio: 0.0,
        slack: 0.0,
        window: Duration::from_secs(10),
    });
    let mut rule = route("q", shards(2));
    rule.least_coverage = 1.0;
    harness.set_table(table(1, vec![rule]));
    harness.add_servers("s0", 2);
    harness.add_servers("s1", 2);
    let call = harness.call("q");
    let rejected = ServerAnswer {
        not_run: true,
        ..answer(503, "s", b"")
    };
    harness.end(0, AttemptResult::Answer(rejected));
    harness.advance(60);
    assert!(
        harness.answer_to(call).is_none(),
        "the budget may allow a retry later"
    );
    assert_eq!(harness.sends.len(), 2, "no retry beyond the budget");
    harness.advance(1000);
    assert!(
        harness.failure_of(call).is_some(),
        "the request ends when its time is over"
    );
}

#[test]
fn shards_missing_from_bundles_are_probed() {
    let mut harness = Harness::new();
    let mut rule = route("q", shards(4));
    rule.least_coverage = 1.0;
    harness.set_table(table(1, vec![rule]));
    for shard in 0..4 {
        harness.add_server_in(&format!("s{shard}"), "far");
    }
    harness.add_entries(&["far"]);
    let mut refused = 0;
    for _ in 0..40 {
        let first_send = harness.sends.len();
        let call = harness.call("q");
        if harness.sends.len() > first_send {
            harness.end_bundle(first_send, &["s0"], b"");
        } else {
            refused += 1;
            let failure = harness.failure_of(call);
            assert_eq!(failure, Some(ForwardFailure::Overload));
        }
        harness.advance(20);
    }
    assert!(refused > 10, "only {refused} requests were refused");
    let before = harness.sends.len();
    for _ in 0..50 {
        harness.call("q");
        harness.advance(20);
    }
    let probes = harness.sends.len() - before;
    assert!((3..=50).contains(&probes), "{probes} probes in 1 s");
}

struct BacklogCase {
    name: &'static str,
    /// Queued requests in the server's load report.
    waiting: u32,
    /// Number of requests that this entry sends after the report.
    sends: u32,
    /// Expected wait for a slot after these requests.
    expected_wait: Duration,
}

#[test]
fn a_backlog_assumes_requests_of_other_entries_only_while_requests_are_queued() {
    let cases = [
        BacklogCase {
            name: "idle: only the requests of this entry count",
            waiting: 0,
            sends: 2,
            expected_wait: ms(20),
        },
        BacklogCase {
            name: "busy: all entries are assumed to send equally",
            waiting: 4,
            sends: 2,
            expected_wait: ms(40 + 8 * 20),
        },
    ];
    for case in cases {
        let (now, service_time) = (ms(1000), ms(20));
        let mut backlog = ServerBacklog::default();
        backlog.record_report(case.waiting, service_time, 2, now);
        for _ in 0..case.sends {
            backlog.record_send(service_time, 2, 8, now);
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
fn a_rate_decays_without_events() {
    let mut rate = DecayingRate::default();
    for _ in 0..40 {
        rate.add(1.0, ms(1000));
    }
    assert!(rate.value_at(ms(1000)) > 0.95);
    assert!(rate.value_at(ms(1000 + 2500)) < 0.51);
    assert!(rate.value_at(ms(20_000)) < 0.01);
}
