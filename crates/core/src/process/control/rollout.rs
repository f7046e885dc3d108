//! Roll-outs of services to a new version, as the log keeps them.
//!
//! One roll-out a service at a time. An order that is sent again finds its
//! roll-out and changes nothing. The control group's leader turns a roll-out to
//! its next state by what entries tell it ([`crate::process::rollout::evaluator`]).

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Most services whose last roll-out is remembered.
pub const MAX_ROLLOUTS: usize = 4096;
/// Time in which an order may be sent again after its roll-out has ended, in
/// milliseconds. Later it is a new one.
const RESEND_WINDOW_MS: u64 = 20_000;

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RolloutState {
    /// A few requests go to the new version.
    Trying,
    /// All requests go to the new version; the old one finishes what it has.
    Moving,
    /// The old version is not used any more.
    Completed,
    /// The new version is not used any more.
    RolledBack,
}

impl RolloutState {
    /// Tells whether it goes on.
    pub fn is_open(self) -> bool {
        matches!(self, RolloutState::Trying | RolloutState::Moving)
    }

    /// Tells whether a roll-out in this state may turn to `next`.
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

/// A change of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutChange {
    /// An operator orders one.
    Start {
        /// The service.
        service: Box<str>,
        /// The version that its requests are to go to.
        target: Box<str>,
        /// Time that it may take, in milliseconds.
        duration_ms: u64,
        /// When it was ordered, in Unix milliseconds.
        at_ms: u64,
    },
    /// The leader turns one to its next state.
    Turn {
        /// The service.
        service: Box<str>,
        /// Revision of the order that it is about.
        order: u64,
        /// The next state.
        state: RolloutState,
        /// When, in Unix milliseconds.
        at_ms: u64,
    },
}

/// What came of a [`RolloutChange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RolloutOutcome {
    /// It is so; revision of the order.
    Stands(u64),
    /// A roll-out of the service to this version is going on.
    Busy(Box<str>),
    /// The state it was to turn from is not the one that stands.
    Passed,
    /// Too many services are remembered.
    Full,
}

/// The last roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// The version that its requests are to go to.
    pub target: Box<str>,
    /// How far it is.
    pub state: RolloutState,
    /// Revision of its order.
    pub order: u64,
    /// When it was ordered, in Unix milliseconds.
    pub ordered_ms: u64,
    /// When it turned to its state, in Unix milliseconds.
    #[serde(rename = "turned_ms")]
    pub state_since_ms: u64,
    /// Time that it may take, in milliseconds.
    pub duration_ms: u64,
}

/// The last roll-outs of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRegistry {
    revision: u64,
    services: BTreeMap<Box<str>, RolloutRecord>,
}

impl RolloutRegistry {
    /// Takes a change.
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

    /// Returns the last roll-out of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutRecord> {
        self.services.get(service)
    }

    /// Iterates over the last roll-outs, by service.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &RolloutRecord)> {
        let services = self.services.iter();
        services.map(|(service, record)| (&**service, record))
    }
}
