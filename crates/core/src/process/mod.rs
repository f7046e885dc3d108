//! State machines that live as long as the process: the entry machine for
//! snapshot queries (this folder), the `forward` machine, the replicated `control`
//! group, gossip, rollouts and usage caps.

pub mod action;
mod admission;
pub mod budget;
pub mod cap;
pub mod control;
pub mod counters;
pub mod domain;
pub mod entry;
mod finish;
pub mod forward;
pub mod gate;
pub mod gossip;
pub mod health;
pub mod input;
pub mod latency;
pub mod load;
pub mod news;
pub mod placement;
pub mod policy;
pub mod rendezvous;
mod replies;
mod rescue;
pub mod rollout;
pub mod roster;
mod route;
mod scatter;
mod sweep;
pub mod timer;
mod wait;
