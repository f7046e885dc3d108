//! Decision of an entry whether to admit a request of a workspace over its share.
//!
//! The shares come from the control group's last summary. Without a summary that is
//! recent enough, the entry uses the work that it has seen itself.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::process::load::share::{
    list_over_share, ShareWeights, MAX_LIMITED_WORKSPACES, MIN_RELATIVE_FRACTION,
};
use crate::process::load::usage::{UsageTotals, WorkspaceUsage, MAX_REPORTED_WORKSPACES};
use crate::process::load::{LoadReport, WorkspaceShare};

/// Age at which a summary is no longer used. Summaries are sent once a second, so three
/// in a row are missing.
const SUMMARY_MAX_AGE: Duration = Duration::from_secs(3);
/// Minimum number of a workspace's recent requests at an entry for the entry to limit the
/// workspace without a summary. The error of a rate from 8 requests is a third; an entry
/// that saw two requests of a workspace would take any for one above its share.
const MIN_LOCAL_REQUESTS: f64 = 8.0;
/// Time without a refusal after which a workspace counts as released. A workspace near
/// its share is listed in some summaries and not in others.
const RELEASE_DELAY: Duration = Duration::from_secs(3);
/// Maximum number of workspaces with a state.
const MAX_LIMITS: usize = 64;
/// Maximum number of routes with a counter per workspace; further routes share the last.
const MAX_ROUTE_CREDITS: usize = 64;

/// Where the admitted fraction of a workspace's requests comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareBasis {
    /// The control group's summary, of this age.
    Summary {
        /// Time since the summary was received.
        age: Duration,
    },
    /// The work that this entry has seen itself.
    Local,
}

impl ShareBasis {
    /// Returns the label of the basis in logs.
    pub fn label(self) -> &'static str {
        match self {
            ShareBasis::Summary { .. } => "summary",
            ShareBasis::Local => "local",
        }
    }
}

/// Fraction of a workspace's requests that is admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareLimit {
    /// Fraction from 0 to 1.
    pub fraction: f64,
    /// Where the fraction comes from.
    pub basis: ShareBasis,
}

/// Start or end of the limitation of a workspace at an entry, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum ShareChange {
    /// The first request was refused.
    Limited {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Admitted fraction and its basis.
        limit: ShareLimit,
        /// Work per second that all workspaces asked this entry for, in milliseconds of
        /// service time.
        total_ms: f64,
        /// Work per second that was served for callers of this entry.
        served_ms: f64,
    },
    /// No request was refused any more.
    Released {
        /// Name of the workspace.
        workspace: Arc<str>,
        /// Requests admitted while the workspace was limited.
        admitted: u64,
        /// Requests refused.
        refused: u64,
        /// Time from the first to the last refusal.
        lasted: Duration,
    },
}

/// State of a limited workspace.
#[derive(Debug, Clone)]
struct LimitState {
    workspace: Arc<str>,
    /// Fractional requests that may still be admitted, by route. Separate because a
    /// workspace that alternates between two routes would otherwise have all requests of
    /// one route admitted and all of the other refused.
    credits: Vec<(usize, f64)>,
    admitted: u64,
    refused: u64,
    limited_at: Duration,
    last_refused_at: Duration,
}

impl LimitState {
    /// Returns the credit of a route. A new one starts at random between 0 and 1: most
    /// entries see one or two requests of a limited workspace, so with equal starts all
    /// of them would admit or refuse the first.
    fn credit<R: Rng>(&mut self, route: usize, rng: &mut R) -> &mut f64 {
        let found = self.credits.iter().position(|(other, _)| *other == route);
        let index = found.unwrap_or_else(|| {
            if self.credits.len() < MAX_ROUTE_CREDITS {
                self.credits.push((route, rng.random()));
            }
            self.credits.len() - 1
        });
        &mut self.credits[index].1
    }
}

/// Work by workspace at one entry, and the workspaces that it limits to their share.
#[derive(Debug, Clone, Default)]
pub struct ShareGate {
    usage: WorkspaceUsage,
    /// Workspaces over their share by the last summary.
    listed: Vec<WorkspaceShare>,
    /// Time at which the last summary was received.
    summary_at: Option<Duration>,
    limits: Vec<LimitState>,
    changes: Vec<ShareChange>,
}

impl ShareGate {
    /// Records the work of a request that a caller sent to this entry.
    pub fn record_request(&mut self, workspace: Option<&Arc<str>>, work_ms: f64, now: Duration) {
        self.usage.record_request(workspace, work_ms, now);
        self.release_idle(now);
    }

    /// Records the work of a request that was admitted.
    pub fn record_served(&mut self, work_ms: f64, now: Duration) {
        self.usage.record_served(work_ms, now);
    }

    /// Takes back the work of a request that was admitted and not served.
    pub fn retract_served(&mut self, work_ms: f64, now: Duration) {
        self.usage.record_served(-work_ms, now);
    }

    /// Applies the workspace part of a load summary of the control group.
    pub fn apply_summary(&mut self, shares: &[WorkspaceShare], now: Duration) {
        let valid = shares.iter().filter(|share| share.fraction.is_finite());
        self.listed = valid.take(MAX_LIMITED_WORKSPACES).cloned().collect();
        self.summary_at = Some(now);
        self.release_idle(now);
    }

