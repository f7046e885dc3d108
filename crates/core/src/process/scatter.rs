//! Starting a request: its snapshot, its shards, its first sends.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::action::EntryAction;
use crate::process::cover::SnapshotChoice;
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::process::route::RouteOutcome;
use crate::process::timer::TimerPurpose;
use crate::request::answer::{MissingReason, RefusalReason};
use crate::request::decision::{RouteDecision, SendCause};
use crate::request::query::{QueryState, ShardState};
use crate::version::row::{FirstAim, RequestKind};

/// Decisions a recorded query makes besides one for each shard.
const TRACE_OVERHEAD: usize = 4;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Starts a request that has been let in.
    pub(super) fn start(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
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

    /// Chooses a snapshot and sends a subquery for each shard.
    pub(super) fn scatter(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some((upstream, choice)) = self.choose(query, now) else {
            let reason = RefusalReason::NoServer;
            return self.end_refused(query, reason, None, now, out);
        };
        self.record_query_decision(query, now, out, |_| RouteDecision::Snapshot {
            snapshot: choice.snapshot,
            live: choice.live,
            shards: choice.shards,
        });
        let count = self.lay_out(query, upstream, choice);
        self.set_timers(query, upstream, now);
        for index in 0..count {
            self.send_first(query, index, now, out);
        }
        self.check_end(query, now, out);
    }

    fn choose(&self, query: SlotKey, now: Duration) -> Option<(UpstreamKey, SnapshotChoice)> {
        let state = self.queries.get(query)?;
        let upstream = self.roster.upstream(&state.row.upstream)?;
        let choice = self.roster.choose_snapshot(upstream, now)?;
        Some((upstream, choice))
    }

    /// Sets up the shards to ask and returns their number.
    fn lay_out(&mut self, query: SlotKey, upstream: UpstreamKey, choice: SnapshotChoice) -> usize {
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
            let number = shard_of(state, choice.shards);
            state.shards.push(ShardState::new(number));
        }
        let count = state.shards.len();
        if state.traced {
            self.charge_trace_budget(count + TRACE_OVERHEAD);
        }
        count
    }

    fn set_timers(&mut self, query: SlotKey, upstream: UpstreamKey, now: Duration) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let delay = self.hedge_delay(upstream, &state.row);
        self.timers.set(now + delay, TimerPurpose::Sweep(query));
        let early = state.row.first == FirstAim::Time && self.policy.answers_early();
        if early && !state.restarted {
            let partial = state.arrived + state.row.partial_after;
            self.timers.set(partial, TimerPurpose::Partial(query));
        }
    }

    fn send_first(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let outcome = self.route_shard(query, index, SendCause::First, now, out);
        if outcome == RouteOutcome::NoServer {
            self.mark_missing(query, index, MissingReason::NoServer, now, out);
        }
    }

    /// Restarts a query on another snapshot, whole, if that is better, was not
    /// done before, and its time allows. Returns whether it did.
    pub(super) fn try_restart(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some((upstream, choice)) = self.choose(query, now) else {
            return false;
        };
        let Some(state) = self.queries.get(query) else {
            return false;
        };
        let from = state.snapshot;
        let least = self.hedge_delay(upstream, &state.row);
        let allowed = state.row.kind == RequestKind::Query
            && !state.restarted
            && choice.snapshot != from
            && now + least < state.deadline;
        if !allowed {
            return false;
        }
        self.counters.restarts += 1;
        self.record_query_decision(query, now, out, |_| RouteDecision::Restart { from });
        self.cancel_all(query, now, out);
        if let Some(state) = self.queries.get_mut(query) {
            state.restarted = true;
        }
        self.scatter(query, now, out);
        true
    }

    pub(super) fn service_name(&self, query: SlotKey) -> Box<str> {
        let state = self.queries.get(query);
        state.map_or("".into(), |state| state.row.service.clone())
    }
}

/// Returns the shard that holds a key: its hash, spread over the shards.
fn shard_of(state: &QueryState, shards: u32) -> u32 {
    let hash = match &state.body.key {
        Some(key) => xxh3_64(key.as_bytes()),
        None => state.request.sequence,
    };
    (hash % u64::from(shards.max(1))) as u32
}
