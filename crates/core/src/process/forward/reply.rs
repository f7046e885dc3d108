//! What becomes of an attempt.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::{ForwardAttempt, PartState, PartStatus};
use crate::process::forward::choose::SelectionFailure;
use crate::process::forward::input::{AttemptResult, ServerAnswer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::pace::SlownessEstimate;
use crate::process::forward::pause::{IntervalHistogram, StallStrategy, MIN_STALL};
use crate::process::forward::relay::UNRESPONSIVE_BACKOFF;
use crate::process::forward::server::ServerState;
use crate::process::forward::version::AttemptVerdict;
use crate::process::input::CallTag;

/// Name of the request of an attempt that nobody waits for any more.
const NO_CALL: CallTag = CallTag(u64::MAX);
/// Status of a server that is not the one that was meant.
pub(super) const MISDIRECTED: u16 = 421;
/// First status of a server's failure.
const SERVER_FAILURE: u16 = 500;
/// Time within which an entry that refuses says so; one that takes longer could
/// not be reached.
const REFUSAL_TIME: Duration = Duration::from_millis(300);
/// Fraction of failures among the last answers above which a server that breaks
/// off one more is left alone for a while: two or three in a row.
const FAILS_OFTEN: f64 = 0.3;
/// How many times the typical time an answer takes that is recorded as slow.
const SLOW_TIMES: u32 = 3;

/// What an attempt's end means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndMeaning {
    /// It is the answer.
    Final,
    /// The server failed; another may do better.
    Failure,
    /// The server did not run it.
    NotRun,
    /// It never arrived.
    Unsent,
    /// It was not written, for reasons of this entry's own.
    Withdrawn,
    /// Another entry keeps it from its servers.
    RefusedAsSuspect,
    /// It may have run.
    Broken,
}

impl EndMeaning {
    fn of(end: &AttemptResult) -> EndMeaning {
        match end {
            AttemptResult::Unsent => EndMeaning::Unsent,
            AttemptResult::Withdrawn => EndMeaning::Withdrawn,
            AttemptResult::Broken => EndMeaning::Broken,
            AttemptResult::RefusedAsSuspect(_) => EndMeaning::RefusedAsSuspect,
            AttemptResult::Answer(answer) if answer.not_run || answer.status == MISDIRECTED => {
                EndMeaning::NotRun
            }
            AttemptResult::Answer(answer) if answer.status >= SERVER_FAILURE => EndMeaning::Failure,
            AttemptResult::Answer(_) | AttemptResult::Bundle(_) => EndMeaning::Final,
        }
    }

    /// Returns what an end means that another entry gave: its own refusal is
    /// no server's failure.
    fn of_relay(end: &AttemptResult) -> EndMeaning {
        match end {
            AttemptResult::Bundle(_) => EndMeaning::Final,
            AttemptResult::Unsent => EndMeaning::Unsent,
            AttemptResult::Withdrawn => EndMeaning::Withdrawn,
            AttemptResult::RefusedAsSuspect(_) => EndMeaning::RefusedAsSuspect,
            AttemptResult::Answer(_) | AttemptResult::Broken => EndMeaning::Broken,
        }
    }

    fn word(self) -> &'static str {
        match self {
            EndMeaning::Final => "answer",
            EndMeaning::Failure => "server_failure",
            EndMeaning::NotRun => "not_run",
            EndMeaning::Unsent => "unreachable",
            EndMeaning::Withdrawn => "withdrawn",
            EndMeaning::RefusedAsSuspect => "barred",
            EndMeaning::Broken => "broken",
        }
    }
}

/// Returns how many times its work an answer took because of what waits at its
/// server: what it finds waiting is on average what it leaves waiting.
fn queue_factor(end: &AttemptResult) -> f64 {
    match end {
        AttemptResult::Answer(answer) => answer.load.map_or(1.0, |load| {
            1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
        }),
        _ => 1.0,
    }
}

/// Returns what the server says of how fast it is at this moment.
fn told_pace(end: &AttemptResult) -> Option<u32> {
    match end {
        AttemptResult::Answer(answer) => answer.load?.pace,
        _ => None,
    }
}

/// Takes note of when a server paused, or did not, by the time of an answer.
/// One that waited behind others says nothing of that.
fn learn_pause(
    server: &mut ServerState,
    state: &ForwardAttempt,
    end: &AttemptResult,
    vote: &mut IntervalHistogram,
    now: Duration,
) {
    if queue_factor(end) > 1.0 {
        return;
    }
    let came = state.sent_at + server.round_trip() / 2;
    let work = server.work(state.typical, now);
    let begun = now.saturating_sub(server.round_trip() / 2 + work).max(came);
    if begun < came + MIN_STALL + work * 2 {
        server.pauses.record_prompt_start(begun, vote.interval());
    } else {
        server.pauses.record_stall(came, begun, vote);
    }
}

