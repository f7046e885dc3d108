//! Sweeps: a periodic check of a query's shards that sends hedges, times attempts out and
//! retries shards.
//!
//! A hedge is a second subquery for a shard whose first attempt is slow; the first reply
//! wins. Hedges and retries are charged to the service's extra-load budget.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::action::EntryAction;
use crate::process::admission::is_repeatable;
use crate::process::budget::ExtraBudget;
use crate::process::entry::EntryMachine;
use crate::process::policy::RoutePolicy;
use crate::process::replies::CancelCause;
use crate::process::route::RouteOutcome;
use crate::process::timer::TimerPurpose;
use crate::request::answer::MissingReason;
use crate::request::decision::SendCause;
use crate::request::query::{ShardState, ShardStatus};
use crate::version::row::ServiceRow;

/// Hedge delay while the upstream has too few latency samples for a quantile.
const DEFAULT_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Minimum hedge delay, and minimum time between two sweeps of a query.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);
/// Attempt timeout as a multiple of the hedge delay.
const TIMEOUT_HEDGE_DELAYS: u32 = 6;
/// Divisor of the service's deadline that gives the maximum hedge delay.
const MAX_HEDGE_DELAY_DIVISOR: u32 = 16;
/// Minimum attempt timeout.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(40);
/// Maximum time between two sweeps of a query.
const MAX_SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// What a sweep does for one shard.
enum SweepAction {
    /// Leaves the shard as it is.
    Nothing,
    /// Sends a subquery, because the shard has no attempt outstanding.
    Send,
    /// Sends a hedge, because the shard's only attempt is slow.
    Hedge,
    /// Times out the attempt with this key.
    Timeout(SlotKey),
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Returns the time after which a slow attempt is hedged.
    ///
    /// The delay is a quantile of the upstream's recent latencies; the service's row in the
    /// service table sets the quantile. The delay is at most a fixed fraction of the row's
    /// deadline, so that hedges and the attempt timeouts derived from the delay still come in
    /// time while all servers are slow.
    pub(super) fn hedge_delay(&self, upstream: UpstreamKey, row: &ServiceRow) -> Duration {
        let window = &self.roster.upstream_record(upstream).latency;
        let delay = window
            .quantile(row.hedge_quantile)
            .unwrap_or(DEFAULT_HEDGE_DELAY);
        let max_delay = row.deadline / MAX_HEDGE_DELAY_DIVISOR;
        delay.min(max_delay).max(MIN_HEDGE_DELAY)
    }

    /// Checks every shard of a query once and schedules the next sweep.
    pub(super) fn sweep_query(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let (Some(upstream), count) = (state.upstream, state.shards.len()) else {
            return;
        };
        let delay = self.hedge_delay(upstream, &state.row);
        for index in 0..count {
            let action = self.choose_sweep_action(query, index, delay, now);
            self.run_sweep_action(query, index, action, now, out);
            if self.queries.get(query).is_none() {
                return;
            }
        }
        let interval = (delay / 2).clamp(MIN_HEDGE_DELAY, MAX_SWEEP_INTERVAL);
        self.timers.set(now + interval, TimerPurpose::Sweep(query));
    }

    /// Returns what the sweep has to do for a shard.
    fn choose_sweep_action(
        &self,
        query: SlotKey,
        index: usize,
        delay: Duration,
        now: Duration,
    ) -> SweepAction {
        let Some(state) = self.queries.get(query) else {
            return SweepAction::Nothing;
        };
        // If the query restarts during the sweep, the new snapshot may have fewer shards.
        let Some(shard) = state.shards.get(index) else {
            return SweepAction::Nothing;
        };
        if shard.status != ShardStatus::Open {
            return SweepAction::Nothing;
        }
        if shard.attempts.is_empty() {
            return SweepAction::Send;
        }
        if !is_repeatable(state.row.kind) && self.options.safety_checks.single_run {
            return SweepAction::Nothing;
        }
        if let Some(attempt) = self.find_timed_out_attempt(shard, delay, now) {
            return SweepAction::Timeout(attempt);
        }
        let is_slow = now >= shard.sent_at + delay;
        let may_hedge = self.policy.hedges() && state.row.hedge_quantile < 1.0;
        let may_send = shard.attempts.len() == 1 && shard.sends <= state.row.retries;
        if may_hedge && is_slow && may_send {
            SweepAction::Hedge
        } else {
            SweepAction::Nothing
        }
    }

