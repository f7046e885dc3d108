//! Admission control: decides before the first send whether a request is
//! accepted and which of its shards it omits.
//!
//! An overloaded shard can answer only some of its requests. If each shard shed
//! load independently, few requests would reach their minimum coverage, and the
//! work done for the others would be wasted. An entry therefore decides for all
//! shards of a request at once:
//!
//! - It omits a shard that cannot answer in time.
//! - It uses a shard that was recently overloaded only if the other shards do
//!   not reach the minimum coverage, and uses no more such shards than needed.
//! - It refuses a request that cannot reach the minimum coverage.
//! - It restricts requests of lower ranks at services that are short of capacity
//!   (`rank.rs`).

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::call::{CallState, PartStatus};
use crate::process::forward::choose::SelectionCriteria;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::rank::RankLimit;
use crate::process::forward::rank_group::RankAllowance;
use crate::process::forward::region_set::RegionSet;

/// Fraction of recent requests that a shard had no capacity for, above which
/// the shard counts as scarce. A short burst stays below; a shard that gets
/// twice the load it can serve reaches this value after ten requests.
pub(super) const SCARCE_THRESHOLD: f64 = 0.4;
/// Fraction of the time left within which a scarce shard must be expected to
/// answer. The load on an overloaded shard rises until its expected response
/// time reaches this bound, and actual response times vary around it: at 0.8, a
/// fifth more requests were late when all shards were overloaded.
const SCARCE_TIME_FRACTION: f64 = 0.6;
/// Like [`SCARCE_TIME_FRACTION`], for a shard that is not scarce. It is above 1
/// because such a shard has spare capacity and may answer earlier than expected.
/// At 1.0, simulated runs under loads that overloaded no shard lost a hundredth
/// of the score that they get for requests answered in time.
const AMPLE_TIME_FRACTION: f64 = 1.5;
/// Minimum of the time left that admission assumes, as a fraction of the
/// objective. It applies to retries of a caller whose objective has passed: if
/// their own timeouts were used instead, late retries would fill the queues of
/// requests that can still be answered within the objective.
const RETRY_TIME_FRACTION: f64 = 0.6;
/// Time between two probes: requests that are accepted to find out whether
/// shards that were missing from recent bundles answer again. Without a few
/// probes per second, the entry would refuse all requests and never find out.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Fraction of recent bundles that lacked a shard, above which the shard is not
/// relied on, because the next bundle is more likely to lack it than not.
const BUNDLE_MISS_THRESHOLD: f64 = 0.5;

/// Whether the shard of one part of a request can be expected to answer in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ShardCapacity {
    /// The shard has spare capacity.
    Ample,
    /// The shard was recently overloaded but can answer in time; holds its
    /// expected response time.
    Scarce(Duration),
    /// The shard would answer too late.
    Insufficient,
    /// The shard's capacity is unknown: no server is available, or recent bundles
    /// often lacked the shard. The part is sent, but is not relied on to reach the
    /// minimum coverage.
    Unknown,
}

/// The result of admission control for one request. Parts are given by their
/// index in the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AdmissionDecision {
    /// The request is accepted; the listed parts are omitted.
    Accept(Vec<usize>),
    /// The request reaches its minimum coverage only if shards of unknown
    /// capacity answer. One such request per [`PROBE_INTERVAL`] is accepted,
    /// without the listed parts.
    Probe(Vec<usize>),
    /// The request is refused: too few of its shards could answer in time.
    Refuse,
}

