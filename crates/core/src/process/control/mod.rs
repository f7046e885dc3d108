//! The control group: a few instances that agree on the route table by means
//! of a replicated log on their disks.
//!
//! [`replica`] implements Raft (Ongaro and Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", 2014) with the pre-vote and the quorum
//! check (a leader without a quorum steps down) of Ongaro's thesis. [`state`]
//! is the state machine that committed entries are applied to.

mod apply;
mod elect;
pub mod evacuation;
pub mod fence;
pub mod log;
mod members;
pub mod message;
mod publish;
mod read;
pub mod replica;
mod replicate;
pub mod rollout;
pub mod state;
