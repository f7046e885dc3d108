//! Work by workspace at a control instance, merged from the reports of its entries and
//! of the other control instances.
//!
//! The state is bounded for any number of workspaces: each entry's report lists a few,
//! and the merged report that control instances send each other lists a few hundred.
//! Nothing is stored on disk; a restarted instance has all reports again within a second.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::process::load::share::{list_over_share, OverShare, ShareWeights};
use crate::process::load::usage::{UsageTotals, MAX_REPORTED_WORKSPACES};
use crate::process::load::{LoadReport, WorkspaceShare};

/// Age at which a report is dropped. Reports are sent once a second, so three in a row
/// are missing.
const REPORT_MAX_AGE: Duration = Duration::from_secs(3);
/// Maximum number of entries with a report; further ones are ignored.
const MAX_ENTRIES: usize = 1024;
/// Maximum number of other control instances with a report; further ones are ignored.
const MAX_INSTANCES: usize = 16;
/// Maximum number of workspaces in a merged report. At most 16 workspaces are limited at
/// a time, and this many remain visible beside them.
pub const MAX_MERGED_WORKSPACES: usize = 256;
/// Maximum length of a workspace's name in a report, in bytes; the same as in a table.
const MAX_NAME_BYTES: usize = 256;

/// A report and the time of its receipt.
#[derive(Debug, Clone)]
struct TimedUsage {
    usage: UsageTotals,
    received_at: Duration,
}

/// Latest reports of the entries that follow one control instance and of the other
/// control instances.
#[derive(Debug, Clone, Default)]
pub struct UsageBoard {
    entries: HashMap<Box<str>, TimedUsage>,
    instances: HashMap<Box<str>, TimedUsage>,
    /// Workspaces in the last list.
    listed: Vec<Arc<str>>,
    changes: Vec<ListChange>,
}

/// Change of the list of workspaces over their share, for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum ListChange {
    /// The workspace is listed, with the figures of the decision.
    Added(OverShare),
    /// The workspace is no longer listed.
    Removed(Arc<str>),
}

impl UsageBoard {
    /// Records the workspace part of an entry's load report, in place of its last one.
    pub fn record_entry(&mut self, entry: &str, report: &LoadReport, now: Duration) {
        let usage = read_report(report, MAX_REPORTED_WORKSPACES);
        insert_bounded(&mut self.entries, MAX_ENTRIES, entry, usage, now);
    }

    /// Records the workspace part of another control instance's merged report, in place
    /// of its last one.
    pub fn record_instance(&mut self, instance: &str, report: &LoadReport, now: Duration) {
        let usage = read_report(report, MAX_MERGED_WORKSPACES);
        insert_bounded(&mut self.instances, MAX_INSTANCES, instance, usage, now);
    }

    /// Drops an entry's report, because the entry no longer follows this instance and its
    /// next report goes to another one.
    pub fn remove_entry(&mut self, entry: &str) {
        self.entries.remove(entry);
    }

    /// Writes the merged reports of the entries that follow this instance to the
    /// workspace part of a report to the other control instances.
    pub fn fill_share(&mut self, report: &mut LoadReport, now: Duration) {
        self.drop_old(now);
        let mut merged = merge(self.entries.values());
        merged.workspaces.truncate(MAX_MERGED_WORKSPACES);
        merged.fill_report(report);
    }

    /// Returns the workspaces over their share, from all reports. Call this only while
    /// some service is short, and [`UsageBoard::clear_list`] once none is.
    pub fn list_over_share(&mut self, weights: ShareWeights<'_>, now: Duration) -> Vec<OverShare> {
        self.drop_old(now);
        let reports = self.entries.values().chain(self.instances.values());
        let over = list_over_share(&merge(reports), weights);
        self.record_changes(&over);
        over
    }

    /// Records for the log that no workspace is listed, because no service is short.
    pub fn clear_list(&mut self) {
        self.record_changes(&[]);
    }

    /// Removes and returns the changes of the list since the last call.
    pub fn take_changes(&mut self) -> Vec<ListChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records how a new list differs from the last one.
    fn record_changes(&mut self, over: &[OverShare]) {
        for workspace in &self.listed {
            if !over.iter().any(|over| over.workspace == *workspace) {
                self.changes.push(ListChange::Removed(workspace.clone()));
            }
        }
        for over in over {
            if !self.listed.contains(&over.workspace) {
                self.changes.push(ListChange::Added(over.clone()));
            }
        }
        self.listed = over.iter().map(|over| over.workspace.clone()).collect();
    }

    /// Returns the number of reports that are held.
    pub fn report_count(&self) -> usize {
        self.entries.len() + self.instances.len()
    }

    /// Drops the reports that are too old.
    fn drop_old(&mut self, now: Duration) {
        let is_fresh = |timed: &TimedUsage| now < timed.received_at + REPORT_MAX_AGE;
        self.entries.retain(|_, timed| is_fresh(timed));
        self.instances.retain(|_, timed| is_fresh(timed));
    }
}

/// Returns the workspace part of a load summary.
pub fn summary_shares(over: &[OverShare]) -> Vec<WorkspaceShare> {
    let shares = over.iter().map(|over| WorkspaceShare {
        workspace: (&*over.workspace).into(),
        fraction: over.fraction as f32,
    });
    shares.collect()
}

/// Inserts or replaces the report of a source. A new source is ignored if `limit` sources
/// have a report, unless some report is too old.
fn insert_bounded(
    reports: &mut HashMap<Box<str>, TimedUsage>,
    limit: usize,
    source: &str,
    usage: UsageTotals,
    now: Duration,
) {
    if !reports.contains_key(source) && reports.len() >= limit {
        reports.retain(|_, timed| now < timed.received_at + REPORT_MAX_AGE);
        if reports.len() >= limit {
            return;
        }
    }
    let timed = TimedUsage {
        usage,
        received_at: now,
    };
    reports.insert(source.into(), timed);
}

/// Reads the workspace part of a report, at most `limit` workspaces. Values that
/// contradict each other are limited by the total.
fn read_report(report: &LoadReport, limit: usize) -> UsageTotals {
    let total = report.total_work_ms;
    let listed = report.workspaces.iter().take(limit);
    let listed = listed.filter(|work| work.workspace.len() <= MAX_NAME_BYTES);
    let workspaces = listed.map(|work| {
        let work_ms = f64::from(work.work_ms.min(total));
        (Arc::from(&*work.workspace), work_ms)
    });
    UsageTotals {
        workspaces: workspaces.collect(),
        total_ms: f64::from(total),
        served_ms: f64::from(report.served_work_ms.min(total)),
    }
}

/// Adds up reports. The workspaces are listed by descending work.
fn merge<'a>(reports: impl Iterator<Item = &'a TimedUsage>) -> UsageTotals {
    let mut merged = UsageTotals::default();
    let mut works: HashMap<&Arc<str>, f64> = HashMap::new();
    for timed in reports {
        merged.total_ms += timed.usage.total_ms;
        merged.served_ms += timed.usage.served_ms;
        for (workspace, work) in &timed.usage.workspaces {
            *works.entry(workspace).or_default() += work;
        }
    }
    let works = works.into_iter();
    merged.workspaces = works
        .map(|(workspace, work)| (workspace.clone(), work))
        .collect();
    // By name as well, so that equal reports give equal lists at all control instances.
    merged.workspaces.sort_by(|left, right| {
        let by_work = right.1.total_cmp(&left.1);
        by_work.then_with(|| left.0.cmp(&right.0))
    });
    merged
}
