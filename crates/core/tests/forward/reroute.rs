//! Relays that another entry does not acknowledge or answer in time: rerouting, attempt
//! allowances and backing off from unresponsive entries.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput, RelayOrder};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Number of shards of the route; none has a server in the local failure domain.
const FAR_SHARDS: usize = 4;

/// Creates a harness whose shards each have a server in the domains "there" and "beyond",
/// and one other entry in each of `domains`.
fn new_harness(shard_count: usize, domains: &[&str]) -> Harness {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(shard_count))]));
    for shard in 0..shard_count {
        harness.add_server_in(&format!("s{shard}"), "there");
        harness.add_server_in(&format!("s{shard}"), "beyond");
    }
    harness.add_entries(domains);
    harness
}

/// Returns the number of orders that are relays to other entries.
fn relays(orders: &[AttemptOrder]) -> usize {
    orders.iter().filter(|order| order.relay.is_some()).count()
}

#[test]
fn an_unacknowledged_relay_is_rerouted_in_time() {
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
    let call = harness.call("q");
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (1, 1));
    harness.advance(20);
    assert_eq!(
        harness.sends.len(),
        1,
        "the acknowledgement is not overdue yet"
    );
    harness.advance(25);
    assert_eq!(
        harness.sends.len(),
        1 + FAR_SHARDS,
        "the parts are sent to servers directly"
    );
    for send in 1..=FAR_SHARDS {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer in time");
    assert_eq!((stamps.len(), missing), (FAR_SHARDS, 0));
    assert_eq!(harness.machine.counters().rerouted_relays, 1);
}