impl ForwardMachine {
    /// Decides whether a request is accepted and which of its parts are omitted.
    pub(super) fn decide_admission(
        &mut self,
        state: &CallState,
        limit: Option<&RankLimit>,
        now: Duration,
    ) -> AdmissionDecision {
        // A relayed request is accepted whole: only the entry that relayed it
        // knows which shards the original request can omit.
        if !state.is_scatter_gather || state.is_relayed {
            return match limit {
                Some(limit) if limit.allowance() == RankAllowance::Nothing => {
                    AdmissionDecision::Refuse
                }
                _ => AdmissionDecision::Accept(Vec::new()),
            };
        }
        let times = self.first_attempt_criteria(state);
        let time_left = state.deadlines.soft_deadline.saturating_sub(now);
        // A retry may have no time left until its soft deadline. It is admitted
        // only to shards that answer quickly, so that it does not delay requests
        // that are still in time.
        let time_left = time_left.max(times.objective.mul_f64(RETRY_TIME_FRACTION));
        for part in &state.parts {
            self.refresh_places(part.upstream, now);
        }
        let may_relay = self.may_relay_nearby(state, now);
        let parts = state.parts.iter();
        let mut capacities: Vec<ShardCapacity> = parts
            .map(|part| {
                if !may_relay && !self.has_any_place(part.upstream) {
                    // Neither this entry nor another one can send the part now.
                    return ShardCapacity::Unknown;
                }
                self.estimate_capacity(part.upstream, times, time_left, now)
            })
            .collect();
        self.record_shortages(state, &capacities, now);
        if let Some(limit) = limit {
            apply_rank_limit(limit, &mut capacities);
        }
        let min_parts = state.rule().least_coverage * state.parts.len() as f64;
        let needed = (min_parts - 1e-9).ceil() as usize;
        // A probe is accepted at most once per interval.
        match decide_by_capacity(&capacities, needed) {
            AdmissionDecision::Probe(_) if now < self.next_probe_at => AdmissionDecision::Refuse,
            AdmissionDecision::Probe(omitted) => {
                self.next_probe_at = now + PROBE_INTERVAL;
                AdmissionDecision::Accept(omitted)
            }
            decision => decision,
        }
    }

    /// Updates the shortage rate of each shard of a request: the fraction of
    /// recent requests that the shard had no capacity for.
    fn record_shortages(&mut self, state: &CallState, capacities: &[ShardCapacity], now: Duration) {
        for (part, capacity) in state.parts.iter().zip(capacities) {
            let sample = match capacity {
                ShardCapacity::Insufficient => 1.0,
                ShardCapacity::Ample | ShardCapacity::Scarce(_) => 0.0,
                ShardCapacity::Unknown => continue,
            };
            self.upstreams[part.upstream].shortage_rate.add(sample, now);
            if *capacity == ShardCapacity::Insufficient {
                self.observe_missing_capacity(part.upstream, now);
            }
        }
    }

    /// Returns whether a shard can be expected to answer within `time_left`.
    fn estimate_capacity(
        &self,
        upstream: UpstreamKey,
        times: SelectionCriteria,
        time_left: Duration,
        now: Duration,
    ) -> ShardCapacity {
        if self.is_sent_in_bundle(upstream, times.allowed_regions) {
            let misses = self.upstreams[upstream].bundle_miss_rate.value_at(now);
            return if misses > BUNDLE_MISS_THRESHOLD {
                ShardCapacity::Unknown
            } else {
                ShardCapacity::Ample
            };
        }
        let Some(expected) = self.shortest_response_time(upstream, times, now) else {
            return ShardCapacity::Unknown;
        };
        let is_scarce = self.upstreams[upstream].shortage_rate.value_at(now) > SCARCE_THRESHOLD;
        let time_fraction = if is_scarce {
            SCARCE_TIME_FRACTION
        } else {
            AMPLE_TIME_FRACTION
        };
        if expected > time_left.mul_f64(time_fraction) {
            ShardCapacity::Insufficient
        } else if is_scarce {
            ShardCapacity::Scarce(expected)
        } else {
            ShardCapacity::Ample
        }
    }

    /// Returns whether parts for a shard are sent in a bundle to an entry of
    /// another failure domain, because the shard has no server in this one.
    fn is_sent_in_bundle(&self, upstream: UpstreamKey, allowed_regions: RegionSet) -> bool {
        let local_domain = &self.options.domain;
        let has_peers = self
            .peer_domains
            .iter()
            .any(|(name, _)| name != local_domain);
        has_peers && !self.has_server_in(upstream, local_domain, allowed_regions)
    }

