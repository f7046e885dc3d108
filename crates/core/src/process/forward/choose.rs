//! Chooses the server of a service that gets an attempt. Each available server has a
//! cost: its expected response time plus penalties for distance, failures and other
//! risks, changed by some random jitter. The server with the lowest cost is chosen.

use std::time::Duration;

use rand::Rng;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::cold::{AdaptiveShare, ServerSharing, ShareStrategy};
use crate::process::forward::connection_cap::ConnectionRoom;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::region_set::{PermittedServer, RegionSet};
use crate::process::forward::server::ServerState;
use crate::process::forward::version::VersionPreference;

/// Maximum fraction by which the random jitter raises a server's cost. Without jitter,
/// entries with the same information would all choose the same server.
const MAX_JITTER: f64 = 0.15;
/// Penalty for a server in another region, as a fraction of the objective. Traffic
/// between regions is expensive, and a near server that answers in time is as good.
/// Simulated runs give a score for each request that is answered in time. In 15 runs of
/// a deployment whose round trip between regions is a sixth of the objective, penalties
/// of 0.4, 0.3 and 0.2 reached 0.642, 0.652 and 0.656 of the maximum score.
const OTHER_REGION_COST: f64 = 0.2;
/// Penalty for a server in another failure domain of the same region, as a fraction of
/// the objective. In a deployment of six domains in three regions, this traffic costs a
/// quarter of that between regions.
const OTHER_DOMAIN_COST: f64 = 0.075;
/// Penalty if a new connection has to be opened.
const CONNECT_COST: Duration = Duration::from_millis(5);
/// Penalty for a server whose recent answers all failed, if the request may not be
/// repeated. Scaled by the fraction of answers that failed.
const FAILURE_COST: Duration = Duration::from_millis(250);
/// Cost of a retry while the extra-load budget is unspent, as a fraction of the
/// objective.
const MIN_RETRY_COST: f64 = 0.1;
/// Cost of a retry when the extra-load budget is spent, as a fraction of the objective:
/// the part then waits for the budget and is likely lost. With a cost of one objective,
/// the budget stayed spent while half of the servers were shedding load.
const MAX_RETRY_COST: f64 = 2.5;
/// Penalty for a server whose lease at the control group has expired, or that this entry
/// backs off from.
const UNAVAILABLE_COST: Duration = Duration::from_secs(2);

/// Properties of a request that the choice of a server depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct SelectionCriteria {
    /// Median service time on the request's route.
    pub(super) typical: Duration,
    /// Time within which the caller should get the whole answer.
    pub(super) objective: Duration,
    /// Whether distance adds no penalty. This is so for retries and hedges of a request
    /// that a single server answers: such an answer is small, and a fault that slows one
    /// server often slows the servers of the same failure domain too.
    pub(super) ignores_distance: bool,
    /// Whether the request may be repeated, as its route is idempotent.
    pub(super) is_repeatable: bool,
    /// Regions in which the request may be served.
    pub(super) allowed_regions: RegionSet,
}

/// The server that was chosen for an attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerChoice {
    /// The server or entry, with the permission to send the request there.
    pub(super) server: PermittedServer,
    /// Expected time until the answer arrives.
    pub(super) expected: Duration,
    /// Number of servers that the choice was made from.
    pub(super) candidates: usize,
}

/// Why no server could be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SelectionFailure {
    /// The service has no ready server that the request may be sent to.
    NoServer,
    /// All usable servers already have the maximum number of requests or connections.
    Full,
}

impl ForwardMachine {
    /// Chooses a server of a service, except those in `tried`. During a roll-out, the
    /// roll-out decides whether the server must run the new or an old version.
    pub(super) fn choose_server(
        &mut self,
        upstream: UpstreamKey,
        tried: &[ServerKey],
        criteria: SelectionCriteria,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        self.refresh_places(upstream, now);
        match self.choose_version_preference(upstream, !tried.is_empty(), now) {
            VersionPreference::Any => {
                self.choose_server_of_version(upstream, None, tried, criteria, now)
            }
            VersionPreference::OldOnly => {
                self.choose_server_of_version(upstream, Some(false), tried, criteria, now)
            }
            VersionPreference::NewFirst => {
                let new = self.choose_server_of_version(upstream, Some(true), tried, criteria, now);
                new.or_else(|_| {
                    self.choose_server_of_version(upstream, Some(false), tried, criteria, now)
                })
            }
        }
    }

