//! Handling of replies: how the end of each attempt changes its query and its server.
//!
//! An attempt is one subquery sent to one server. A reply counts only if it names the
//! attempt, request, shard and snapshot that the subquery was sent for; any other reply is
//! dropped.

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

/// The reason for cancelling an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CancelCause {
    /// Another attempt for the same shard was answered first.
    AnsweredElsewhere,
    /// The attempt exceeded its timeout.
    TimedOut,
    /// The query has ended or restarted, or the shard is sent to another server.
    NoLongerNeeded,
}

/// Weight of a new sample in the moving average of the time to open a connection.
const CONNECT_TIME_GAIN: f32 = 0.1;

impl<P: RoutePolicy> EntryMachine<P> {
    /// Handles the end of an attempt, with or without a reply.
    ///
    /// Updates the server's health, then accepts the reply or retries the shard. A reply to
    /// an attempt that has already ended is dropped and counted as late.
    pub(super) fn reply(&mut self, reply: AttemptReply, now: Duration, out: &mut Vec<EntryAction>) {
        let Some(attempt) = self.attempts.remove(reply.attempt) else {
            self.counters.drops_late += 1;
            return;
        };
        if let Some(connect) = reply.connect {
            self.update_connect_time(attempt.server, connect);
        }
        let record = self.roster.server_mut(attempt.server);
        record.outstanding -= 1;
        let domain = record.domain;
        if !matches!(reply.status, ReplyStatus::NeverSent) {
            self.roster.domain_mut(domain).record_reply(now);
        }
        self.detach_attempt(&attempt, reply.attempt);
        let latency = (now - attempt.sent_at).saturating_sub(reply.connect.unwrap_or_default());
        match reply.status {
            ReplyStatus::Body(body) => self.handle_reply_body(&attempt, body, latency, now, out),
            ReplyStatus::Shed { retry_after } => {
                self.counters.sheds += 1;
                let health = &mut self.roster.server_mut(attempt.server).health;
                health.record_shed(retry_after, now);
                self.uncount_possible_run(&attempt);
                self.handle_failed_attempt(&attempt, MissingReason::Failed, now, out);
            }
            ReplyStatus::SnapshotNotHeld { held } => {
                self.roster.replace_held_snapshots(attempt.server, held);
                self.uncount_possible_run(&attempt);
                self.handle_failed_attempt(&attempt, MissingReason::SnapshotRetired, now, out);
            }
            ReplyStatus::NeverSent => {
                self.record_server_failure(attempt.server, now, out);
                self.uncount_possible_run(&attempt);
                self.mark_last_unsent(&attempt);
                self.handle_failed_attempt(&attempt, MissingReason::Failed, now, out);
            }
            ReplyStatus::Failed => {
                self.record_server_failure(attempt.server, now, out);
                self.handle_lost_reply(&attempt, now, out);
            }
        }
        self.route_queued_shards(attempt.server, now, out);
    }

    /// Handles a well-formed reply: stores its hits if the reply matches the attempt, else
    /// drops the reply.
    fn handle_reply_body(
        &mut self,
        attempt: &AttemptState,
        body: ReplyBody,
        latency: Duration,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.roster.server_mut(attempt.server).idle += 1;
        if let Some(reason) = self.find_mismatch(attempt, &body) {
            return self.drop_reply(attempt, reason, now, out);
        }
        self.record_server_success(attempt.server, latency, now, out);
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
        self.cancel_shard_attempts(
            attempt.query,
            index,
            CancelCause::AnsweredElsewhere,
            now,
            out,
        );
        self.end_if_decided(attempt.query, now, out);
    }