#[test]
fn an_acknowledged_relay_gets_the_remaining_attempts_and_is_not_rerouted() {
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
    harness.call("q");
    let order = harness.sends[0].relay.clone().expect("an order");
    assert_eq!(order.attempts, 1);
    harness.advance(10);
    harness.acknowledge_relay(0);
    assert_eq!(harness.raised_allowances, [(harness.sends[0].attempt, 2)]);
    harness.acknowledge_relay(0);
    assert_eq!(
        harness.raised_allowances.len(),
        1,
        "the allowance is raised only once"
    );
    harness.advance(70);
    assert_eq!(harness.sends.len(), 1);
    // The omitted shards have used all attempts, so they are not sent again.
    harness.end_bundle(0, &["s0", "s2"], b"");
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn a_rerouted_relay_gets_no_further_attempts() {
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
    harness.call("q");
    harness.advance(45);
    assert_eq!(harness.sends.len(), 1 + FAR_SHARDS);
    harness.acknowledge_relay(0);
    assert!(harness.raised_allowances.is_empty());
}

#[test]
fn a_relayed_request_uses_only_its_allowance_until_that_is_raised() {
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
        top: Some(3),
        homes: Vec::new(),
        shards: vec!["s0".into(), "s1".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    assert_eq!(harness.sends.len(), 2);
    harness.advance(50);
    assert_eq!(harness.sends.len(), 2, "no hedges");
    harness.step(ForwardInput::AllowanceRaised(call, 9));
    harness.advance(1);
    assert_eq!(harness.sends.len(), 4, "one hedge for each shard");
    harness.advance(25);
    assert_eq!(harness.sends.len(), 4, "the route allows no more attempts");
}

#[test]
fn a_part_that_fails_waits_for_a_raised_allowance() {
    for is_raised in [true, false] {
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
            top: Some(3),
            homes: Vec::new(),
            shards: vec!["s0".into(), "s1".into()],
        };
        let call = harness.call_with("q", None, Some(order));
        harness.advance(2);
        harness.end(0, AttemptResult::Broken);
        harness.answer_ok(1, b"");
        assert_eq!(
            harness.sends.len(),
            2,
            "the failed attempt may have run and uses up the allowance"
        );
        assert!(harness.answer_to(call).is_none());
        if is_raised {
            harness.step(ForwardInput::AllowanceRaised(call, 2));
            harness.advance(2);
            assert_eq!(harness.sends.len(), 3);
            harness.answer_ok(2, b"");
        } else {
            harness.advance(80);
        }
        let (stamps, missing) = harness.gathered(call).expect("an answer");
        let want = if is_raised { (2, 0) } else { (1, 1) };
        assert_eq!((stamps.len(), missing), want);
    }
}

#[test]
fn a_raised_allowance_is_passed_on_to_acknowledged_relays() {
    for is_acknowledged_first in [true, false] {
        let mut harness = new_harness(30, &[]);
        harness.add_entries_in("there", 1);
        let order = RelayOrder {
            version: 3,
            answer_by: harness.now + Duration::from_millis(80),
            attempts: 1,
            credits_budget: true,
            may_divide: true,
            workspace: None,
            top: Some(3),
            homes: Vec::new(),
            shards: (0..30).map(|shard| format!("s{shard}").into()).collect(),
        };
        harness.add_local_entries(6);
        for shard in 0..30 {
            harness.add_server_in(&format!("s{shard}"), LOCAL_DOMAIN);
        }
        let call = harness.call_with("q", None, Some(order));
        let relay = harness.sends.iter().position(|order| order.relay.is_some());
        let relay = relay.expect("a bundle for another entry");
        if is_acknowledged_first {
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
fn of_two_bundles_with_parts_in_common_the_larger_is_accepted() {
    for (first, second, want) in [(20, 25, 25), (25, 20, 25), (20, 20, 20)] {
        let mut harness = new_harness(30, &[]);
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
fn the_acknowledgement_time_includes_round_trips() {
    // The entry is 12 ms away, so the round trip for opening a connection takes 24 ms.
    let round_trip = Duration::from_millis(24);
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
    harness.call("q");
    harness.end_bundle(0, &["s0", "s1", "s2", "s3"], b"");
    let server = harness.sends[0].server;
    harness.step(ForwardInput::Connected {
        server,
        took: round_trip,
    });
    harness.call("q");
    harness.advance(60);
    assert_eq!(
        harness.sends.len(),
        2,
        "the acknowledgement may still be in transit"
    );
    harness.advance(15);
    assert_eq!(harness.sends.len(), 2 + FAR_SHARDS);
}

#[test]
fn a_late_answer_is_still_used() {
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
    let call = harness.call("q");
    harness.advance(70);
    assert_eq!(harness.sends.len(), 1 + FAR_SHARDS);
    harness.answer_ok(1, b"");
    harness.end_bundle(0, &["s0", "s1", "s2", "s3"], b"");
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (FAR_SHARDS, 0));
}

#[test]
fn omitted_parts_are_sent_to_servers_of_other_domains() {
    let mut harness = new_harness(FAR_SHARDS, &["there"]);
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
    assert_eq!((stamps.len(), missing), (FAR_SHARDS, 0));
}

#[test]
fn many_parts_are_rerouted_through_another_entry() {
    let mut harness = new_harness(30, &[]);
    harness.add_entries_in("there", 2);
    harness.call("q");
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (1, 1));
    harness.advance(70);
    assert_eq!((harness.sends.len(), relays(&harness.sends)), (2, 2));
    assert_ne!(harness.sends[0].instance, harness.sends[1].instance);
    let order = harness.sends[1].relay.clone().expect("an order");
    assert_eq!((order.shards.len(), order.attempts), (30, 1));
    assert!(
        !order.credits_budget,
        "the first entry may have credited its budget already"
    );
}

struct BackoffCase {
    name: &'static str,
    /// Whether the entry answers another request while the first relay is overdue.
    answers_other: bool,
    /// Whether the next request is relayed to the entry.
    is_relayed: bool,
}

#[test]
fn only_an_entry_that_answers_nothing_gets_no_relays_for_a_while() {
    let cases = [
        BackoffCase {
            name: "unresponsive",
            answers_other: false,
            is_relayed: false,
        },
        BackoffCase {
            name: "slow with one request",
            answers_other: true,
            is_relayed: true,
        },
    ];
    for case in cases {
        let mut harness = new_harness(FAR_SHARDS, &["there"]);
        harness.call("q");
        harness.advance(1);
        if case.answers_other {
            harness.call("q");
            harness.end_bundle(1, &["s0", "s1", "s2", "s3"], b"");
        }
        harness.advance(70);
        let first = harness.sends.len() - FAR_SHARDS;
        for send in first..harness.sends.len() {
            harness.answer_ok(send, b"");
        }
        // The overdue relay is cancelled once the request is answered.
        harness.advance(1);
        let cancelled = harness.sends[0].attempt;
        assert_eq!(harness.cancels, [cancelled], "{}", case.name);
        harness.end(0, AttemptResult::Broken);
        let before = harness.sends.len();
        harness.call("q");
        let is_relayed = relays(&harness.sends[before..]) > 0;
        assert_eq!(is_relayed, case.is_relayed, "{}", case.name);
    }
}

#[test]
fn a_relayed_request_without_any_answer_in_time_fails() {
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
        top: Some(3),
        homes: Vec::new(),
        shards: vec!["s0".into(), "s1".into()],
    };
    let call = harness.call_with("q", None, Some(order));
    harness.advance(31);
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::Failed));
}
