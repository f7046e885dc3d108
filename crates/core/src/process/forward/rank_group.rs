//! Services that the same routes use, with the ranks of their requests and the floor that
//! keeps a restricted rank from starving.

use std::time::Duration;

use crate::process::load::board::MAX_LOAD_AGE;
use crate::process::load::shortage::{LOWER_PRESSURE, RAISE_PRESSURE};
use crate::version::route_table::RouteTable;

/// Admitted fraction of a restricted rank, relative to that of all requests. A rank must
/// be served at least a quarter as often as all; the rest covers requests that are
/// admitted and fail.
const FLOOR_FRACTION: f64 = 0.35;
/// Most requests of a restricted rank that are admitted in a row without earning more.
const MAX_CREDIT: f64 = 1.5;
/// Time after which the counts of requests are halved. An entry sees only a few requests
/// per second.
const COUNT_HALVING_TIME: Duration = Duration::from_secs(4);

/// Time over which the pressure at the short services is averaged.
const PRESSURE_WINDOW: Duration = Duration::from_millis(200);
/// Factor by which the open fraction is lowered after a window of high pressure. In plays
/// at twice the capacity (`crates/fake/tests/plays/ranks.rs`), 0.93 of the highest rank
/// were served with a factor of 0.7, and 0.955 with 0.5.
const FRACTION_DECREASE: f64 = 0.5;
/// Amount by which the open fraction is raised after a window of low pressure.
const FRACTION_INCREASE: f64 = 0.05;

/// Fraction of the requests of restricted ranks that short services have room for.
///
/// Without it, a restricted rank would get no more than its floor for a whole second,
/// and then everything: at a load of 1.0 times the capacity, half of its requests were
/// refused in vain. The fraction is raised by steps and lowered by a factor, as the
/// credits of Breakwater are (I. Cho et al., "Overload Control for us-scale RPCs with
/// Breakwater", 2020).
#[derive(Debug)]
struct OpenFraction {
    fraction: f64,
    /// Start of the current window.
    started_at: Duration,
    /// Sum and number of the samples in the current window.
    pressure_sum: f64,
    samples: u32,
    /// Whether this entry had evidence of its own in the last window.
    had_samples: bool,
    /// Time until which windows without samples do not count as low pressure, because
    /// the control group reports a shortage that this entry cannot see.
    held_until: Duration,
}

impl Default for OpenFraction {
    fn default() -> Self {
        OpenFraction {
            fraction: 1.0,
            started_at: Duration::ZERO,
            pressure_sum: 0.0,
            samples: 0,
            had_samples: false,
            held_until: Duration::ZERO,
        }
    }
}

impl OpenFraction {
    /// Records the pressure at a short service.
    fn record(&mut self, pressure: f64, now: Duration) {
        self.end_window(now);
        self.pressure_sum += pressure;
        self.samples += 1;
    }

    /// Lowers the fraction by one step, if this entry has no evidence of its own.
    fn lower_without_evidence(&mut self, now: Duration) {
        self.end_window(now);
        if self.samples == 0 && !self.had_samples {
            self.fraction *= FRACTION_DECREASE;
        }
        self.held_until = now + MAX_LOAD_AGE;
    }

    /// Adapts the fraction if the current window is over, and starts the next one. A
    /// window without samples counts as one of low pressure unless the fraction is held.
    fn end_window(&mut self, now: Duration) {
        let windows =
            now.saturating_sub(self.started_at).as_secs_f64() / PRESSURE_WINDOW.as_secs_f64();
        if windows < 1.0 {
            return;
        }
        let mean = self.pressure_sum / f64::from(self.samples.max(1));
        let is_held = self.samples == 0 && now < self.held_until;
        if mean > RAISE_PRESSURE {
            self.fraction *= FRACTION_DECREASE;
        } else if mean < LOWER_PRESSURE && !is_held {
            self.fraction = (self.fraction + FRACTION_INCREASE * windows.floor()).min(1.0);
        }
        self.had_samples = self.samples > 0 && windows < 2.0;
        self.started_at = now;
        self.pressure_sum = 0.0;
        self.samples = 0;
    }
}

/// Which short shards a request of a restricted rank may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RankAllowance {
    /// None of them.
    Nothing,
    /// Those that its coverage lacks, because of the floor.
    NeededShards,
    /// All that a request without restriction may use, because the services have room
    /// for it.
    AllShards,
}

/// Services that the same routes use, with at least two different ranks.
#[derive(Debug)]
pub(super) struct RankGroup {
    /// Ranks of the requests, highest (0) first.
    ranks: Box<[u32]>,
    /// Credit of each rank: the number of its requests that may use short shards now.
    credits: Box<[f64]>,
    /// Objective of the highest rank.
    objective: Duration,
    /// Recent requests of all ranks, and the admitted ones among them.
    asked: f64,
    admitted: f64,
    halved_at: Duration,
    open: OpenFraction,
}

