//! Handles the end of an attempt: an answer, a failure, or a lost connection.
//!
//! The outcome updates the statistics of the server that the attempt was sent to, and then
//! completes, retries or gives up the parts of the request that it was sent for. A part is
//! one shard's subquery, or the whole of a request that is not sent to several shards.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::{ForwardAttempt, PartState, PartStatus};
use crate::process::forward::canary::CallHold;
use crate::process::forward::choose::SelectionFailure;
use crate::process::forward::input::{AttemptResult, ServerAnswer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::relay::UNRESPONSIVE_BACKOFF;
use crate::process::forward::retry_order::RetryUse;
use crate::process::forward::server::ServerState;
use crate::process::forward::slowness::SlownessEstimate;
use crate::process::forward::stall::{IntervalHistogram, StallStrategy, MIN_STALL};
use crate::process::forward::version::AttemptVerdict;
use crate::process::input::CallTag;

/// Tag used in decisions about an attempt whose request has already ended.
pub(super) const NO_CALL: CallTag = CallTag(u64::MAX);
/// Status (421 Misdirected Request) of a server that is not the one the request was
/// addressed to.
pub(super) const MISDIRECTED: u16 = 421;
/// Lowest status that counts as a failure of the server.
const SERVER_FAILURE: u16 = 500;
/// Time within which another entry's refusal of a relayed request arrives. If sending fails
/// after a longer time, that entry was unreachable.
const RELAY_REFUSAL_TIME: Duration = Duration::from_millis(300);
/// An answer is logged as slow if it takes this many times the typical response time.
const SLOW_DECISION_FACTOR: u32 = 3;

/// The outcome of an attempt, as far as its request is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    /// The server or entry answered, and the answer can be used.
    Final,
    /// The server answered with a failure; another server may succeed.
    Failure,
    /// The server rejected the request without running it.
    NotRun,
    /// The attempt did not reach the server, or another entry refused to take it.
    Unsent,
    /// No connection for the attempt could be opened because of a limit on connections.
    OverLimit,
    /// This entry dropped the attempt before writing it to a connection, because the
    /// request had timed out or had ended.
    Withdrawn,
    /// Another entry refused the relayed request, as servers crashed under it.
    RefusedAsSuspect,
    /// The connection broke or the answer was unusable; the request may have run.
    Broken,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt that was sent to a server.
    fn of_server(end: &AttemptResult) -> AttemptOutcome {
        match end {
            AttemptResult::Unsent => AttemptOutcome::Unsent,
            AttemptResult::Withdrawn => AttemptOutcome::Withdrawn,
            AttemptResult::Broken => AttemptOutcome::Broken,
            AttemptResult::RefusedAsSuspect(_) => AttemptOutcome::RefusedAsSuspect,
            AttemptResult::Answer(answer) if answer.not_run || answer.status == MISDIRECTED => {
                AttemptOutcome::NotRun
            }
            AttemptResult::Answer(answer) if answer.status >= SERVER_FAILURE => {
                AttemptOutcome::Failure
            }
            AttemptResult::Answer(_) | AttemptResult::Bundle(_) => AttemptOutcome::Final,
        }
    }

    /// Returns the outcome of a relay, an attempt that was sent to another entry. That
    /// entry's own refusal does not count as a failure of a server. An answer that may lack
    /// some of the greatest `top` records of its parts cannot be used.
    fn of_relay(end: &AttemptResult, top: usize) -> AttemptOutcome {
        match end {
            AttemptResult::Bundle(bundle) if !bundle.covers(top) => AttemptOutcome::Broken,
            AttemptResult::Bundle(_) => AttemptOutcome::Final,
            AttemptResult::Unsent => AttemptOutcome::Unsent,
            AttemptResult::Withdrawn => AttemptOutcome::Withdrawn,
            AttemptResult::RefusedAsSuspect(_) => AttemptOutcome::RefusedAsSuspect,
            AttemptResult::Answer(_) | AttemptResult::Broken => AttemptOutcome::Broken,
        }
    }

    /// Returns the name used in decisions and logs.
    fn label(self) -> &'static str {
        match self {
            AttemptOutcome::Final => "answer",
            AttemptOutcome::Failure => "server_failure",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Unsent => "unreachable",
            AttemptOutcome::OverLimit => "over_limit",
            AttemptOutcome::Withdrawn => "withdrawn",
            AttemptOutcome::RefusedAsSuspect => "barred",
            AttemptOutcome::Broken => "broken",
        }
    }
}

