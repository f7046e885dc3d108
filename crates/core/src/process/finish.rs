//! Ending a request: complete, partial, or refused.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::action::EntryAction;
use crate::process::admission::{helpful_wait, is_repeatable};
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::request::answer::{
    MissingReason, QueryAnswer, QueryOutcome, QueryRefusal, RefusalReason, RunState,
};
use crate::request::decision::RouteDecision;
use crate::request::merge::merge_hits;
use crate::request::query::{QueryState, ShardStatus};

impl<P: RoutePolicy> EntryMachine<P> {
    /// Gives up a shard, or restarts the query if another snapshot is better.
    pub(super) fn give_up(
        &mut self,
        query: SlotKey,
        index: usize,
        reason: MissingReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let is_gone = matches!(
            reason,
            MissingReason::NoServer | MissingReason::SnapshotRetired
        );
        if is_gone && self.try_restart(query, now, out) {
            return;
        }
        self.mark_missing(query, index, reason, now, out);
        self.check_end(query, now, out);
    }

    pub(super) fn mark_missing(
        &mut self,
        query: SlotKey,
        index: usize,
        reason: MissingReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let shard = &mut state.shards[index];
        if shard.status != ShardStatus::Open {
            return;
        }
        shard.status = ShardStatus::Missing(reason);
        state.missing += 1;
        let shard = shard.number;
        self.record_query_decision(query, now, out, |_| RouteDecision::GiveUp { shard, reason });
    }

    /// Ends a query as soon as its outcome is certain.
    pub(super) fn check_end(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let floor = state.row.coverage_floor;
        let is_hopeless = state.reachable() < floor;
        let is_enough = state.partial_due && state.fraction() >= floor && state.answered > 0;
        if state.open() == 0 || is_hopeless || is_enough {
            self.end(query, now, out);
        }
    }

    pub(super) fn partial_due(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        state.partial_due = true;
        if state.is_running {
            self.check_end(query, now, out);
        }
    }

    pub(super) fn deadline_passed(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if state.is_running {
            return self.end(query, now, out);
        }
        let wait = self.gates.gate(state.gate).service_time;
        self.end_refused(query, RefusalReason::DeadlinePassed, Some(wait), now, out);
    }

    /// Ends a running query with what it has.
    fn end(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let enough = state.answered > 0 && state.fraction() >= state.row.coverage_floor;
        if enough {
            return self.end_answered(query, now, out);
        }
        let reason = refusal_reason(state);
        self.end_refused(query, reason, None, now, out);
    }

    fn end_answered(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        self.cancel_all(query, now, out);
        let Some(mut state) = self.take_query(query, now) else {
            return;
        };
        let coverage = state.coverage();
        if coverage.missing.is_empty() {
            self.counters.complete += 1;
        } else {
            self.counters.partial += 1;
        }
        if state.traced {
            let decision = RouteDecision::Finish {
                answered: coverage.answered,
                asked: coverage.asked,
                took: now - state.arrived,
            };
            self.record_decision(Some(state.request), decision, now, out);
        }
        let row = &state.row;
        let hits = state
            .shards
            .iter_mut()
            .map(|shard| std::mem::take(&mut shard.hits));
        let hits = merge_hits(row.merge, row.limit, hits);
        let answer = QueryAnswer {
            request: state.request,
            table_version: state.table_version,
            snapshot: state.snapshot,
            coverage,
            hedged: state.hedged,
            restarted: state.restarted,
            time_left: state.deadline.saturating_sub(now),
            hits,
        };
        out.push(EntryAction::Finish {
            call: state.call,
            outcome: QueryOutcome::Answer(answer),
        });
        self.recycle_shards(state.shards);
    }

    /// Ends a request, queued or running, without an answer.
    pub(super) fn end_refused(
        &mut self,
        query: SlotKey,
        reason: RefusalReason,
        wait: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        // What may not be repeated is left to run to its end: cancelling it
        // half way helps nobody.
        if is_repeatable(state.row.kind) {
            self.cancel_all(query, now, out);
        }
        let Some(state) = self.take_query(query, now) else {
            return;
        };
        let run = if state.maybe_ran == 0 || !self.options.safety_checks.not_run_claim {
            self.counters.not_run += 1;
            RunState::NotRun
        } else {
            self.counters.unknown += 1;
            RunState::Unknown
        };
        if state.traced {
            let decision = RouteDecision::Refuse { reason };
            self.record_decision(Some(state.request), decision, now, out);
        }
        out.push(EntryAction::Finish {
            call: state.call,
            outcome: QueryOutcome::Refusal(QueryRefusal {
                request: state.request,
                table_version: state.table_version,
                reason,
                run,
                retry_after: wait.or_else(|| helpful_wait(reason)),
                coverage: state.coverage(),
            }),
        });
        self.recycle_shards(state.shards);
    }

    /// Takes a query out of the machine and frees its place at the gate.
    fn take_query(&mut self, query: SlotKey, now: Duration) -> Option<QueryState> {
        let state = self.queries.remove(query)?;
        self.calls.remove(&state.call);
        if state.is_running {
            self.gates.end(state.gate);
            let took = now - state.started;
            self.gates.gate_mut(state.gate).record_service_time(took);
        } else {
            let gate = self.gates.gate_mut(state.gate);
            gate.queue.retain(|waiting| *waiting != query);
        }
        Some(state)
    }
}

/// Returns why a query that has too little to answer is refused.
fn refusal_reason(state: &QueryState) -> RefusalReason {
    if !is_repeatable(state.row.kind) && state.maybe_ran > 0 {
        return RefusalReason::OutcomeUnknown;
    }
    if state.shards.len() > 1 && state.missing < state.shards.len() as u32 {
        return RefusalReason::BelowFloor;
    }
    match state.shards.first().map(|shard| shard.status) {
        Some(ShardStatus::Missing(MissingReason::Failed)) => RefusalReason::Shed,
        Some(ShardStatus::Missing(_)) => RefusalReason::NoServer,
        _ => RefusalReason::DeadlinePassed,
    }
}
