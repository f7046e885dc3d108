//! Tables of hundreds of kilobytes in quick succession, with a replica away:
//! what waits and what is kept stays small.

use std::time::Duration;

use crate::harness::{Trio, REPLICAS, STEP};
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::ControlCommand;

/// Bytes of one table.
const TABLE: usize = 400 * 1024;
/// Most bytes of entries in one message.
const MESSAGE: usize = 1024 * 1024;
/// Most bytes of entries that a replica holds.
const HELD: usize = 6 * 1024 * 1024;

fn change(trio: &mut Trio, version: u64) {
    let command = ControlCommand::Route {
        version,
        base: None,
        text: vec![version as u8; TABLE],
    };
    let leader = trio.leader().unwrap();
    let input = ReplicaInput::Propose {
        tag: version,
        command,
    };
    trio.step(leader, input);
    trio.run(STEP * 3);
}

fn held(trio: &Trio) -> usize {
    let disks = trio.replicas.iter().map(|(_, disk)| {
        let entries = disk.entries.iter();
        entries.map(|entry| entry.command.bytes()).sum()
    });
    disks.max().unwrap_or(0)
}

#[test]
fn many_large_tables_stay_small_in_messages_and_logs() {
    let mut trio = Trio::new(1);
    trio.run(Duration::from_secs(3));
    let away = (trio.leader().unwrap() + 1) % REPLICAS.len();
    trio.away = Some(away);
    let mut most = 0;
    for version in 1..=40 {
        change(&mut trio, version);
        most = most.max(held(&trio));
    }
    assert!(most <= HELD, "{most} bytes of entries were held");

    // It stays away for long, and then lacks what was compacted.
    trio.run(Duration::from_secs(10));
    let wasted = trio.sent.wasted;
    assert!(wasted <= 20, "{wasted} states went to a replica in 10 s");
    trio.away = None;
    trio.run(Duration::from_secs(3));
    for version in 41..=44 {
        change(&mut trio, version);
    }
    trio.run(Duration::from_secs(1));
    let largest = trio.sent.largest;
    assert!(largest <= MESSAGE, "a message of {largest} bytes");
    for (machine, _) in &trio.replicas {
        assert_eq!(machine.state().route_version(), 44);
    }
}

#[test]
fn a_replica_that_lacks_a_few_large_tables_gets_them_in_pieces() {
    let mut trio = Trio::new(1);
    trio.run(Duration::from_secs(3));
    let away = (trio.leader().unwrap() + 1) % REPLICAS.len();
    trio.away = Some(away);
    for version in 1..=8 {
        change(&mut trio, version);
    }
    trio.away = None;
    trio.run(Duration::from_secs(3));
    let largest = trio.sent.largest;
    assert!(largest <= MESSAGE, "a message of {largest} bytes");
    let (machine, _) = &trio.replicas[away];
    assert_eq!(machine.state().route_version(), 8);
}