impl PartState {
    /// Takes an attempt back out of the counts, if it did not run.
    fn uncount(&mut self, meaning: EndMeaning, runs: u32) {
        match meaning {
            EndMeaning::Unsent | EndMeaning::Withdrawn => {
                self.runs -= runs;
                self.arrivals -= 1;
            }
            EndMeaning::NotRun => self.runs -= runs,
            EndMeaning::Final
            | EndMeaning::Failure
            | EndMeaning::RefusedAsSuspect
            | EndMeaning::Broken => {}
        }
    }
}

impl ForwardMachine {
    pub(super) fn ended(
        &mut self,
        attempt: SlotKey,
        end: AttemptResult,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.attempts.remove(attempt) else {
            return;
        };
        let mut meaning = EndMeaning::of(&end);
        if state.is_relay() {
            meaning = EndMeaning::of_relay(&end);
        }
        if meaning == EndMeaning::Broken && !state.is_relay() && !state.is_cancelled {
            self.broken_off(&state, now, out);
        }
        self.learn(attempt, &state, &end, meaning, now, out);
        self.learn_version(&state, &end, meaning, now);
        let was_doubted = self.is_call_doubted(state.call);
        self.judge(&state, &end, now, out);
        self.settle(attempt, &state, end, meaning, now, out);
        if let Some(call) = state.call.filter(|_| was_doubted) {
            if !self.is_call_doubted(state.call) {
                self.release(call, now, out);
            }
        }
        self.retry_waiting_parts(state.upstream, now, out);
    }

    /// Counts an end for the version of its server.
    fn learn_version(
        &mut self,
        state: &ForwardAttempt,
        end: &AttemptResult,
        meaning: EndMeaning,
        now: Duration,
    ) {
        if state.is_relay() || self.upstreams[state.upstream].rollout.is_none() {
            return;
        }
        let round_trip = self.servers[state.server].round_trip();
        let work = (now - state.sent_at).saturating_sub(round_trip);
        let verdict = match meaning {
            EndMeaning::Final => AttemptVerdict::Answered(work.div_f64(queue_factor(end))),
            EndMeaning::Failure => AttemptVerdict::Failed,
            EndMeaning::Broken if state.is_cancelled => AttemptVerdict::Abandoned(work),
            EndMeaning::Broken => AttemptVerdict::Failed,
            EndMeaning::NotRun
            | EndMeaning::Unsent
            | EndMeaning::Withdrawn
            | EndMeaning::RefusedAsSuspect => return,
        };
        self.record_version_outcome(state.server, state.timing, state.slow_after, verdict);
    }

    /// Takes note that a server broke off while it had a request.
    fn broken_off(&mut self, state: &ForwardAttempt, now: Duration, out: &mut Vec<ForwardAction>) {
        self.counters.broken += 1;
        let call = state.call.and_then(|call| self.calls.get(call));
        let tag = call.map_or(NO_CALL, |call| call.tag);
        self.record_decision(tag, out, || {
            let (service, instance) = self.names(state.server);
            ForwardDecision::ServerBrokeOff {
                mark: state.mark,
                service,
                instance,
                after: now - state.sent_at,
                beside: self.servers[state.server]
                    .outstanding
                    .len()
                    .saturating_sub(1),
            }
        });
    }

    /// Takes note of what an end says about the server.
    fn learn(
        &mut self,
        attempt: SlotKey,
        state: &ForwardAttempt,
        end: &AttemptResult,
        meaning: EndMeaning,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let server = &mut self.servers[state.server];
        server.settle(attempt);
        if ![EndMeaning::Final, EndMeaning::Withdrawn].contains(&meaning) {
            self.upstreams[state.upstream].counts.losses += 1;
        }
        let work = (now - state.sent_at).saturating_sub(server.round_trip());
        match meaning {
            EndMeaning::Final => {
                if let Some(basis) = &state.basis {
                    self.expectations.add(basis, now - state.sent_at);
                }
                let alone = work.div_f64(queue_factor(end));
                if let Some(pace) = told_pace(end) {
                    server.pace.record_report(pace, now);
                }
                if state.basis.is_some() && self.options.pauses == StallStrategy::Predictive {
                    learn_pause(server, state, end, &mut self.pause_vote, now);
                }
                server.answered(alone, state.typical, now);
                server.record_outcome(false);
                self.timings[state.timing].add(work);
            }
            EndMeaning::Failure | EndMeaning::NotRun => {
                server.answered_at = now;
                if let Some(pace) = told_pace(end) {
                    server.pace.record_report(pace, now);
                }
                server.record_outcome(true);
            }
            EndMeaning::RefusedAsSuspect => server.answered_at = now,
            EndMeaning::Withdrawn => {}
            EndMeaning::Broken if state.call.is_none() => {}
            EndMeaning::Unsent if state.is_relay() && work > REFUSAL_TIME => {
                server.back_off_at_least(UNRESPONSIVE_BACKOFF, now);
            }
            EndMeaning::Unsent => server.back_off(now),
            EndMeaning::Broken => {
                server.record_outcome(true);
                // One answer that broke off says little: of servers that lose one
                // in ten, each would rest for a quarter of the time.
                if state.is_relay() || server.failing > FAILS_OFTEN {
                    server.back_off(now);
                }
            }
        }
        let AttemptResult::Answer(answer) = end else {
            return;
        };
        let server = &mut self.servers[state.server];
        if let Some(load) = answer.load {
            server.record_load(load, now);
            let work = server.work(state.typical, now);
            server
                .backlog
                .record_report(load.waiting, work, server.slots, now);
        }
        if answer.status == MISDIRECTED {
            self.mark_replaced(state.server, out);
        }
    }

