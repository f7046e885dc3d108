//! Stand-in upstream servers for the demo, the tests and the benches.
//!
//! A [`world::FakeWorld`] is a whole deployment of HTTP servers on loopback.
//! They announce themselves, hold snapshots, have slots, a connection limit
//! and a connection cost, drain, start cold, shed, honour deadlines and
//! cancellation, and can be told to misbehave. The [`ledger`] keeps what they
//! really did, and the [`checker`] holds an instance's answers against it.

pub mod announcer;
pub mod checker;
pub mod deployment;
mod dialect;
pub mod fault;
pub mod fragile;
mod head;
pub mod ledger;
pub mod model;
pub mod network;
pub mod search;
pub mod server;
pub mod shard;
pub mod world;
