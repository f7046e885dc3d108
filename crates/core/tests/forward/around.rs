//! Entries that are late with what they were asked for.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput, RelayOrder};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Shards of the route, all of them elsewhere.
const FAR: usize = 4;

/// Far shards with a server in each of two domains, and an entry in the nearer.
fn world(shard_count: usize, domains: &[&str]) -> Harness {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(shard_count))]));
    for shard in 0..shard_count {
        harness.add_server_in(&format!("s{shard}"), "there");
        harness.add_server_in(&format!("s{shard}"), "beyond");
    }
    harness.add_entries(domains);
    harness
}

fn relays(orders: &[AttemptOrder]) -> usize {
    orders.iter().filter(|order| order.relay.is_some()).count()
}

#[test]
fn a_late_entry_is_asked_around_while_that_is_in_time() {
    let mut harness = world(FAR, &["there"]);
    let call = harness.call("q");
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (1, 1));
    harness.advance(20);
    assert_eq!(
        harness.sends.len(),
        1,
        "it may still say that it is at work"
    );
    harness.advance(25);
    assert_eq!(harness.sends.len(), 1 + FAR, "its parts are asked for here");
    for send in 1..=FAR {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer in time");
    assert_eq!((stamps.len(), missing), (FAR, 0));
    assert_eq!(harness.machine.counters().rerouted_relays, 1);
}

#[test]
fn an_entry_at_work_is_granted_what_is_left_and_not_asked_around() {
    let mut harness = world(FAR, &["there"]);
    harness.call("q");
    let order = harness.sends[0].relay.clone().expect("an order");
    assert_eq!(order.attempts, 1);
    harness.advance(10);
    harness.acknowledge_relay(0);
    assert_eq!(harness.raised_allowances, [(harness.sends[0].attempt, 2)]);
    harness.acknowledge_relay(0);
    assert_eq!(harness.raised_allowances.len(), 1, "granted once");
    harness.advance(70);
    assert_eq!(harness.sends.len(), 1);
    // What came without has run as often as it may.
    harness.end_bundle(0, &["s0", "s2"], b"");
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn an_entry_that_was_asked_around_is_granted_nothing() {
    let mut harness = world(FAR, &["there"]);
    harness.call("q");
    harness.advance(45);
    assert_eq!(harness.sends.len(), 1 + FAR);
    harness.acknowledge_relay(0);
    assert!(harness.raised_allowances.is_empty());
}

#[test]
fn an_entry_repeats_no_more_than_it_was_lent_until_it_is_granted_more() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(2))]));
    for shard in ["s0", "s1"] {
        harness.add_servers(shard, 2);
    }
    let order = RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(80),
        attempts: 1,
        credits_budget: true,
        may_divide: false,
        workspace: None,
        shards: vec!["s0".into(), "s1".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    assert_eq!(harness.sends.len(), 2);
    harness.advance(50);
    assert_eq!(harness.sends.len(), 2, "no hedges");
    harness.step(ForwardInput::AllowanceRaised(call, 9));
    harness.advance(1);
    assert_eq!(harness.sends.len(), 4, "one hedge for each");
    harness.advance(25);
    assert_eq!(harness.sends.len(), 4, "the route allows no more");
}

#[test]
fn a_part_that_is_lost_before_the_grant_waits_for_it() {
    for is_granted in [true, false] {
        let mut harness = Harness::new();
        harness.set_table(table(3, vec![route("q", shards(2))]));
        for shard in ["s0", "s1"] {
            harness.add_servers(shard, 2);
        }
        let order = RelayOrder {
            version: 3,
            answer_by: harness.now + Duration::from_millis(80),
            attempts: 1,
            credits_budget: true,
            may_divide: false,
            workspace: None,
            shards: vec!["s0".into(), "s1".into()],
        };
        let call = harness.call_with("q", None, Some(order));
        harness.advance(2);
        harness.end(0, AttemptResult::Broken);
        harness.answer_ok(1, b"");
        assert_eq!(harness.sends.len(), 2, "it may have run once");
        assert!(harness.answer_to(call).is_none());
        if is_granted {
            harness.step(ForwardInput::AllowanceRaised(call, 2));
            harness.advance(2);
            assert_eq!(harness.sends.len(), 3);
            harness.answer_ok(2, b"");
        } else {
            harness.advance(80);
        }
        let (stamps, missing) = harness.gathered(call).expect("an answer");
        let want = if is_granted { (2, 0) } else { (1, 1) };
        assert_eq!((stamps.len(), missing), want);
    }
}

#[test]
fn what_is_granted_is_passed_on_to_those_at_work() {
    for is_heard_first in [true, false] {
        let mut harness = world(30, &[]);
        harness.add_entries_in("there", 1);
        let order = RelayOrder {
            version: 3,
            answer_by: harness.now + Duration::from_millis(80),
            attempts: 1,
            credits_budget: true,
            may_divide: true,
            workspace: None,
            shards: (0..30).map(|shard| format!("s{shard}").into()).collect(),
        };
        harness.add_local_entries(6);
        for shard in 0..30 {
            harness.add_server_in(&format!("s{shard}"), LOCAL_DOMAIN);
        }
        let call = harness.call_with("q", None, Some(order));
        let relay = harness.sends.iter().position(|order| order.relay.is_some());
        let relay = relay.expect("a share for another entry");
        if is_heard_first {
            harness.acknowledge_relay(relay);
            assert!(harness.raised_allowances.is_empty());
            harness.step(ForwardInput::AllowanceRaised(call, 2));
        } else {
            harness.step(ForwardInput::AllowanceRaised(call, 2));
            assert!(harness.raised_allowances.is_empty());
            harness.acknowledge_relay(relay);
        }
        assert_eq!(
            harness.raised_allowances,
            [(harness.sends[relay].attempt, 2)]
        );
    }
}

