//! Roll-outs: taking orders, gathering what entries tell, and turning roll-outs to
//! their next state while this instance leads.

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

use crate::process::group::node::{GroupNode, FRESH_TIME, ORDER_TIME};

/// Interval at which the leader looks at the roll-outs.
const JUDGE_INTERVAL: Duration = Duration::from_millis(200);

/// The roll-outs in force, and what is known of them here.
#[derive(Debug, Default)]
pub struct PublishedRollouts {
    /// Revision of the last change; 0 before the first.
    pub revision: u64,
    /// All of them.
    pub views: Vec<RolloutView>,
    /// What entries have told.
    pub judge: RolloutEvaluator,
    /// When the roll-outs that go on were ordered and turned, by service.
    seen: HashMap<Box<str>, SeenRollout>,
}

#[derive(Debug, Clone, Copy)]
struct SeenRollout {
    order: u64,
    state: RolloutState,
    ordered_at: Duration,
    turned_at: Duration,
}

impl PublishedRollouts {
    /// Returns the message that tells them.
    pub fn message(&self) -> GroupMessage {
        GroupMessage::Rollouts {
            revision: self.revision,
            views: self.views.clone(),
        }
    }

    /// Takes note of when a roll-out was ordered and turned, by the clock of this
    /// instance: the time of day may jump.
    fn note(&mut self, service: &str, record: &RolloutRecord, now: Duration) {
        let known = self.seen.get(service).copied();
        let known = known.filter(|known| known.order == record.order);
        let ordered_at = known.map_or_else(|| now - age_of(record, now), |known| known.ordered_at);
        let turned_at = match known {
            Some(known) if known.state == record.state => known.turned_at,
            _ => now,
        };
        let seen = SeenRollout {
            order: record.order,
            state: record.state,
            ordered_at,
            turned_at,
        };
        self.seen.insert(service.into(), seen);
    }

    fn age(&self, service: &str, now: Duration) -> Option<RolloutAge> {
        let seen = self.seen.get(service)?;
        Some(RolloutAge {
            since_order: now.saturating_sub(seen.ordered_at),
            in_state: now.saturating_sub(seen.turned_at),
        })
    }
}

/// Returns how old an order is that is seen for the first time: the time of day
/// counts only right after the start.
fn age_of(record: &RolloutRecord, now: Duration) -> Duration {
    if now > FRESH_TIME {
        return Duration::ZERO;
    }
    let age = unix_ms().saturating_sub(record.ordered_ms);
    Duration::from_millis(age.min(record.duration_ms)).min(now)
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl GroupNode {
    /// Orders a roll-out. None if no quorum said in time that it stands; it may
    /// stand all the same.
    pub async fn start_rollout(self: &Rc<Self>, order: &RolloutOrder) -> Option<RolloutOutcome> {
        let command = ControlCommand::Rollout(RolloutChange::Start {
            service: order.service.as_str().into(),
            target: order.target.as_str().into(),
            duration_ms: order.duration.as_millis() as u64,
            at_ms: unix_ms(),
        });
        let told = tokio::time::timeout(ORDER_TIME, self.propose(command)).await;
        match told {
            Ok(LeaderReply::Done(CommandOutcome::Rollout(outcome))) => Some(outcome),
            _ => None,
        }
    }

    /// Tells whether the route table in force names a service.
    pub fn knows_service(&self, service: &str) -> bool {
        self.state.borrow().services.contains(service)
    }

    /// Puts the replica's roll-outs in force and tells every entry.
    pub fn publish_rollouts(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(replica) = &state.replica else {
            return;
        };
        let book = replica.state().rollouts();
        if book.revision() <= state.rollouts.revision {
            return;
        }
        let views = book.iter().map(|(service, record)| RolloutView {
            service: service.into(),
            target: record.target.clone(),
            state: record.state,
            order: record.order,
        });
        state.rollouts.views = views.collect();
        state.rollouts.revision = book.revision();
        for (service, record) in book.iter() {
            state.rollouts.note(service, record, now);
        }
        let open = |service: &str| book.get(service).is_some_and(|known| known.state.is_open());
        state.rollouts.judge.retain_services(open);
        let message = state.rollouts.message();
        tracing::info!(target: "group", revision = state.rollouts.revision, "rollout: in force");
        state.tell_entries(message);
    }

    /// Takes what entries tell of versions. Every control instance holds it:
    /// whoever leads next decides by the same evidence.
    pub fn take_tallies(&self, tallies: Vec<VersionOutcomes>, is_first: bool) {
        let mut state = self.state.borrow_mut();
        state.rollouts.judge.record_outcomes(&tallies);
        if is_first {
            state.tell_control(&GroupMessage::Tallies(tallies));
        }
    }

    /// Turns roll-outs to their next state, whenever this instance leads.
    pub async fn keep_rollouts(self: Rc<Self>) {
        let mut tick = tokio::time::interval(JUDGE_INTERVAL);
        loop {
            tick.tick().await;
            if !self.leads() {
                continue;
            }
            for change in self.due_turns() {
                tracing::info!(target: "group", ?change, "rollout: turned");
                self.propose(ControlCommand::Rollout(change)).await;
            }
        }
    }

    fn due_turns(&self) -> Vec<RolloutChange> {
        let now = self.now();
        let state = self.state.borrow();
        let Some(replica) = &state.replica else {
            return Vec::new();
        };
        let rollouts = &state.rollouts;
        let book = replica.state().rollouts();
        let due = book.iter().filter_map(|(service, record)| {
            let age = rollouts.age(service, now)?;
            let next = rollouts.judge.decide_transition(service, record, age)?;
            Some(RolloutChange::Turn {
                service: service.into(),
                order: record.order,
                state: next,
                at_ms: unix_ms(),
            })
        });
        due.collect()
    }
}
