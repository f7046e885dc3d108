//! Whether a new version is as good as the old one: a sequential test by route.
//!
//! Each answer of the new version is good or bad. The test weighs whether bad
//! ones come as often as with the old version under the same load, or much more
//! often. It never stops, as a version may turn bad later: what speaks for a
//! version is counted up to a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::control::rollout::{RolloutRecord, RolloutState};
use crate::process::rollout::VersionOutcomes;

/// Likelihood ratio, as a logarithm, above which a version is bad.
const ROLL_BACK_LOG_RATIO: f64 = 5.3;
/// The same below which a version is good.
const ACCEPT_LOG_RATIO: f64 = -4.6;
/// The same above which there is doubt, if little is known.
const MAX_SPARSE_LOG_RATIO: f64 = 0.0;
/// Least part of bad answers that the old version is taken to have.
const MIN_BAD_FRACTION: f64 = 0.02;
/// By how much bad answers of a bad version exceed the old one's.
const BAD_FRACTION_MARGIN: f64 = 0.25;
/// Answers that the old version's part of bad ones is smoothed by.
const SMOOTHING_ANSWERS: f64 = 20.0;
/// Part of the time for which a new version is tried in any case: it may turn
/// bad later.
const MIN_CANARY_FRACTION: f64 = 0.45;
/// Part of the time after which a version of which little is known, and nothing
/// bad, counts as good.
const SPARSE_ACCEPT_FRACTION: f64 = 0.6;
/// Part of the time after which one that has given no answer is given up.
const DECISION_DEADLINE_FRACTION: f64 = 0.85;
/// Part of the time in which the old version finishes what it has.
const DRAIN_FRACTION: f64 = 0.1;
/// Longest time for that.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// What is known of one route's requests.
#[derive(Debug, Clone, Copy, Default)]
struct RouteEvidence {
    old_answers: f64,
    old_bad: f64,
    new_answers: f64,
    log_ratio: f64,
}

impl RouteEvidence {
    /// Returns the part of bad answers that the old version has at most, by a
    /// standard error more than what was counted.
    fn expected_bad_fraction(&self) -> f64 {
        let answers = self.old_answers + SMOOTHING_ANSWERS;
        let elapsed_fraction = (self.old_bad + MIN_BAD_FRACTION * SMOOTHING_ANSWERS) / answers;
        let error = (elapsed_fraction * (1.0 - elapsed_fraction) / answers).sqrt();
        (elapsed_fraction + error).clamp(MIN_BAD_FRACTION, 1.0 - 2.0 * BAD_FRACTION_MARGIN)
    }

    fn record(&mut self, outcomes: &VersionOutcomes) {
        let (answers, bad) = (f64::from(outcomes.answers), f64::from(outcomes.bad));
        if !outcomes.is_target {
            self.old_answers += answers;
            self.old_bad += bad;
            return;
        }
        let expected_bad_fraction = self.expected_bad_fraction();
        let rejected_bad_fraction = expected_bad_fraction + BAD_FRACTION_MARGIN;
        let bad_log_ratio = (rejected_bad_fraction / expected_bad_fraction).ln();
        let good_log_ratio = ((1.0 - rejected_bad_fraction) / (1.0 - expected_bad_fraction)).ln();
        self.new_answers += answers;
        let log_ratio = self.log_ratio + bad * bad_log_ratio + (answers - bad) * good_log_ratio;
        self.log_ratio = log_ratio.max(ACCEPT_LOG_RATIO);
    }
}

#[derive(Debug, Clone, Default)]
struct ServiceEvidence {
    order: u64,
    routes: BTreeMap<Box<str>, RouteEvidence>,
}

/// How old a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutAge {
    /// Time since its order.
    pub since_order: Duration,
    /// Time since it turned to its state.
    pub in_state: Duration,
}

/// The evidence on all roll-outs that go on.
#[derive(Debug, Clone, Default)]
pub struct RolloutEvaluator {
    services: BTreeMap<Box<str>, ServiceEvidence>,
}

impl RolloutEvaluator {
    /// Takes what entries tell. What is told of an earlier roll-out of the
    /// service counts for nothing.
    pub fn record_outcomes(&mut self, batches: &[VersionOutcomes]) {
        // The old version's answers first: they say what is usual.
        let (new, old): (Vec<_>, Vec<_>) = batches.iter().partition(|outcomes| outcomes.is_target);
        for outcomes in old.into_iter().chain(new) {
            let evidence = self.services.entry(outcomes.service.clone()).or_default();
            if outcomes.order < evidence.order {
                continue;
            }
            if outcomes.order > evidence.order {
                *evidence = ServiceEvidence {
                    order: outcomes.order,
                    routes: BTreeMap::new(),
                };
            }
            let route = evidence.routes.entry(outcomes.route.clone()).or_default();
            route.record(outcomes);
        }
    }

    /// Forgets services whose roll-outs have ended.
    pub fn retain_services(&mut self, is_open: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_open(service));
    }

    /// Returns the state that a roll-out should turn to, if any.
    pub fn decide_transition(
        &self,
        service: &str,
        record: &RolloutRecord,
        age: RolloutAge,
    ) -> Option<RolloutState> {
        if !record.state.is_open() {
            return None;
        }
        let evidence = self.services.get(service);
        let evidence = evidence.filter(|evidence| evidence.order == record.order);
        let routes: Vec<RouteEvidence> = evidence
            .map(|evidence| evidence.routes.values().copied().collect())
            .unwrap_or_default();
        let max_log_ratio = routes.iter().map(|route| route.log_ratio);
        let max_log_ratio = max_log_ratio.fold(f64::NEG_INFINITY, f64::max);
        if max_log_ratio > ROLL_BACK_LOG_RATIO {
            return Some(RolloutState::RolledBack);
        }
        let duration = Duration::from_millis(record.duration_ms.max(1));
        if record.state == RolloutState::Moving {
            let drain_time = duration.mul_f64(DRAIN_FRACTION).min(MAX_DRAIN_TIME);
            return (age.in_state >= drain_time).then_some(RolloutState::Completed);
        }
        let elapsed_fraction = age.since_order.as_secs_f64() / duration.as_secs_f64();
        let answers: f64 = routes.iter().map(|route| route.new_answers).sum();
        if answers < 1.0 {
            return (elapsed_fraction >= DECISION_DEADLINE_FRACTION)
                .then_some(RolloutState::RolledBack);
        }
        let is_good = routes
            .iter()
            .all(|route| route.log_ratio <= ACCEPT_LOG_RATIO);
        if (is_good && elapsed_fraction >= MIN_CANARY_FRACTION)
            || (max_log_ratio <= MAX_SPARSE_LOG_RATIO && elapsed_fraction >= SPARSE_ACCEPT_FRACTION)
        {
            return Some(RolloutState::Moving);
        }
        // What is in doubt for so long is not proved good in time.
        (elapsed_fraction >= DECISION_DEADLINE_FRACTION).then_some(RolloutState::RolledBack)
    }
}
