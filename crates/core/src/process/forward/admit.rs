//! Whether a request is taken, and which of its shards are asked.
//!
//! A shard whose servers have more work than time can answer only some of the
//! requests that want it. If each shard served its own choice of these, few
//! requests would get enough of them all, and the work for the others would be
//! for nobody. So an entry decides before the first send, for all shards at
//! once:
//!
//! - A shard that cannot answer in time is not asked.
//! - A shard that was short of room a moment ago is asked only by requests
//!   that have too few others, and by no more of them than they need.
//! - A request that has too few shards all the same is refused at once.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::call::{CallState, PartStatus};
use crate::process::forward::choose::ExpectedTimes;
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::home::HomeSet;
use crate::process::forward::machine::ForwardMachine;

/// Fraction of the last requests without room above which a shard is scarce. A
/// short burst stays below; a shard asked for twice what it can do gets there
/// after ten requests.
const SCARCE_ABOVE: f64 = 0.4;
/// Part of the time left within which a scarce shard must be expected to
/// answer. What is asked of it settles at this bound, and work times spread: at
/// 0.8 a fifth more of the requests came late where all shards had more work
/// than time.
const SCARCE_USE: f64 = 0.6;
/// The same for a shard that is not scarce: its time is not needed elsewhere,
/// and it may answer in time all the same. At 1.0 a hundredth of the worth was
/// lost on days on which no shard was short.
const PLENTY_USE: f64 = 1.5;
/// Time within which a shard must be expected to answer a caller whose
/// objective is over, as a part of the objective. By their own time limits
/// late callers would fill the queues of those who are not.
const RETURN_USE: f64 = 0.6;
/// Time between two requests that are let in to find out whether shards which
/// bundles came without are there again: a few in a second, as refusals alone
/// would keep the entry from ever finding out.
const PROBE_PAUSE: Duration = Duration::from_millis(150);
/// Fraction of the last bundles without a shard above which it is not counted
/// on: it is more likely missing than not.
const MISSED_OFTEN: f64 = 0.5;

/// What a part of a request can count on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartOutlook {
    /// Its shard has room.
    Plenty,
    /// Its shard has room for few; time until it would answer.
    Scarce(Duration),
    /// Its shard would answer too late.
    Short,
    /// Nothing is known that speaks for it or against; it is asked.
    Unsure,
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// It is taken, without these of its parts.
    Accept(Vec<usize>),
    /// It has enough shards only if some answer that did not lately; it is
    /// taken, without these of its parts, from time to time.
    Probe(Vec<usize>),
    /// Too few of its shards could answer in time.
    Refuse,
}

impl ForwardMachine {
    /// Decides whether a request is taken, and which parts are left out.
    pub(super) fn decide_admission(
        &mut self,
        state: &CallState,
        now: Duration,
    ) -> AdmissionDecision {
        // What another entry asks for is taken: that one alone knows which of
        // its shards it can do without.
        if !state.gathers || state.relayed {
            return AdmissionDecision::Accept(Vec::new());
        }
        let times = self.first_times(state);
        let left = state.plan.soft_deadline.saturating_sub(now);
        // A caller that came back is late already; it takes no room from those
        // that are not.
        let left = left.max(times.objective.mul_f64(RETURN_USE));
        let parts = state.parts.iter();
        let outlooks: Vec<PartOutlook> = parts
            .map(|part| self.outlook(part.upstream, times, left, now))
            .collect();
        self.count_shortage(state, &outlooks, now);
        let least = state.rule().least_coverage * state.parts.len() as f64;
        let needed = (least - 1e-9).ceil() as usize;
        // What depends on doubtful shards goes out now and then.
        match divide_room(&outlooks, needed) {
            AdmissionDecision::Probe(_) if now < self.probe_at => AdmissionDecision::Refuse,
            AdmissionDecision::Probe(without) => {
                self.probe_at = now + PROBE_PAUSE;
                AdmissionDecision::Accept(without)
            }
            verdict => verdict,
        }
    }

    /// Counts the shards that could not take a request.
    fn count_shortage(&mut self, state: &CallState, outlooks: &[PartOutlook], now: Duration) {
        for (part, outlook) in state.parts.iter().zip(outlooks) {
            let sample = match outlook {
                PartOutlook::Short => 1.0,
                PartOutlook::Plenty | PartOutlook::Scarce(_) => 0.0,
                PartOutlook::Unsure => continue,
            };
            self.upstreams[part.upstream].shortage.add(sample, now);
        }
    }

