//! Canary analysis: a sequential probability ratio test per route, which decides
//! whether a new version is as good as the old one.
//!
//! Each answer of the new version is good or bad. The test compares two hypotheses:
//! bad answers are as frequent as with the old version under the same load, or much
//! more frequent. The test goes on until the roll-out ends, because a version may
//! become bad later; evidence in favour of the version is therefore capped.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::control::rollout::{RolloutRecord, RolloutState};
use crate::process::rollout::VersionOutcomes;

/// Logarithm of the likelihood ratio (bad to good) above which a version is rolled
/// back.
const ROLL_BACK_LOG_RATIO: f64 = 5.3;
/// Logarithm of the likelihood ratio at which a version is accepted; lower values
/// are raised to this one.
const ACCEPT_LOG_RATIO: f64 = -4.6;
/// Highest logarithm of the likelihood ratio at which a version with too few
/// answers for a clear result is accepted.
const MAX_SPARSE_LOG_RATIO: f64 = 0.0;
/// Minimum fraction of bad answers assumed for the old version.
const MIN_BAD_FRACTION: f64 = 0.02;
/// Difference between the fraction of bad answers of a bad version and that of the
/// old version.
const BAD_FRACTION_MARGIN: f64 = 0.25;
/// Number of assumed answers, with [`MIN_BAD_FRACTION`] bad ones, that are added to
/// the old version's counts for smoothing.
const SMOOTHING_ANSWERS: f64 = 20.0;
/// Fraction of the roll-out's duration that the canary phase takes at least, because
/// a version may become bad later.
const MIN_CANARY_FRACTION: f64 = 0.45;
/// Fraction of the roll-out's duration after which a version with few answers, and
/// no evidence against it, is accepted.
const SPARSE_ACCEPT_FRACTION: f64 = 0.6;
/// Fraction of the roll-out's duration after which a version without any answer, or
/// without a clear result, is rolled back.
const DECISION_DEADLINE_FRACTION: f64 = 0.85;
/// Fraction of the roll-out's duration in which the old version finishes its
/// requests.
const DRAIN_FRACTION: f64 = 0.1;
/// Maximum time for the old version to finish its requests.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3);

/// Evidence from the answers on one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteEvidence {
    /// Answers of the old version.
    old_answers: f64,
    /// Bad answers of the old version.
    old_bad: f64,
    /// Answers of the new version.
    new_answers: f64,
    /// Logarithm of the likelihood ratio: the higher, the more likely the new version
    /// is bad.
    log_ratio: f64,
}

impl RouteEvidence {
    /// Returns an upper estimate of the old version's fraction of bad answers: the
    /// smoothed fraction plus one standard error.
    fn expected_bad_fraction(&self) -> f64 {
        let answers = self.old_answers + SMOOTHING_ANSWERS;
        let bad_fraction = (self.old_bad + MIN_BAD_FRACTION * SMOOTHING_ANSWERS) / answers;
        let error = (bad_fraction * (1.0 - bad_fraction) / answers).sqrt();
        (bad_fraction + error).clamp(MIN_BAD_FRACTION, 1.0 - 2.0 * BAD_FRACTION_MARGIN)
    }

    /// Adds an entry's outcome counts to the evidence.
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

/// Evidence on the roll-out of one service.
#[derive(Debug, Clone, Default)]
struct ServiceEvidence {
    /// Revision of the order that started the roll-out.
    order: u64,
    /// Evidence by route name.
    routes: BTreeMap<Box<str>, RouteEvidence>,
}

/// Age of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutAge {
    /// Time since the operator ordered the roll-out.
    pub since_order: Duration,
    /// Time since the roll-out reached its current state.
    pub in_state: Duration,
}

/// Collects evidence on all roll-outs in progress and decides their transitions.
#[derive(Debug, Clone, Default)]
pub struct RolloutEvaluator {
    services: BTreeMap<Box<str>, ServiceEvidence>,
}

impl RolloutEvaluator {
    /// Records outcome counts reported by entries. Ignores reports on an earlier
    /// roll-out of the same service.
    pub fn record_outcomes(&mut self, batches: &[VersionOutcomes]) {
        // Record the old version first: its bad fraction is the reference for the
        // new version's answers.
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

    /// Removes the evidence on services whose roll-outs have ended.
    pub fn retain_services(&mut self, is_open: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_open(service));
    }

    /// Returns the next state of a roll-out, or `None` if it should stay as it is.
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
        let log_ratios = routes.iter().map(|route| route.log_ratio);
        let max_log_ratio = log_ratios.fold(f64::NEG_INFINITY, f64::max);
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
        // The evidence is still unclear, so that the version can't be accepted in time.
        (elapsed_fraction >= DECISION_DEADLINE_FRACTION).then_some(RolloutState::RolledBack)
    }
}
