//! Reads that come together share their rounds of messages.
//!
//! A start of 983 entries asked some 5,900 sure reads in 20 s of a leader with 23
//! other replicas. Each read cost a message to each: 124,000.

use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaInput;

use crate::harness::{Trio, STEP};

const READS: u64 = 1000;

#[test]
fn many_reads_cost_few_messages_and_all_are_confirmed() {
    let mut trio = Trio::new(1);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("one leads");
    let (messages, confirmed) = (trio.sent.messages, trio.sent.confirmed);
    for tag in 0..READS {
        trio.step(leader, ReplicaInput::Read { tag });
    }
    trio.run(STEP * 8);
    assert_eq!(trio.sent.confirmed - confirmed, READS as usize);
    let cost = trio.sent.messages - messages;
    assert!(cost <= 24, "{cost} messages");
}

#[test]
fn a_read_that_comes_while_a_round_is_out_waits_for_the_next() {
    let mut trio = Trio::new(2);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("one leads");
    trio.step(leader, ReplicaInput::Read { tag: 1 });
    // From here on nobody answers: neither is confirmed by what was sent before.
    trio.cut = Some(leader);
    let confirmed = trio.sent.confirmed;
    trio.step(leader, ReplicaInput::Read { tag: 2 });
    trio.run(STEP * 10);
    assert!(
        trio.sent.confirmed - confirmed <= 1,
        "the second read was not confirmed"
    );
}
