//! Requests that lay unread before an entry took them in.

use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{ForwardCall, ForwardInput, RelayOrder};
use wheelmast_core::process::input::CallTag;

use crate::harness::{mark_of, route, shards, table, Harness, HOST};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct ArrivedCase {
    name: &'static str,
    /// Time since it came.
    waited: u64,
    /// Time that its caller gave.
    given: Option<u64>,
    /// Until when its answer is of use to another entry, from when it came.
    of_use: Option<u64>,
    /// Time that is left for servers.
    left: Option<u64>,
}

const CASES: &[ArrivedCase] = &[
    ArrivedCase {
        name: "read at once",
        waited: 0,
        given: Some(700),
        of_use: None,
        left: Some(697),
    },
    ArrivedCase {
        name: "read late",
        waited: 300,
        given: Some(700),
        of_use: None,
        left: Some(397),
    },
    ArrivedCase {
        name: "by the route's limit alone",
        waited: 300,
        given: None,
        of_use: None,
        left: Some(697),
    },
    ArrivedCase {
        name: "nothing left",
        waited: 700,
        given: Some(700),
        of_use: None,
        left: None,
    },
    ArrivedCase {
        name: "no time for an answer left",
        waited: 690,
        given: Some(700),
        of_use: None,
        left: None,
    },
    ArrivedCase {
        name: "of another entry, read late",
        waited: 30,
        given: Some(700),
        of_use: Some(80),
        left: Some(667),
    },
    ArrivedCase {
        name: "of another entry, of no use any more",
        waited: 80,
        given: Some(700),
        of_use: Some(80),
        left: None,
    },
];

#[test]
fn the_time_of_a_request_runs_from_when_it_came() {
    for case in CASES {
        let mut harness = Harness::new();
        harness.obey(table(3, vec![route("q", shards(2))]));
        harness.serve("s0", 1);
        harness.serve("s1", 1);
        harness.pass(5000);
        let arrived = harness.now - ms(case.waited);
        let relayed = case.of_use.map(|of_use| RelayOrder {
            version: 3,
            answer_by: arrived + ms(of_use),
            attempts: 1,
            earns: true,
            divides: false,
            workspace: None,
            shards: vec!["s0".into(), "s1".into()],
        });
        let tag = CallTag(1);
        harness.step(ForwardInput::Call(ForwardCall {
            tag,
            host: HOST.into(),
            path: "/q/x".into(),
            mark: mark_of("/q/x"),
            key: None,
            arrived,
            time_left: case.given.map(ms),
            relayed,
        }));
        let left = harness.sends.first().map(|order| order.until - harness.now);
        assert_eq!(left, case.left.map(ms), "{}", case.name);
        let failure = case.left.is_none().then_some(ForwardFailure::LateUnrun);
        assert_eq!(harness.failure_of(tag), failure, "{}", case.name);
    }
}

/// What callers would see: from one request on that gave days, no request of its
/// route at that entry waits for its slow shards any more. The longest time that
/// a caller gave counts as what all give, and what others give less as spent.
#[test]
fn one_caller_that_gives_days_does_not_make_the_others_late() {
    let mut harness = Harness::new();
    harness.obey(table(3, vec![route("q", shards(2))]));
    harness.serve("s0", 1);
    harness.serve("s1", 1);
    let patient = harness.call_as("q", Some(Duration::from_secs(1_000_000)), None);
    harness.end_well(0, b"");
    harness.end_well(1, b"");
    assert!(harness.gathered(patient).is_some());
    let usual = harness.call_as("q", Some(ms(700)), None);
    harness.end_well(2, b"");
    harness.pass(30);
    assert!(harness.answer_to(usual).is_none(), "it waits for its shard");
    harness.end_well(3, b"");
    assert_eq!(harness.gathered(usual).map(|(_, missing)| missing), Some(0));
}