/// Returns the factor by which queueing at the server prolonged an answer, relative to the
/// service time alone. Assumes that the request found as long a queue as its answer
/// reports.
fn queue_factor(end: &AttemptResult) -> f64 {
    match end {
        AttemptResult::Answer(answer) => answer.load.map_or(1.0, |load| {
            1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
        }),
        _ => 1.0,
    }
}

/// Returns the current slowness that the server reports with its answer, in percent of its
/// usual service time.
fn reported_slowness(end: &AttemptResult) -> Option<u32> {
    match end {
        AttemptResult::Answer(answer) => answer.load?.pace,
        _ => None,
    }
}

/// Infers from the time of an answer whether the server stalled before it started the
/// request, and records that. Ignores requests that waited in the server's queue, as
/// their delay has another cause.
fn infer_stall(
    server: &mut ServerState,
    attempt: &ForwardAttempt,
    end: &AttemptResult,
    histogram: &mut IntervalHistogram,
    now: Duration,
) {
    if queue_factor(end) > 1.0 {
        return;
    }
    let arrived_at = attempt.sent_at + server.round_trip() / 2;
    let service_time = server.expected_service_time(attempt.typical, now);
    let started_at = now
        .saturating_sub(server.round_trip() / 2 + service_time)
        .max(arrived_at);
    if started_at < arrived_at + MIN_STALL + service_time * 2 {
        server
            .stall_predictor
            .record_prompt_start(started_at, histogram.interval());
    } else {
        server
            .stall_predictor
            .record_stall(arrived_at, started_at, histogram);
    }
}

impl PartState {
    /// Removes an attempt from the part's counts if it did not run. `runs` is the number of
    /// runs that the attempt was counted for when it was sent.
    fn uncount_unrun(&mut self, outcome: AttemptOutcome, runs: u32) {
        match outcome {
            AttemptOutcome::Unsent | AttemptOutcome::OverLimit | AttemptOutcome::Withdrawn => {
                self.runs -= runs;
                self.arrivals -= 1;
            }
            AttemptOutcome::NotRun => self.runs -= runs,
            AttemptOutcome::Final
            | AttemptOutcome::Failure
            | AttemptOutcome::RefusedAsSuspect
            | AttemptOutcome::Broken => {}
        }
    }
}

impl ForwardMachine {
    /// Handles the end of an attempt: updates the statistics of its server, the evidence
    /// about its request, and the request itself, and then sends waiting parts.
    pub(super) fn handle_attempt_end(
        &mut self,
        attempt_key: SlotKey,
        end: AttemptResult,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(attempt) = self.attempts.remove(attempt_key) else {
            return;
        };
        let mut outcome = AttemptOutcome::of_server(&end);
        if attempt.is_relay() {
            let call = attempt.call.and_then(|call| self.calls.get(call));
            outcome = AttemptOutcome::of_relay(&end, call.map_or(0, |call| call.top));
        }
        if outcome == AttemptOutcome::Unsent && attempt.met_limit {
            outcome = AttemptOutcome::OverLimit;
        }
        if outcome == AttemptOutcome::Broken && !attempt.is_relay() && !attempt.is_cancelled {
            self.record_broken_attempt(&attempt, now, out);
        }
        self.update_server_stats(attempt_key, &attempt, &end, outcome, now, out);
        self.observe_answer(&attempt, &end, now);
        self.update_version_stats(&attempt, &end, outcome, now);
        let hold = self.call_hold(attempt.call);
        self.record_server_sign(&attempt, &end, now, out);
        self.record_evidence(&attempt, &end, now, out);
        self.apply_to_request(attempt_key, &attempt, end, outcome, now, out);
        if let Some(call) = attempt.call {
            match hold {
                _ if self.call_hold(attempt.call) != CallHold::Free => {}
                CallHold::Canary => self.send_remaining_parts(call, now, out),
                CallHold::Verdict => self.send_unsent_parts(call, now, out),
                CallHold::Free => {}
            }
        }
        self.retry_waiting_parts(attempt.upstream, now, out);
    }

