//! Start of a request: chooses a snapshot and sends the first subquery for each shard.
//!
//! A query searches all shards of one snapshot. Other requests go to a single shard. If
//! the snapshot disappears while a query runs, the query restarts once on another
//! snapshot.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::action::EntryAction;
use crate::process::entry::EntryMachine;
use crate::process::placement::SnapshotChoice;
use crate::process::policy::RoutePolicy;
use crate::process::route::RouteOutcome;
use crate::process::timer::TimerPurpose;
use crate::request::answer::{MissingReason, RefusalReason};
use crate::request::decision::{RouteDecision, SendCause};
use crate::request::query::{QueryState, ShardState};
use crate::version::row::{AnswerPriority, RequestKind};

/// Estimated number of decisions that a traced query (one whose decisions are recorded)
/// records, besides one for each shard.
const BASE_TRACE_DECISIONS: usize = 4;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Starts an admitted request.
    pub(super) fn start_query(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.is_running = true;
        state.started = now;
        let gate = state.gate;
        let waited = now - state.arrived;
        self.gates.start(gate);
        self.record_query_decision(query, now, out, |machine| RouteDecision::Admit {
            service: machine.service_name(query),
            waited,
        });
        self.scatter(query, now, out);
    }

    /// Chooses a snapshot, sends a subquery for each shard, and sets the query's timers.
    pub(super) fn scatter(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some((upstream, choice)) = self.choose_snapshot(query, now) else {
            let reason = RefusalReason::NoServer;
            return self.end_with_refusal(query, reason, None, now, out);
        };
        self.record_query_decision(query, now, out, |_| RouteDecision::Snapshot {
            snapshot: choice.snapshot,
            live: choice.live,
            shards: choice.shards,
        });
        let count = self.set_up_shards(query, upstream, choice);
        self.set_timers(query, upstream, now);
        for index in 0..count {
            self.send_first_attempt(query, index, now, out);
        }
        self.end_if_decided(query, now, out);
    }

    /// Finds the query's upstream and chooses one of the upstream's snapshots.
    fn choose_snapshot(
        &self,
        query: SlotKey,
        now: Duration,
    ) -> Option<(UpstreamKey, SnapshotChoice)> {
        let state = self.queries.get(query)?;
        let upstream = self.roster.upstream(&state.row.upstream)?;
        let choice = self.roster.choose_snapshot(upstream, now)?;
        Some((upstream, choice))
    }

    /// Creates the state of the shards that the query needs, and returns their number.
    ///
    /// A query needs all shards of the snapshot, any other request only one.
    fn set_up_shards(
        &mut self,
        query: SlotKey,
        upstream: UpstreamKey,
        choice: SnapshotChoice,
    ) -> usize {
        let Some(state) = self.queries.get_mut(query) else {
            return 0;
        };
        state.upstream = Some(upstream);
        state.snapshot = choice.snapshot;
        state.answered = 0;
        state.missing = 0;
        state.shards.clear();
        if state.row.kind == RequestKind::Query {
            state.shards.extend((0..choice.shards).map(ShardState::new));
        } else {
            let number = select_shard(state, choice.shards);
            state.shards.push(ShardState::new(number));
        }
        let count = state.shards.len();
        if state.is_traced {
            self.charge_trace_budget(count + BASE_TRACE_DECISIONS);
        }
        count
    }

    /// Sets the timer for the first sweep over the query's attempts and, if the service puts
    /// response time before coverage, the timer for a partial answer.
    fn set_timers(&mut self, query: SlotKey, upstream: UpstreamKey, now: Duration) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let delay = self.hedge_delay(upstream, &state.row);
        self.timers.set(now + delay, TimerPurpose::Sweep(query));
        let answers_early = state.row.first == AnswerPriority::Time && self.policy.answers_early();
        if answers_early && !state.restarted {
            let partial = state.arrived + state.row.partial_after;
            self.timers.set(partial, TimerPurpose::Partial(query));
        }
    }

    /// Sends the first subquery for a shard, or marks the shard missing if no server has it.
    fn send_first_attempt(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let outcome = self.route_shard(query, index, SendCause::First, now, out);
        if outcome == RouteOutcome::NoServer {
            self.mark_shard_missing(query, index, MissingReason::NoServer, now, out);
        }
    }

    /// Restarts the whole query on another snapshot, and returns whether it did.
    ///
    /// Requires that the best snapshot now differs from the query's, that the query has not
    /// restarted before, and that more than the hedge delay is left until its deadline.
    pub(super) fn try_restart(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some((upstream, choice)) = self.choose_snapshot(query, now) else {
            return false;
        };
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let from = state.snapshot;
        let min_time = self.hedge_delay(upstream, &state.row);
        let may_restart = state.row.kind == RequestKind::Query
            && !state.restarted
            && choice.snapshot != from
            && now + min_time < state.deadline;
        if !may_restart {
            return false;
        }
        self.counters.restarts += 1;
        self.record_query_decision(query, now, out, |_| RouteDecision::Restart { from });
        self.cancel_query_attempts(query, now, out);
        if let Some(state) = self.queries.get_mut(query) {
            state.restarted = true;
        }
        self.scatter(query, now, out);
        true
    }

    /// Returns the name of the query's service, or an empty name if the query has ended.
    pub(super) fn service_name(&self, query: SlotKey) -> Box<str> {
        let state = self.queries.get(query);
        state.map_or("".into(), |state| state.row.service.clone())
    }
}

/// Returns the shard for a single-shard request: the hash of its key modulo the number of
/// shards, or the request's sequence number modulo that number if it has no key.
fn select_shard(state: &QueryState, shards: u32) -> u32 {
    let hash = match &state.body.key {
        Some(key) => xxh3_64(key.as_bytes()),
        None => state.request.sequence,
    };
    (hash % u64::from(shards.max(1))) as u32
}
