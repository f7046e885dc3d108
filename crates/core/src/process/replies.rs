//! Taking replies: only what matches in attempt, request, shard and snapshot.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::action::EntryAction;
use crate::process::admission::is_repeatable;
use crate::process::entry::EntryMachine;
use crate::process::input::{AttemptReply, ReplyBody, ReplyStatus};
use crate::process::policy::RoutePolicy;
use crate::request::answer::{MissingReason, RefusalReason};
use crate::request::decision::{DropReason, EjectCause, RouteDecision};
use crate::request::query::{AttemptState, ShardStatus};

/// Why an attempt is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelCause {
    /// Another attempt answered first.
    Overtaken,
    /// It outlasted its timeout.
    TimedOut,
    /// Nobody waits for its query any more, or it is sent elsewhere.
    Unwanted,
}

/// Weight of a new sample in the moving average of the connection time.
const CONNECT_GAIN: f32 = 0.1;

impl<P: RoutePolicy> EntryMachine<P> {
    pub(super) fn reply(&mut self, reply: AttemptReply, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(attempt) = self.attempts.remove(reply.attempt) else {
            self.counters.drops_late += 1;
            return;
        };
        if let Some(connect) = reply.connect {
            self.learn_connect(attempt.server, connect);
        }
        let record = self.roster.server_mut(attempt.server);
        record.outstanding -= 1;
        let domain = record.domain;
        if !matches!(reply.status, ReplyStatus::NeverSent) {
            self.roster.domain_mut(domain).record_reply(now);
        }
        self.detach(&attempt, reply.attempt);
        let latency = (now - attempt.sent_at).saturating_sub(reply.connect.unwrap_or_default());
        match reply.status {
            ReplyStatus::Body(body) => self.take_body(&attempt, body, latency, now, out),
            ReplyStatus::Shed { retry_after } => {
                self.counters.sheds += 1;
                let health = &mut self.roster.server_mut(attempt.server).health;
                health.record_shed(retry_after, now);
                self.known_not_run(&attempt);
                self.attempt_failed(&attempt, MissingReason::Failed, now, out);
            }
            ReplyStatus::SnapshotNotHeld { held } => {
                self.roster.replace_held_snapshots(attempt.server, held);
                self.known_not_run(&attempt);
                self.attempt_failed(&attempt, MissingReason::SnapshotRetired, now, out);
            }
            ReplyStatus::NeverSent => {
                self.server_failed(attempt.server, now, out);
                self.known_not_run(&attempt);
                self.mark_unsent(&attempt);
                self.attempt_failed(&attempt, MissingReason::Failed, now, out);
            }
            ReplyStatus::Failed => {
                self.server_failed(attempt.server, now, out);
                self.attempt_broke(&attempt, now, out);
            }
        }
        self.serve_waiters(attempt.server, now, out);
    }

    /// Takes a well-formed reply, if it is the one that was asked for.
    fn take_body(
        &mut self,
        attempt: &AttemptState,
        body: ReplyBody,
        latency: Duration,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.roster.server_mut(attempt.server).idle += 1;
        if let Some(reason) = self.mismatch(attempt, &body) {
            return self.drop_reply(attempt, reason, now, out);
        }
        self.server_answered(attempt.server, latency, now, out);
        let index = attempt.index as usize;
        let Some(state) = self.queries.get_mut(attempt.query) else {
            self.counters.drops_late += 1;
            return;
        };
        let shard = &mut state.shards[index];
        if shard.status != ShardStatus::Open {
            self.counters.drops_late += 1;
            return;
        }
        shard.status = ShardStatus::Answered;
        shard.hits = body.hits;
        state.answered += 1;
        self.cancel_shard(attempt.query, index, CancelCause::Overtaken, now, out);
        self.check_end(attempt.query, now, out);
    }

    /// Returns in what a reply differs from what was asked for.
    fn mismatch(&self, attempt: &AttemptState, body: &ReplyBody) -> Option<DropReason> {
        let safety_checks = self.options.safety_checks;
        let Some(state) = self.queries.get(attempt.query) else {
            return (body.attempt != attempt.id).then_some(DropReason::Foreign);
        };
        let same = body.attempt == attempt.id && body.request == state.request;
        if safety_checks.reply_identity && !same {
            return Some(DropReason::Foreign);
        }
        let shard = state.shards.get(attempt.index as usize);
        if safety_checks.shard && shard.is_none_or(|shard| shard.number != body.shard) {
            return Some(DropReason::WrongShard);
        }
        if safety_checks.snapshot && state.snapshot != body.snapshot {
            return Some(DropReason::WrongSnapshot);
        }
        None
    }

    fn drop_reply(
        &mut self,
        attempt: &AttemptState,
        reason: DropReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        match reason {
            DropReason::Late => self.counters.drops_late += 1,
            DropReason::Foreign => self.counters.drops_foreign += 1,
            DropReason::WrongShard => self.counters.drops_shard += 1,
            DropReason::WrongSnapshot => self.counters.drops_snapshot += 1,
        }
        let server = self.roster.server(attempt.server).name.clone();
        self.record_query_decision(attempt.query, now, out, |_| RouteDecision::Drop {
            server,
            reason,
        });
        if reason == DropReason::Foreign {
            // The driver closes a connection that is out of step.
            let record = self.roster.server_mut(attempt.server);
            record.idle = record.idle.saturating_sub(1);
        }
        if reason != DropReason::WrongSnapshot {
            self.server_failed(attempt.server, now, out);
        }
        self.attempt_broke(attempt, now, out);
    }

