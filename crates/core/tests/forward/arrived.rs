//! Deadlines of requests that waited unread before the entry processed them: all
//! deadlines count from the arrival, not from the processing.

use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{ForwardCall, ForwardInput, RelayOrder};
use wheelmast_core::process::input::CallTag;

use crate::harness::{fingerprint_of, route, shards, table, Harness, HOST};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct ArrivedCase {
    name: &'static str,
    /// Time since the arrival, in ms.
    waited_ms: u64,
    /// Time that the caller allows, in ms, if the request says so.
    caller_limit_ms: Option<u64>,
    /// Time from the arrival until which the answer is useful to the entry that
    /// relayed the request, in ms; `None` for a caller's request.
    useful_ms: Option<u64>,
    /// Time left for the servers, in ms; `None` if the request is refused.
    time_left_ms: Option<u64>,
}

const CASES: &[ArrivedCase] = &[
    ArrivedCase {
        name: "processed at once",
        waited_ms: 0,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: Some(697),
    },
    ArrivedCase {
        name: "processed late",
        waited_ms: 300,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: Some(397),
    },
    ArrivedCase {
        name: "only the route's time limit",
        waited_ms: 300,
        caller_limit_ms: None,
        useful_ms: None,
        time_left_ms: Some(697),
    },
    ArrivedCase {
        name: "no time left",
        waited_ms: 700,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: None,
    },
    ArrivedCase {
        name: "too little time left for an answer",
        waited_ms: 690,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: None,
    },
    ArrivedCase {
        name: "relayed by another entry, processed late",
        waited_ms: 30,
        caller_limit_ms: Some(700),
        useful_ms: Some(80),
        time_left_ms: Some(667),
    },
    ArrivedCase {
        name: "relayed by another entry, no longer useful",
        waited_ms: 80,
        caller_limit_ms: Some(700),
        useful_ms: Some(80),
        time_left_ms: None,
    },
];

#[test]
fn deadlines_count_from_the_arrival() {
    for case in CASES {
        let mut harness = Harness::new();
        harness.set_table(table(3, vec![route("q", shards(2))]));
        harness.add_servers("s0", 1);
        harness.add_servers("s1", 1);
        harness.advance(5000);
        let arrived_at = harness.now - ms(case.waited_ms);
        let relayed = case.useful_ms.map(|useful_ms| RelayOrder {
            version: 3,
            answer_by: arrived_at + ms(useful_ms),
            attempts: 1,
            credits_budget: true,
            may_divide: false,
            workspace: None,
            top: Some(3),
            homes: Vec::new(),
            shards: vec!["s0".into(), "s1".into()],
        });
        let tag = CallTag(1);
        harness.step(ForwardInput::Call(ForwardCall {
            tag,
            host: HOST.into(),
            path: "/q/x".into(),
            mark: fingerprint_of("/q/x"),
            key: None,
            arrived_at,
            time_left: case.caller_limit_ms.map(ms),
            relayed,
        }));
        let time_left_ms = harness.sends.first().map(|order| order.until - harness.now);
        assert_eq!(time_left_ms, case.time_left_ms.map(ms), "{}", case.name);
        let failure = case
            .time_left_ms
            .is_none()
            .then_some(ForwardFailure::TimedOutUnrun);
        assert_eq!(harness.failure_of(tag), failure, "{}", case.name);
    }
}

/// Guards against one caller with a time limit of days spoiling the route for the
/// others. The usual limit is estimated from the longest limits that callers gave, and
/// a shorter limit counts as time already spent. If a limit of days became the usual
/// one, all other requests of the route would count as late and no longer wait for
/// slow shards.
#[test]
fn a_caller_with_a_limit_of_days_does_not_make_the_others_late() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    let long_limit = harness.call_with("q", Some(Duration::from_secs(1_000_000)), None);
    harness.answer_ok(0, b"");
    harness.answer_ok(1, b"");
    assert!(harness.gathered(long_limit).is_some());
    let usual_limit = harness.call_with("q", Some(ms(700)), None);
    harness.answer_ok(2, b"");
    harness.advance(30);
    assert!(
        harness.answer_to(usual_limit).is_none(),
        "the request still waits for its slow shard"
    );
    harness.answer_ok(3, b"");
    assert_eq!(
        harness.gathered(usual_limit).map(|(_, missing)| missing),
        Some(0)
    );
}