impl RankGroup {
    /// Returns the group of the services that the routes with these indexes use, or
    /// `None` if all their requests have the same rank.
    pub(super) fn new(table: &RouteTable, routes: &[usize]) -> Option<RankGroup> {
        let workspaces = table.workspaces().map(|registry| registry.rules());
        let workspace_ranks = workspaces.unwrap_or_default().iter().map(|rule| rule.rank);
        let is_rank_of_route_used = |is_public: bool| match workspaces {
            None => true,
            Some(rules) => is_public || rules.iter().any(|rule| rule.rank.is_none()),
        };
        let mut ranks: Vec<(u32, Duration)> = Vec::new();
        for index in routes {
            let route = &table.routes()[*index];
            let own_rank = is_rank_of_route_used(route.public).then_some(route.rank);
            let used = own_rank
                .into_iter()
                .chain(workspace_ranks.clone().flatten());
            ranks.extend(used.map(|rank| (rank, route.objective())));
        }
        ranks.sort_unstable();
        let (_, objective) = *ranks.first()?;
        ranks.dedup_by_key(|(rank, _)| *rank);
        if ranks.len() < 2 {
            return None;
        }
        Some(RankGroup {
            credits: vec![0.0; ranks.len()].into(),
            ranks: ranks.into_iter().map(|(rank, _)| rank).collect(),
            objective,
            asked: 0.0,
            admitted: 0.0,
            halved_at: Duration::ZERO,
            open: OpenFraction::default(),
        })
    }

    /// Sets the initial credit of each rank. It should be random from 0 to 1: with the
    /// same credit everywhere, all entries would admit requests at the same time.
    pub(super) fn with_credit(mut self, credit: f64) -> RankGroup {
        self.credits.fill(credit);
        self
    }

    /// Returns the objective of the highest rank, of several routes the shortest one.
    pub(super) fn objective(&self) -> Duration {
        self.objective
    }

    /// Returns the highest level: all ranks but the highest are restricted.
    pub(super) fn max_level(&self) -> u8 {
        (self.ranks.len() - 1).min(usize::from(u8::MAX)) as u8
    }

    /// Returns whether a rank is among the `level` lowest ones.
    pub(super) fn is_restricted(&self, rank: u32, level: u8) -> bool {
        let level = level.min(self.max_level());
        level > 0 && self.index_of(rank) + usize::from(level) >= self.ranks.len()
    }

    /// Records the pressure at a service of the group that is short.
    pub(super) fn record_pressure(&mut self, pressure: f64, now: Duration) {
        self.open.record(pressure, now);
    }

    /// Records that the control group reports a service of the group as short.
    pub(super) fn record_merged_shortage(&mut self, now: Duration) {
        self.open.lower_without_evidence(now);
    }

    /// Counts a request of a restricted rank, which raises the rank's credit: by the
    /// fraction that the short services have room for, and at least by the floor. Returns
    /// what the credit allows the request.
    pub(super) fn earn_credit(&mut self, rank: u32, now: Duration) -> RankAllowance {
        self.halve_counts(now);
        self.open.end_window(now);
        let floor = FLOOR_FRACTION * self.admitted_fraction();
        let earned = self.open.fraction.max(floor);
        let credit = self.credit_mut(rank);
        *credit = (*credit + earned).min(MAX_CREDIT);
        let credit = *credit;
        match credit >= 1.0 {
            false => RankAllowance::Nothing,
            true if self.open.fraction > floor => RankAllowance::AllShards,
            true => RankAllowance::NeededShards,
        }
    }

    /// Takes an admitted request of a restricted rank out of the rank's credit.
    pub(super) fn spend_credit(&mut self, rank: u32) {
        let credit = self.credit_mut(rank);
        *credit = (*credit - 1.0).max(0.0);
    }

    /// Returns the credit of a rank.
    pub(super) fn credit(&self, rank: u32) -> f64 {
        self.credits[self.index_of(rank).min(self.ranks.len() - 1)]
    }

    /// Counts a request of any rank.
    pub(super) fn count_request(&mut self, is_admitted: bool, now: Duration) {
        self.halve_counts(now);
        self.asked += 1.0;
        if is_admitted {
            self.admitted += 1.0;
        }
    }

    /// Returns the fraction of all recent requests that were admitted, as if one more had
    /// been.
    pub(super) fn admitted_fraction(&self) -> f64 {
        (self.admitted + 1.0) / (self.asked + 1.0)
    }

    fn halve_counts(&mut self, now: Duration) {
        let age = now.saturating_sub(self.halved_at);
        if age >= COUNT_HALVING_TIME {
            let factor = 0.5f64.powf(age.as_secs_f64() / COUNT_HALVING_TIME.as_secs_f64());
            self.asked *= factor;
            self.admitted *= factor;
            self.halved_at = now;
        }
    }

    /// Returns the index of a rank in `ranks`; of a rank that is not listed, the index of
    /// the next lower one.
    fn index_of(&self, rank: u32) -> usize {
        self.ranks.partition_point(|other| *other < rank)
    }

    fn credit_mut(&mut self, rank: u32) -> &mut f64 {
        let index = self.index_of(rank).min(self.ranks.len() - 1);
        &mut self.credits[index]
    }
}
