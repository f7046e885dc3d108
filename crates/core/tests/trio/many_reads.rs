//! Guards against a message to every replica for each linearizable read: reads
//! that arrive together must share a round of messages.
//!
//! Without sharing, a start of 983 entry instances sent about 5,900 reads in 20 s
//! to a leader with 23 other replicas, which cost 124,000 messages.

use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaInput;

use crate::harness::{ReplicaTrio, STEP};

/// Number of reads that arrive at once.
const READS: u64 = 1000;

#[test]
fn many_reads_cost_few_messages_and_all_are_confirmed() {
    let mut trio = ReplicaTrio::new(1);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("one replica leads");
    let (messages, completed) = (trio.traffic.messages, trio.traffic.completed);
    for tag in 0..READS {
        trio.step(leader, ReplicaInput::Read { tag });
    }
    trio.run(STEP * 8);
    assert_eq!(trio.traffic.completed - completed, READS as usize);
    let cost = trio.traffic.messages - messages;
    assert!(cost <= 24, "{cost} messages for {READS} reads");
}

#[test]
fn a_read_during_a_confirmation_round_waits_for_the_next_one() {
    let mut trio = ReplicaTrio::new(2);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("one replica leads");
    trio.step(leader, ReplicaInput::Read { tag: 1 });
    // From here on no answer arrives. The answers to the first read's round must
    // not confirm the second read.
    trio.isolated = Some(leader);
    let completed = trio.traffic.completed;
    trio.step(leader, ReplicaInput::Read { tag: 2 });
    trio.run(STEP * 10);
    assert!(
        trio.traffic.completed - completed <= 1,
        "the second read was confirmed by an earlier round"
    );
}
