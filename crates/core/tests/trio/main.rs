//! Three replicas on a wire that loses nothing: how soon they lead, and how
//! much they hold and send.

#[path = "../support/disk.rs"]
mod disk;
mod harness;

mod election;
mod large_changes;
