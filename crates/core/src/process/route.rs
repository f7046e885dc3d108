//! Choosing a server for a shard, and sending.

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
    OptionStanding, RouteDecision, RouteOption, SendCause, OPTION_COUNT,
};
use crate::request::identity::AttemptId;
use crate::request::query::{AttemptState, QueryState, ShardState};

/// Most servers of a group that are weighed for one send.
const CANDIDATES: usize = 8;

/// What came of routing a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RouteOutcome {
    /// A subquery was sent.
    Sent,
    /// The shard waits until a server has room.
    Waits,
    /// No server can be asked.
    NoServer,
}

/// The servers of a group, by how gladly they are asked.
#[derive(Default)]
struct RouteField {
    /// Healthy, not tried yet, with room.
    good: ArrayVec<RouteCandidate, CANDIDATES>,
    /// Ejected, shedding or tried already, with room.
    poor: ArrayVec<RouteCandidate, CANDIDATES>,
    /// Whether a healthy server would do if it had room.
    good_full: bool,
    /// Whether any live server would do if it had room.
    any_full: bool,
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Routes one shard of a query: sends a subquery or has it wait.
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
        let field = self.survey(upstream, state, index, now);
        let choice = choose_in(&field, cause, &mut self.policy, &mut self.rng);
        if let Some(server) = choice {
            self.send(query, index, server, cause, now, out);
            return RouteOutcome::Sent;
        }
        if cause == SendCause::Hedge || !field.any_full {
            return RouteOutcome::NoServer;
        }
        self.wait_for_room(query, index, now, out);
        RouteOutcome::Waits
    }

    /// Tells whether a healthy server, not tried yet, could take a shard, now
    /// or after a wait.
    pub(super) fn has_good_server(&self, query: SlotKey, index: usize, now: Duration) -> bool {
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let Some(upstream) = state.upstream else {
            return false;
        };
        let field = self.survey(upstream, state, index, now);
        !field.good.is_empty() || field.good_full
    }

    /// Looks over the servers that hold a shard.
    fn survey(
        &self,
        upstream: UpstreamKey,
        state: &QueryState,
        index: usize,
        now: Duration,
    ) -> RouteField {
        let mut field = RouteField::default();
        let shard = &state.shards[index];
        let shard_servers = self
            .roster
            .shard_servers(upstream, state.snapshot, shard.number);
        // A group larger than the lists is weighed from another place each
        // time, so that each of its servers gets its turn.
        let start = if shard_servers.len() > CANDIDATES {
            state.request.sequence as usize % shard_servers.len()
        } else {
            0
        };
        for server in shard_servers[start..].iter().chain(&shard_servers[..start]) {
            let record = self.roster.server(*server);
            let standing = self.standing(*server, record, shard, now);
            let is_good = !shard.tried.contains(server) && is_trusted(record, now);
            match standing {
                OptionStanding::Full => {
                    field.any_full = true;
                    field.good_full |= is_good;
                    continue;
                }
                OptionStanding::Passed | OptionStanding::Ejected => {}
                _ => continue,
            }
            let candidate = self.candidate(upstream, *server, record, now);
            let list = if is_good {
                &mut field.good
            } else {
                &mut field.poor
            };
            // A group larger than the list is weighed in part only.
            let _ = list.try_push(candidate);
        }
        field
    }

    fn standing(
        &self,
        server: ServerKey,
        record: &ServerRecord,
        shard: &ShardState,
        now: Duration,
    ) -> OptionStanding {
        if self.options.safety_checks.drain {
            if !record.phase.takes_work() {
                return OptionStanding::Leaving;
            }
            if now >= record.lease_expires_at {
                return OptionStanding::Expired;
            }
        }
        let asked = |attempt: &SlotKey| {
            let attempt = self.attempts.get(*attempt);
            attempt.is_some_and(|attempt| attempt.server == server)
        };
        if shard.attempts.iter().any(asked) {
            return OptionStanding::Asked;
        }
        if !record.has_capacity() {
            return OptionStanding::Full;
        }
        if record.health.is_ejected(now) {
            return OptionStanding::Ejected;
        }
        OptionStanding::Passed
    }

    fn candidate(
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

    fn send(
        &mut self,
        query: SlotKey,
        index: usize,
        server: ServerKey,
        cause: SendCause,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let options = self.options_if_traced(query, index, server, now);
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
        state.maybe_ran += 1;
        state.hedged |= cause == SendCause::Hedge;
        let shard = &mut state.shards[index];
        shard.attempts.push(attempt);
        shard.sends += 1;
        shard.sent_at = now;
        shard.waits = false;
        shard.unsent = false;
        // With the list full the oldest names keep their place.
        let _ = shard.tried.try_push(server);
        out.push(EntryAction::Send(SendOrder {
            attempt,
            id,
            request: state.request,
            server,
            address,
            shard: shard.number,
            snapshot: state.snapshot,
            until: state.deadline,
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
        if cause.draws_budget() && self.gates.gate_mut(gate).budget.try_spend() {
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

    /// Lists how each server of the group stood, for a recorded query.
    fn options_if_traced(
        &self,
        query: SlotKey,
        index: usize,
        chosen: ServerKey,
        now: Duration,
    ) -> Option<ArrayVec<RouteOption, OPTION_COUNT>> {
        let state = self.queries.get(query)?;
        if !state.traced {
            return None;
        }
        let upstream = state.upstream?;
        let shard = &state.shards[index];
        let shard_servers = self
            .roster
            .shard_servers(upstream, state.snapshot, shard.number);
        let mut options = ArrayVec::new();
        for server in shard_servers.iter().take(OPTION_COUNT) {
            let record = self.roster.server(*server);
            let standing = if *server == chosen {
                OptionStanding::Chosen
            } else {
                self.standing(*server, record, shard, now)
            };
            options.push(RouteOption {
                server: Arc::clone(&record.name),
                standing,
                cost: self.candidate(upstream, *server, record, now).cost,
            });
        }
        Some(options)
    }
}

/// Tells whether a server's health speaks for asking it.
fn is_trusted(record: &ServerRecord, now: Duration) -> bool {
    let health = &record.health;
    let may_probe = !health.is_on_probation() || record.outstanding == 0;
    may_probe && !health.is_ejected(now) && !health.is_shedding(now)
}

/// Chooses a server: a good one, or a poor one if no good one is to be had
/// even with a wait. A hedge goes to a good one or not at all.
fn choose_in<P: RoutePolicy>(
    field: &RouteField,
    cause: SendCause,
    policy: &mut P,
    rng: &mut rand::rngs::SmallRng,
) -> Option<ServerKey> {
    if !field.good.is_empty() {
        let index = policy.choose(&field.good, rng);
        return Some(field.good[index].server);
    }
    if cause == SendCause::Hedge || field.good_full || field.poor.is_empty() {
        return None;
    }
    let index = policy.choose(&field.poor, rng);
    Some(field.poor[index].server)
}
