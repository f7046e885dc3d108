//! A group that keeps its replicas in its own log: founding, learners, lost
//! disks, replacements, stalled disks, one-way cuts, sure reads.

mod cases;
#[path = "../support/disk.rs"]
mod disk;
mod harness;
