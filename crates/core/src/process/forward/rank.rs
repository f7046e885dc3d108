//! Decisions by rank while a service is short of capacity.
//!
//! A request's rank is its workspace's, or otherwise its route's; 0 is the highest. While
//! a service has a shortage level, the requests of that many of the lowest ranks are
//! restricted there: only the fraction that the service has room for is admitted, and at
//! least the floor, which uses only the shards that the coverage lacks; they send no hedges,
//! and leave half of the extra-load budget to the other ranks. The highest rank is never
//! restricted.
//!
//! The ranks are enabled for services that are used with at least two different ranks.
//! Services that the same routes use form a `RankGroup`, so that a request over many
//! shards is counted once.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::call::CallState;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::rank_group::{RankAllowance, RankGroup};
use crate::process::forward::shortage::LevelChange;
use crate::version::route_table::RouteTable;

/// Fraction of the extra-load budget of a short service that may be spent when a
/// restricted rank repeats a part.
const RESTRICTED_BUDGET_FRACTION: f64 = 0.5;
/// Time until a part whose hedge was withheld is checked again. Levels fall by one a second
/// at most, so that more frequent checks would cost processor time in vain.
const WITHHELD_HEDGE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of ranks with counters of their own.
const MAX_COUNTED_RANKS: usize = 16;

/// Counters of the decisions about requests of one rank, since the process started. Only
/// requests to services that several ranks use are counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankCounts {
    /// Requests admitted without restriction.
    pub admitted: u64,
    /// Requests admitted without the short shards.
    pub shards_omitted: u64,
    /// Requests admitted to short shards by the credit of their rank.
    pub admitted_by_credit: u64,
    /// Requests refused because of their rank.
    pub refused: u64,
    /// Requests refused for another reason.
    pub refused_otherwise: u64,
    /// Hedges not sent because of the rank.
    pub hedges_withheld: u64,
    /// Repeats not sent because the rest of the budget is left to the other ranks.
    pub repeats_withheld: u64,
}

impl RankCounts {
    /// Returns the counters with their labels for metrics.
    pub fn labelled(&self) -> [(&'static str, u64); 7] {
        [
            ("admitted", self.admitted),
            ("shards_omitted", self.shards_omitted),
            ("admitted_by_credit", self.admitted_by_credit),
            ("refused", self.refused),
            ("refused_otherwise", self.refused_otherwise),
            ("hedge_withheld", self.hedges_withheld),
            ("repeat_withheld", self.repeats_withheld),
        ]
    }
}

/// State of the decisions by rank.
#[derive(Debug, Default)]
pub(super) struct RankControl {
    pub(super) groups: Vec<RankGroup>,
    /// Services with a level of their own or in the last summary.
    pub(super) watched: Vec<UpstreamKey>,
    counts: BTreeMap<u32, RankCounts>,
    /// Changes not yet passed to the driver.
    pub(super) changes: Vec<LevelChange>,
    /// Time of the last load report.
    pub(super) reported_at: Option<Duration>,
}

impl RankControl {
    /// Returns the counters of a rank. Further ranks than [`MAX_COUNTED_RANKS`] are
    /// counted with the lowest one so far.
    fn counts_of(&mut self, rank: u32) -> &mut RankCounts {
        let is_full = self.counts.len() >= MAX_COUNTED_RANKS && !self.counts.contains_key(&rank);
        let lowest = self.counts.keys().next_back().copied();
        let rank = lowest.filter(|_| is_full).unwrap_or(rank);
        self.counts.entry(rank).or_default()
    }
}

/// Restriction of one request by its rank.
#[derive(Debug)]
pub(super) struct RankLimit {
    /// Index of the group whose floor applies.
    group: usize,
    /// Parts whose shards are short for the request's rank.
    parts: Vec<usize>,
    /// Highest level among these shards.
    level: u8,
    /// Service with this level.
    service: UpstreamKey,
    /// Which of these shards the request may use.
    allowance: RankAllowance,
}

impl RankLimit {
    /// Returns the parts whose shards are short for the request's rank.
    pub(super) fn parts(&self) -> &[usize] {
        &self.parts
    }

    /// Returns which of these shards the request may use.
    pub(super) fn allowance(&self) -> RankAllowance {
        self.allowance
    }
}

impl ForwardMachine {
    /// Determines which services several ranks use, from a new route table.
    pub(super) fn assign_rank_groups(&mut self, table: &RouteTable) {
        let mut routes_by_service: BTreeMap<&str, Vec<usize>> = BTreeMap::new();
        for (index, route) in table.routes().iter().enumerate() {
            for name in route.services() {
                routes_by_service.entry(name).or_default().push(index);
            }
        }
        for (_, upstream) in self.upstreams.iter_mut() {
            upstream.shortage.group = None;
        }
        self.ranks.groups.clear();
        let mut group_by_routes: BTreeMap<Vec<usize>, Option<usize>> = BTreeMap::new();
        for (name, routes) in routes_by_service {
            let index = match group_by_routes.get(&routes) {
                Some(index) => *index,
                None => {
                    let group = RankGroup::new(table, &routes);
                    let index = group.map(|group| {
                        let credit = self.rng.random();
                        self.ranks.groups.push(group.with_credit(credit));
                        self.ranks.groups.len() - 1
                    });
                    group_by_routes.insert(routes, index);
                    index
                }
            };
            let upstream = self.find_or_add_upstream(name);
            self.upstreams[upstream].shortage.group = index;
        }
    }

