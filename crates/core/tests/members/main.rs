//! Tests of a group that records its members in its own log: bootstrap, learners,
//! lost disks, replacement of members, stalled disks, one-way network cuts, and
//! linearizable reads.

mod cases;
#[path = "../support/disk.rs"]
mod disk;
mod harness;
