//! Tests with three replicas and a network that loses no messages: election
//! time, sizes of messages and logs, message cost of reads, and the quorum
//! check of a leader under constant reads.

#[path = "../support/disk.rs"]
mod disk;
mod harness;

mod busy;
mod election;
mod large_changes;
mod many_reads;
