//! Members that know each other, and upstream servers that all of them know.
//!
//! Membership follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol",
//! 2002): direct and indirect probes, suspicion, refutation by incarnation.
//! Its messages carry changes of upstream servers as well; digests repair what
//! was lost. See `docs/design/membership.md`.

mod dissemination;
pub mod lease_tracker;
pub mod machine;
pub mod member;
pub mod message;
mod probe;