    /// Writes the workspace part of this entry's load report.
    pub fn fill_report(&mut self, report: &mut LoadReport, now: Duration) {
        let totals = self.usage.totals(MAX_REPORTED_WORKSPACES, now);
        totals.fill_report(report);
    }

    /// Returns the admitted fraction of a workspace that is over its share, or `None` if
    /// the workspace is not. Without a recent summary, this entry's own view decides.
    pub fn find_limit(
        &mut self,
        workspace: &str,
        weights: ShareWeights<'_>,
        now: Duration,
    ) -> Option<ShareLimit> {
        let age = self.summary_at.map(|at| now.saturating_sub(at));
        let (fraction, basis) = match age.filter(|age| *age < SUMMARY_MAX_AGE) {
            Some(age) => {
                let mut listed = self.listed.iter();
                let share = listed.find(|share| *share.workspace == *workspace)?;
                (f64::from(share.fraction), ShareBasis::Summary { age })
            }
            None => {
                let fraction = self.find_local_fraction(workspace, weights, now)?;
                (fraction, ShareBasis::Local)
            }
        };
        let min_fraction = MIN_RELATIVE_FRACTION * self.usage.served_fraction(now);
        Some(ShareLimit {
            fraction: fraction.clamp(min_fraction, 1.0),
            basis,
        })
    }

    /// Returns the admitted fraction by this entry's own view.
    fn find_local_fraction(
        &mut self,
        workspace: &str,
        weights: ShareWeights<'_>,
        now: Duration,
    ) -> Option<f64> {
        if self.usage.request_count(workspace, now) < MIN_LOCAL_REQUESTS {
            return None;
        }
        let totals = self.usage.totals(usize::MAX, now);
        let mut over = list_over_share(&totals, weights).into_iter();
        let over = over.find(|over| *over.workspace == *workspace)?;
        Some(over.fraction)
    }

    /// Decides whether to admit a request of a workspace over its share. Of the
    /// workspace's requests on each route, the fraction is admitted at even intervals.
    pub fn admit<R: Rng>(
        &mut self,
        workspace: &Arc<str>,
        route: usize,
        limit: ShareLimit,
        now: Duration,
        rng: &mut R,
    ) -> bool {
        let index = self.find_or_add_state(workspace, now);
        let state = &mut self.limits[index];
        let credit = state.credit(route, rng);
        *credit += limit.fraction;
        if *credit >= 1.0 {
            *credit -= 1.0;
            state.admitted += 1;
            return true;
        }
        state.last_refused_at = now;
        state.refused += 1;
        if state.refused == 1 {
            state.limited_at = now;
            let totals = self.usage.totals(0, now);
            self.changes.push(ShareChange::Limited {
                workspace: workspace.clone(),
                limit,
                total_ms: totals.total_ms,
                served_ms: totals.served_ms,
            });
        }
        false
    }

    /// Returns the index of a workspace's state, and adds one if there is none. If there
    /// are too many, the workspace refused longest ago is released.
    fn find_or_add_state(&mut self, workspace: &Arc<str>, now: Duration) -> usize {
        let mut limits = self.limits.iter();
        if let Some(index) = limits.position(|state| state.workspace == *workspace) {
            return index;
        }
        if self.limits.len() >= MAX_LIMITS {
            let states = self.limits.iter().enumerate();
            let oldest = states.min_by_key(|(_, state)| state.last_refused_at);
            let oldest = oldest.map(|(index, _)| index);
            if let Some(oldest) = oldest {
                let state = self.limits.swap_remove(oldest);
                self.record_release(state);
            }
        }
        self.limits.push(LimitState {
            workspace: workspace.clone(),
            credits: Vec::new(),
            admitted: 0,
            refused: 0,
            limited_at: now,
            last_refused_at: now,
        });
        self.limits.len() - 1
    }

    /// Releases the workspaces that had no request refused for a while.
    fn release_idle(&mut self, now: Duration) {
        let is_idle = |state: &LimitState| now >= state.last_refused_at + RELEASE_DELAY;
        while let Some(index) = self.limits.iter().position(is_idle) {
            let state = self.limits.swap_remove(index);
            self.record_release(state);
        }
    }

    /// Records the release of a workspace for the log, if any request was refused.
    fn record_release(&mut self, state: LimitState) {
        if state.refused > 0 {
            self.changes.push(ShareChange::Released {
                workspace: state.workspace,
                admitted: state.admitted,
                refused: state.refused,
                lasted: state.last_refused_at.saturating_sub(state.limited_at),
            });
        }
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<ShareChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of workspaces that had a request refused recently.
    pub fn limited_count(&self, now: Duration) -> usize {
        let limits = self.limits.iter();
        let is_limited =
            |state: &&LimitState| state.refused > 0 && now < state.last_refused_at + RELEASE_DELAY;
        limits.filter(is_limited).count()
    }

    /// Returns whether this entry's own view has a workspace over its share with enough
    /// requests, so that the entry has something to report.
    pub fn has_over_share(&mut self, weights: ShareWeights<'_>, now: Duration) -> bool {
        let totals: UsageTotals = self.usage.totals(usize::MAX, now);
        let over = list_over_share(&totals, weights);
        over.iter()
            .any(|over| self.usage.request_count(&over.workspace, now) >= MIN_LOCAL_REQUESTS)
    }
}