    /// Returns the first difference between a reply and the subquery that was sent, or
    /// `None` if they match.
    ///
    /// If the query has ended, only the identity of the attempt is compared.
    fn find_mismatch(&self, attempt: &AttemptState, body: &ReplyBody) -> Option<DropReason> {
        let safety_checks = self.options.safety_checks;
        let Some(state) = self.queries.get(attempt.query) else {
            return (body.attempt != attempt.id).then_some(DropReason::WrongAttempt);
        };
        let is_same_attempt = body.attempt == attempt.id && body.request == state.request;
        if safety_checks.reply_identity && !is_same_attempt {
            return Some(DropReason::WrongAttempt);
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

    /// Drops a reply that does not match its attempt, and treats the attempt's reply as
    /// lost.
    ///
    /// A reply from another snapshot does not count as a failure of the server.
    fn drop_reply(
        &mut self,
        attempt: &AttemptState,
        reason: DropReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        match reason {
            DropReason::Late => self.counters.drops_late += 1,
            DropReason::WrongAttempt => self.counters.drops_foreign += 1,
            DropReason::WrongShard => self.counters.drops_shard += 1,
            DropReason::WrongSnapshot => self.counters.drops_snapshot += 1,
        }
        let server = self.roster.server(attempt.server).name.clone();
        self.record_query_decision(attempt.query, now, out, |_| RouteDecision::Drop {
            server,
            reason,
        });
        if reason == DropReason::WrongAttempt {
            // The driver closes a connection whose replies no longer match the requests, so
            // that connection is not idle.
            let record = self.roster.server_mut(attempt.server);
            record.idle = record.idle.saturating_sub(1);
        }
        if reason != DropReason::WrongSnapshot {
            self.record_server_failure(attempt.server, now, out);
        }
        self.handle_lost_reply(attempt, now, out);
    }

    /// Handles an attempt whose subquery the server may have run and whose reply is lost.
    ///
    /// A request that may not be repeated is refused with an unknown outcome. For any other
    /// request the attempt counts as failed.
    pub(super) fn handle_lost_reply(
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
            return self.end_with_refusal(attempt.query, reason, None, now, out);
        }
        self.handle_failed_attempt(attempt, MissingReason::Failed, now, out);
    }

    /// Handles a failed attempt: sends the shard again if the retry limit and the
    /// extra-load budget allow it.
    pub(super) fn handle_failed_attempt(
        &mut self,
        attempt: &AttemptState,
        failure_reason: MissingReason,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let index = attempt.index as usize;
        let Some(state) = self.queries.get_mut(attempt.query) else {
            return;
        };
        let shard = &mut state.shards[index];
        shard.failure_reason = Some(failure_reason);
        if shard.status == ShardStatus::Open && shard.attempts.is_empty() {
            self.retry_shard(attempt.query, index, now, out);
        }
    }

    /// Records that no server has run an attempt's subquery.
    fn uncount_possible_run(&mut self, attempt: &AttemptState) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            state.possible_runs -= 1;
        }
    }

    /// Records that nothing of the shard's last attempt was written to a connection, so that
    /// the next send is not charged to the extra-load budget.
    fn mark_last_unsent(&mut self, attempt: &AttemptState) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            state.shards[attempt.index as usize].was_last_unsent = true;
        }
    }

    /// Removes an attempt from the outstanding attempts of its shard.
    pub(super) fn detach_attempt(&mut self, attempt: &AttemptState, key: SlotKey) {
        if let Some(state) = self.queries.get_mut(attempt.query) {
            let shard = &mut state.shards[attempt.index as usize];
            shard.attempts.retain(|other| *other != key);
        }
    }

    /// Records the latency of a valid reply for the server and its upstream.
    fn record_server_success(
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

    /// Records a failure of a server.
    pub(super) fn record_server_failure(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        self.counters.failures += 1;
        self.roster.server_mut(server).health.record_failure(now);
        self.eject_if_unhealthy(server, now, out);
    }

    /// Ejects a server (avoids it for a period) if its failures or its latency exceed the
    /// limits.
    ///
    /// If failures were the cause, the server's outstanding attempts are sent to other
    /// servers.
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
            self.rescue_attempts(&[server], now, out);
        }
    }

    /// Updates the upstream's moving average of the time to open a connection, in
    /// microseconds.
    fn update_connect_time(&mut self, server: ServerKey, connect: Duration) {
        let upstream = self.roster.server(server).upstream;
        let connect = connect.as_secs_f32() * 1e6;
        let record = self.roster.upstream_mut(upstream);
        if record.connect == 0.0 {
            record.connect = connect;
        }
        record.connect += (connect - record.connect) * CONNECT_TIME_GAIN;
    }

    /// Cancels all outstanding attempts of a shard.
    pub(super) fn cancel_shard_attempts(
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

    /// Cancels an attempt and gives the capacity that becomes free at its server to queued
    /// shards.
    ///
    /// The time since the send counts as a lower bound of the server's latency, unless the
    /// attempt is cancelled because its reply is no longer needed.
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
        self.detach_attempt(&attempt, key);
        self.counters.cancels += 1;
        let elapsed = now - attempt.sent_at;
        let record = self.roster.server_mut(attempt.server);
        record.outstanding -= 1;
        if cause != CancelCause::NoLongerNeeded {
            record.health.record_censored_latency(elapsed, now);
        }
        let name = record.name.clone();
        let upstream = record.upstream;
        // The latency statistics leave timeouts out: the timeout is derived from a quantile
        // of these statistics, and timed-out attempts would raise that quantile.
        if cause == CancelCause::AnsweredElsewhere {
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
        self.route_queued_shards(attempt.server, now, out);
    }

    /// Cancels all attempts of a query.
    pub(super) fn cancel_query_attempts(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(state) = self.queries.get_mut(query) else {
            return;
        };
        // Remove the query's shards from the queues first. Otherwise the capacity that the
        // cancelled attempts free would go to other shards of the same query.
        for shard in &mut state.shards {
            shard.is_queued = false;
        }
        for index in 0..state.shards.len() {
            self.cancel_shard_attempts(query, index, CancelCause::NoLongerNeeded, now, out);
        }
    }
}
