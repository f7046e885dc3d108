//! The end of a request: a complete answer, a partial answer, or a refusal.
//!
//! A query ends as soon as its outcome cannot change, at the latest at its deadline. Every
//! request gets exactly one outcome.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::action::EntryAction;
use crate::process::admission::{is_repeatable, suggest_retry_after};
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::request::answer::{
    MissingReason, QueryAnswer, QueryOutcome, QueryRefusal, RefusalReason, RunState,
};
use crate::request::decision::RouteDecision;
use crate::request::merge::merge_hits;
use crate::request::query::{QueryState, ShardStatus};

impl<P: RoutePolicy> EntryMachine<P> {
    /// Gives up a shard: the answer will not include that shard.
    ///
    /// If no server holds the shard any more, first tries to restart the whole query on
    /// another snapshot.
    pub(super) fn give_up_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        reason: MissingReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let has_no_holder = matches!(
            reason,
            MissingReason::NoServer | MissingReason::SnapshotRetired
        );
        if has_no_holder && self.try_restart(query, now, out) {
            return;
        }
        self.mark_shard_missing(query, index, reason, now, out);
        self.end_if_decided(query, now, out);
    }

    /// Marks an open shard as missing from the answer and records that decision.
    pub(super) fn mark_shard_missing(
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

    /// Ends a query if its outcome is decided.
    ///
    /// The outcome is decided when no shard is open (neither answered nor given up), when the
    /// service's minimum coverage can no longer be reached, or when a partial answer is
    /// allowed and has the minimum coverage.
    pub(super) fn end_if_decided(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let min_coverage = state.row.coverage_floor;
        let is_coverage_unreachable = state.reachable_fraction() < min_coverage;
        let may_end_early =
            state.partial_due && state.answered_fraction() >= min_coverage && state.answered > 0;
        if state.open_shards() == 0 || is_coverage_unreachable || may_end_early {
            self.end_running(query, now, out);
        }
    }

    /// Handles the partial-answer timer: from now on the query ends as soon as it has the
    /// service's minimum coverage.
    pub(super) fn allow_partial_answer(
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
            self.end_if_decided(query, now, out);
        }
    }

    /// Handles the deadline timer: ends a running query and refuses a queued one.
    pub(super) fn handle_deadline(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if state.is_running {
            return self.end_running(query, now, out);
        }
        let retry_after = self.gates.gate(state.gate).service_time;
        self.end_with_refusal(
            query,
            RefusalReason::DeadlinePassed,
            Some(retry_after),
            now,
            out,
        );
    }

    /// Ends a running query: with an answer if it has the service's minimum coverage, else
    /// with a refusal.
    fn end_running(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let has_required_coverage =
            state.answered > 0 && state.answered_fraction() >= state.row.coverage_floor;
        if has_required_coverage {
            return self.end_with_answer(query, now, out);
        }
        let reason = find_refusal_reason(state);
        self.end_with_refusal(query, reason, None, now, out);
    }

    /// Answers a query with the merged hits of all shards that have replied.
    fn end_with_answer(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        self.cancel_query_attempts(query, now, out);
        let Some(mut state) = self.remove_query(query, now) else {
            return;
        };
        let coverage = state.coverage();
        if coverage.missing.is_empty() {
            self.counters.complete += 1;
        } else {
            self.counters.partial += 1;
        }
        if state.is_traced {
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

    /// Refuses a queued or running request.
    pub(super) fn end_with_refusal(
        &mut self,
        query: SlotKey,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        // A request that may not be repeated is not cancelled: stopping it half way would
        // help nobody.
        if is_repeatable(state.row.kind) {
            self.cancel_query_attempts(query, now, out);
        }
        let Some(state) = self.remove_query(query, now) else {
            return;
        };
        let run = if state.possible_runs == 0 || !self.options.safety_checks.not_run_claim {
            self.counters.not_run += 1;
            RunState::NotRun
        } else {
            self.counters.unknown += 1;
            RunState::Unknown
        };
        if state.is_traced {
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
                retry_after: retry_after.or_else(|| suggest_retry_after(reason)),
                coverage: state.coverage(),
            }),
        });
        self.recycle_shards(state.shards);
    }

    /// Removes a query and frees its place among the running or queued requests of its
    /// service.
    fn remove_query(&mut self, query: SlotKey, now: Duration) -> Option<QueryState> {
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

/// Returns the refusal reason for a query that ends below its minimum coverage.
fn find_refusal_reason(state: &QueryState) -> RefusalReason {
    if !is_repeatable(state.row.kind) && state.possible_runs > 0 {
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
