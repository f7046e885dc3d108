//! Routing of one shard: chooses a server for the shard and sends the subquery.
//!
//! Healthy servers that the query has not tried for the shard are preferred; others are a
//! fallback. If all usable servers are at their capacity limit, the shard is queued.

use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::action::{EntryAction, SendOrder};
use crate::process::entry::EntryMachine;
use crate::process::health::CostBasis;
use crate::process::policy::{RouteCandidate, RoutePolicy};
use crate::process::roster::ServerRecord;
use crate::request::decision::{
    OptionStatus, RouteDecision, RouteOption, SendCause, MAX_ROUTE_OPTIONS,
};
use crate::request::identity::AttemptId;
use crate::request::query::{AttemptState, QueryState, ShardState};

/// Maximum number of servers in each candidate list for one send.
const MAX_CANDIDATES: usize = 8;

/// The result of routing a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteOutcome {
    /// A subquery was sent.
    Sent,
    /// The shard was queued until a server has free capacity.
    Queued,
    /// No server can take the shard.
    NoServer,
}

/// The servers that could take a shard, in two classes.
#[derive(Default)]
struct CandidateSet {
    /// Servers with free capacity that are healthy and not yet tried for this shard.
    preferred: ArrayVec<RouteCandidate, MAX_CANDIDATES>,
    /// Servers with free capacity that are ejected, on probation, shedding load or already
    /// tried for this shard.
    fallback: ArrayVec<RouteCandidate, MAX_CANDIDATES>,
    /// Whether a server without free capacity would otherwise be preferred.
    has_full_preferred: bool,
    /// Whether any live server lacks only free capacity.
    has_full_server: bool,
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Sends a subquery for one shard of a query, or queues the shard if its servers have no
    /// free capacity. A hedge is never queued.
    pub(super) fn route_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        cause: SendCause,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) -> RouteOutcome {
        let Some(state) = self.queries.get(query) else {
            return RouteOutcome::NoServer;
        };
        let Some(upstream) = state.upstream else {
            return RouteOutcome::NoServer;
        };
        let candidates = self.collect_candidates(upstream, state, index, now);
        let choice = choose_server(&candidates, cause, &mut self.policy, &mut self.rng);
        if let Some(server) = choice {
            self.send_subquery(query, index, server, cause, now, out);
            return RouteOutcome::Sent;
        }
        if cause == SendCause::Hedge || !candidates.has_full_server {
            return RouteOutcome::NoServer;
        }
        self.enqueue_shard(query, index, now, out);
        RouteOutcome::Queued
    }

    /// Returns whether a healthy server that was not yet tried could take a shard, now or
    /// once it has free capacity.
    pub(super) fn has_preferred_server(&self, query: SlotKey, index: usize, now: Duration) -> bool {
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let Some(upstream) = state.upstream else {
            return false;
        };
        let candidates = self.collect_candidates(upstream, state, index, now);
        !candidates.preferred.is_empty() || candidates.has_full_preferred
    }

    /// Sorts the live servers that hold a shard into preferred and fallback candidates.
    fn collect_candidates(
        &self,
        upstream: UpstreamKey,
        state: &QueryState,
        index: usize,
        now: Duration,
    ) -> CandidateSet {
        let mut candidates = CandidateSet::default();
        let shard = &state.shards[index];
        let shard_servers = self
            .roster
            .shard_servers(upstream, state.snapshot, shard.number);
        // The lists may be too short for all servers. Then each request starts at another
        // server, so that every server becomes a candidate for some requests.
        let start = if shard_servers.len() > MAX_CANDIDATES {
            state.request.sequence as usize % shard_servers.len()
        } else {
            0
        };
        for server in shard_servers[start..].iter().chain(&shard_servers[..start]) {
            let record = self.roster.server(*server);
            let status = self.option_status(*server, record, shard, now);
            let is_preferred = !shard.tried.contains(server) && is_healthy(record, now);
            match status {
                OptionStatus::Full => {
                    candidates.has_full_server = true;
                    candidates.has_full_preferred |= is_preferred;
                    continue;
                }
                OptionStatus::NotChosen | OptionStatus::Ejected => {}
                _ => continue,
            }
            let candidate = self.build_candidate(upstream, *server, record, now);
            let list = if is_preferred {
                &mut candidates.preferred
            } else {
                &mut candidates.fallback
            };
            // A full list takes no more candidates.
            let _ = list.try_push(candidate);
        }
        candidates
    }

    /// Returns whether a server can take a shard now, or the reason why not.
    ///
    /// `Ejected` is no hard obstacle: an ejected server is still a fallback.
    fn option_status(
        &self,
        server: ServerKey,
        record: &ServerRecord,
        shard: &ShardState,
        now: Duration,
    ) -> OptionStatus {
        if self.options.safety_checks.drain {
            if !record.phase.takes_work() {
                return OptionStatus::Leaving;
            }
            if now >= record.lease_expires_at {
                return OptionStatus::Expired;
            }
        }
        let is_outstanding = |attempt: &SlotKey| {
            let attempt = self.attempts.get(*attempt);
            attempt.is_some_and(|attempt| attempt.server == server)
        };
        if shard.attempts.iter().any(is_outstanding) {
            return OptionStatus::Outstanding;
        }
        if !record.has_capacity() {
            return OptionStatus::Full;
        }
        if record.health.is_ejected(now) {
            return OptionStatus::Ejected;
        }
        OptionStatus::NotChosen
    }

    /// Builds the routing candidate for a server, with its expected cost. The cost includes
    /// the time to open a connection if none is idle.
    fn build_candidate(
        &self,
        upstream: UpstreamKey,
        server: ServerKey,
        record: &ServerRecord,
        now: Duration,
    ) -> RouteCandidate {
        let upstream = self.roster.upstream_record(upstream);
        let connect = if record.idle == 0 {
            upstream.connect
        } else {
            0.0
        };
        let basis = CostBasis {
            typical: upstream.latency.median_micros(),
            slots: record.slots,
            outstanding: record.outstanding,
            connect,
        };
        RouteCandidate {
            server,
            cost: record.health.cost(&basis, now),
            outstanding: record.outstanding,
        }
    }

    /// Sends a subquery for a shard to `server` and updates the counts and the extra-load
    /// budget.
    fn send_subquery(
        &mut self,
        query: SlotKey,
        index: usize,
        server: ServerKey,
        cause: SendCause,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let options = self.list_options_if_traced(query, index, server, now);
        self.attempt_count += 1;
        let id = AttemptId {
            incarnation: self.options.incarnation,
            sequence: self.attempt_count,
        };
        let attempt = self.attempts.insert(AttemptState {
            id,
            query,
            index: index as u32,
            server,
            sent_at: now,
            cause,
        });
        let record = self.roster.server_mut(server);
        record.outstanding += 1;
        record.idle = record.idle.saturating_sub(1);
        let address = record.address;
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.possible_runs += 1;
        state.hedged |= cause == SendCause::Hedge;
        let shard = &mut state.shards[index];
        shard.attempts.push(attempt);
        shard.sends += 1;
        shard.sent_at = now;
        shard.is_queued = false;
        shard.was_last_unsent = false;
        // A full list keeps the servers that were tried first.
        let _ = shard.tried.try_push(server);
        out.push(EntryAction::Send(SendOrder {
            attempt,
            id,
            request: state.request,
            server,
            address,
            shard: shard.number,
            snapshot: state.snapshot,
            deadline: state.deadline,
            body: state.body.clone(),
        }));
        let gate = state.gate;
        let extra_load = state.row.extra_load;
        let shard = shard.number;
        match cause {
            SendCause::First => {
                self.counters.sends += 1;
                self.gates.gate_mut(gate).budget.add_send_credit(extra_load);
            }
            SendCause::Hedge => self.counters.hedges += 1,
            SendCause::Retry => self.counters.retries += 1,
            SendCause::Resend => self.counters.resends += 1,
            SendCause::Rescue => self.counters.rescues += 1,
        }
        if cause.spends_budget() && self.gates.gate_mut(gate).budget.try_spend() {
            self.counters.budget_spent += 1;
        }
        if let Some(options) = options {
            let decision = RouteDecision::Send {
                shard,
                cause,
                attempt: id,
                options,
            };
            self.record_query_decision(query, now, out, |_| decision);
        }
    }

    /// Lists the servers that hold the shard with their status and cost, for the decision
    /// log. Returns `None` if the query is not traced, that is, if its decisions are not
    /// recorded.
    fn list_options_if_traced(
        &self,
        query: SlotKey,
        index: usize,
        chosen: ServerKey,
        now: Duration,
    ) -> Option<ArrayVec<RouteOption, MAX_ROUTE_OPTIONS>> {
        let state = self.queries.get(query)?;
        if !state.is_traced {
            return None;
        }
        let upstream = state.upstream?;
        let shard = &state.shards[index];
        let shard_servers = self
            .roster
            .shard_servers(upstream, state.snapshot, shard.number);
        let mut options = ArrayVec::new();
        for server in shard_servers.iter().take(MAX_ROUTE_OPTIONS) {
            let record = self.roster.server(*server);
            let status = if *server == chosen {
                OptionStatus::Chosen
            } else {
                self.option_status(*server, record, shard, now)
            };
            options.push(RouteOption {
                server: Arc::clone(&record.name),
                standing: status,
                cost: self.build_candidate(upstream, *server, record, now).cost,
            });
        }
        Some(options)
    }
}

/// Returns whether a server is neither ejected nor shedding load, and, if on probation, has
/// no other subquery outstanding. A server is on probation after an ejection until it
/// answers again.
fn is_healthy(record: &ServerRecord, now: Duration) -> bool {
    let health = &record.health;
    let may_probe = !health.is_on_probation() || record.outstanding == 0;
    may_probe && !health.is_ejected(now) && !health.is_shedding(now)
}

/// Chooses a preferred candidate, or a fallback candidate if there is no preferred one even
/// after waiting for capacity. A hedge goes only to a preferred candidate.
fn choose_server<P: RoutePolicy>(
    candidates: &CandidateSet,
    cause: SendCause,
    policy: &mut P,
    rng: &mut rand::rngs::SmallRng,
) -> Option<ServerKey> {
    if !candidates.preferred.is_empty() {
        let index = policy.choose(&candidates.preferred, rng);
        return Some(candidates.preferred[index].server);
    }
    if cause == SendCause::Hedge || candidates.has_full_preferred || candidates.fallback.is_empty()
    {
        return None;
    }
    let index = policy.choose(&candidates.fallback, rng);
    Some(candidates.fallback[index].server)
}