    /// Returns whether requests of a rank are restricted at a service.
    fn is_rank_restricted(&self, upstream: UpstreamKey, rank: u32, now: Duration) -> bool {
        if self.ranks.watched.is_empty() {
            return false;
        }
        let Some(group) = self.upstreams[upstream].shortage.group else {
            return false;
        };
        let level = self.shortage_level(upstream, now);
        self.ranks.groups[group].is_restricted(rank, level)
    }

    /// Returns the restriction of a new request by its rank, or `None` if none of its
    /// shards is short for its rank. A relayed request is not restricted: the entry that
    /// relayed it has decided on its admission.
    pub(super) fn limit_by_rank(&mut self, state: &CallState, now: Duration) -> Option<RankLimit> {
        let is_decided_here = self.options.rank_admission && !state.is_relayed;
        if !is_decided_here || self.ranks.watched.is_empty() {
            return None;
        }
        let parts = state.parts.iter().enumerate();
        let restricted =
            parts.filter(|(_, part)| self.is_rank_restricted(part.upstream, state.rank, now));
        let parts: Vec<usize> = restricted.map(|(index, _)| index).collect();
        let upstreams = parts.iter().map(|part| state.parts[*part].upstream);
        let service = upstreams.max_by_key(|upstream| self.shortage_level(*upstream, now))?;
        let group = self.upstreams[service].shortage.group?;
        Some(RankLimit {
            group,
            level: self.shortage_level(service, now),
            service,
            allowance: self.ranks.groups[group].earn_credit(state.rank, now),
            parts,
        })
    }

    /// Counts the decision on the admission of a request, and records it for the log if
    /// the rank of the request had a part in it.
    pub(super) fn record_rank_decision(
        &mut self,
        state: &CallState,
        limit: Option<&RankLimit>,
        omitted: Option<&[usize]>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if state.is_relayed || self.ranks.groups.is_empty() {
            return;
        }
        let mut groups = state
            .parts
            .iter()
            .map(|part| self.upstreams[part.upstream].shortage.group);
        let group = limit.map(|limit| limit.group);
        let Some(group) = group.or_else(|| groups.find_map(|group| group)) else {
            return;
        };
        let group = &mut self.ranks.groups[group];
        group.count_request(omitted.is_some(), now);
        let counts = self.ranks.counts_of(state.rank);
        let Some(limit) = limit else {
            match omitted {
                Some(_) => counts.admitted += 1,
                None => counts.refused_otherwise += 1,
            }
            return;
        };
        let outcome = match omitted {
            Some(omitted) if limit.parts.iter().all(|part| omitted.contains(part)) => {
                counts.shards_omitted += 1;
                "shards_omitted"
            }
            Some(_) => {
                counts.admitted_by_credit += 1;
                "admitted_by_credit"
            }
            None if limit.allowance != RankAllowance::Nothing => {
                counts.refused_otherwise += 1;
                "refused_otherwise"
            }
            None => {
                counts.refused += 1;
                "refused"
            }
        };
        let group = &mut self.ranks.groups[limit.group];
        if omitted.is_some() {
            group.spend_credit(state.rank);
        }
        let (admitted_fraction, credit) = (group.admitted_fraction(), group.credit(state.rank));
        self.record_decision(state.tag, out, || ForwardDecision::RankLimited {
            outcome,
            rank: state.rank,
            level: limit.level,
            service: self.upstreams[limit.service].name.clone(),
            parts: limit.parts.len(),
            admitted_fraction,
            credit,
        });
    }

    /// Returns whether a hedge of a part is withheld because of the rank of its request,
    /// and in that case sets when to check the part again. A part without an attempt at a
    /// server is not hedged but retried, and is not withheld.
    pub(super) fn withhold_hedge(&mut self, call: SlotKey, part: usize, now: Duration) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let (rank, part_state) = (state.rank, &state.parts[part]);
        if part_state.attempts.is_empty()
            || !self.is_rank_restricted(part_state.upstream, rank, now)
            || self.has_only_overdue_relays(part_state)
        {
            return false;
        }
        self.ranks.counts_of(rank).hedges_withheld += 1;
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + WITHHELD_HEDGE_INTERVAL;
        }
        true
    }

    /// Returns whether a repeat is withheld because the request's rank is restricted at
    /// the service and half of the service's extra-load budget is spent. The other half is
    /// left to the other ranks.
    pub(super) fn is_repeat_withheld(
        &mut self,
        upstream: UpstreamKey,
        rank: u32,
        now: Duration,
    ) -> bool {
        if !self.is_rank_restricted(upstream, rank, now) {
            return false;
        }
        let sharing = self.budget_sharing(upstream);
        let budget = &self.upstreams[upstream].budget;
        let is_withheld =
            budget.spent_fraction(&self.options.extra, sharing, now) >= RESTRICTED_BUDGET_FRACTION;
        if is_withheld {
            self.ranks.counts_of(rank).repeats_withheld += 1;
        }
        is_withheld
    }

    /// Iterates over the counters of the decisions by rank.
    pub fn rank_counts(&self) -> impl Iterator<Item = (u32, RankCounts)> + '_ {
        let counts = self.ranks.counts.iter();
        counts.map(|(rank, counts)| (*rank, *counts))
    }
}