    /// Returns an attempt of the shard that has exceeded the attempt timeout, if any. Finds
    /// none if the policy has ejection, and with it timeouts, switched off.
    fn find_timed_out_attempt(
        &self,
        shard: &ShardState,
        delay: Duration,
        now: Duration,
    ) -> Option<SlotKey> {
        if !self.policy.ejects() {
            return None;
        }
        let timeout = (delay * TIMEOUT_HEDGE_DELAYS).max(MIN_ATTEMPT_TIMEOUT);
        let mut attempts = shard.attempts.iter();
        let has_timed_out = |key: &&SlotKey| {
            let attempt = self.attempts.get(**key);
            attempt.is_some_and(|attempt| now >= attempt.sent_at + timeout)
        };
        attempts.find(has_timed_out).copied()
    }

    /// Carries out what [`choose_sweep_action`](Self::choose_sweep_action) returned.
    fn run_sweep_action(
        &mut self,
        query: SlotKey,
        index: usize,
        action: SweepAction,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        match action {
            SweepAction::Nothing => {}
            SweepAction::Send => self.retry_shard(query, index, now, out),
            SweepAction::Hedge => self.hedge_shard(query, index, now, out),
            SweepAction::Timeout(attempt) => self.time_out_attempt(query, index, attempt, now, out),
        }
    }

    /// Sends a hedge for a shard if the extra-load budget allows it.
    fn hedge_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.allows_hedge(query) {
            self.counters.budget_denied += 1;
            return;
        }
        self.route_shard(query, index, SendCause::Hedge, now, out);
    }

    /// Cancels an attempt that has exceeded its timeout, records a failure of its server, and
    /// retries the shard if no other attempt is outstanding.
    fn time_out_attempt(
        &mut self,
        query: SlotKey,
        index: usize,
        key: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (server, sent_at) = (attempt.server, attempt.sent_at);
        self.counters.timeouts += 1;
        self.cancel_attempt(key, CancelCause::TimedOut, now, out);
        self.record_server_failure(server, now, out);
        self.record_domain_timeout(server, sent_at, now, out);
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let shard = &mut state.shards[index];
        shard.failure_reason = Some(MissingReason::TooLate);
        if shard.attempts.is_empty() && shard.status == ShardStatus::Open {
            self.retry_shard(query, index, now, out);
        }
    }

    /// Sends a shard that has no attempt outstanding again, or gives it up.
    ///
    /// If the extra-load budget is empty and a healthy, untried server exists, the shard
    /// stays open and the next sweep tries again.
    pub(super) fn retry_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let shard = &state.shards[index];
        let failure_reason = shard.failure_reason.unwrap_or(MissingReason::NoServer);
        if shard.sends > state.row.retries {
            return self.give_up_shard(query, index, failure_reason, now, out);
        }
        let cause = self.next_send_cause(query, index);
        if cause.spends_budget() {
            let has_budget = self.allows_retry(query);
            let has_timed_out = failure_reason == MissingReason::TooLate;
            // After a timeout the shard is not sent to a tried or unhealthy server, and
            // waiting for a budget token is useless without a healthy, untried server.
            if (has_timed_out || !has_budget) && !self.has_preferred_server(query, index, now) {
                return self.give_up_shard(query, index, failure_reason, now, out);
            }
            if !has_budget {
                self.counters.budget_denied += 1;
                return;
            }
        }
        let outcome = self.route_shard(query, index, cause, now, out);
        if outcome == RouteOutcome::NoServer {
            self.give_up_shard(query, index, failure_reason, now, out);
        }
    }

    /// Returns whether the budget of the query's service has a token for a retry.
    pub(super) fn allows_retry(&self, query: SlotKey) -> bool {
        self.budget(query).is_some_and(ExtraBudget::allows_retry)
    }

    /// Returns whether the budget of the query's service has a token for a hedge.
    fn allows_hedge(&self, query: SlotKey) -> bool {
        self.budget(query).is_some_and(ExtraBudget::allows_hedge)
    }

    /// Returns the extra-load budget of the query's service.
    fn budget(&self, query: SlotKey) -> Option<&ExtraBudget> {
        let state = self.queries.get(query)?;
        Some(&self.gates.gate(state.gate).budget)
    }
}
