//! Entries and a control group as processes of their own.

mod harness;

mod serve;
mod soak;