    /// Returns the shortest expected response time among the available servers
    /// of a service, or `None` if no server is available. The time covers the
    /// network round trip, the work and the queue, but no stalls.
    fn shortest_response_time(
        &self,
        upstream: UpstreamKey,
        times: SelectionCriteria,
        now: Duration,
    ) -> Option<Duration> {
        let servers = self.upstreams[upstream].servers.iter();
        let available =
            servers.filter(|server| self.is_available(**server, times.allowed_regions, now));
        available
            .map(|server| self.servers[*server].expected_time_without_stalls(times.typical, now))
            .min()
    }

    /// Returns whether a server may be sent requests: it is in an allowed region
    /// and ready, its lease is valid, and it is not in a back-off period after a
    /// failure.
    fn is_available(&self, server: ServerKey, allowed_regions: RegionSet, now: Duration) -> bool {
        let state = &self.servers[server];
        allowed_regions.allows(state)
            && state.standing == ServerLifecycle::Ready
            && !state.is_lapsed()
            && now >= state.backoff_until
    }

    /// Marks parts of a request as missing, so that nothing is sent for them, and
    /// records the decision.
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
        self.record_decision(tag, out, || ForwardDecision::OmitShards {
            services: upstreams
                .iter()
                .map(|upstream| self.upstreams[*upstream].name.clone())
                .collect(),
        });
    }

    /// Updates the bundle miss rate of each shard that was requested in a bundle
    /// from another entry. A part that was still open when the request ended
    /// before its soft deadline is not counted.
    pub(super) fn record_bundle_misses(&mut self, state: &CallState, now: Duration) {
        for part in state.parts.iter().filter(|part| part.was_bundled) {
            let sample = match part.status {
                PartStatus::Answered { .. } => 0.0,
                PartStatus::Missing => 1.0,
                PartStatus::Open if now >= state.deadlines.soft_deadline => 1.0,
                PartStatus::Open => continue,
            };
            let misses = &mut self.upstreams[part.upstream].bundle_miss_rate;
            misses.add(sample, now);
        }
    }
}

/// Changes the capacity of the shards that are short for the request's rank to what the
/// rank may use of them.
fn apply_rank_limit(limit: &RankLimit, capacities: &mut [ShardCapacity]) {
    for part in limit.parts() {
        let capacity = &mut capacities[*part];
        *capacity = match (limit.allowance(), *capacity) {
            (RankAllowance::Nothing, _) => ShardCapacity::Insufficient,
            (RankAllowance::NeededShards, ShardCapacity::Ample) => {
                ShardCapacity::Scarce(Duration::ZERO)
            }
            (_, capacity) => capacity,
        };
    }
}

/// Decides from the capacity of each part's shard which parts are omitted.
/// Refuses the request if fewer than `needed` parts can be answered.
fn decide_by_capacity(capacities: &[ShardCapacity], needed: usize) -> AdmissionDecision {
    let (mut ample, mut unknown) = (0, 0);
    let mut scarce: Vec<(Duration, usize)> = Vec::new();
    let mut omitted = Vec::new();
    for (part, capacity) in capacities.iter().enumerate() {
        match capacity {
            ShardCapacity::Scarce(expected) => scarce.push((*expected, part)),
            ShardCapacity::Insufficient => omitted.push(part),
            ShardCapacity::Ample => ample += 1,
            ShardCapacity::Unknown => unknown += 1,
        }
    }
    let mut still_needed = needed.saturating_sub(ample);
    if still_needed > scarce.len() + unknown {
        return AdmissionDecision::Refuse;
    }
    if still_needed > scarce.len() {
        return AdmissionDecision::Probe(omitted);
    }
    scarce.sort();
    for (_, part) in scarce {
        if still_needed > 0 {
            still_needed -= 1;
        } else {
            omitted.push(part);
        }
    }
    AdmissionDecision::Accept(omitted)
}
