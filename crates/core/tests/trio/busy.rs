//! Guards against a leader that skips its quorum check while it is busy with
//! reads. Other messages may postpone the heartbeat, so that the quorum check
//! needs a timer of its own.

use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaInput;

use crate::harness::{ReplicaTrio, STEP};

#[test]
fn an_isolated_leader_steps_down_despite_constant_reads() {
    let mut trio = ReplicaTrio::new(3);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("the group elected a leader");
    trio.isolated = Some(leader);
    for tag in 0..150 {
        // The reads arrive more often than the heartbeat interval.
        trio.step(leader, ReplicaInput::Read { tag });
        trio.run(STEP);
    }
    let (machine, _) = &trio.replicas[leader];
    assert!(
        !machine.is_leader(),
        "an isolated leader still leads after 3 s without a quorum"
    );
    let others = trio.replicas.iter().enumerate();
    let leads = others.filter(|(index, (machine, _))| *index != leader && machine.is_leader());
    assert_eq!(leads.count(), 1);
}