#[test]
fn of_two_bundles_with_parts_in_common_the_larger_counts() {
    for (first, second, want) in [(20, 25, 25), (25, 20, 25), (20, 20, 20)] {
        let mut harness = world(30, &[]);
        harness.add_entries_in("there", 2);
        let call = harness.call("q");
        harness.advance(45);
        assert_eq!(relays(&harness.sends), 2);
        let names: Vec<String> = (0..30).map(|shard| format!("s{shard}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        harness.end_bundle(0, &names[..first], b"");
        harness.end_bundle(1, &names[30 - second..], b"");
        harness.advance(60);
        let (stamps, missing) = harness.gathered(call).expect("an answer");
        assert_eq!((stamps.len(), missing), (want, 30 - want));
    }
}

#[test]
fn ways_count_in_the_time_for_a_sign() {
    // A connection that has to be opened, and an entry 12 ms away.
    let way = Duration::from_millis(24);
    let mut harness = world(FAR, &["there"]);
    harness.call("q");
    harness.end_bundle(0, &["s0", "s1", "s2", "s3"], b"");
    let server = harness.sends[0].server;
    harness.step(ForwardInput::Connected { server, took: way });
    harness.call("q");
    harness.advance(60);
    assert_eq!(harness.sends.len(), 2, "its word may still be on its way");
    harness.advance(15);
    assert_eq!(harness.sends.len(), 2 + FAR);
}

#[test]
fn a_late_answer_still_counts() {
    let mut harness = world(FAR, &["there"]);
    let call = harness.call("q");
    harness.advance(70);
    assert_eq!(harness.sends.len(), 1 + FAR);
    harness.answer_ok(1, b"");
    harness.end_bundle(0, &["s0", "s1", "s2", "s3"], b"");
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (FAR, 0));
}

#[test]
fn parts_that_came_without_are_asked_of_servers_elsewhere() {
    let mut harness = world(FAR, &["there"]);
    let call = harness.call("q");
    harness.end_bundle(0, &["s0", "s2"], b"");
    let direct: Vec<&str> = harness.sends[1..]
        .iter()
        .map(|order| &*order.instance)
        .collect();
    assert_eq!(direct, ["s1-beyond", "s3-beyond"]);
    harness.answer_ok(1, b"");
    harness.answer_ok(2, b"");
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (FAR, 0));
}

#[test]
fn many_parts_go_through_another_entry() {
    let mut harness = world(30, &[]);
    harness.add_entries_in("there", 2);
    harness.call("q");
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (1, 1));
    harness.advance(70);
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (2, 2));
    assert_ne!(harness.sends[0].instance, harness.sends[1].instance);
    let order = harness.sends[1].relay.clone().expect("an order");
    assert_eq!((order.shards.len(), order.attempts), (30, 1));
    assert!(!order.credits_budget, "it may count with the first already");
}

struct RestCase {
    name: &'static str,
    /// Whether it answers another request meanwhile.
    answers: bool,
    /// Whether it is asked for the next one.
    is_asked: bool,
}

#[test]
fn only_an_entry_that_answers_nothing_is_left_alone() {
    let cases = [
        RestCase {
            name: "silent",
            answers: false,
            is_asked: false,
        },
        RestCase {
            name: "slow with one request",
            answers: true,
            is_asked: true,
        },
    ];
    for case in cases {
        let mut harness = world(FAR, &["there"]);
        harness.call("q");
        harness.advance(1);
        if case.answers {
            harness.call("q");
            harness.end_bundle(1, &["s0", "s1", "s2", "s3"], b"");
        }
        harness.advance(70);
        let first = harness.sends.len() - FAR;
        for send in first..harness.sends.len() {
            harness.answer_ok(send, b"");
        }
        // What it was asked for is closed, and it is not still any more.
        harness.advance(1);
        let closed = harness.sends[0].attempt;
        assert_eq!(harness.cancels, [closed], "{}", case.name);
        harness.end(0, AttemptResult::Broken);
        let before = harness.sends.len();
        harness.call("q");
        let is_asked = relays(&harness.sends[before..]) > 0;
        assert_eq!(is_asked, case.is_asked, "{}", case.name);
    }
}

#[test]
fn an_entry_that_has_nothing_in_time_says_so() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(2))]));
    harness.add_server_in("s0", LOCAL_DOMAIN);
    harness.add_server_in("s1", LOCAL_DOMAIN);
    let order = RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(30),
        attempts: 1,
        credits_budget: true,
        may_divide: false,
        workspace: None,
        shards: vec!["s0".into(), "s1".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    harness.advance(31);
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::Failed));
}
