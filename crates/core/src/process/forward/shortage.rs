//! Shortage levels of the services that several ranks use: updated by the answers of
//! servers and by the summaries of the control group, and reported to the latter.
//!
//! Only services with a level of their own or in a recent summary, the *watched* ones, are
//! visited when a report is built or a summary arrives.

use std::sync::Arc;
use std::time::Duration;

use crate::arena::UpstreamKey;
use crate::process::forward::call::ForwardAttempt;
use crate::process::forward::input::AttemptResult;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::rank_group::RankGroup;
use crate::process::forward::reply::MISDIRECTED;
use crate::process::load::board::MAX_LOAD_AGE;
use crate::process::load::shortage::{ShortageEvidence, ShortageTracker, UseWindow};
use crate::process::load::{LoadReport, LoadSummary, ServiceShortage};

/// Minimum time between two load reports.
pub const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of level changes that are kept for the driver.
const MAX_LEVEL_CHANGES: usize = 64;

/// Shortage of one service, as far as decisions by rank need it.
#[derive(Debug, Default)]
pub(super) struct UpstreamShortage {
    /// Index of the service's [`RankGroup`]; `None` if all its requests have one rank.
    pub(super) group: Option<usize>,
    /// Level by this entry's own evidence.
    tracker: ShortageTracker,
    /// Evidence on the service in the last second.
    uses: UseWindow,
    /// Level in the last summary that lists the service, and when it arrived.
    merged: Option<(u8, Duration)>,
    /// Level that was last passed to the driver for the log.
    logged_level: u8,
    /// Whether the service is in [`RankControl::watched`].
    is_watched: bool,
}

impl UpstreamShortage {
    /// Returns the level of the last summary, or `None` if it does not list the service
    /// or is too old.
    fn merged_level(&self, now: Duration) -> Option<u8> {
        let (level, received_at) = self.merged?;
        (now < received_at + MAX_LOAD_AGE).then_some(level)
    }

    /// Returns the greater of the own level and the summary's.
    fn level_at(&self, now: Duration) -> u8 {
        let merged = self.merged_level(now).unwrap_or(0);
        self.tracker.level_at(now).max(merged)
    }
}

/// Change of the shortage level of a service, for the log.
#[derive(Debug, Clone, PartialEq)]
pub struct LevelChange {
    /// Name of the service.
    pub service: Arc<str>,
    /// Level that applies now.
    pub level: u8,
    /// Level by this entry's own evidence.
    pub own_level: u8,
    /// Level that the control group reported, if it reported one recently.
    pub merged_level: Option<u8>,
    /// Smoothed pressure that this entry sees: the wait at the servers as a fraction of
    /// the objective, or the fraction of requests without capacity.
    pub pressure: f64,
    /// Objective of the highest rank that uses the service.
    pub objective: Duration,
}

impl ForwardMachine {
    /// Returns the shortage level that applies to a service.
    pub(super) fn shortage_level(&self, upstream: UpstreamKey, now: Duration) -> u8 {
        let shortage = &self.upstreams[upstream].shortage;
        let Some(group) = shortage.group else {
            return 0;
        };
        let max_level = self.ranks.groups[group].max_level();
        shortage.level_at(now).min(max_level)
    }

    /// Updates the shortage level of a service with an answer of one of its servers.
    pub(super) fn observe_answer(
        &mut self,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        now: Duration,
    ) {
        if attempt.is_relay() || self.upstreams[attempt.upstream].shortage.group.is_none() {
            return;
        }
        let AttemptResult::Answer(answer) = end else {
            return;
        };
        // A refusal by a server with a free slot has another cause than a shortage.
        let has_free_slot = answer
            .load
            .is_some_and(|load| load.waiting == 0 && load.running < load.slots);
        let was_refused = answer.not_run && answer.status != MISDIRECTED && !has_free_slot;
        let wait = self.servers[attempt.server].backlog.expected_wait(now);
        self.record_shortage_sample(attempt.upstream, wait, was_refused, now);
    }

    /// Updates the shortage level of a service that had no capacity in time for a request.
    pub(super) fn observe_missing_capacity(&mut self, upstream: UpstreamKey, now: Duration) {
        self.record_shortage_sample(upstream, Duration::ZERO, false, now);
    }

    fn record_shortage_sample(
        &mut self,
        upstream: UpstreamKey,
        wait: Duration,
        was_refused: bool,
        now: Duration,
    ) {
        let state = &mut self.upstreams[upstream];
        let Some(group) = state.shortage.group else {
            return;
        };
        let group = &mut self.ranks.groups[group];
        let evidence = ShortageEvidence {
            wait,
            was_refused,
            shortage_rate: state.shortage_rate.value_at(now),
        };
        let pressure = evidence.pressure(group.objective());
        state.shortage.uses.add(now);
        state
            .shortage
            .tracker
            .record(pressure, group.max_level(), now);
        let is_short = state.shortage.tracker.level_at(now) > 0;
        if is_short || state.shortage.merged_level(now) > Some(0) {
            group.record_pressure(pressure, now);
        }
        if is_short {
            self.watch(upstream);
        }
        if self.upstreams[upstream].shortage.is_watched {
            self.note_level(upstream, now);
        }
    }

