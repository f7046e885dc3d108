//! A wheelmast instance: threads, sockets, disk and settings.
//!
//! `wheelmast-core` makes all decisions; this crate moves the messages. Callers,
//! entry (decisions), upstreams, announcements, operators and journal each have
//! a thread, and the threads communicate through bounded queues ([`ring`]).
//!
//! The modules [`request`], [`connection`] and [`process`] are named after the
//! lifetime of what they contain.

pub mod connection;
pub mod prelude;
pub mod process;
pub mod request;
pub mod ring;
pub mod settings;