    /// Chooses the server with the lowest cost. If `target` is set, only servers of the
    /// version that is rolled out (`true`) or of other versions (`false`) are considered.
    fn choose_server_of_version(
        &mut self,
        upstream: UpstreamKey,
        target: Option<bool>,
        tried: &[ServerKey],
        criteria: SelectionCriteria,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        let mut best: Option<(PermittedServer, f64, Duration)> = None;
        let mut candidates = 0;
        let mut is_full = false;
        let retry_cost = self.retry_cost(upstream, criteria, now);
        for server in &self.upstreams[upstream].servers {
            let state = &self.servers[*server];
            // A request for a displaced server would reach a server of another service.
            if state
                .displaced_by
                .is_some_and(|service| service != upstream)
            {
                continue;
            }
            if state.standing != ServerLifecycle::Ready || tried.contains(server) {
                continue;
            }
            if state.is_ended(now) {
                continue;
            }
            if target.is_some_and(|target| target != self.runs_target_version(*server)) {
                continue;
            }
            let Some(permitted) = criteria.allowed_regions.permit(*server, state) else {
                continue;
            };
            // A cold server at its limit does not count as full: otherwise the part would
            // be queued, but no event occurs when the server has capacity again. The
            // caller can retry instead.
            if !self.has_cold_capacity(*server, now) {
                continue;
            }
            match self.connection_room(*server, now) {
                ConnectionRoom::Available => {}
                ConnectionRoom::Full => {
                    is_full = true;
                    continue;
                }
                ConnectionRoom::NoPlace => continue,
            }
            candidates += 1;
            let expected = state.expected_response_time(
                criteria.typical,
                self.stall_intervals.interval(),
                now,
            );
            let jitter = 1.0 + MAX_JITTER * self.rng.random::<f64>();
            let failure_cost = retry_cost.map_or(FAILURE_COST, |cost| expected + cost);
            let penalty = selection_penalty(state, criteria, failure_cost, now);
            let cost = (expected + penalty).as_secs_f64() * jitter;
            if best.is_none_or(|(_, least, _)| cost < least) {
                best = Some((permitted, cost, expected));
            }
        }
        match best {
            Some((server, _, expected)) => Ok(ServerChoice {
                server,
                expected,
                candidates,
            }),
            None if is_full => Err(SelectionFailure::Full),
            None => Err(SelectionFailure::NoServer),
        }
    }

    /// Returns the cost of a retry in addition to the time lost, or `None` if the request
    /// may not be repeated. The cost grows with the square of the spent share of the
    /// extra-load budget.
    fn retry_cost(
        &self,
        upstream: UpstreamKey,
        criteria: SelectionCriteria,
        now: Duration,
    ) -> Option<Duration> {
        if !criteria.is_repeatable {
            return None;
        }
        let budget = &self.upstreams[upstream].budget;
        let spent = budget.spent_fraction(&self.options.extra, self.budget_sharing(upstream), now);
        let cost_share = MIN_RETRY_COST + (MAX_RETRY_COST - MIN_RETRY_COST) * spent * spent;
        Some(criteria.objective.mul_f64(cost_share))
    }

    /// Returns whether a server may get one more request under the limit for cold
    /// servers. A server is cold just after its start or its return into use, while its
    /// caches are empty.
    fn has_cold_capacity(&self, server: ServerKey, now: Duration) -> bool {
        let state = &self.servers[server];
        let per_s = self.upstreams[state.upstream].cold_per_s;
        if per_s <= 0.0 || !state.is_cold(now) {
            return true;
        }
        let max_per_second = self.options.cold.max_per_second(per_s);
        let sharing = ServerSharing {
            entries: self.entry_count,
            is_owner: self.owns_server(state),
        };
        let allowance = AdaptiveShare.allowance(max_per_second, sharing);
        state.cold.has_capacity(allowance, now)
    }

    /// Returns whether rendezvous hashing assigns a server to this entry among the entries
    /// of the server's failure domain. False until this entry has received the list of
    /// entries.
    fn owns_server(&self, state: &ServerState) -> bool {
        state.proximity == DomainProximity::Domain && self.is_owner_of(&state.id)
    }
}

/// Returns the penalty for a server's distance, as a fraction of the objective.
fn distance_cost(proximity: DomainProximity) -> f64 {
    match proximity {
        DomainProximity::Domain => 0.0,
        DomainProximity::Region => OTHER_DOMAIN_COST,
        DomainProximity::Elsewhere => OTHER_REGION_COST,
    }
}

/// Returns the penalties that are added to a server's expected response time.
/// `failure_cost` is the time that a failed attempt costs.
fn selection_penalty(
    state: &ServerState,
    criteria: SelectionCriteria,
    failure_cost: Duration,
    now: Duration,
) -> Duration {
    let mut penalty = failure_cost.mul_f64(state.failure_rate.value_at(now));
    if !criteria.ignores_distance {
        penalty += criteria.objective.mul_f64(distance_cost(state.proximity));
    }
    if state.idle == 0 {
        penalty += CONNECT_COST;
    }
    if state.is_lapsed() || now < state.backoff_until {
        penalty += UNAVAILABLE_COST;
    }
    if state.outstanding.iter().any(|attempt| attempt.is_canary) {
        // The server may crash under a canary attempt and fail all its other requests.
        penalty += criteria.objective;
    }
    penalty
}
