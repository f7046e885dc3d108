//! Entries and a control group as processes of their own.

mod harness;

mod evacuate;
mod extra;
mod relayed;
mod serve;
mod soak;
