//! Forwarding of opaque requests: one server, a split, or all shards.
//!
//! [`machine::ForwardMachine`] decides for the requests of one entry instance;
//! [`directory::ServerDirectory`] holds what upstream servers announced, in
//! the control group and at the entries alike.

mod access;
mod admit;
pub mod answer;
mod around;
pub mod backlog;
mod begin;
pub mod bundle;
pub mod call;
pub mod canary;
pub mod choose;
pub mod cold;
pub mod counts;
pub mod directory;
mod end;
pub mod expectation;
pub mod extra;
pub mod fading;
mod hedge;
pub mod home;
pub mod input;
pub mod machine;
mod notices;
pub mod pace;
pub mod pause;
pub mod place;
mod relay;
mod reply;
pub mod roll;
mod send;
pub mod server;
mod share;
pub mod source;
pub mod split;
pub mod suspect;
mod suspicion;
pub mod timing;
mod version;
