//! Requests that crash the servers that run them, at one entry.
//!
//! Guards against this failure: a scatter over 20 shards of two servers crashed all 40
//! servers within half a second, as each shard was retried at its other server. The same
//! request did so again each time it was sent.

use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::process::forward::suspect::record::{ServerCrash, SuspectRecord};

use crate::harness::{fingerprint_of, route, shards, table, Harness};

/// Number of shards; each has two servers.
const SHARDS: usize = 20;
/// Number of servers that crash before the request's other attempts are cancelled.
const CRASHES: usize = 3;
/// Number of servers that then get the request one after the other as canaries. A harmless
/// request beside the harmful one completes at least one of two canary attempts, but may
/// fail a single one.
const CANARIES: usize = 2;

fn sharded_harness() -> Harness {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(SHARDS))]));
    for shard in 0..SHARDS {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness
}

/// Crashes each server 1 ms after it got the request, in the order of the sends, until there
/// are no more. Returns the number of crashed servers; a server whose attempt was
/// cancelled before has not started the request and does not count.
fn crash_all(harness: &mut Harness, mut next: usize) -> usize {
    let mut crashed = 0;
    while next < harness.sends.len() {
        harness.advance(1);
        let attempt = harness.sends[next].attempt;
        crashed += usize::from(!harness.cancels.contains(&attempt));
        harness.end(next, AttemptResult::Broken);
        next += 1;
    }
    crashed
}

#[test]
fn a_scatter_that_crashes_its_servers_is_not_sent_to_the_others() {
    let mut harness = sharded_harness();
    let call = harness.call_with_fingerprint("q", fingerprint_of("/q/deadly"), None, None);
    let crashed = crash_all(&mut harness, 0);
    harness.advance(3000);
    assert!(harness.answer_to(call).is_some());
    let sends = harness.sends.len();
    assert_eq!(sends, SHARDS + CANARIES);
    assert_eq!(
        crashed,
        CRASHES + CANARIES,
        "all other attempts were cancelled in time"
    );
}

#[test]
fn a_request_that_crashed_three_servers_is_sent_to_none_when_repeated() {
    let mut harness = sharded_harness();
    harness.call_with_fingerprint("q", fingerprint_of("/q/deadly"), None, None);
    crash_all(&mut harness, 0);
    harness.advance(3000);
    let before = harness.sends.len();
    for _ in 0..4 {
        let call = harness.call_with_fingerprint("q", fingerprint_of("/q/deadly"), None, None);
        crash_all(&mut harness, before);
        harness.advance(3000);
        assert!(harness.answer_to(call).is_some());
    }
    assert_eq!(harness.sends.len(), before);
}

/// Guards against a budget that is earned twice: a request with a canary attempt was counted
/// towards the extra-load budget at the entry that received it, and again at the entries
/// that its shards were then relayed to. Under heavy load the bound of 323 extra sends was
/// exceeded by 5.
#[test]
fn a_request_with_a_canary_earns_extra_load_budget_once() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(8))]));
    for shard in 0..8 {
        harness.add_server_in(&format!("s{shard}"), "far");
    }
    harness.add_servers("s0", 1);
    harness.add_entries(&["far"]);
    let mark = fingerprint_of("/q/doubted");
    let mut record = SuspectRecord::new(mark);
    record.add(ServerCrash::of("some-server", false));
    harness.step(ForwardInput::Suspects(vec![record]));
    harness.call_with_fingerprint("q", mark, None, None);
    assert_eq!(
        harness.sends.len(),
        1,
        "one server gets the request as a canary"
    );
    harness.answer_ok(0, b"");
    let mut relays = harness
        .sends
        .iter()
        .filter_map(|order| order.relay.as_ref());
    let relay = relays
        .next()
        .expect("some shards are relayed to another entry");
    assert!(
        !relay.credits_budget,
        "all shards were counted at this entry"
    );
}
