//! Whether a new version is as good as the old one: a sequential test by route.
//!
//! Each answer of the new version is good or bad. The test weighs whether bad
//! ones come as often as with the old version under the same load, or much more
//! often. It never stops, as a version may turn bad later: what speaks for a
//! version is counted up to a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::control::rollout::{RolloutRecord, RolloutState};
use crate::process::rollout::VersionTally;

/// Likelihood ratio, as a logarithm, above which a version is bad.
const BAD_ABOVE: f64 = 5.3;
/// The same below which a version is good.
const GOOD_BELOW: f64 = -4.6;
/// The same above which there is doubt, if little is known.
const DOUBT_ABOVE: f64 = 0.0;
/// Least part of bad answers that the old version is taken to have.
const LEAST_BAD: f64 = 0.02;
/// By how much bad answers of a bad version exceed the old one's.
const BAD_MARGIN: f64 = 0.25;
/// Answers that the old version's part of bad ones is smoothed by.
const SMOOTHING: f64 = 20.0;
/// Part of the time for which a new version is tried in any case: it may turn
/// bad later.
const TRY_PART: f64 = 0.45;
/// Part of the time after which a version of which little is known, and nothing
/// bad, counts as good.
const LITTLE_PART: f64 = 0.6;
/// Part of the time after which one that has given no answer is given up.
const SILENT_PART: f64 = 0.85;
/// Part of the time in which the old version finishes what it has.
const MOVE_PART: f64 = 0.1;
/// Longest time for that.
const LONGEST_MOVE: Duration = Duration::from_secs(3);

/// What is known of one route's requests.
#[derive(Debug, Clone, Copy, Default)]
struct RouteEvidence {
    old_answers: f64,
    old_bad: f64,
    new_answers: f64,
    ratio: f64,
}

impl RouteEvidence {
    /// Returns the part of bad answers that the old version has at most, by a
    /// standard error more than what was counted.
    fn usual(&self) -> f64 {
        let answers = self.old_answers + SMOOTHING;
        let part = (self.old_bad + LEAST_BAD * SMOOTHING) / answers;
        let error = (part * (1.0 - part) / answers).sqrt();
        (part + error).clamp(LEAST_BAD, 1.0 - 2.0 * BAD_MARGIN)
    }

    fn add(&mut self, tally: &VersionTally) {
        let (answers, bad) = (f64::from(tally.answers), f64::from(tally.bad));
        if !tally.is_target {
            self.old_answers += answers;
            self.old_bad += bad;
            return;
        }
        let usual = self.usual();
        let excessive = usual + BAD_MARGIN;
        let of_bad = (excessive / usual).ln();
        let of_good = ((1.0 - excessive) / (1.0 - usual)).ln();
        self.new_answers += answers;
        let ratio = self.ratio + bad * of_bad + (answers - bad) * of_good;
        self.ratio = ratio.max(GOOD_BELOW);
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
pub struct RolloutJudge {
    services: BTreeMap<Box<str>, ServiceEvidence>,
}

impl RolloutJudge {
    /// Takes what entries tell. What is told of an earlier roll-out of the
    /// service counts for nothing.
    pub fn take(&mut self, tallies: &[VersionTally]) {
        // The old version's answers first: they say what is usual.
        let (new, old): (Vec<_>, Vec<_>) = tallies.iter().partition(|tally| tally.is_target);
        for tally in old.into_iter().chain(new) {
            let evidence = self.services.entry(tally.service.clone()).or_default();
            if tally.order < evidence.order {
                continue;
            }
            if tally.order > evidence.order {
                *evidence = ServiceEvidence {
                    order: tally.order,
                    routes: BTreeMap::new(),
                };
            }
            let route = evidence.routes.entry(tally.route.clone()).or_default();
            route.add(tally);
        }
    }

    /// Forgets services whose roll-outs have ended.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_open(service));
    }

    /// Returns the state that a roll-out should turn to, if any.
    pub fn verdict(
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
        let worst = routes.iter().map(|route| route.ratio);
        let worst = worst.fold(f64::NEG_INFINITY, f64::max);
        if worst > BAD_ABOVE {
            return Some(RolloutState::RolledBack);
        }
        let duration = Duration::from_millis(record.duration_ms.max(1));
        if record.state == RolloutState::Moving {
            let time = duration.mul_f64(MOVE_PART).min(LONGEST_MOVE);
            return (age.in_state >= time).then_some(RolloutState::Completed);
        }
        let part = age.since_order.as_secs_f64() / duration.as_secs_f64();
        let answers: f64 = routes.iter().map(|route| route.new_answers).sum();
        if answers < 1.0 {
            return (part >= SILENT_PART).then_some(RolloutState::RolledBack);
        }
        let is_good = routes.iter().all(|route| route.ratio <= GOOD_BELOW);
        if (is_good && part >= TRY_PART) || (worst <= DOUBT_ABOVE && part >= LITTLE_PART) {
            return Some(RolloutState::Moving);
        }
        // What is in doubt for so long is not proved good in time.
        (part >= SILENT_PART).then_some(RolloutState::RolledBack)
    }
}
