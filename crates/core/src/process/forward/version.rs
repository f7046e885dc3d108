//! Versions of servers while a service is rolled out: which one a request goes
//! to, and how both answer.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::control::rollout::RolloutState;
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::machine::ForwardMachine;
use crate::process::rollout::share::CanarySampler;
use crate::process::rollout::{RolloutView, VersionOutcomes};

/// Time without a word of the control group after which an entry tries no new
/// version: it would not hear that the version is bad.
const TOUCH_TIME: Duration = Duration::from_secs(2);
/// How many times the typical time a bad answer takes at least.
const SLOW_TIMES: f64 = 2.5;
/// Part of the objective that a bad answer takes at least: where answers take a
/// millisecond, a machine that is busy for a moment makes them many times slower.
const SLOW_PART: f64 = 0.1;

/// Returns the time after which an answer counts against the version of its server.
pub(super) fn slow_after(typical: Duration, objective: Duration) -> Duration {
    let typical = typical.mul_f64(SLOW_TIMES);
    typical.max(objective.mul_f64(SLOW_PART))
}

/// The roll-out of a service, as an entry knows it.
#[derive(Debug)]
pub(super) struct UpstreamRollout {
    view: RolloutView,
    share: CanarySampler,
    /// Counts since they were last told, by route and whether it is the new
    /// version.
    counts: BTreeMap<(usize, bool), AnswerCount>,
}

#[derive(Debug, Clone, Copy, Default)]
struct AnswerCount {
    answers: u32,
    bad: u32,
}

/// Which version's servers are asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum VersionWish {
    /// Any.
    Any,
    /// Only the old one's.
    Old,
    /// The new one's, else the old one's.
    NewFirst,
}

/// How an attempt went, as far as its server's version is to blame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AnswerVerdict {
    /// It was answered after this time, in what waits there not counted.
    Answered(Duration),
    /// It failed.
    Failed,
    /// Nobody waited for it any more after this time.
    Abandoned(Duration),
}

impl ForwardMachine {
    /// Takes over the roll-outs of all services.
    pub(super) fn set_rollouts(&mut self, views: Vec<RolloutView>, out: &mut Vec<ForwardAction>) {
        for view in views {
            let upstream = self.upstream(&view.service);
            let known = self.upstreams[upstream].rollout.as_ref();
            if known.is_some_and(|known| known.view == view) {
                continue;
            }
            let former = self.upstreams[upstream].rollout.take();
            let share = match former {
                Some(former) if former.view.order == view.order => former.share,
                _ => CanarySampler::new(self.options.canary_bound, self.entries, &mut self.rng),
            };
            let is_completed = view.state == RolloutState::Completed;
            self.upstreams[upstream].rollout = Some(UpstreamRollout {
                view,
                share,
                counts: BTreeMap::new(),
            });
            for server in self.upstreams[upstream].servers.clone() {
                if is_completed && !self.is_target(server) {
                    // It has stopped, or is about to.
                    self.set_standing(server, ServerStanding::Gone, out);
                } else {
                    self.bar_version(server);
                }
            }
        }
    }

    /// Bars a server whose version was rolled back, and no other.
    pub(super) fn bar_version(&mut self, server: ServerKey) {
        let upstream = self.servers[server].upstream;
        let rollout = self.upstreams[upstream].rollout.as_ref();
        let is_back = rollout.is_some_and(|known| known.view.state == RolloutState::RolledBack);
        self.servers[server].barred = is_back && self.is_target(server);
    }

    /// Tells whether a server has the version that its service is rolled out to.
    pub(super) fn is_target(&self, server: ServerKey) -> bool {
        let state = &self.servers[server];
        let rollout = self.upstreams[state.upstream].rollout.as_ref();
        rollout.is_some_and(|rollout| rollout.view.target == state.version)
    }

    /// Returns which version's servers are asked next. A repeat tries no version
    /// that is not proved good.
    pub(super) fn wish_version(
        &mut self,
        upstream: UpstreamKey,
        is_repeat: bool,
        now: Duration,
    ) -> VersionWish {
        let is_heard = now < self.heard_at + TOUCH_TIME;
        let Some(rollout) = &mut self.upstreams[upstream].rollout else {
            return VersionWish::Any;
        };
        match rollout.view.state {
            RolloutState::Trying => {
                let tries =
                    is_heard && !is_repeat && rollout.share.should_try_new_version(&mut self.rng);
                if tries {
                    VersionWish::NewFirst
                } else {
                    VersionWish::Old
                }
            }
            RolloutState::Moving => VersionWish::NewFirst,
            RolloutState::Completed | RolloutState::RolledBack => VersionWish::Any,
        }
    }

    /// Counts how a server's version answered.
    pub(super) fn count_version(
        &mut self,
        server: ServerKey,
        timing: usize,
        slow_after: Duration,
        verdict: AnswerVerdict,
    ) {
        let is_target = self.is_target(server);
        let upstream = self.servers[server].upstream;
        let Some(rollout) = &mut self.upstreams[upstream].rollout else {
            return;
        };
        if !rollout.view.state.is_open() {
            return;
        }
        let is_bad = match verdict {
            AnswerVerdict::Answered(after) => after > slow_after,
            AnswerVerdict::Failed => true,
            AnswerVerdict::Abandoned(after) if after > slow_after => true,
            AnswerVerdict::Abandoned(_) => return,
        };
        let count = rollout.counts.entry((timing, is_target)).or_default();
        count.answers += 1;
        count.bad += u32::from(is_bad);
    }

    /// Takes the counts since the last time, to be told.
    pub fn take_tallies(&mut self) -> Vec<VersionOutcomes> {
        let mut tallies = Vec::new();
        for (_, upstream) in self.upstreams.iter_mut() {
            let Some(rollout) = &mut upstream.rollout else {
                continue;
            };
            for ((timing, is_target), count) in std::mem::take(&mut rollout.counts) {
                let mut names = self.timing_names.iter();
                let route = names.find(|(_, place)| **place == timing);
                tallies.push(VersionOutcomes {
                    order: rollout.view.order,
                    service: rollout.view.service.clone(),
                    route: route.map(|(route, _)| route.clone()).unwrap_or_default(),
                    is_target,
                    answers: count.answers,
                    bad: count.bad,
                });
            }
        }
        tallies
    }
}
