//! The demo: instances and a fake deployment in one process, under load and
//! faults, checked against what the fakes really did.

pub mod arrival;
pub mod balancer;
pub mod port;
pub mod report;
pub mod run;
pub mod schedule;
pub mod tally;
pub mod traffic;
