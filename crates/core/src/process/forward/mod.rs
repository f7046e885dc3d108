//! Forwarding of requests whose content is not interpreted: to one service, to
//! services by weight, or to all shards with their answers merged.
//!
//! [`machine::ForwardMachine`] makes the decisions for the requests of one entry
//! instance. [`directory::ServerDirectory`] stores the announcements of upstream
//! servers; both the control group and the entries use it.

mod access;
mod admit;
mod announcements;
pub mod answer;
pub mod backlog;
mod begin;
mod break_verdict;
pub mod bundle;
pub mod call;
pub mod canary;
pub mod choose;
pub mod cold;
mod connection_cap;
pub mod connection_places;
pub mod connection_subset;
pub mod connection_views;
pub mod counts;
pub mod decay;
pub mod directory;
mod end;
pub mod expectation;
pub mod extra;
mod hedge;
pub mod input;
pub mod machine;
pub mod place;
mod placeless;
pub mod rank;
mod rank_group;
pub mod region_set;
mod relay;
mod reply;
mod reroute;
pub mod retry_order;
pub mod roll;
mod send;
pub mod server;
pub mod server_end;
mod shard_owner;
pub mod shortage;
pub mod slowness;
pub mod source;
pub mod split;
pub mod stall;
pub mod suspect;
mod suspicion;
pub mod timing;
mod trial;
mod version;
mod workspace_share;
