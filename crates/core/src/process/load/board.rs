//! Load that a control instance knows: the reports of the entries that follow it, and the
//! merged reports of the other control instances.
//!
//! Nothing is stored on disk: after a restart the board is complete again once each entry
//! and each control instance has reported, which they do once a second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::process::load::share::ShareWeights;
use crate::process::load::usage_board::{summary_shares, ListChange, UsageBoard};
use crate::process::load::WorkspaceShare;
use crate::process::load::{LoadReport, LoadSummary, ServiceLevel, ServiceShortage};

/// Age at which a report no longer counts. Reports arrive once a second, so two may be
/// lost.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(3);
/// Highest level that is accepted. Entries limit it further, to one less than the number
/// of ranks that use the service.
const MAX_LEVEL: u8 = 15;
/// Maximum number of services in a report.
const MAX_SERVICES: usize = 1024;
/// Number of reporters below which the merged level of a service is 0, so that one entry
/// does not determine it. In the first round, the summary lists a service with level 0,
/// and the other entries that use it report too.
const MIN_REPORTERS: usize = 2;

/// A report and its age.
#[derive(Debug)]
struct TimedReport {
    report: LoadReport,
    received_at: Duration,
}

/// A reported level and its weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LevelVote {
    level: u8,
    weight: u32,
    /// Whether the vote is of an entry that follows this control instance.
    is_local: bool,
}

/// The load reports that a control instance holds.
#[derive(Debug, Default)]
pub struct LoadBoard {
    /// Reports of the entries that follow this control instance, by the entry's identity.
    entries: BTreeMap<Box<str>, TimedReport>,
    /// Merged reports of the other control instances.
    peers: BTreeMap<SocketAddr, TimedReport>,
    /// Work by workspace, from the same reports.
    usage: UsageBoard,
    /// Whether the last merged report had content, so that an empty one is to follow.
    had_share: bool,
    /// The last summary that was sent.
    last_summary: LoadSummary,
}

impl LoadBoard {
    /// Records the report of an entry that follows this control instance. Rows that are
    /// not plausible are dropped: services that are not in the route table, and levels
    /// without use.
    pub fn record_report(
        &mut self,
        entry: &str,
        mut report: LoadReport,
        is_known: impl Fn(&str) -> bool,
        now: Duration,
    ) {
        report.services.truncate(MAX_SERVICES);
        report
            .services
            .retain(|row| row.uses > 0 && is_known(&row.service));
        report
            .services
            .sort_by(|row, other| row.service.cmp(&other.service));
        report
            .services
            .dedup_by(|row, other| row.service == other.service);
        for row in &mut report.services {
            row.level = row.level.min(MAX_LEVEL);
        }
        self.usage.record_entry(entry, &report, now);
        report.workspaces.clear();
        let received_at = now;
        self.entries.insert(
            entry.into(),
            TimedReport {
                report,
                received_at,
            },
        );
    }

    /// Records the merged report of another control instance.
    pub fn record_share(&mut self, peer: SocketAddr, mut share: LoadReport, now: Duration) {
        self.usage.record_instance(&peer.to_string(), &share, now);
        share.workspaces.clear();
        let received_at = now;
        self.peers.insert(
            peer,
            TimedReport {
                report: share,
                received_at,
            },
        );
    }

    /// Drops the reports that are too old.
    pub fn drop_expired(&mut self, now: Duration) {
        let is_current = |timed: &TimedReport| now < timed.received_at + MAX_LOAD_AGE;
        self.entries.retain(|_, timed| is_current(timed));
        self.peers.retain(|_, timed| is_current(timed));
    }

    /// Returns the number of entries that follow this control instance and whose reports
    /// count.
    pub fn reporter_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of services whose merged level is above 0.
    pub fn short_service_count(&self) -> usize {
        let levels = self.last_summary.services.iter();
        levels.filter(|row| row.level > 0).count()
    }

    /// Returns the merged report for the other control instances. The first report after
    /// the last entry stopped reporting is empty; after that, returns `None` until there
    /// is something to report.
    pub fn build_share(&mut self, now: Duration) -> Option<LoadReport> {
        let mut share = LoadReport::default();
        self.usage.fill_share(&mut share, now);
        for (service, votes) in self.collect_votes() {
            let local = votes.into_iter().filter(|vote| vote.is_local);
            share.services.extend(merge_rows(service, local));
        }
        let has_share = !self.entries.is_empty();
        let had_share = std::mem::replace(&mut self.had_share, has_share);
        (has_share || had_share).then_some(share)
    }

