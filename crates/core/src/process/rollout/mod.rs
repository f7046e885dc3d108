//! Canary roll-out of a service to a new version.
//!
//! Entries send a few requests to the new version ([`share::CanarySampler`]) and
//! report to the control group how both versions answered ([`VersionOutcomes`]).
//! The group's leader evaluates the reports and completes the roll-out or rolls it
//! back ([`judge::RolloutEvaluator`]).

pub mod judge;
pub mod share;

use serde::{Deserialize, Serialize};

use crate::process::control::rollout::RolloutState;

/// State of a service's roll-out, as published to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutView {
    /// Name of the service.
    pub service: Box<str>,
    /// The new version.
    pub target: Box<str>,
    /// State of the roll-out.
    pub state: RolloutState,
    /// Revision of the order that started the roll-out.
    pub order: u64,
}

/// Outcome counts for one version of a service on one route, counted by an entry
/// since its previous report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionOutcomes {
    /// Revision of the order that started the roll-out.
    pub order: u64,
    /// Name of the service.
    pub service: Box<str>,
    /// Name of the route.
    pub route: Box<str>,
    /// Whether the counts are of the new version, not the old one.
    pub is_target: bool,
    /// Number of answers, including failures.
    pub answers: u32,
    /// Number of failures and of answers that took much longer than is typical of
    /// the route.
    pub bad: u32,
}
