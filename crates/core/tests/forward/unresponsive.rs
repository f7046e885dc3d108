//! Connections over which nothing arrives any more although they were not reset.

use crate::harness::{route, shards, table, Harness};

/// Sends a request to two shards and leaves the first attempt at s0 unanswered.
/// Returns how often idle connections were closed by the time that attempt was
/// cancelled.
fn count_closes(answers_elsewhere: bool) -> usize {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    harness.call("q");
    harness.answer_ok(1, b"");
    // The request is answered without s0; the next request is sent to s0 again.
    harness.advance(100);
    assert_eq!(harness.answers.len(), 1);
    if answers_elsewhere {
        harness.call("q");
        let last = harness.sends.len();
        harness.answer_ok(last - 2, b"");
        harness.answer_ok(last - 1, b"");
    }
    harness.advance(600);
    assert_eq!(harness.cancels.len(), 1);
    harness.idle_closes
}

#[test]
fn an_unresponsive_server_gets_requests_on_new_connections_only() {
    assert_eq!(count_closes(false), 1);
}

#[test]
fn a_server_that_answers_other_requests_keeps_its_connections() {
    assert_eq!(count_closes(true), 0);
}
