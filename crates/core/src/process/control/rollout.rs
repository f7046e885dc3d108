//! Replicated registry of the roll-outs of services to a new version.
//!
//! Each service has at most one roll-out in progress. A resent order matches the
//! roll-out that it started and changes nothing. The leader of the control group
//! moves a roll-out to its next state according to the outcome counts that entries
//! report ([`crate::process::rollout::judge`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Maximum number of services in the registry.
pub const MAX_ROLLOUTS: usize = 4096;
/// Time after a roll-out was rolled back in which an order of the same version is
/// taken for a resent one, in milliseconds. A later order starts a new roll-out.
const RESEND_WINDOW_MS: u64 = 20_000;

/// State of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// Canary phase: a few requests go to the new version.
    Trying,
    /// All requests go to the new version; the old one finishes its requests.
    Moving,
    /// Final: the old version is no longer used.
    Completed,
    /// Final: the new version is no longer used.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the roll-out is in progress.
    pub fn is_open(self) -> bool {
        matches!(self, RolloutState::Trying | RolloutState::Moving)
    }

    /// Returns whether a roll-out may go from this state to `next`.
    fn can_transition_to(self, next: RolloutState) -> bool {
        matches!(
            (self, next),
            (RolloutState::Trying, RolloutState::Moving)
                | (RolloutState::Moving, RolloutState::Completed)
                | (
                    RolloutState::Trying | RolloutState::Moving,
                    RolloutState::RolledBack
                )
        )
    }
}

/// A change to the roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutChange {
    /// An operator orders a roll-out.
    Start {
        /// Name of the service.
        service: Box<str>,
        /// The new version, to which the service's requests are to go.
        target: Box<str>,
        /// Time within which the roll-out should end, in milliseconds.
        duration_ms: u64,
        /// Time of the order, in Unix milliseconds.
        at_ms: u64,
    },
    /// The leader moves a roll-out to its next state.
    Turn {
        /// Name of the service.
        service: Box<str>,
        /// Revision of the order that started the roll-out.
        order: u64,
        /// The next state.
        state: RolloutState,
        /// Time of the transition, in Unix milliseconds.
        at_ms: u64,
    },
}

/// Outcome of applying a [`RolloutChange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// The change was applied, or it repeats an order that was applied before; holds
    /// the revision of that roll-out's order.
    Stands(u64),
    /// The order was rejected: a roll-out of the service to this other version is in
    /// progress.
    Busy(Box<str>),
    /// The transition was rejected as outdated: the service has a newer roll-out, or
    /// the current state does not allow the transition.
    Passed,
    /// The order was rejected: the registry holds [`MAX_ROLLOUTS`] services already.
    Full,
}

/// The most recent roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The new version, to which the service's requests are to go.
    pub target: Box<str>,
    /// Current state.
    pub state: RolloutState,
    /// Revision that the registry gave the order; identifies the roll-out.
    pub order: u64,
    /// Time of the order, in Unix milliseconds.
    pub ordered_ms: u64,
    /// Time at which the roll-out reached its current state, in Unix milliseconds.
    #[serde(rename = "turned_ms")]
    pub state_since_ms: u64,
    /// Time within which the roll-out should end, in milliseconds.
    pub duration_ms: u64,
}

/// Registry of the most recent roll-out of each service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRegistry {
    /// Number of changes applied so far.
    revision: u64,
    services: BTreeMap<Box<str>, RolloutRecord>,
}

impl RolloutRegistry {
    /// Applies a change.
    pub fn apply(&mut self, change: &RolloutChange) -> RolloutOutcome {
        match change {
            RolloutChange::Start {
                service,
                target,
                duration_ms,
                at_ms,
            } => self.start(service, target, *duration_ms, *at_ms),
            RolloutChange::Turn {
                service,
                order,
                state,
                at_ms,
            } => self.transition(service, *order, *state, *at_ms),
        }
    }

    /// Starts a roll-out, unless the service has one in progress or the order is a
    /// resent one.
    fn start(
        &mut self,
        service: &str,
        target: &str,
        duration_ms: u64,
        at_ms: u64,
    ) -> RolloutOutcome {
        if let Some(existing) = self.services.get(service) {
            let is_same = *existing.target == *target;
            if existing.state.is_open() && !is_same {
                return RolloutOutcome::Busy(existing.target.clone());
            }
            let is_recent = at_ms < existing.state_since_ms.saturating_add(RESEND_WINDOW_MS);
            if is_same && (existing.state != RolloutState::RolledBack || is_recent) {
                return RolloutOutcome::Stands(existing.order);
            }
        } else if self.services.len() >= MAX_ROLLOUTS {
            return RolloutOutcome::Full;
        }
        self.revision += 1;
        let record = RolloutRecord {
            target: target.into(),
            state: RolloutState::Trying,
            order: self.revision,
            ordered_ms: at_ms,
            state_since_ms: at_ms,
            duration_ms,
        };
        self.services.insert(service.into(), record);
        RolloutOutcome::Stands(self.revision)
    }

    /// Moves the roll-out with this order to a new state, if the order is the
    /// service's latest and the transition is allowed.
    fn transition(
        &mut self,
        service: &str,
        order: u64,
        state: RolloutState,
        at_ms: u64,
    ) -> RolloutOutcome {
        let existing = self.services.get_mut(service);
        let Some(existing) = existing.filter(|existing| existing.order == order) else {
            return RolloutOutcome::Passed;
        };
        if !existing.state.can_transition_to(state) {
            return RolloutOutcome::Passed;
        }
        self.revision += 1;
        existing.state = state;
        existing.state_since_ms = at_ms;
        RolloutOutcome::Stands(order)
    }

    /// Returns the revision of the last change; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the most recent roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutRecord> {
        self.services.get(service)
    }

    /// Iterates over the most recent roll-outs with their services, ordered by
    /// service name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        let services = self.services.iter();
        services.map(|(service, record)| (&**service, record))
    }
}
