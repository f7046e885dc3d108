//! Plays of the core in virtual time, without a network: what callers get.

mod support;

mod crashing;
mod load;
mod pauses;
mod scarce;
mod silent;
