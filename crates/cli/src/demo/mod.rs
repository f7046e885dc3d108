//! The demo: runs instances and a fake deployment in one process under load and
//! injected faults. Each answer is compared with the fake servers' own record of
//! the work that they did.

pub mod arrival;
pub mod balancer;
pub mod port;
pub mod report;
pub mod run;
pub mod schedule;
pub mod tally;
pub mod traffic;
