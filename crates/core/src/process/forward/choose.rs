//! Choosing the server that is asked.

use std::time::Duration;

use rand::Rng;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::bundle::MAX_RELAY_CONNECTIONS;
use crate::process::forward::cold::{ColdShare, ColdView, FittingShare};
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::DomainProximity;
use crate::process::forward::region_set::{PermittedServer, RegionSet};
use crate::process::forward::server::ServerState;
use crate::process::forward::version::VersionWish;

/// Largest part by which chance changes an expected time, so that entries that
/// know the same do not all choose the same.
const MAX_JITTER: f64 = 0.15;
/// What an answer from another region costs, as a part of the objective: bytes
/// between regions are dear, and a near server that answers in time is as good.
/// On 15 plays of a deployment whose ways between regions are a sixth of the
/// objective, 0.4, 0.3 and 0.2 earned 0.642, 0.652 and 0.656 of the worth.
const OTHER_REGION_COST: f64 = 0.2;
/// The same for another failure domain of the region, whose bytes cost a quarter
/// on a deployment of six domains in three regions.
const OTHER_DOMAIN_COST: f64 = 0.075;
/// What a new connection costs, as time.
const CONNECT_COST: Duration = Duration::from_millis(5);
/// What a server that failed last costs, as time, where a request may not be
/// repeated.
const FAILURE_COST: Duration = Duration::from_millis(250);
/// What a repeat costs while the bound on extra load is untouched, as a part of
/// the objective.
const MIN_RETRY_COST: f64 = 0.1;
/// What it costs when the bound is spent: the part waits for room, and is
/// likely lost. At one objective the bound stayed spent while half of the
/// servers shed.
const MAX_RETRY_COST: f64 = 2.5;
/// What a server costs that is silent at the control group or rests, as time.
const UNAVAILABLE_COST: Duration = Duration::from_secs(2);
/// Requests for each slot that an entry may have at a near server.
const REQUESTS_PER_SLOT: usize = 2;
/// Part of a server's connections that all entries together use.
const SHARED_CONNECTION_USE: f64 = 0.85;

/// What is expected of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct SelectionCriteria {
    /// Time an idle server typically takes.
    pub(super) typical: Duration,
    /// Time within which the whole answer should go out.
    pub(super) objective: Duration,
    /// Whether a far server costs no more than a near one: a repeat of a
    /// request that one server answers is few bytes, and what slows a server
    /// often slows those beside it.
    pub(super) ignores_distance: bool,
    /// Whether it may be repeated.
    pub(super) repeats: bool,
    /// Where it may be served.
    pub(super) homes: RegionSet,
}

/// The choice of a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServerChoice {
    pub(super) server: PermittedServer,
    /// Time to expect to an answer.
    pub(super) expected: Duration,
    /// Servers that could have been asked.
    pub(super) candidates: usize,
}

/// Why there is no choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SelectionFailure {
    /// The service has no server that takes work and may be asked.
    NoServer,
    /// All of its servers have as many requests as they may.
    Full,
}

impl ForwardMachine {
    /// Chooses a server of a service out of those not in `tried`, of the version
    /// that the request is to go to.
    pub(super) fn choose_server(
        &mut self,
        upstream: UpstreamKey,
        tried: &[ServerKey],
        times: SelectionCriteria,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        match self.wish_version(upstream, !tried.is_empty(), now) {
            VersionWish::Any => self.choose_server_of_version(upstream, None, tried, times, now),
            VersionWish::Old => {
                self.choose_server_of_version(upstream, Some(false), tried, times, now)
            }
            VersionWish::NewFirst => {
                let new = self.choose_server_of_version(upstream, Some(true), tried, times, now);
                new.or_else(|_| {
                    self.choose_server_of_version(upstream, Some(false), tried, times, now)
                })
            }
        }
    }