    /// Handles an attempt that may have run and whose reply is lost.
    pub(super) fn attempt_broke(
        &mut self,
        attempt: &AttemptState,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get(attempt.query) else {
            return;
        };
        if !is_repeatable(state.row.kind) && self.options.safety_checks.single_run {
            let reason = RefusalReason::OutcomeUnknown;
            return self.end_refused(attempt.query, reason, None, now, out);
        }
        self.attempt_failed(attempt, MissingReason::Failed, now, out);
    }

    /// Handles an attempt that failed: its shard is tried elsewhere if the
    /// retry limit and the budget allow.
    pub(super) fn attempt_failed(
        &mut self,
        attempt: &AttemptState,
        trouble: MissingReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let index = attempt.index as usize;
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let shard = &mut state.shards[index];
        shard.trouble = Some(trouble);
        if shard.status == ShardStatus::Open && shard.attempts.is_empty() {
            self.retry_shard(attempt.query, index, now, out);
        }
    }

    fn known_not_run(&mut self, attempt: &AttemptState) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            state.maybe_ran -= 1;
        }
    }

    fn mark_unsent(&mut self, attempt: &AttemptState) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            state.shards[attempt.index as usize].unsent = true;
        }
    }

    /// Takes an attempt off its shard.
    pub(super) fn detach(&mut self, attempt: &AttemptState, key: SlotKey) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            let shard = &mut state.shards[attempt.index as usize];
            shard.attempts.retain(|other| *other != key);
        }
    }

    fn server_answered(
        &mut self,
        server: ServerKey,
        latency: Duration,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let upstream = self.roster.server(server).upstream;
        self.roster.upstream_mut(upstream).latency.add(latency);
        self.roster
            .server_mut(server)
            .health
            .record_success(latency, now);
        self.eject_if_unhealthy(server, now, out);
    }

    pub(super) fn server_failed(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.counters.failures += 1;
        self.roster.server_mut(server).health.record_failure(now);
        self.eject_if_unhealthy(server, now, out);
    }

    /// Ejects a server if what was seen of it calls for that.
    pub(super) fn eject_if_unhealthy(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.policy.ejects() {
            return;
        }
        let upstream = self.roster.server(server).upstream;
        let typical = self.roster.upstream_record(upstream).latency.median();
        let record = self.roster.server_mut(server);
        let Some((cause, period)) = record.health.eject_if_unhealthy(typical, now) else {
            return;
        };
        self.counters.ejections += 1;
        let decision = RouteDecision::Eject {
            server: record.name.clone(),
            cause,
            period,
        };
        self.record_decision(None, decision, now, out);
        if cause == EjectCause::Failures {
            self.rescue(&[server], now, out);
        }
    }

    fn learn_connect(&mut self, server: ServerKey, connect: Duration) {
        let upstream = self.roster.server(server).upstream;
        let connect = connect.as_secs_f32() * 1e6;
        let record = self.roster.upstream_mut(upstream);
        if record.connect == 0.0 {
            record.connect = connect;
        }
        record.connect += (connect - record.connect) * CONNECT_GAIN;
    }

    /// Cancels the attempts of a shard that are still outstanding.
    pub(super) fn cancel_shard(
        &mut self,
        query: SlotKey,
        index: usize,
        cause: CancelCause,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        let attempts = std::mem::take(&mut state.shards[index].attempts);
        for attempt in attempts {
            self.cancel_attempt(attempt, cause, now, out);
        }
    }

    /// Cancels one attempt and gives its place at the server away.
    pub(super) fn cancel_attempt(
        &mut self,
        key: SlotKey,
        cause: CancelCause,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        self.detach(&attempt, key);
        self.counters.cancels += 1;
        let elapsed = now - attempt.sent_at;
        let record = self.roster.server_mut(attempt.server);
        record.outstanding -= 1;
        if cause != CancelCause::Unwanted {
            record.health.record_censored_latency(elapsed, now);
        }
        let name = record.name.clone();
        let upstream = record.upstream;
        // Timeouts stay out of the window: they would raise the quantile that
        // they are derived from.
        if cause == CancelCause::Overtaken {
            self.roster.upstream_mut(upstream).latency.add(elapsed);
        }
        out.push(EntryAction::Cancel {
            attempt: key,
            server: attempt.server,
        });
        self.record_query_decision(attempt.query, now, out, |_| RouteDecision::Cancel {
            attempt: attempt.id,
            server: name,
        });
        self.eject_if_unhealthy(attempt.server, now, out);
        self.serve_waiters(attempt.server, now, out);
    }

    /// Cancels all attempts of a query.
    pub(super) fn cancel_all(&mut self, query: SlotKey, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        // Else the room that is given away would go to the query's own shards.
        for shard in &mut state.shards {
            shard.waits = false;
        }
        for index in 0..state.shards.len() {
            self.cancel_shard(query, index, CancelCause::Unwanted, now, out);
        }
    }
}
