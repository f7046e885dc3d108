//! Choosing the server that is asked.

use std::time::Duration;

use rand::Rng;

use crate::arena::{ServerKey, UpstreamKey};
use crate::process::forward::bundle::RELAY_CONNECTIONS;
use crate::process::forward::cold::{ColdShare, ColdView, FittingShare};
use crate::process::forward::directory::ServerStanding;
use crate::process::forward::home::{HomeSet, PermittedServer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::place::PlaceStep;
use crate::process::forward::server::ServerState;
use crate::process::forward::version::VersionWish;

/// Largest part by which chance changes an expected time, so that entries that
/// know the same do not all choose the same.
const JITTER: f64 = 0.15;
/// What an answer from another region costs, as a part of the objective: bytes
/// between regions are dear, and a near server that answers in time is as good.
/// On 15 plays of a deployment whose ways between regions are a sixth of the
/// objective, 0.4, 0.3 and 0.2 earned 0.642, 0.652 and 0.656 of the worth.
const FAR_COST: f64 = 0.2;
/// The same for another failure domain of the region, whose bytes cost a quarter
/// on a deployment of six domains in three regions.
const REGION_COST: f64 = 0.075;
/// What a new connection costs, as time.
const OPEN_COST: Duration = Duration::from_millis(5);
/// What a server that failed last costs, as time, where a request may not be
/// repeated.
const FAILING_COST: Duration = Duration::from_millis(250);
/// What a repeat costs while the bound on extra load is untouched, as a part of
/// the objective.
const LEAST_REPEAT_COST: f64 = 0.1;
/// What it costs when the bound is spent: the part waits for room, and is
/// likely lost. At one objective the bound stayed spent while half of the
/// servers shed.
const MOST_REPEAT_COST: f64 = 2.5;
/// What a server costs that is silent at the control group or rests, as time.
const DOUBT_COST: Duration = Duration::from_secs(2);
/// Requests for each slot that an entry may have at a near server.
const BUSY_SLOTS: usize = 2;
/// Part of a server's connections that all entries together use.
const CONNECTION_USE: f64 = 0.85;

/// What is expected of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExpectedTimes {
    /// Time an idle server typically takes.
    pub(super) typical: Duration,
    /// Time within which the whole answer should go out.
    pub(super) objective: Duration,
    /// Whether a far server costs no more than a near one: a repeat of a
    /// request that one server answers is few bytes, and what slows a server
    /// often slows those beside it.
    pub(super) far_as_near: bool,
    /// Whether it may be repeated.
    pub(super) repeats: bool,
    /// Where it may be served.
    pub(super) homes: HomeSet,
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
pub(super) enum NoChoice {
    /// The service has no server that takes work and may be asked.
    NoServer,
    /// All of its servers have as many requests as they may.
    Full,
}

impl ForwardMachine {
    /// Chooses a server of a service out of those not in `tried`, of the version
    /// that the request is to go to.
    pub(super) fn choose(
        &mut self,
        upstream: UpstreamKey,
        tried: &[ServerKey],
        times: ExpectedTimes,
        now: Duration,
    ) -> Result<ServerChoice, NoChoice> {
        match self.wish_version(upstream, !tried.is_empty(), now) {
            VersionWish::Any => self.choose_of(upstream, None, tried, times, now),
            VersionWish::Old => self.choose_of(upstream, Some(false), tried, times, now),
            VersionWish::NewFirst => {
                let new = self.choose_of(upstream, Some(true), tried, times, now);
                new.or_else(|_| self.choose_of(upstream, Some(false), tried, times, now))
            }
        }
    }

    /// Chooses a server, of the version that is rolled out or of the others, if
    /// that is said.
    fn choose_of(
        &mut self,
        upstream: UpstreamKey,
        target: Option<bool>,
        tried: &[ServerKey],
        times: ExpectedTimes,
        now: Duration,
    ) -> Result<ServerChoice, NoChoice> {
        let mut best: Option<(PermittedServer, f64, Duration)> = None;
        let mut candidates = 0;
        let mut is_full = false;
        let repeat = self.repeat_cost(upstream, times, now);
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
            if !self.cold_has_room(*server, now) {
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
            let jitter = 1.0 + JITTER * self.rng.random::<f64>();
            let failing = repeat.map_or(FAILING_COST, |repeat| expected + repeat);
            let doubt = doubts(state, times, failing, now);
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
            None if is_full => Err(NoChoice::Full),
            None => Err(NoChoice::NoServer),
        }
    }

    /// Returns what a repeat costs besides the time that was lost, if the
    /// request may be repeated: the more of the bound on extra load is spent,
    /// the more.
    fn repeat_cost(
        &self,
        upstream: UpstreamKey,
        times: ExpectedTimes,
        now: Duration,
    ) -> Option<Duration> {
        if !times.repeats {
            return None;
        }
        let budget = &self.upstreams[upstream].budget;
        let spent = budget.spent_fraction(&self.options.extra, self.extra_view(upstream), now);
        let part = LEAST_REPEAT_COST + (MOST_REPEAT_COST - LEAST_REPEAT_COST) * spent * spent;
        Some(times.objective.mul_f64(part))
    }

    /// Tells whether a server that is cold may get one more request.
    fn cold_has_room(&self, server: ServerKey, now: Duration) -> bool {
        let state = &self.servers[server];
        let per_s = self.upstreams[state.upstream].cold_per_s;
        if per_s <= 0.0 || !state.is_cold(now) {
            return true;
        }
        let most = self.options.cold.most(per_s);
        let view = ColdView {
            entries: self.entries,
            is_holder: self.holds(state),
        };
        let allowance = FittingShare.allowance(most, view);
        state.cold.has_room(allowance, now)
    }

    /// Tells whether a server falls to this entry among the entries of the
    /// server's failure domain. Before it has heard of the others none does.
    fn holds(&self, state: &ServerState) -> bool {
        state.place == PlaceStep::Domain && self.falls_here(&state.id)
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
            return RELAY_CONNECTIONS;
        }
        let used = f64::from(upstream.connections) * CONNECTION_USE;
        let part = (used / f64::from(self.entries.max(1))) as usize;
        if state.place != PlaceStep::Domain {
            return part.max(1);
        }
        let near_part = (used / f64::from(self.near_entries)) as usize;
        let busy = state.slots as usize * BUSY_SLOTS;
        part.max(near_part.min(busy)).max(1)
    }
}

/// Returns what an answer from there costs, as a part of the objective.
fn place_cost(place: PlaceStep) -> f64 {
    match place {
        PlaceStep::Domain => 0.0,
        PlaceStep::Region => REGION_COST,
        PlaceStep::Elsewhere => FAR_COST,
    }
}

/// Returns what speaks against a server besides its expected time, where a
/// failure costs `failing`.
fn doubts(state: &ServerState, times: ExpectedTimes, failing: Duration, now: Duration) -> Duration {
    let mut doubt = failing.mul_f64(state.failing);
    if !times.far_as_near {
        doubt += times.objective.mul_f64(place_cost(state.place));
    }
    if state.idle == 0 {
        doubt += OPEN_COST;
    }
    if state.silent || now < state.rest_until {
        doubt += DOUBT_COST;
    }
    if state.outstanding.iter().any(|attempt| attempt.on_trial) {
        // It may end under that, with all that is beside it.
        doubt += times.objective;
    }
    doubt
}
