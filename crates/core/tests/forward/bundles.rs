//! Bundles of far shards, which are sent to another entry near these shards in one message.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder};
use wheelmast_core::version::route_table::RouteRule;

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Creates a harness with servers of two shards in the local domain, servers of four in
/// the domain "there", and another entry in "there".
fn new_harness() -> Harness {
    new_harness_with(2)
}

/// Like [`new_harness`], with a route that allows `attempts` attempts per shard.
fn new_harness_with(attempts: u32) -> Harness {
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

/// Returns the index of the bundle among the sends.
fn bundle_index(harness: &Harness) -> usize {
    let mut orders = harness.sends.iter();
    orders
        .position(|order| order.relay.is_some())
        .expect("a bundle")
}

#[test]
fn far_shards_are_sent_in_one_bundle() {
    let mut harness = new_harness();
    let call = harness.call("q");
    assert_eq!(harness.sends.len(), 3, "two parts and a bundle");
    let bundle = bundle_index(&harness);
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
fn a_refused_bundle_uses_no_attempts() {
    let mut harness = new_harness();
    harness.call("q");
    let bundle = bundle_index(&harness);
    harness.end(bundle, AttemptResult::Unsent);
    assert_eq!(
        harness.sends.len(),
        7,
        "the shards are sent to servers directly"
    );
}

struct RunCase {
    /// Attempts per part that the route allows.
    attempts: u32,
    /// Attempts per part that the other entry is allowed at first.
    allowance: u32,
    /// Direct sends of each part to servers after the bundle has failed.
    direct: usize,
}

#[test]
fn attempts_allowed_to_another_entry_count_as_run() {
    let cases = [
        RunCase {
            attempts: 1,
            allowance: 1,
            direct: 0,
        },
        RunCase {
            attempts: 2,
            allowance: 1,
            direct: 1,
        },
        RunCase {
            attempts: 3,
            allowance: 2,
            direct: 1,
        },
    ];
    for case in cases {
        for is_unresponsive in [false, true] {
            let mut harness = new_harness_with(case.attempts);
            let call = harness.call("q");
            let bundle = bundle_index(&harness);
            let order = harness.sends[bundle].relay.clone().expect("an order");
            assert_eq!(order.attempts, case.allowance);
            if is_unresponsive {
                harness.advance(160);
                assert_eq!(harness.cancels.len(), 1, "the relay is abandoned");
            } else {
                harness.end(bundle, AttemptResult::Broken);
            }
            assert_eq!(harness.sends.len(), 3 + 4 * case.direct);
            // No more attempts are sent when the direct sends fail as well.
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
fn shards_omitted_from_a_bundle_are_missing() {
    let mut harness = new_harness();
    let call = harness.call("q");
    let bundle = bundle_index(&harness);
    harness.end_bundle(bundle, &["s2", "s4"], b"");
    for send in (0..3).filter(|send| *send != bundle) {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (4, 2));
}

#[test]
fn a_relayed_request_is_answered_in_time_with_the_parts_received() {
    let mut harness = new_harness();
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
fn a_relay_under_a_newer_route_table_is_refused() {
    let mut harness = new_harness();
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
fn an_entry_that_left_gets_no_relays() {
    let mut harness = new_harness();
    harness.add_entries(&[]);
    harness.call("q");
    assert_eq!(harness.sends.len(), 6);
}

#[test]
fn an_unresponsive_entry_gets_no_relays_for_three_seconds() {
    let mut harness = new_harness();
    harness.call("q");
    let bundle = bundle_index(&harness);
    harness.advance(160);
    assert_eq!(harness.cancels.len(), 1, "the relay is abandoned");
    harness.end(bundle, AttemptResult::Broken);
    for (millis, is_relayed) in [(1000, false), (1500, false), (1000, true)] {
        harness.advance(millis);
        let before = harness.sends.len();
        harness.call("q");
        let mut sends = harness.sends[before..].iter();
        assert_eq!(sends.any(|order| order.relay.is_some()), is_relayed);
    }
}
