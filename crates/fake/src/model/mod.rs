//! A model of the served systems in virtual time, without sockets.
//!
//! Several entries, each with the core's own [`ForwardMachine`], ask servers
//! with slots, queues and connection costs, under faults by schedule, for
//! callers that come by chance, have objectives and come back once. A play is
//! decided by its seed. What callers got is counted by kind of request.
//!
//! Entries ask each other as well, and may be cut off. Left out, as it is not
//! needed to weigh policy for one load: the processor time of entries, single
//! messages that are lost.
//!
//! [`ForwardMachine`]: wheelmast_core::process::forward::machine::ForwardMachine

mod bound;
mod caller;
mod connection;
mod deadly;
mod entry;
mod event;
mod play;
mod relay;
mod server;
pub mod spec;
pub mod tally;
mod told;
mod work;

pub use play::play;
