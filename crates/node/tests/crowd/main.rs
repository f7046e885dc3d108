//! Processes beside crowds of clients that don't behave.
//!
//! Each test starts separate `wheelmastd` processes with low limits, opens a crowd of
//! connections that stay, and checks that the process lives, that its memory and its open
//! descriptors stay within bounds, and that an ordinary client is still answered. In a trial by
//! the users, such a crowd ended an entry: each connection held a body that lacked one byte.

#[allow(clippy::module_inception)]
mod crowd;
#[allow(dead_code, unreachable_pub)]
#[path = "../support/guarded.rs"]
mod guarded;
#[allow(dead_code)]
#[path = "../forward/harness.rs"]
mod harness;

mod control;
mod entry;
mod instance;
mod soak;
