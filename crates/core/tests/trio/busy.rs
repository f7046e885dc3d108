//! A leader that is asked all the time does its other duties as well.

use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaInput;

use crate::harness::{Trio, STEP};

#[test]
fn a_leader_that_is_cut_off_steps_down_though_it_is_asked_all_the_time() {
    let mut trio = Trio::new(3);
    trio.run(Duration::from_secs(3));
    let leader = trio.leader().expect("a leader");
    trio.cut = Some(leader);
    for tag in 0..150 {
        // More often than a heartbeat.
        trio.step(leader, ReplicaInput::Read { tag });
        trio.run(STEP);
    }
    let (machine, _) = &trio.replicas[leader];
    assert!(!machine.is_leader(), "it leads after 3 s without a quorum");
    let others = trio.replicas.iter().enumerate();
    let leads = others.filter(|(place, (machine, _))| *place != leader && machine.is_leader());
    assert_eq!(leads.count(), 1);
}