    /// Applies the levels that the control group merged.
    pub(super) fn set_load_summary(&mut self, summary: &LoadSummary, now: Duration) {
        for upstream in &self.ranks.watched {
            self.upstreams[*upstream].shortage.merged = None;
        }
        let mut short_groups: Vec<usize> = Vec::new();
        for row in &summary.services {
            let Some(upstream) = self.upstreams_by_name.get(&*row.service).copied() else {
                continue;
            };
            let Some(group) = self.upstreams[upstream].shortage.group else {
                continue;
            };
            self.upstreams[upstream].shortage.merged = Some((row.level, now));
            self.watch(upstream);
            if row.level > 0 && !short_groups.contains(&group) {
                short_groups.push(group);
            }
        }
        for group in short_groups {
            self.ranks.groups[group].record_merged_shortage(now);
        }
        self.update_watched(now);
    }

    /// Adds a service to the watched ones.
    fn watch(&mut self, upstream: UpstreamKey) {
        let is_watched = &mut self.upstreams[upstream].shortage.is_watched;
        if !std::mem::replace(is_watched, true) {
            self.ranks.watched.push(upstream);
        }
    }

    /// Notes level changes of the watched services, and drops those that have neither a
    /// level nor a place in a recent summary.
    fn update_watched(&mut self, now: Duration) {
        for upstream in std::mem::take(&mut self.ranks.watched) {
            self.note_level(upstream, now);
            let shortage = &mut self.upstreams[upstream].shortage;
            let is_listed = shortage.merged_level(now).is_some();
            shortage.is_watched =
                shortage.group.is_some() && (is_listed || shortage.tracker.level_at(now) > 0);
            if shortage.is_watched {
                self.ranks.watched.push(upstream);
            }
        }
    }

    /// Notes the level of a service for the driver if it has changed.
    fn note_level(&mut self, upstream: UpstreamKey, now: Duration) {
        let level = self.shortage_level(upstream, now);
        let state = &mut self.upstreams[upstream];
        if state.shortage.logged_level == level {
            return;
        }
        state.shortage.logged_level = level;
        let group = state.shortage.group.map(|group| &self.ranks.groups[group]);
        if self.ranks.changes.len() < MAX_LEVEL_CHANGES {
            self.ranks.changes.push(LevelChange {
                service: state.name.clone(),
                level,
                own_level: state.shortage.tracker.level_at(now),
                merged_level: state.shortage.merged_level(now),
                pressure: state.shortage.tracker.pressure(),
                objective: group.map_or(Duration::ZERO, RankGroup::objective),
            });
        }
    }

    /// Removes and returns the level changes since the last call, at most
    /// 64.
    pub fn take_level_changes(&mut self) -> Vec<LevelChange> {
        std::mem::take(&mut self.ranks.changes)
    }

    /// Returns the load report that is due for the control group, or `None` if there is
    /// nothing to report or the last report is less than a second old.
    ///
    /// The report lists the services that this entry's servers answered recently, and
    /// that are short here or listed in the last summary. So the entries that see no
    /// shortage of a service count too.
    pub fn take_load_report(&mut self, now: Duration) -> Option<LoadReport> {
        let reported_at = self.ranks.reported_at;
        if reported_at.is_some_and(|at| now < at + LOAD_REPORT_INTERVAL) {
            return None;
        }
        self.update_watched(now);
        let rows = self.ranks.watched.iter().map(|upstream| {
            let state = &self.upstreams[*upstream];
            ServiceShortage {
                service: (*state.name).into(),
                level: state.shortage.tracker.level_at(now),
                uses: state.shortage.uses.count(now),
            }
        });
        let services: Vec<ServiceShortage> = rows.filter(|row| row.uses > 0).collect();
        if services.is_empty() && !self.has_workspace_over_share(now) {
            return None;
        }
        self.ranks.reported_at = Some(now);
        let mut report = LoadReport {
            services,
            ..LoadReport::default()
        };
        self.fill_workspace_report(&mut report, now);
        Some(report)
    }

    /// Iterates over the services that several ranks use: name and shortage level.
    pub fn shortage_levels(&self, now: Duration) -> impl Iterator<Item = (&str, u8)> {
        let upstreams = self.upstreams.iter();
        let ranked = upstreams.filter(|(_, upstream)| upstream.shortage.group.is_some());
        ranked.map(move |(key, upstream)| (&*upstream.name, self.shortage_level(key, now)))
    }
}
