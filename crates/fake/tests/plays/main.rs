//! Plays of the core in virtual time, without a network: what callers get.

mod support;

mod crashing;
mod load;
mod lost_answers;
mod pauses;
mod ranks;
mod scarce;
mod silent;
