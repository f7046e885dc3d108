//! Roll-outs of services to new versions: accepts operators' orders, collects the
//! outcome counts that entries report per version, and, on the leader, decides when a
//! roll-out moves to its next state.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wheelmast_core::process::control::rollout::{
    RolloutChange, RolloutOutcome, RolloutRecord, RolloutState,
};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_core::process::rollout::judge::{RolloutAge, RolloutEvaluator};
use wheelmast_core::process::rollout::{RolloutView, VersionOutcomes};
use wheelmast_wire::dialect::RolloutOrder;
use wheelmast_wire::group::{GroupMessage, LeaderReply};

use crate::process::group::node::{GroupNode, INITIAL_SYNC_TIME};
use crate::process::group::order::OrderDeadline;

/// Interval at which the leader evaluates the roll-outs.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// The committed roll-outs, with the data that their evaluation needs.
#[derive(Debug, Default)]
pub struct PublishedRollouts {
    /// Revision of the last change; 0 before the first.
    pub revision: u64,
    /// The last roll-out of each service.
    pub views: Vec<RolloutView>,
    /// Evaluates the outcome counts per version that entries have reported.
    pub version_evaluator: RolloutEvaluator,
    /// When the current roll-outs were ordered and entered their state, by service.
    timings: HashMap<Box<str>, RolloutTiming>,
}

/// When a roll-out was ordered and entered its state, as time since the process started.
#[derive(Debug, Clone, Copy)]
struct RolloutTiming {
    order: u64,
    state: RolloutState,
    ordered_at: Duration,
    state_since: Duration,
}

impl PublishedRollouts {
    /// Returns the message that sends the roll-outs to entries.
    pub fn to_message(&self) -> GroupMessage {
        GroupMessage::Rollouts {
            revision: self.revision,
            views: self.views.clone(),
        }
    }

    /// Records when a roll-out was ordered and when it entered its state, on the
    /// process clock, because the wall clock may jump.
    fn record_timing(&mut self, service: &str, record: &RolloutRecord, now: Duration) {
        let previous = self.timings.get(service).copied();
        let previous = previous.filter(|timing| timing.order == record.order);
        let ordered_at = previous.map_or_else(
            || now - initial_age(record, now),
            |timing| timing.ordered_at,
        );
        let state_since = match previous {
            Some(timing) if timing.state == record.state => timing.state_since,
            _ => now,
        };
        let timing = RolloutTiming {
            order: record.order,
            state: record.state,
            ordered_at,
            state_since,
        };
        self.timings.insert(service.into(), timing);
    }

    /// Returns the time since a roll-out was ordered and since it entered its state.
    fn age(&self, service: &str, now: Duration) -> Option<RolloutAge> {
        let timing = self.timings.get(service)?;
        Some(RolloutAge {
            since_order: now.saturating_sub(timing.ordered_at),
            in_state: now.saturating_sub(timing.state_since),
        })
    }
}

/// Returns the age of a roll-out that this instance sees for the first time. The wall
/// clock is used only right after the start; later, a roll-out seen for the first time
/// was just ordered.
fn initial_age(record: &RolloutRecord, now: Duration) -> Duration {
    if now > INITIAL_SYNC_TIME {
        return Duration::ZERO;
    }
    let age = unix_ms().saturating_sub(record.ordered_ms);
    Duration::from_millis(age.min(record.duration_ms)).min(now)
}

/// Returns the wall clock time in milliseconds since the Unix epoch.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

impl GroupNode {
    /// Starts a roll-out. Returns `None` if no quorum confirmed the order by the deadline;
    /// the order may still be committed later.
    pub async fn start_rollout(
        self: &Rc<Self>,
        order: &RolloutOrder,
        deadline: OrderDeadline,
    ) -> Option<RolloutOutcome> {
        let command = ControlCommand::Rollout(RolloutChange::Start {
            service: order.service.as_str().into(),
            target: order.target.as_str().into(),
            duration_ms: order.duration.as_millis() as u64,
            at_ms: unix_ms(),
        });
        let time_left = deadline.time_left(self.now())?;
        let reply = tokio::time::timeout(time_left, self.propose(command)).await;
        match reply {
            Ok(LeaderReply::Done(CommandOutcome::Rollout(outcome))) => Some(outcome),
            _ => None,
        }
    }

    /// Returns whether the route table in force contains a service.
    pub fn has_service(&self, service: &str) -> bool {
        self.state.borrow().services.contains(service)
    }

    /// Applies the roll-outs that the replica has committed and sends them to all
    /// subscribed entries.
    pub fn publish_rollouts(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(replica) = &state.replica else {
            return;
        };
        let registry = replica.state().rollouts();
        if registry.revision() <= state.rollouts.revision {
            return;
        }
        let views = registry.iter().map(|(service, record)| RolloutView {
            service: service.into(),
            target: record.target.clone(),
            state: record.state,
            order: record.order,
        });
        state.rollouts.views = views.collect();
        state.rollouts.revision = registry.revision();
        for (service, record) in registry.iter() {
            state.rollouts.record_timing(service, record, now);
        }
        let is_rollout_open = |service: &str| {
            registry
                .get(service)
                .is_some_and(|known| known.state.is_open())
        };
        state
            .rollouts
            .version_evaluator
            .retain_services(is_rollout_open);
        let message = state.rollouts.to_message();
        tracing::info!(target: "group", revision = state.rollouts.revision, "rollout: in force");
        state.send_to_entries(message);
    }

    /// Records the outcome counts that entries reported per version. The control
    /// instance that receives them from an entry forwards them to all others, so that
    /// any later leader decides on the same evidence.
    pub fn record_version_outcomes(&self, tallies: Vec<VersionOutcomes>, is_from_entry: bool) {
        let mut state = self.state.borrow_mut();
        state.rollouts.version_evaluator.record_outcomes(&tallies);
        if is_from_entry {
            state.send_to_control(&GroupMessage::Tallies(tallies));
        }
    }

    /// Moves roll-outs to their next state while this instance is the leader.
    pub async fn run_rollouts(self: Rc<Self>) {
        let mut tick = tokio::time::interval(EVALUATION_INTERVAL);
        loop {
            tick.tick().await;
            if !self.is_leader() {
                continue;
            }
            for change in self.due_transitions() {
                tracing::info!(target: "group", ?change, "rollout: turned");
                self.propose(ControlCommand::Rollout(change)).await;
            }
        }
    }

    /// Returns the changes of state that are due for the current roll-outs.
    fn due_transitions(&self) -> Vec<RolloutChange> {
        let now = self.now();
        let state = self.state.borrow();
        let Some(replica) = &state.replica else {
            return Vec::new();
        };
        let rollouts = &state.rollouts;
        let registry = replica.state().rollouts();
        let due_changes = registry.iter().filter_map(|(service, record)| {
            let age = rollouts.age(service, now)?;
            let next = rollouts
                .version_evaluator
                .decide_transition(service, record, age)?;
            Some(RolloutChange::Turn {
                service: service.into(),
                order: record.order,
                state: next,
                at_ms: unix_ms(),
            })
        });
        due_changes.collect()
    }
}
