//! Three replicas on a wire that loses nothing: how soon they lead, how much
//! they hold and send, and that being asked keeps no leader from its duties.

#[path = "../support/disk.rs"]
mod disk;
mod harness;

mod busy;
mod election;
mod large_changes;
mod many_reads;
