//! Group membership, failure detection and dissemination of server announcements
//! among instances.
//!
//! The protocol follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol",
//! 2002): direct and indirect probes, suspicion, and refutation by a higher
//! incarnation number. The same messages carry updates about upstream servers;
//! periodic digest exchanges (anti-entropy) repair updates that were lost. See
//! `docs/design/membership.md`.

mod dissemination;
pub mod lease_tracker;
pub mod machine;
pub mod member;
pub mod message;
mod probe;