    /// Chooses a server, of the version that is rolled out or of the others, if
    /// that is said.
    fn choose_server_of_version(
        &mut self,
        upstream: UpstreamKey,
        target: Option<bool>,
        tried: &[ServerKey],
        times: SelectionCriteria,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        let mut best: Option<(PermittedServer, f64, Duration)> = None;
        let mut candidates = 0;
        let mut is_full = false;
        let repeat = self.retry_cost(upstream, times, now);
        for server in &self.upstreams[upstream].servers {
            let state = &self.servers[*server];
            if state.standing != ServerStanding::Ready || tried.contains(server) {
                continue;
            }
            if target.is_some_and(|target| target != self.is_target(*server)) {
                continue;
            }
            let Some(permitted) = times.homes.permit(*server, state) else {
                continue;
            };
            // It is not waited for: nothing says when it has room, and the caller
            // can come back.
            if !self.has_cold_capacity(*server, now) {
                continue;
            }
            let would_open = state.idle == 0;
            let cap = self.connection_cap(*server);
            if state.outstanding.len() >= cap
                || (would_open && state.outstanding.len() >= state.slots as usize)
            {
                is_full = true;
                continue;
            }
            candidates += 1;
            let expected = state.expect(times.typical, self.pause_vote.interval(), now);
            let jitter = 1.0 + MAX_JITTER * self.rng.random::<f64>();
            let failing = repeat.map_or(FAILURE_COST, |repeat| expected + repeat);
            let doubt = selection_penalty(state, times, failing, now);
            let cost = (expected + doubt).as_secs_f64() * jitter;
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

    /// Returns what a repeat costs besides the time that was lost, if the
    /// request may be repeated: the more of the bound on extra load is spent,
    /// the more.
    fn retry_cost(
        &self,
        upstream: UpstreamKey,
        times: SelectionCriteria,
        now: Duration,
    ) -> Option<Duration> {
        if !times.repeats {
            return None;
        }
        let budget = &self.upstreams[upstream].budget;
        let spent = budget.spent_share(&self.options.extra, self.extra_view(upstream), now);
        let part = MIN_RETRY_COST + (MAX_RETRY_COST - MIN_RETRY_COST) * spent * spent;
        Some(times.objective.mul_f64(part))
    }

    /// Tells whether a server that is cold may get one more request.
    fn has_cold_capacity(&self, server: ServerKey, now: Duration) -> bool {
        let state = &self.servers[server];
        let per_s = self.upstreams[state.upstream].cold_per_s;
        if per_s <= 0.0 || !state.is_cold(now) {
            return true;
        }
        let most = self.options.cold.most(per_s);
        let view = ColdView {
            entries: self.entries,
            is_holder: self.owns_server(state),
        };
        let allowance = FittingShare.allowance(most, view);
        state.cold.has_room(allowance, now)
    }

    /// Tells whether a server falls to this entry among the entries of the
    /// server's failure domain. Before it has heard of the others none does.
    fn owns_server(&self, state: &ServerState) -> bool {
        state.place == DomainProximity::Domain && self.is_owner_of(&state.id)
    }

    /// Returns how many connections this entry may have to a server: its part
    /// of the server's limit, which all entries share.
    ///
    /// A near server is asked mostly by the entries of its domain, and there,
    /// with many entries, by the one to which its shard falls: they may keep
    /// its slots busy and as much again waiting.
    pub fn connection_cap(&self, server: ServerKey) -> usize {
        let state = &self.servers[server];
        let upstream = &self.upstreams[state.upstream];
        if upstream.is_entry {
            return MAX_RELAY_CONNECTIONS;
        }
        let used = f64::from(upstream.connections) * SHARED_CONNECTION_USE;
        let part = (used / f64::from(self.entries.max(1))) as usize;
        if state.place != DomainProximity::Domain {
            return part.max(1);
        }
        let near_part = (used / f64::from(self.near_entries)) as usize;
        let busy = state.slots as usize * REQUESTS_PER_SLOT;
        part.max(near_part.min(busy)).max(1)
    }
}

/// Returns what an answer from there costs, as a part of the objective.
fn distance_cost(place: DomainProximity) -> f64 {
    match place {
        DomainProximity::Domain => 0.0,
        DomainProximity::Region => OTHER_DOMAIN_COST,
        DomainProximity::Elsewhere => OTHER_REGION_COST,
    }
}

/// Returns what speaks against a server besides its expected time, where a
/// failure costs `failing`.
fn selection_penalty(
    state: &ServerState,
    times: SelectionCriteria,
    failing: Duration,
    now: Duration,
) -> Duration {
    let mut doubt = failing.mul_f64(state.failing);
    if !times.ignores_distance {
        doubt += times.objective.mul_f64(distance_cost(state.place));
    }
    if state.idle == 0 {
        doubt += CONNECT_COST;
    }
    if state.silent || now < state.rest_until {
        doubt += UNAVAILABLE_COST;
    }
    if state.outstanding.iter().any(|attempt| attempt.on_trial) {
        // It may end under that, with all that is beside it.
        doubt += times.objective;
    }
    doubt
}