    /// Returns the summary for the entries, and the services whose level differs from the
    /// last summary. `weights` are the weights of the workspaces of the route table, or
    /// `None` if they have no shares. Returns `None` if there is nothing to report and the
    /// last summary was empty as well.
    pub fn build_summary(
        &mut self,
        weights: Option<ShareWeights<'_>>,
        now: Duration,
    ) -> Option<(LoadSummary, Vec<ServiceLevel>)> {
        let services = self.collect_votes().into_iter();
        let short = services.filter(|(_, votes)| votes.iter().any(|vote| vote.level > 0));
        let services = short.map(|(service, votes)| ServiceLevel {
            service: service.into(),
            level: merge_level(votes),
        });
        let services: Vec<ServiceLevel> = services.collect();
        let is_short = services.iter().any(|row| row.level > 0);
        let summary = LoadSummary {
            services,
            workspaces: self.limit_workspaces(weights.filter(|_| is_short), now),
        };
        let is_empty = summary.services.is_empty() && summary.workspaces.is_empty();
        let last = std::mem::replace(&mut self.last_summary, summary.clone());
        if is_empty && last.services.is_empty() && last.workspaces.is_empty() {
            return None;
        }
        let changes = find_changes(&last.services, &summary.services);
        Some((summary, changes))
    }

    /// Returns the workspaces above their share; none if `weights` is `None`, because no
    /// service is short or workspaces have no shares.
    fn limit_workspaces(
        &mut self,
        weights: Option<ShareWeights<'_>>,
        now: Duration,
    ) -> Vec<WorkspaceShare> {
        let Some(weights) = weights else {
            self.usage.clear_list();
            return Vec::new();
        };
        summary_shares(&self.usage.list_over_share(weights, now))
    }

    /// Removes and returns the changes of the list of limited workspaces, for the log.
    pub fn take_share_changes(&mut self) -> Vec<ListChange> {
        self.usage.take_changes()
    }

    /// Returns the votes on each service.
    ///
    /// An entry weighs as much as its number of uses, but at most as much as all others
    /// together, so that an entry that reports nonsense has no majority.
    fn collect_votes(&self) -> BTreeMap<&str, Vec<LevelVote>> {
        let mut votes: BTreeMap<&str, Vec<LevelVote>> = BTreeMap::new();
        let local = self.entries.values().map(|timed| (timed, true));
        let peers = self.peers.values().map(|timed| (timed, false));
        for (timed, is_local) in local.chain(peers) {
            for row in &timed.report.services {
                votes.entry(&row.service).or_default().push(LevelVote {
                    level: row.level.min(MAX_LEVEL),
                    weight: u32::from(row.uses),
                    is_local,
                });
            }
        }
        for votes in votes.values_mut() {
            let total: u32 = votes.iter().map(|vote| vote.weight).sum();
            for vote in votes.iter_mut().filter(|vote| vote.is_local) {
                vote.weight = vote.weight.min((total - vote.weight).max(1));
            }
        }
        votes
    }
}

/// Returns the median of the levels, weighted by use; of two middle levels the lower one.
/// The level is 0 with fewer than [`MIN_REPORTERS`] votes.
fn merge_level(mut votes: Vec<LevelVote>) -> u8 {
    if votes.len() < MIN_REPORTERS {
        return 0;
    }
    votes.sort_unstable();
    let total: u32 = votes.iter().map(|vote| vote.weight).sum();
    let mut below = 0;
    for vote in &votes {
        below += vote.weight;
        if below * 2 >= total {
            return vote.level;
        }
    }
    0
}

/// Returns the rows of a service in a merged report: for each level one row if one entry
/// reported it, and two rows with half of the uses each if several did.
fn merge_rows(service: &str, votes: impl Iterator<Item = LevelVote>) -> Vec<ServiceShortage> {
    let mut levels: BTreeMap<u8, (u32, u32)> = BTreeMap::new();
    for vote in votes {
        let (reporters, uses) = levels.entry(vote.level).or_default();
        *reporters += 1;
        *uses += vote.weight;
    }
    let mut rows = Vec::new();
    for (level, (reporters, uses)) in levels {
        let count = reporters.min(MIN_REPORTERS as u32);
        for _ in 0..count {
            rows.push(ServiceShortage {
                service: service.into(),
                level,
                uses: (uses / count).clamp(1, u32::from(u16::MAX)) as u16,
            });
        }
    }
    rows
}

/// Returns the services whose level differs between two summaries. Both are sorted by
/// service; a service that is not listed has level 0.
fn find_changes(before: &[ServiceLevel], after: &[ServiceLevel]) -> Vec<ServiceLevel> {
    let level_in = |list: &[ServiceLevel], service: &str| {
        let found = list.binary_search_by(|row| (*row.service).cmp(service));
        found.map_or(0, |index| list[index].level)
    };
    let changed = after
        .iter()
        .filter(|row| level_in(before, &row.service) != row.level);
    let mut changes: Vec<ServiceLevel> = changed.cloned().collect();
    let gone = before.iter().filter(|row| {
        let is_listed = after.binary_search_by(|other| other.service.cmp(&row.service));
        row.level > 0 && is_listed.is_err()
    });
    changes.extend(gone.map(|row| ServiceLevel {
        service: row.service.clone(),
        level: 0,
    }));
    changes
}
