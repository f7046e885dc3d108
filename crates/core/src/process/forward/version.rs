//! Routing between server versions while a service is rolled out.
//!
//! Decides whether a request goes to servers of the old or the new version, and counts
//! good and bad answers per version. The control group uses the counts to complete the
//! roll-out or to roll it back.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::control::rollout::RolloutState;
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rollout::share::CanarySampler;
use crate::process::rollout::{RolloutView, VersionOutcomes};

/// Time without contact to the control group after which an entry sends no more
/// requests to a new version under test, because the entry would not learn that
/// the version is bad.
const CONTROL_CONTACT_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of the typical service time up to which an answer does not count as bad.
const SLOW_FACTOR: f64 = 2.5;
/// Fraction of the route's objective up to which an answer does not count as bad.
/// Without this minimum, answers that usually take 1 ms would count as bad whenever
/// the machine is busy for a moment, which makes them many times slower.
const SLOW_OBJECTIVE_FRACTION: f64 = 0.1;

/// Returns the service time above which an answer counts as bad for the server's
/// version.
pub(super) fn slow_threshold(typical: Duration, objective: Duration) -> Duration {
    let typical = typical.mul_f64(SLOW_FACTOR);
    typical.max(objective.mul_f64(SLOW_OBJECTIVE_FRACTION))
}

/// State that an entry holds for the roll-out of a service.
#[derive(Debug)]
pub(super) struct UpstreamRollout {
    /// Roll-out as announced by the control group.
    view: RolloutView,
    /// Selects the requests that this entry sends to the new version as canaries.
    share: CanarySampler,
    /// Counts since the last report to the control group, by route (index of its
    /// timing) and whether the server ran the new version.
    counts: BTreeMap<(usize, bool), AnswerCount>,
}

/// Number of all answers and of bad ones.
#[derive(Debug, Clone, Copy, Default)]
struct AnswerCount {
    /// All answers, including bad ones.
    answers: u32,
    /// Failures and slow answers.
    bad: u32,
}

/// Server versions that a request may be sent to. The new version is the target of the
/// service's roll-out; every other version is an old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionPreference {
    /// Servers of any version.
    Any,
    /// Only servers of the old version.
    OldOnly,
    /// Servers of the new version if there are usable ones, otherwise the old version.
    NewFirst,
}

/// Outcome of an attempt, reduced to what is counted for the server's version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptVerdict {
    /// The attempt was answered after this time, not counting the wait in the server's
    /// queue.
    Answered(Duration),
    /// The attempt failed.
    Failed,
    /// The attempt was abandoned without an answer after this time.
    Abandoned(Duration),
}

impl ForwardMachine {
    /// Applies the current roll-outs of all services. Marks servers of rolled-back
    /// versions, and removes servers of the old version once a roll-out is completed.
    pub(super) fn set_rollouts(&mut self, views: Vec<RolloutView>, out: &mut Vec<ForwardAction>) {
        for view in views {
            let upstream = self.find_or_add_upstream(&view.service);
            let known = self.upstreams[upstream].rollout.as_ref();
            if known.is_some_and(|known| known.view == view) {
                continue;
            }
            let former = self.upstreams[upstream].rollout.take();
            let share = match former {
                Some(former) if former.view.order == view.order => former.share,
                _ => CanarySampler::new(self.options.canary_bound, self.entry_count, &mut self.rng),
            };
            let is_completed = view.state == RolloutState::Completed;
            self.upstreams[upstream].rollout = Some(UpstreamRollout {
                view,
                share,
                counts: BTreeMap::new(),
            });
            for server in self.upstreams[upstream].servers.clone() {
                if is_completed && !self.runs_target_version(server) {
                    // Servers of the old version have stopped or are about to.
                    self.advance_lifecycle(server, ServerLifecycle::Gone, out);
                } else {
                    self.update_rolled_back(server);
                }
            }
        }
    }

    /// Sets whether the version of a server was rolled back.
    pub(super) fn update_rolled_back(&mut self, server: ServerKey) {
        let upstream = self.servers[server].upstream;
        let rollout = self.upstreams[upstream].rollout.as_ref();
        let was_rolled_back =
            rollout.is_some_and(|known| known.view.state == RolloutState::RolledBack);
        self.servers[server].is_rolled_back = was_rolled_back && self.runs_target_version(server);
    }

    /// Returns whether a server runs the new version of its service's roll-out.
    pub(super) fn runs_target_version(&self, server: ServerKey) -> bool {
        let state = &self.servers[server];
        let rollout = self.upstreams[state.upstream].rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.view.target == state.version)
    }

    /// Returns the versions that the next attempt may be sent to. A repeated attempt
    /// never goes to a new version that is still under test.
    pub(super) fn choose_version_preference(
        &mut self,
        upstream: UpstreamKey,
        is_repeat: bool,
        now: Duration,
    ) -> VersionPreference {
        let has_control_contact = now < self.control_seen_at + CONTROL_CONTACT_TIMEOUT;
        let Some(rollout) = &mut self.upstreams[upstream].rollout else {
            return VersionPreference::Any;
        };
        match rollout.view.state {
            RolloutState::Trying => {
                let tries_new = has_control_contact
                    && !is_repeat
                    && rollout.share.should_try_new_version(&mut self.rng);
                if tries_new {
                    VersionPreference::NewFirst
                } else {
                    VersionPreference::OldOnly
                }
            }
            RolloutState::Moving => VersionPreference::NewFirst,
            RolloutState::Completed | RolloutState::RolledBack => VersionPreference::Any,
        }
    }

    /// Counts the outcome of an attempt for the version of its server. An attempt that
    /// was abandoned before `slow_threshold` is not counted.
    pub(super) fn record_version_outcome(
        &mut self,
        server: ServerKey,
        timing: usize,
        slow_threshold: Duration,
        verdict: AttemptVerdict,
    ) {
        let is_target = self.runs_target_version(server);
        let upstream = self.servers[server].upstream;
        let Some(rollout) = &mut self.upstreams[upstream].rollout else {
            return;
        };
        if !rollout.view.state.is_open() {
            return;
        }
        let is_bad = match verdict {
            AttemptVerdict::Answered(after) => after > slow_threshold,
            AttemptVerdict::Failed => true,
            AttemptVerdict::Abandoned(after) if after > slow_threshold => true,
            AttemptVerdict::Abandoned(_) => return,
        };
        let count = rollout.counts.entry((timing, is_target)).or_default();
        count.answers += 1;
        count.bad += u32::from(is_bad);
    }

    /// Returns the outcome counts since the last call of this method, which are
    /// reported to the control group, and resets them.
    pub fn take_outcome_counts(&mut self) -> Vec<VersionOutcomes> {
        let mut outcomes = Vec::new();
        for (_, upstream) in self.upstreams.iter_mut() {
            let Some(rollout) = &mut upstream.rollout else {
                continue;
            };
            for ((timing, is_target), count) in std::mem::take(&mut rollout.counts) {
                let mut names = self.timings_by_route.iter();
                let route = names.find(|(_, index)| **index == timing);
                outcomes.push(VersionOutcomes {
                    order: rollout.view.order,
                    service: rollout.view.service.clone(),
                    route: route.map(|(route, _)| route.clone()).unwrap_or_default(),
                    is_target,
                    answers: count.answers,
                    bad: count.bad,
                });
            }
        }
        outcomes
    }
}
