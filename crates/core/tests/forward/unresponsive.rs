//! Connections that have gone silent for good, without a reset.

use crate::harness::{route, shards, table, Harness};

/// Asks two shards; the first send to s0 stays without an answer. Returns how
/// often idle connections were closed when it was cut off.
fn play(answers_elsewhere: bool) -> usize {
    let mut harness = Harness::new();
    harness.obey(table(3, vec![route("q", shards(2))]));
    harness.serve("s0", 1);
    harness.serve("s1", 1);
    harness.call("q");
    harness.end_well(1, b"");
    // The answer goes out without s0, which is then asked once more.
    harness.pass(100);
    assert_eq!(harness.answers.len(), 1);
    if answers_elsewhere {
        harness.call("q");
        let last = harness.sends.len();
        harness.end_well(last - 2, b"");
        harness.end_well(last - 1, b"");
    }
    harness.pass(600);
    assert_eq!(harness.cancels.len(), 1);
    harness.closes
}

#[test]
fn a_server_that_says_nothing_is_asked_on_new_connections_only() {
    assert_eq!(play(false), 1);
}

#[test]
fn a_server_that_answers_others_keeps_its_connections() {
    assert_eq!(play(true), 0);
}
