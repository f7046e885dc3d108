//! Publishes tables of hundreds of kilobytes in quick succession while one
//! replica is stopped, and checks that messages and logs stay within limits.

use std::time::Duration;

use crate::harness::{ReplicaTrio, REPLICA_IDS, STEP};
use wheelmast_core::process::control::message::ReplicaInput;
use wheelmast_core::process::control::state::ControlCommand;

/// Size of one table in bytes.
const TABLE_BYTES: usize = 400 * 1024;
/// Upper bound on the size of the entries in one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// Upper bound on the size of the entries on a replica's disk, in bytes.
const MAX_LOG_BYTES: usize = 6 * 1024 * 1024;

/// Proposes a table as version `version` and waits for the replication.
fn propose_table(trio: &mut ReplicaTrio, version: u64) {
    let command = ControlCommand::Route {
        version,
        base: None,
        text: vec![version as u8; TABLE_BYTES],
    };
    let leader = trio.leader().unwrap();
    let input = ReplicaInput::Propose {
        tag: version,
        command,
    };
    trio.step(leader, input);
    trio.run(STEP * 3);
}

/// Returns the size of the entries on the fullest disk, in bytes.
fn largest_log(trio: &ReplicaTrio) -> usize {
    let disks = trio.replicas.iter().map(|(_, disk)| {
        let entries = disk.entries.iter();
        entries.map(|entry| entry.command.bytes()).sum()
    });
    disks.max().unwrap_or(0)
}

#[test]
fn large_tables_keep_messages_and_logs_within_limits() {
    let mut trio = ReplicaTrio::new(1);
    trio.run(Duration::from_secs(3));
    let stopped = (trio.leader().unwrap() + 1) % REPLICA_IDS.len();
    trio.stopped = Some(stopped);
    let mut max_bytes = 0;
    for version in 1..=40 {
        propose_table(&mut trio, version);
        max_bytes = max_bytes.max(largest_log(&trio));
    }
    assert!(
        max_bytes <= MAX_LOG_BYTES,
        "a replica stored {max_bytes} bytes of entries"
    );

    // The stopped replica stays down until the entries that it misses are
    // compacted, so that the leader must send a snapshot.
    trio.run(Duration::from_secs(10));
    let snapshots_to_stopped = trio.traffic.snapshots_to_stopped;
    assert!(
        snapshots_to_stopped <= 20,
        "{snapshots_to_stopped} snapshots were sent to a stopped replica in 10 s"
    );
    trio.stopped = None;
    trio.run(Duration::from_secs(3));
    for version in 41..=44 {
        propose_table(&mut trio, version);
    }
    trio.run(Duration::from_secs(1));
    let max_entry_bytes = trio.traffic.max_entry_bytes;
    assert!(
        max_entry_bytes <= MAX_MESSAGE_BYTES,
        "a message held {max_entry_bytes} bytes of entries"
    );
    for (machine, _) in &trio.replicas {
        assert_eq!(machine.state().route_version(), 44);
    }
}

#[test]
fn a_replica_behind_by_large_tables_catches_up_in_bounded_messages() {
    let mut trio = ReplicaTrio::new(1);
    trio.run(Duration::from_secs(3));
    let stopped = (trio.leader().unwrap() + 1) % REPLICA_IDS.len();
    trio.stopped = Some(stopped);
    for version in 1..=8 {
        propose_table(&mut trio, version);
    }
    trio.stopped = None;
    trio.run(Duration::from_secs(3));
    let max_entry_bytes = trio.traffic.max_entry_bytes;
    assert!(
        max_entry_bytes <= MAX_MESSAGE_BYTES,
        "a message held {max_entry_bytes} bytes of entries"
    );
    let (machine, _) = &trio.replicas[stopped];
    assert_eq!(machine.state().route_version(), 8);
}
