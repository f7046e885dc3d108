//! Message types of the wheelmast query tier and their codecs.
//!
//! Callers ([`caller`]), upstream servers ([`upstream`]) and operators
//! ([`operator`]) exchange JSON with an instance; instances exchange bincode
//! ([`peer`], [`group`]). This crate only encodes, decodes and validates: all
//! decisions are made in `wheelmast-core`.

pub mod caller;
pub mod dialect;
pub mod group;
pub mod native;
pub mod operator;
pub mod pack;
pub mod peer;
pub mod prelude;
pub mod upstream;
