//! The control group: a few instances with disks that agree on the table.
//!
//! [`replica`] is the replicated log (after Ongaro and Ousterhout, "In Search
//! of an Understandable Consensus Algorithm", 2014, with the pre-vote and the
//! quorum check of Ongaro's thesis); [`state`] is what the log is applied to.

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