    /// Counts an outcome for the software version of its server during a roll-out.
    fn update_version_stats(
        &mut self,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        outcome: AttemptOutcome,
        now: Duration,
    ) {
        if attempt.is_relay() || self.upstreams[attempt.upstream].rollout.is_none() {
            return;
        }
        let round_trip = self.servers[attempt.server].round_trip();
        let server_time = (now - attempt.sent_at).saturating_sub(round_trip);
        let verdict = match outcome {
            AttemptOutcome::Final => {
                AttemptVerdict::Answered(server_time.div_f64(queue_factor(end)))
            }
            AttemptOutcome::Failure => AttemptVerdict::Failed,
            AttemptOutcome::Broken if attempt.is_cancelled => {
                AttemptVerdict::Abandoned(server_time)
            }
            AttemptOutcome::Broken => AttemptVerdict::Failed,
            AttemptOutcome::NotRun
            | AttemptOutcome::Unsent
            | AttemptOutcome::OverLimit
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::RefusedAsSuspect => return,
        };
        self.record_version_outcome(
            attempt.server,
            attempt.timing,
            attempt.slow_threshold,
            verdict,
        );
    }

    /// Counts and records that a server broke off an attempt.
    fn record_broken_attempt(
        &mut self,
        attempt: &ForwardAttempt,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.counters.broken += 1;
        let call = attempt.call.and_then(|call| self.calls.get(call));
        let tag = call.map_or(NO_CALL, |call| call.tag);
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(attempt.server);
            ForwardDecision::ServerBrokeOff {
                mark: attempt.mark,
                service,
                instance,
                after: now - attempt.sent_at,
                beside: self.servers[attempt.server]
                    .outstanding
                    .len()
                    .saturating_sub(1),
            }
        });
    }

    /// Updates the statistics of a server with the outcome of an attempt: the server's
    /// slowness, failure rate, load and back-off.
    fn update_server_stats(
        &mut self,
        attempt_key: SlotKey,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        outcome: AttemptOutcome,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let server = &mut self.servers[attempt.server];
        server.remove_attempt(attempt_key);
        if attempt.opens_connection && matches!(end, AttemptResult::Answer(_)) {
            server.opening_backoff.record_accepted(attempt.sent_at);
        }
        if !matches!(
            outcome,
            AttemptOutcome::Final | AttemptOutcome::Withdrawn | AttemptOutcome::OverLimit
        ) {
            self.upstreams[attempt.upstream].counts.losses += 1;
        }
        let server_time = (now - attempt.sent_at).saturating_sub(server.round_trip());
        match outcome {
            AttemptOutcome::Final => {
                if let Some(expectation_basis) = &attempt.expectation_basis {
                    self.expectations
                        .add(expectation_basis, now - attempt.sent_at);
                }
                let service_time = server_time.div_f64(queue_factor(end));
                if let Some(report) = reported_slowness(end) {
                    server.slowness_estimate.record_report(report, now);
                }
                if attempt.expectation_basis.is_some()
                    && self.options.stalls == StallStrategy::Predictive
                {
                    infer_stall(server, attempt, end, &mut self.stall_intervals, now);
                }
                server.record_answer(service_time, attempt.typical, now);
                server.record_outcome(false, now);
                self.timings[attempt.timing].add(server_time);
            }
            AttemptOutcome::Failure | AttemptOutcome::NotRun => {
                server.answered_at = now;
                if let Some(report) = reported_slowness(end) {
                    server.slowness_estimate.record_report(report, now);
                }
                server.record_outcome(true, now);
            }
            AttemptOutcome::RefusedAsSuspect => server.answered_at = now,
            AttemptOutcome::Withdrawn | AttemptOutcome::OverLimit => {}
            AttemptOutcome::Broken if attempt.call.is_none() => {}
            AttemptOutcome::Unsent if attempt.is_relay() && server_time > RELAY_REFUSAL_TIME => {
                server.back_off_at_least(UNRESPONSIVE_BACKOFF, now);
            }
            AttemptOutcome::Unsent => server.back_off(now),
            AttemptOutcome::Broken => {
                server.record_outcome(true, now);
                // The entry backs off from a server only on the verdict that it ended: one
                // that loses one answer in ten would get no requests for much of the time.
                if attempt.is_relay() {
                    server.back_off(now);
                }
            }
        }
        let AttemptResult::Answer(answer) = end else {
            return;
        };
        let server = &mut self.servers[attempt.server];
        if let Some(load) = answer.load {
            server.record_load(load, now);
            let service_time = server.expected_service_time(attempt.typical, now);
            server
                .backlog
                .record_report(load.waiting, service_time, server.slots, now);
        }
        if answer.status == MISDIRECTED {
            self.mark_replaced(attempt.server, now, out);
        }
    }

    /// Applies the outcome of an attempt to its request: accepts the answer, or else
    /// retries the attempt's parts or gives them up.
    fn apply_to_request(
        &mut self,
        attempt_key: SlotKey,
        attempt: &ForwardAttempt,
        end: AttemptResult,
        outcome: AttemptOutcome,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(key) = attempt.call else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let tag = call.tag;
        let is_over_limit = outcome == AttemptOutcome::OverLimit;
        let is_unsent_relay = attempt.is_relay() && outcome == AttemptOutcome::Unsent;
        let mut has_open_part = false;
        for part in &attempt.parts {
            let part = &mut call.parts[*part];
            part.attempts.retain(|other| *other != attempt_key);
            part.uncount_unrun(outcome, attempt.runs);
            has_open_part |= part.is_open();
            if is_unsent_relay {
                // The other entry did not take the relay. This entry sends the part itself, so
                // it counts the part towards its own extra-load budget.
                let budget = &mut self.upstreams[part.upstream].budget;
                budget.count_request(&self.options.extra, now);
            }
        }
        if is_over_limit {
            for part in &attempt.parts {
                self.undo_unopened_attempt(key, *part, attempt.server, now);
            }
        }
        if has_open_part && outcome != AttemptOutcome::Final {
            let (service, instance) = self.server_names(attempt.server);
            self.record_decision(tag, out, || ForwardDecision::Lost {
                service,
                instance,
                reason: outcome.label(),
                after: now - attempt.sent_at,
            });
        }
        if has_open_part && outcome == AttemptOutcome::Final {
            self.record_slow_answer(attempt, &end, tag, now, out);
        }
        match end {
            AttemptResult::Bundle(bundle) if outcome == AttemptOutcome::Final => {
                self.accept_bundle(key, attempt_key, &attempt.parts, &bundle);
                self.mark_domain_tried(key, &attempt.parts, attempt.server);
                self.check_end(key, now, out);
            }
            AttemptResult::Answer(answer) if outcome == AttemptOutcome::Final => {
                return self.accept_answer(key, attempt.parts[0], answer, now, out);
            }
            AttemptResult::Answer(answer) if outcome == AttemptOutcome::Failure => {
                if let Some(call) = self
                    .calls
                    .get_mut(key)
                    .filter(|call| !call.is_scatter_gather)
                {
                    call.failed_answer = Some(Box::new(answer));
                }
            }
            AttemptResult::Withdrawn if self.is_past_hard_deadline(key, now) => {
                return self.handle_hard_deadline(key, now, out);
            }
            _ => {}
        }
        for part in &attempt.parts {
            self.retry_part(key, *part, now, out);
        }
    }

    /// Records an answer for the log if it took much longer than is typical.
    fn record_slow_answer(
        &self,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        tag: CallTag,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let after = now - attempt.sent_at;
        if after
            < (attempt.typical + self.servers[attempt.server].round_trip()) * SLOW_DECISION_FACTOR
        {
            return;
        }
        let load = match end {
            AttemptResult::Answer(answer) => answer.load,
            _ => None,
        };
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(attempt.server);
            ForwardDecision::Slow {
                service,
                instance,
                after,
                load,
            }
        });
    }

    /// Accepts a server's answer for a part. The answer of a shard in a scatter-gather request is
    /// stored until the other shards have answered; any other answer completes the request.
    fn accept_answer(
        &mut self,
        key: SlotKey,
        part: usize,
        answer: ServerAnswer,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        if !call.parts[part].is_open() {
            return;
        }
        if !call.is_scatter_gather {
            return self.end_served(key, Box::new(answer), now, out);
        }
        let is_success = (200..300).contains(&answer.status);
        let Some(stamp) = answer.stamp.filter(|_| is_success) else {
            return self.retry_part(key, part, now, out);
        };
        call.parts[part].status = PartStatus::Answered {
            stamp,
            body: answer.body,
            bundle: None,
        };
        call.answered += 1;
        self.check_end(key, now, out);
    }

    /// Retries a part if its route's rule, its time and the extra-load budget allow a retry.
    /// Otherwise gives the part up, unless another attempt is outstanding.
    pub(super) fn retry_part(
        &mut self,
        key: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.is_restricted(key, now) {
            if self.review_suspect(key, now, out) {
                self.schedule_sweep(key, now);
            }
            return;
        }
        let Some(call) = self.calls.get(key) else {
            return;
        };
        let rule = call.rule();
        let state = &call.parts[part];
        if !state.is_open() {
            return;
        }
        let may_repeat = rule.idempotent || state.runs == 0;
        let has_time = now < call.deadlines.hard_deadline;
        let is_allowed = may_repeat && has_time && state.runs < call.attempts;
        let is_last = state.attempts.is_empty();
        // A part that is not idempotent is not scheduled for a later retry, unless it reached
        // no server because connections are scarce.
        let is_unsent = state.arrivals == 0 && self.is_scarce(state.upstream);
        let may_wait = is_last && (rule.idempotent || is_unsent);
        let awaits_allowance =
            call.is_relayed && state.runs >= call.attempts && state.runs < rule.attempts;
        if is_last && may_repeat && has_time && awaits_allowance {
            // The entry that relayed the request is about to raise the attempt allowance.
            return self.check_end(key, now, out);
        }
        if is_allowed && !state.attempts.is_full() {
            let choice = self.choose_server_for(key, part, now);
            let retry_use = choice.map(|choice| self.weigh_retry(key, part, choice, now));
            match choice {
                Ok(choice)
                    if retry_use == Ok(RetryUse::Now)
                        && self.try_spend_budget(key, part, now, out) =>
                {
                    let cause = if is_unsent {
                        AttemptCause::First
                    } else {
                        AttemptCause::Retry
                    };
                    self.send_part_to(key, part, cause, choice, now, out);
                    return self.schedule_sweep(key, now);
                }
                Ok(_) if may_wait && retry_use != Ok(RetryUse::Never) => {
                    return self.schedule_recheck(key, part, now, out);
                }
                Err(reason @ SelectionFailure::Full) if may_wait => {
                    self.enqueue_or_give_up(key, part, reason, now, out);
                    return self.check_end(key, now, out);
                }
                Err(SelectionFailure::NoServer)
                    if self.relay_placeless_part(key, part, now, out) =>
                {
                    return;
                }
                _ => {}
            }
        }
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let state = &mut call.parts[part];
        if state.attempts.is_empty() && !state.is_queued {
            state.status = PartStatus::Missing;
            call.missing += 1;
        }
        self.check_end(key, now, out);
    }
}
