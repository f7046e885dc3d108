//! Integration tests that run entries and a control group as separate
//! `wheelmastd` processes and send HTTP requests to them.

#[allow(dead_code, unreachable_pub)]
#[path = "../support/guarded.rs"]
mod guarded;
mod harness;
mod keyed;

mod crashing;
mod departures;
mod disks;
mod evacuate;
mod extra;
mod fragile;
mod late_orders;
mod lifetimes;
mod load_exchange;
mod lost_answers;
mod news;
mod relayed;
mod rolled_out;
mod serve;
mod soak;
