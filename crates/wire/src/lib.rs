//! Messages of the wheelmast query tier, typed, with their codecs.
//!
//! JSON towards callers ([`caller`]), upstreams ([`upstream`]) and operators
//! ([`operator`]). Nothing here decides.

pub mod caller;
pub mod dialect;
pub mod group;
pub mod native;
pub mod operator;
pub mod pack;
pub mod peer;
pub mod prelude;
pub mod upstream;
