//! Looking over a query's outstanding attempts: hedges, timeouts, retries.

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

/// Hedge delay while too few latencies were seen.
const UNSEEN_DELAY: Duration = Duration::from_millis(20);
/// Least hedge delay.
const LEAST_DELAY: Duration = Duration::from_millis(1);
/// Attempt timeout as a multiple of the hedge delay.
const TIMEOUT_MULTIPLE: u32 = 6;
/// Longest hedge delay, as a part of the row's deadline.
const DELAY_DIVISOR: u32 = 16;
/// Least attempt timeout.
const LEAST_TIMEOUT: Duration = Duration::from_millis(40);
/// Longest time between two sweeps.
const LONGEST_SWEEP: Duration = Duration::from_millis(50);

/// What a shard needs when it is looked over.
enum ShardNeed {
    Nothing,
    /// It has no attempt outstanding.
    Send,
    /// Its only attempt is slow.
    Hedge,
    /// An attempt has outlasted the attempt timeout.
    Timeout(SlotKey),
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Returns the time after which a slow attempt is hedged.
    ///
    /// The bound by the row's deadline keeps the delay, and the timeout that
    /// is derived from it, useful while everything is slow.
    pub(super) fn hedge_delay(&self, upstream: UpstreamKey, row: &ServiceRow) -> Duration {
        let window = &self.roster.upstream_record(upstream).latency;
        let delay = window.quantile(row.hedge_quantile).unwrap_or(UNSEEN_DELAY);
        let longest = row.deadline / DELAY_DIVISOR;
        delay.min(longest).max(LEAST_DELAY)
    }

    pub(super) fn sweep(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        let (Some(upstream), count) = (state.upstream, state.shards.len()) else {
            return;
        };
        let delay = self.hedge_delay(upstream, &state.row);
        for index in 0..count {
            let need = self.shard_need(query, index, delay, now);
            self.meet_need(query, index, need, now, out);
            if self.queries.get(query).is_none() {
                return;
            }
        }
        let next = (delay / 2).clamp(LEAST_DELAY, LONGEST_SWEEP);
        self.timers.set(now + next, TimerPurpose::Sweep(query));
    }

    fn shard_need(
        &self,
        query: SlotKey,
        index: usize,
        delay: Duration,
        now: Duration,
    ) -> ShardNeed {
        let Some(state) = self.queries.get(query) else {
            return ShardNeed::Nothing;
        };
        // A restart in the middle of a sweep may leave fewer shards.
        let Some(shard) = state.shards.get(index) else {
            return ShardNeed::Nothing;
        };
        if shard.status != ShardStatus::Open {
            return ShardNeed::Nothing;
        }
        if shard.attempts.is_empty() {
            return ShardNeed::Send;
        }
        if !is_repeatable(state.row.kind) && self.options.safety_checks.single_run {
            return ShardNeed::Nothing;
        }
        if let Some(attempt) = self.timed_out(shard, delay, now) {
            return ShardNeed::Timeout(attempt);
        }
        let slow = now >= shard.sent_at + delay;
        let may_hedge = self.policy.hedges() && state.row.hedge_quantile < 1.0;
        let may_send = shard.attempts.len() == 1 && shard.sends <= state.row.retries;
        if may_hedge && slow && may_send {
            ShardNeed::Hedge
        } else {
            ShardNeed::Nothing
        }
    }

    fn timed_out(&self, shard: &ShardState, delay: Duration, now: Duration) -> Option<SlotKey> {
        if !self.policy.ejects() {
            return None;
        }
        let timeout = (delay * TIMEOUT_MULTIPLE).max(LEAST_TIMEOUT);
        let mut attempts = shard.attempts.iter();
        let outlasted = |key: &&SlotKey| {
            let attempt = self.attempts.get(**key);
            attempt.is_some_and(|attempt| now >= attempt.sent_at + timeout)
        };
        attempts.find(outlasted).copied()
    }

    fn meet_need(
        &mut self,
        query: SlotKey,
        index: usize,
        need: ShardNeed,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        match need {
            ShardNeed::Nothing => {}
            ShardNeed::Send => self.retry_shard(query, index, now, out),
            ShardNeed::Hedge => self.hedge_shard(query, index, now, out),
            ShardNeed::Timeout(attempt) => self.time_out(query, index, attempt, now, out),
        }
    }

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

    /// Gives up an attempt that has outlasted its timeout, and counts it
    /// against its server.
    fn time_out(
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
        self.server_failed(server, now, out);
        self.watch_domain(server, sent_at, now, out);
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let shard = &mut state.shards[index];
        shard.trouble = Some(MissingReason::TooLate);
        if shard.attempts.is_empty() && shard.status == ShardStatus::Open {
            self.retry_shard(query, index, now, out);
        }
    }

    /// Sends for a shard that has no attempt outstanding, or gives it up.
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
        let trouble = shard.trouble.unwrap_or(MissingReason::NoServer);
        if shard.sends > state.row.retries {
            return self.give_up(query, index, trouble, now, out);
        }
        let cause = self.next_cause(query, index);
        if cause.draws_budget() {
            let has_budget = self.allows_retry(query);
            let is_silent = trouble == MissingReason::TooLate;
            // What was silent once is not waited for again, and a token that
            // may come is not waited for without hope of a good server.
            if (is_silent || !has_budget) && !self.has_good_server(query, index, now) {
                return self.give_up(query, index, trouble, now, out);
            }
            if !has_budget {
                self.counters.budget_denied += 1;
                return;
            }
        }
        let outcome = self.route_shard(query, index, cause, now, out);
        if outcome == RouteOutcome::NoServer {
            self.give_up(query, index, trouble, now, out);
        }
    }

    /// Tells whether the budget has a token for a retry of this query.
    pub(super) fn allows_retry(&self, query: SlotKey) -> bool {
        self.budget(query).is_some_and(ExtraBudget::allows_retry)
    }

    fn allows_hedge(&self, query: SlotKey) -> bool {
        self.budget(query).is_some_and(ExtraBudget::allows_hedge)
    }

    fn budget(&self, query: SlotKey) -> Option<&ExtraBudget> {
        let state = self.queries.get(query)?;
        Some(&self.gates.gate(state.gate).budget)
    }
}