    /// Takes an end for the request that waits for it.
    fn settle(
        &mut self,
        attempt: SlotKey,
        state: &ForwardAttempt,
        end: AttemptResult,
        meaning: EndMeaning,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(key) = state.call else {
            return;
        };
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let tag = call.tag;
        let is_refused = state.is_relay() && meaning == EndMeaning::Unsent;
        let mut is_wanted = false;
        for part in &state.parts {
            let part = &mut call.parts[*part];
            part.attempts.retain(|other| *other != attempt);
            part.uncount(meaning, state.runs);
            is_wanted |= part.is_open();
            if is_refused {
                // It is asked for from here, and so counts here.
                let budget = &mut self.upstreams[part.upstream].budget;
                budget.request(&self.options.extra, now);
            }
        }
        if is_wanted && meaning != EndMeaning::Final {
            let (service, instance) = self.names(state.server);
            self.record_decision(tag, out, || ForwardDecision::Lost {
                service,
                instance,
                reason: meaning.word(),
                after: now - state.sent_at,
            });
        }
        if is_wanted && meaning == EndMeaning::Final {
            self.tell_slow(state, &end, tag, now, out);
        }
        match end {
            AttemptResult::Bundle(bundle) => {
                self.accept_bundle(key, attempt, &state.parts, &bundle);
                self.mark_domain_tried(key, &state.parts, state.server);
                self.check_end(key, now, out);
            }
            AttemptResult::Answer(answer) if meaning == EndMeaning::Final => {
                return self.take_answer(key, state.parts[0], answer, now, out);
            }
            AttemptResult::Answer(answer) if meaning == EndMeaning::Failure => {
                if let Some(call) = self
                    .calls
                    .get_mut(key)
                    .filter(|call| !call.is_scatter_gather)
                {
                    call.failed_answer = Some(Box::new(answer));
                }
            }
            AttemptResult::Withdrawn if self.is_past_hard_deadline(key, now) => {
                return self.hard_deadline_due(key, now, out);
            }
            _ => {}
        }
        for part in &state.parts {
            self.try_again(key, *part, now, out);
        }
    }

    /// Records an answer that took longer than most.
    fn tell_slow(
        &self,
        state: &ForwardAttempt,
        end: &AttemptResult,
        tag: CallTag,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let after = now - state.sent_at;
        if after < (state.typical + self.servers[state.server].round_trip()) * SLOW_TIMES {
            return;
        }
        let load = match end {
            AttemptResult::Answer(answer) => answer.load,
            _ => None,
        };
        self.record_decision(tag, out, || {
            let (service, instance) = self.names(state.server);
            ForwardDecision::Slow {
                service,
                instance,
                after,
                load,
            }
        });
    }

    fn take_answer(
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
        let is_part = (200..300).contains(&answer.status);
        let Some(stamp) = answer.stamp.filter(|_| is_part) else {
            return self.try_again(key, part, now, out);
        };
        call.parts[part].status = PartStatus::Answered {
            stamp,
            body: answer.body,
            bundle: None,
        };
        call.answered += 1;
        self.check_end(key, now, out);
    }

    /// Sends a part once more if that is allowed and worth it, else gives it
    /// up unless another attempt is outstanding.
    pub(super) fn try_again(
        &mut self,
        key: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.is_kept(key, now) {
            if self.examine(key, now, out) {
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
        let has_time = now < call.plan.hard_deadline;
        let is_allowed = may_repeat && has_time && state.runs < call.attempts;
        let is_last = state.attempts.is_empty();
        // What may not be repeated in doubt is not looked at again.
        let may_wait = is_last && rule.idempotent;
        let awaits_grant =
            call.is_relayed && state.runs >= call.attempts && state.runs < rule.attempts;
        if is_last && may_repeat && has_time && awaits_grant {
            // The entry that asks is about to leave its attempts to this one.
            return self.check_end(key, now, out);
        }
        if is_allowed && !state.attempts.is_full() {
            match self.choose_server_for(key, part, now) {
                Ok(choice) if self.try_spend_budget(key, part, now, out) => {
                    self.send_part_to(key, part, AttemptCause::Retry, choice, now, out);
                    return self.schedule_sweep(key, now);
                }
                Ok(_) if may_wait => return self.schedule_recheck(key, part, now, out),
                Err(reason @ SelectionFailure::Full) if may_wait => {
                    self.enqueue_or_give_up(key, part, reason, out);
                    return self.check_end(key, now, out);
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
