//! A model of the served systems in virtual time, without sockets.
//!
//! Several entries, each with the core's own [`ForwardMachine`], ask servers
//! with slots, queues and connection costs, under faults by schedule, for
//! callers that come by chance, have objectives and come back once. A play is
//! decided by its seed. What callers got is counted by kind of request.
//!
//! Left out, as it is not needed to weigh policy for one load: entries that ask
//! each other, the processor time of entries, messages that are lost.
//!
//! [`ForwardMachine`]: wheelmast_core::process::forward::machine::ForwardMachine

mod caller;
mod entry;
mod event;
mod play;
mod server;
pub mod spec;
pub mod tally;
mod told;
mod work;

pub use play::play;
