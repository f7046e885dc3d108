//! Bundles of far shards, which are sent to another entry near these shards in one message.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, BundleAnswer, RelayOrder};
use wheelmast_core::request::records::RECORD_BYTES;
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

/// Returns the order with which another entry relays the two local shards.
fn local_order(harness: &Harness) -> RelayOrder {
    RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(30),
        attempts: 1,
        credits_budget: true,
        may_divide: true,
        workspace: None,
        top: Some(3),
        homes: Vec::new(),
        shards: vec!["s0".into(), "s1".into()],
    }
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
    let order = local_order(&harness);
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
        shards: vec!["s0".into()],
        ..local_order(&harness)
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

struct TopCase {
    name: &'static str,
    /// Whether the receiving entry has a newer table than the sending entry.
    is_newer: bool,
    /// Number of records that the order asks for.
    ordered_top: Option<usize>,
    /// Number of records in the answer; `None` if the relay is refused.
    records: Option<usize>,
}

/// Guards against merged answers that lack records of relayed shards: an entry with a
/// newer table merged a relay by another route, which selected fewer records.
#[test]
fn a_relay_is_merged_for_as_many_records_as_ordered() {
    let cases = [
        TopCase {
            name: "same table",
            is_newer: false,
            ordered_top: Some(3),
            records: Some(3),
        },
        TopCase {
            name: "newer table with a narrower route",
            is_newer: true,
            ordered_top: Some(3),
            records: Some(3),
        },
        TopCase {
            name: "same table, number not stated",
            is_newer: false,
            ordered_top: None,
            records: Some(3),
        },
        TopCase {
            name: "newer table, number not stated",
            is_newer: true,
            ordered_top: None,
            records: None,
        },
    ];
    for case in cases {
        let mut harness = new_harness();
        if case.is_newer {
            let narrower = RouteRule {
                prefix: "/q/x".to_string(),
                top: 1,
                ..route("narrower", shards(6))
            };
            harness.set_table(table(4, vec![route("q", shards(6)), narrower]));
        }
        let order = RelayOrder {
            top: case.ordered_top,
            ..local_order(&harness)
        };
        let call = harness.call_with("q", None, Some(order));
        for send in 0..harness.sends.len() {
            harness.answer_ok(send, &[7; 64]);
        }
        let records = match harness.answer_to(call).expect(case.name) {
            ForwardAnswer::Gathered { body, .. } => Some(body.len() / RECORD_BYTES),
            _ => None,
        };
        assert_eq!(records, case.records, "{}", case.name);
        if records.is_none() {
            let failure = harness.failure_of(call);
            assert_eq!(failure, Some(ForwardFailure::NoTable), "{}", case.name);
            assert!(harness.sends.is_empty(), "{}", case.name);
        }
    }
}

/// Guards against lost shards while a route is removed: the sending entry took the answer
/// 404 for a failure in which servers may have run the shards.
#[test]
fn a_relay_on_a_removed_route_is_refused_as_not_run() {
    let mut harness = new_harness();
    harness.set_table(table(4, vec![route("other", shards(6))]));
    let order = local_order(&harness);
    let call = harness.call_with("q", None, Some(order));
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoTable));
}

struct CoverCase {
    name: &'static str,
    /// Number of records for which the other entry says that it merged.
    stated_top: Option<usize>,
    records: usize,
    is_used: bool,
}

/// Guards against the use of an answer of an entry of an earlier version, which merges by
/// its own table.
#[test]
fn a_bundle_that_may_lack_records_is_not_used() {
    let cases = [
        CoverCase {
            name: "as many as asked for",
            stated_top: Some(3),
            records: 1,
            is_used: true,
        },
        CoverCase {
            name: "fewer than asked for",
            stated_top: Some(2),
            records: 2,
            is_used: false,
        },
        CoverCase {
            name: "not stated, enough records",
            stated_top: None,
            records: 3,
            is_used: true,
        },
        CoverCase {
            name: "not stated, too few records",
            stated_top: None,
            records: 2,
            is_used: false,
        },
    ];
    for case in cases {
        let mut harness = new_harness();
        harness.call("q");
        let bundle = bundle_index(&harness);
        let answer = BundleAnswer {
            parts: vec![("s2".into(), "s2-far".into())],
            top: case.stated_top,
            body: vec![7; case.records * RECORD_BYTES].into(),
        };
        harness.end(bundle, AttemptResult::Bundle(answer));
        let resent = harness.sends[3..].iter();
        let resent = resent
            .filter(|order| order.instance.starts_with("s2"))
            .count();
        assert_eq!(resent, usize::from(!case.is_used), "{}", case.name);
    }
}
