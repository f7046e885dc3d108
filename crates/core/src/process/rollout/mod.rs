//! Moving a service's requests to a new version, by evidence.
//!
//! Entries send a few requests to the new version ([`share::CanarySampler`]) and
//! tell the control group how both versions answered ([`VersionOutcomes`]); its
//! leader decides by that ([`evaluator::RolloutEvaluator`]).

pub mod evaluator;
pub mod share;

use serde::{Deserialize, Serialize};

use crate::process::control::rollout::RolloutState;

/// What entries are told of a service's roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutView {
    /// The service.
    pub service: Box<str>,
    /// The new version.
    pub target: Box<str>,
    /// How far it is.
    pub state: RolloutState,
    /// Revision of its order.
    pub order: u64,
}

/// How one version of a service answered the requests of one route at an entry,
/// since it last told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionOutcomes {
    /// Revision of the roll-out's order.
    pub order: u64,
    /// The service.
    pub service: Box<str>,
    /// Name of the route.
    pub route: Box<str>,
    /// Whether it is the new version.
    pub is_target: bool,
    /// Answers, failures among them.
    pub answers: u32,
    /// Failures, and answers that took much longer than the route's usual.
    pub bad: u32,
}