    /// Returns what a part can count on that should be answered within `left`.
    fn outlook(
        &self,
        upstream: UpstreamKey,
        times: ExpectedTimes,
        left: Duration,
        now: Duration,
    ) -> PartOutlook {
        if self.is_bundled(upstream, times.homes) {
            let misses = self.upstreams[upstream].bundle_misses.at(now);
            return if misses > MISSED_OFTEN {
                PartOutlook::Unsure
            } else {
                PartOutlook::Plenty
            };
        }
        let Some(expected) = self.expect_loaded(upstream, times, now) else {
            return PartOutlook::Unsure;
        };
        let is_scarce = self.upstreams[upstream].shortage.at(now) > SCARCE_ABOVE;
        let usable = if is_scarce { SCARCE_USE } else { PLENTY_USE };
        if expected > left.mul_f64(usable) {
            PartOutlook::Short
        } else if is_scarce {
            PartOutlook::Scarce(expected)
        } else {
            PartOutlook::Plenty
        }
    }

    /// Tells whether a shard is asked for through another entry.
    fn is_bundled(&self, upstream: UpstreamKey, homes: HomeSet) -> bool {
        let own = &self.options.domain;
        let has_peers = self.peer_domains.iter().any(|(name, _)| name != own);
        has_peers && !self.has_server_in(upstream, own, homes)
    }

    /// Returns the least time to an answer that load explains, if a server of
    /// the service answers at all.
    fn expect_loaded(
        &self,
        upstream: UpstreamKey,
        times: ExpectedTimes,
        now: Duration,
    ) -> Option<Duration> {
        let servers = self.upstreams[upstream].servers.iter();
        let able = servers.filter(|server| self.is_able(**server, times.homes, now));
        able.map(|server| self.servers[*server].expect_loaded(times.typical, now))
            .min()
    }

    fn is_able(&self, server: ServerKey, homes: HomeSet, now: Duration) -> bool {
        let state = &self.servers[server];
        homes.allows(state)
            && state.standing == ServerStanding::Ready
            && !state.silent
            && now >= state.rest_until
    }

    /// Leaves parts of a request out before anything is sent.
    pub(super) fn omit_parts(
        &mut self,
        call: SlotKey,
        parts: &[usize],
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        for part in parts {
            state.parts[*part].status = PartStatus::Missing;
            state.missing += 1;
        }
        let tag = state.tag;
        if parts.is_empty() {
            return;
        }
        let upstreams: Vec<UpstreamKey> = parts
            .iter()
            .map(|part| state.parts[*part].upstream)
            .collect();
        self.decide(tag, out, || ForwardDecision::LeaveOut {
            services: upstreams
                .iter()
                .map(|upstream| self.upstreams[*upstream].name.clone())
                .collect(),
        });
    }

    /// Takes note of which of the shards that other entries were asked for a
    /// request had in the end. What was still open when it ended early says
    /// nothing.
    pub(super) fn record_bundle_misses(&mut self, state: &CallState, now: Duration) {
        for part in state.parts.iter().filter(|part| part.bundled) {
            let sample = match part.status {
                PartStatus::Answered { .. } => 0.0,
                PartStatus::Missing => 1.0,
                PartStatus::Open if now >= state.plan.soft_deadline => 1.0,
                PartStatus::Open => continue,
            };
            let misses = &mut self.upstreams[part.upstream].bundle_misses;
            misses.add(sample, now);
        }
    }
}

/// Decides by the outlooks which parts are left out, or that too few are left.
fn divide_room(outlooks: &[PartOutlook], needed: usize) -> AdmissionDecision {
    let (mut plenty, mut unsure) = (0, 0);
    let mut scarce: Vec<(Duration, usize)> = Vec::new();
    let mut without = Vec::new();
    for (part, outlook) in outlooks.iter().enumerate() {
        match outlook {
            PartOutlook::Scarce(expected) => scarce.push((*expected, part)),
            PartOutlook::Short => without.push(part),
            PartOutlook::Plenty => plenty += 1,
            PartOutlook::Unsure => unsure += 1,
        }
    }
    let mut lacking = needed.saturating_sub(plenty);
    if lacking > scarce.len() + unsure {
        return AdmissionDecision::Refuse;
    }
    if lacking > scarce.len() {
        return AdmissionDecision::Probe(without);
    }
    scarce.sort();
    for (_, part) in scarce {
        if lacking > 0 {
            lacking -= 1;
        } else {
            without.push(part);
        }
    }
    AdmissionDecision::Accept(without)
}
