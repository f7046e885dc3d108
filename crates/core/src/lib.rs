//! Decision logic of the wheelmast query tier.
//!
//! All code in this crate consists of pure state machines: their inputs are the
//! time, a random seed and messages, and their outputs are actions. The crate opens
//! no socket, reads no clock and accesses no file, so unit tests, property tests,
//! benchmarks and the real process all run the same code.
//!
//! The modules are grouped by the lifetime of their state: one [`request`], one
//! [`connection`], one [`version`] of the service table, or the whole [`process`].

pub mod arena;
pub mod connection;
pub mod finding;
pub mod prelude;
pub mod process;
pub mod request;
pub mod version;
