//! Entries and a control group as processes of their own.

mod harness;

mod crashing;
mod evacuate;
mod extra;
mod relayed;
mod serve;
mod soak;
