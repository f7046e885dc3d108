//! Requests that lay unread before an entry took them in.

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
    /// Time since it came.
    waited_ms: u64,
    /// Time that its caller gave.
    caller_limit_ms: Option<u64>,
    /// Until when its answer is of use to another entry, from when it came.
    useful_ms: Option<u64>,
    /// Time that is left for servers.
    time_left_ms: Option<u64>,
}

const CASES: &[ArrivedCase] = &[
    ArrivedCase {
        name: "read at once",
        waited_ms: 0,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: Some(697),
    },
    ArrivedCase {
        name: "read late",
        waited_ms: 300,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: Some(397),
    },
    ArrivedCase {
        name: "by the route's limit alone",
        waited_ms: 300,
        caller_limit_ms: None,
        useful_ms: None,
        time_left_ms: Some(697),
    },
    ArrivedCase {
        name: "nothing left",
        waited_ms: 700,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: None,
    },
    ArrivedCase {
        name: "no time for an answer left",
        waited_ms: 690,
        caller_limit_ms: Some(700),
        useful_ms: None,
        time_left_ms: None,
    },
    ArrivedCase {
        name: "of another entry, read late",
        waited_ms: 30,
        caller_limit_ms: Some(700),
        useful_ms: Some(80),
        time_left_ms: Some(667),
    },
    ArrivedCase {
        name: "of another entry, of no use any more",
        waited_ms: 80,
        caller_limit_ms: Some(700),
        useful_ms: Some(80),
        time_left_ms: None,
    },
];

#[test]
fn the_time_of_a_request_runs_from_when_it_came() {
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

/// What callers would see: from one request on that gave days, no request of its
/// route at that entry waits for its slow shards any more. The longest time that
/// a caller gave counts as what all give, and what others give less as spent.
#[test]
fn one_caller_that_gives_days_does_not_make_the_others_late() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    let patient = harness.call_with("q", Some(Duration::from_secs(1_000_000)), None);
    harness.answer_ok(0, b"");
    harness.answer_ok(1, b"");
    assert!(harness.gathered(patient).is_some());
    let usual = harness.call_with("q", Some(ms(700)), None);
    harness.answer_ok(2, b"");
    harness.advance(30);
    assert!(harness.answer_to(usual).is_none(), "it waits for its shard");
    harness.answer_ok(3, b"");
    assert_eq!(harness.gathered(usual).map(|(_, missing)| missing), Some(0));
}
