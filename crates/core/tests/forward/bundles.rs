//! Asking another entry for the shards that stand nearer to it.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder};
use wheelmast_core::version::route_table::RouteRule;

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Two shards here, four there, and an entry there.
fn split_world() -> Harness {
    split_world_of(2)
}

/// The same with a route that allows so many attempts.
fn split_world_of(attempts: u32) -> Harness {
    let mut harness = Harness::new();
    let rule = RouteRule {
        attempts,
        ..route("q", shards(6))
    };
    harness.set_table(table(3, vec![rule]));
    for shard in 0..6 {
        let domain = if shard < 2 { LOCAL_DOMAIN } else { "there" };
        harness.add_server_in(&format!("s{shard}"), domain);
    }
    harness.add_entries(&["there"]);
    harness
}

fn bundle_place(harness: &Harness) -> usize {
    let mut orders = harness.sends.iter();
    orders
        .position(|order| order.relay.is_some())
        .expect("a bundle")
}

#[test]
fn far_shards_are_asked_for_together() {
    let mut harness = split_world();
    let call = harness.call("q");
    assert_eq!(harness.sends.len(), 3, "two parts and a bundle");
    let bundle = bundle_place(&harness);
    let order = harness.sends[bundle].relay.clone().expect("an order");
    assert_eq!(order.version, 3);
    assert_eq!(order.shards.len(), 4);
    assert!(order.answer_by < harness.now + Duration::from_millis(100));
    harness.end_bundle(bundle, &["s2", "s3", "s4", "s5"], b"");
    for send in (0..3).filter(|send| *send != bundle) {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (6, 0));
}

#[test]
fn an_entry_that_refuses_costs_nothing() {
    let mut harness = split_world();
    harness.call("q");
    let bundle = bundle_place(&harness);
    harness.end(bundle, AttemptResult::Unsent);
    assert_eq!(harness.sends.len(), 7, "its shards are asked from here");
}

struct RunCase {
    /// Servers of a part that the route allows.
    attempts: u32,
    /// Those that the other entry may ask.
    lent: u32,
    /// Sends for each part from here afterwards.
    direct: usize,
}

#[test]
fn what_another_entry_may_have_run_counts_as_run() {
    let cases = [
        RunCase {
            attempts: 1,
            lent: 1,
            direct: 0,
        },
        RunCase {
            attempts: 2,
            lent: 1,
            direct: 1,
        },
        RunCase {
            attempts: 3,
            lent: 2,
            direct: 1,
        },
    ];
    for case in cases {
        for silent in [false, true] {
            let mut harness = split_world_of(case.attempts);
            let call = harness.call("q");
            let bundle = bundle_place(&harness);
            let order = harness.sends[bundle].relay.clone().expect("an order");
            assert_eq!(order.attempts, case.lent);
            if silent {
                harness.advance(160);
                assert_eq!(harness.cancels.len(), 1, "it is given up");
            } else {
                harness.end(bundle, AttemptResult::Broken);
            }
            assert_eq!(harness.sends.len(), 3 + 4 * case.direct);
            // Nothing more goes out when those fail as well.
            for send in 3..harness.sends.len() {
                harness.end(send, AttemptResult::Broken);
            }
            harness.advance(200);
            assert_eq!(harness.sends.len(), 3 + 4 * case.direct);
            assert_eq!(harness.failure_of(call), Some(ForwardFailure::Failed));
            let before = harness.sends.len();
            harness.call("q");
            let mut later = harness.sends[before..].iter();
            assert!(later.all(|order| order.relay.is_none()));
        }
    }
}

#[test]
fn shards_left_out_of_a_bundle_are_missing() {
    let mut harness = split_world();
    let call = harness.call("q");
    let bundle = bundle_place(&harness);
    harness.end_bundle(bundle, &["s2", "s4"], b"");
    for send in (0..3).filter(|send| *send != bundle) {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (4, 2));
}

#[test]
fn a_request_of_another_entry_is_answered_as_it_stands_in_time() {
    let mut harness = split_world();
    let order = RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(30),
        attempts: 1,
        credits_budget: true,
        may_divide: true,
        workspace: None,
        shards: vec!["s0".into(), "s1".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    assert!(harness.sends.iter().all(|order| order.relay.is_none()));
    harness.answer_ok(1, b"");
    harness.advance(31);
    let Some(ForwardAnswer::Gathered {
        shards, missing, ..
    }) = harness.answer_to(call)
    else {
        panic!("an answer");
    };
    assert_eq!(shards, &[harness.sends[1].instance[..2].into()]);
    assert_eq!(*missing, 1);
}

#[test]
fn a_request_of_an_entry_with_a_newer_table_is_refused() {
    let mut harness = split_world();
    let order = RelayOrder {
        version: 4,
        answer_by: harness.now + Duration::from_millis(30),
        attempts: 1,
        credits_budget: true,
        may_divide: true,
        workspace: None,
        shards: vec!["s0".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoTable));
    assert!(harness.sends.is_empty());
}

#[test]
fn an_entry_that_left_is_not_asked() {
    let mut harness = split_world();
    harness.add_entries(&[]);
    harness.call("q");
    assert_eq!(harness.sends.len(), 6);
}

#[test]
fn an_entry_that_was_silent_is_left_alone_for_seconds() {
    let mut harness = split_world();
    harness.call("q");
    let bundle = bundle_place(&harness);
    harness.advance(160);
    assert_eq!(harness.cancels.len(), 1, "it is given up");
    harness.end(bundle, AttemptResult::Broken);
    for (millis, is_asked) in [(1000, false), (1500, false), (1000, true)] {
        harness.advance(millis);
        let before = harness.sends.len();
        harness.call("q");
        let mut sends = harness.sends[before..].iter();
        assert_eq!(sends.any(|order| order.relay.is_some()), is_asked);
    }
}
