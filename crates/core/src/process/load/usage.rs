//! Work by workspace at one entry, in a sketch of bounded size.
//!
//! The work of a request is the typical service time of its route times its parts,
//! because a sweep of 225 shards does not cost the same as one lookup. The sketch is
//! Space-Saving (A. Metwally et al., "Efficient Computation of Frequent and Top-k
//! Elements in Data Streams", 2005) with counters that decay over time.

use std::sync::Arc;
use std::time::Duration;

use crate::process::load::{LoadReport, WorkspaceWork};

/// Time in which recorded work loses half of its weight. A workspace far above its
/// usual rate stays there for 5 to 8 s, so it must be visible after one or two.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum number of workspaces with a counter. An entry sees a few requests per second,
/// so within a few half-lives it sees fewer workspaces than this.
const MAX_COUNTERS: usize = 64;
/// Maximum number of workspaces in a report.
pub const MAX_REPORTED_WORKSPACES: usize = 16;
/// Work below which a counter is dropped, in milliseconds.
const MIN_COUNTED_WORK_MS: f64 = 0.5;

/// Work per second of several workspaces, at one entry or merged from many.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UsageTotals {
    /// Workspaces with the most work, and the work per second that each asked for, in
    /// milliseconds of service time.
    pub workspaces: Vec<(Arc<str>, f64)>,
    /// Work per second that all workspaces asked for, also those not listed.
    pub total_ms: f64,
    /// Work per second that was served.
    pub served_ms: f64,
}

impl UsageTotals {
    /// Returns the fraction of the work that was served.
    pub fn served_fraction(&self) -> f64 {
        if self.total_ms <= 0.0 {
            return 1.0;
        }
        (self.served_ms / self.total_ms).min(1.0)
    }

    /// Writes the totals to the workspace part of a load report.
    pub fn fill_report(&self, report: &mut LoadReport) {
        let workspaces = self.workspaces.iter().map(|(workspace, work)| {
            let work_ms = work.round() as u32;
            WorkspaceWork {
                workspace: (&**workspace).into(),
                work_ms,
            }
        });
        report.workspaces = workspaces.filter(|work| work.work_ms > 0).collect();
        report.total_work_ms = self.total_ms.round() as u32;
        report.served_work_ms = self.served_ms.round() as u32;
    }
}

/// Decaying work of one workspace.
#[derive(Debug, Clone)]
struct WorkCounter {
    workspace: Arc<str>,
    /// Upper bound of the workspace's work.
    work: f64,
    /// Part of `work` that may belong to workspaces that had the counter before.
    error: f64,
    /// Requests of the workspace since it has the counter.
    requests: f64,
}

/// Decaying work by workspace at one entry.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceUsage {
    counters: Vec<WorkCounter>,
    total: f64,
    served: f64,
    decayed_at: Duration,
}

impl WorkspaceUsage {
    /// Records the work of a request that a caller sent to this entry. `workspace` is
    /// `None` on a public route; the work then counts in the total only.
    pub fn record_request(&mut self, workspace: Option<&Arc<str>>, work_ms: f64, now: Duration) {
        self.decay(now);
        self.total += work_ms;
        let Some(workspace) = workspace else {
            return;
        };
        let mut counters = self.counters.iter_mut();
        if let Some(counter) = counters.find(|counter| counter.workspace == *workspace) {
            counter.work += work_ms;
            counter.requests += 1.0;
            return;
        }
        let mut counter = WorkCounter {
            workspace: workspace.clone(),
            work: work_ms,
            error: 0.0,
            requests: 1.0,
        };
        if self.counters.len() < MAX_COUNTERS {
            return self.counters.push(counter);
        }
        let counters = self.counters.iter_mut();
        let smallest = counters.min_by(|left, right| left.work.total_cmp(&right.work));
        if let Some(smallest) = smallest {
            counter.error = smallest.work;
            counter.work += smallest.work;
            *smallest = counter;
        }
    }

    /// Records the work of a request that was admitted, or with a negative sign that of
    /// one that was then not served. Counted on admission, because requests in progress
    /// would otherwise look as if they lacked capacity.
    pub fn record_served(&mut self, work_ms: f64, now: Duration) {
        self.decay(now);
        self.served += work_ms;
    }

    /// Returns the work of the workspaces with the most, at most `limit`. The listed
    /// work is a lower bound, so that a workspace is never listed with another's work.
    pub fn totals(&mut self, limit: usize, now: Duration) -> UsageTotals {
        self.decay(now);
        let per_second = 2f64.ln() / HALF_LIFE.as_secs_f64();
        let counters = self.counters.iter();
        let mut workspaces: Vec<(Arc<str>, f64)> = counters
            .map(|counter| (counter, (counter.work - counter.error) * per_second))
            .map(|(counter, work)| (counter.workspace.clone(), work))
            .collect();
        workspaces.sort_by(|left, right| right.1.total_cmp(&left.1));
        workspaces.truncate(limit);
        UsageTotals {
            workspaces,
            total_ms: self.total * per_second,
            served_ms: self.served.max(0.0) * per_second,
        }
    }

    /// Returns the decayed number of requests of a workspace.
    pub fn request_count(&mut self, workspace: &str, now: Duration) -> f64 {
        self.decay(now);
        let mut counters = self.counters.iter();
        let counter = counters.find(|counter| *counter.workspace == *workspace);
        counter.map_or(0.0, |counter| counter.requests)
    }

    /// Returns the fraction of the recent work that was served.
    pub fn served_fraction(&mut self, now: Duration) -> f64 {
        self.totals(0, now).served_fraction()
    }

    /// Returns the number of workspaces with a counter.
    pub fn counter_count(&self) -> usize {
        self.counters.len()
    }

    /// Decays all work up to `now`.
    fn decay(&mut self, now: Duration) {
        let age = now.saturating_sub(self.decayed_at);
        if age.is_zero() {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        self.total *= factor;
        self.served *= factor;
        for counter in &mut self.counters {
            counter.work *= factor;
            counter.error *= factor;
            counter.requests *= factor;
        }
        self.counters
            .retain(|counter| counter.work >= MIN_COUNTED_WORK_MS);
    }
}
