//! The long-running threads of an instance: one module for each thread (HTTP
//! listeners, entry, control, gossip, journal), and the parts that they share.

pub mod announce;
pub mod callers;
pub mod change;
pub mod clock;
pub mod control;
pub mod duty;
pub mod entry;
pub mod expose;
pub mod fence;
pub mod forward;
pub mod gossip;
pub mod group;
pub mod instance;
pub mod journal;
pub mod loop_watch;
pub mod measures;
pub mod member;
pub mod operators;
pub mod output;
pub mod peers;
pub mod ready;
pub mod reload;
pub mod request_bounds;
pub mod status;
pub mod store;
pub mod upstreams;
