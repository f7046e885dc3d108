//! What becomes of an attempt.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::{ForwardAttempt, PartState, PartStatus};
use crate::process::forward::choose::NoChoice;
use crate::process::forward::input::{AttemptEnd, ServerAnswer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::pace::PaceEstimate;
use crate::process::forward::pause::{IntervalVote, PauseWay, LATE_BY};
use crate::process::forward::relay::SILENT_REST;
use crate::process::forward::server::ServerState;
use crate::process::forward::version::AnswerVerdict;
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
const FAILURE_FRACTION_LIMIT: f64 = 0.3;
/// How many times the typical time an answer takes that is recorded as slow.
const SLOW_FACTOR: u32 = 3;

/// What an attempt's end means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
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
    Barred,
    /// It may have run.
    Broken,
}

impl AttemptOutcome {
    fn of(end: &AttemptEnd) -> AttemptOutcome {
        match end {
            AttemptEnd::Unsent => AttemptOutcome::Unsent,
            AttemptEnd::Withdrawn => AttemptOutcome::Withdrawn,
            AttemptEnd::Broken => AttemptOutcome::Broken,
            AttemptEnd::Barred(_) => AttemptOutcome::Barred,
            AttemptEnd::Answer(answer) if answer.not_run || answer.status == MISDIRECTED => {
                AttemptOutcome::NotRun
            }
            AttemptEnd::Answer(answer) if answer.status >= SERVER_FAILURE => {
                AttemptOutcome::Failure
            }
            AttemptEnd::Answer(_) | AttemptEnd::Bundle(_) => AttemptOutcome::Final,
        }
    }

    /// Returns what an end means that another entry gave: its own refusal is
    /// no server's failure.
    fn of_relay(end: &AttemptEnd) -> AttemptOutcome {
        match end {
            AttemptEnd::Bundle(_) => AttemptOutcome::Final,
            AttemptEnd::Unsent => AttemptOutcome::Unsent,
            AttemptEnd::Withdrawn => AttemptOutcome::Withdrawn,
            AttemptEnd::Barred(_) => AttemptOutcome::Barred,
            AttemptEnd::Answer(_) | AttemptEnd::Broken => AttemptOutcome::Broken,
        }
    }

    fn word(self) -> &'static str {
        match self {
            AttemptOutcome::Final => "answer",
            AttemptOutcome::Failure => "server_failure",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Unsent => "unreachable",
            AttemptOutcome::Withdrawn => "withdrawn",
            AttemptOutcome::Barred => "barred",
            AttemptOutcome::Broken => "broken",
        }
    }
}

/// Returns how many times its work an answer took because of what waits at its
/// server: what it finds waiting is on average what it leaves waiting.
fn queue_factor(end: &AttemptEnd) -> f64 {
    match end {
        AttemptEnd::Answer(answer) => answer.load.map_or(1.0, |load| {
            1.0 + f64::from(load.waiting) / f64::from(load.slots.max(1))
        }),
        _ => 1.0,
    }
}

/// Returns what the server says of how fast it is at this moment.
fn reported_speed(end: &AttemptEnd) -> Option<u32> {
    match end {
        AttemptEnd::Answer(answer) => answer.load?.pace,
        _ => None,
    }
}

/// Takes note of when a server paused, or did not, by the time of an answer.
/// One that waited behind others says nothing of that.
fn learn_stall(
    server: &mut ServerState,
    state: &ForwardAttempt,
    end: &AttemptEnd,
    vote: &mut IntervalVote,
    now: Duration,
) {
    if queue_factor(end) > 1.0 {
        return;
    }
    let came = state.sent_at + server.way() / 2;
    let work = server.work(state.typical, now);
    let begun = now.saturating_sub(server.way() / 2 + work).max(came);
    if begun < came + LATE_BY + work * 2 {
        server.pauses.prompt(begun, vote.interval());
    } else {
        server.pauses.late(came, begun, vote);
    }
}

impl PartState {
    /// Takes an attempt back out of the counts, if it did not run.
    fn uncount(&mut self, meaning: AttemptOutcome, runs: u32) {
        match meaning {
            AttemptOutcome::Unsent | AttemptOutcome::Withdrawn => {
                self.runs -= runs;
                self.arrivals -= 1;
            }
            AttemptOutcome::NotRun => self.runs -= runs,
            AttemptOutcome::Final
            | AttemptOutcome::Failure
            | AttemptOutcome::Barred
            | AttemptOutcome::Broken => {}
        }
    }
}

impl ForwardMachine {
    pub(super) fn handle_attempt_end(
        &mut self,
        attempt: SlotKey,
        end: AttemptEnd,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.attempts.remove(attempt) else {
            return;
        };
        let mut meaning = AttemptOutcome::of(&end);
        if state.is_relay() {
            meaning = AttemptOutcome::of_relay(&end);
        }
        if meaning == AttemptOutcome::Broken && !state.is_relay() && !state.cancelled {
            self.record_broken_attempt(&state, now, out);
        }
        self.update_server_stats(attempt, &state, &end, meaning, now, out);
        self.update_version_stats(&state, &end, meaning, now);
        let was_doubted = self.call_needs_canary(state.call);
        self.record_evidence(&state, &end, now, out);
        self.settle(attempt, &state, end, meaning, now, out);
        if let Some(call) = state.call.filter(|_| was_doubted) {
            if !self.call_needs_canary(state.call) {
                self.send_remaining_parts(call, now, out);
            }
        }
        self.serve_waiting(state.upstream, now, out);
    }

    /// Counts an end for the version of its server.
    fn update_version_stats(
        &mut self,
        state: &ForwardAttempt,
        end: &AttemptEnd,
        meaning: AttemptOutcome,
        now: Duration,
    ) {
        if state.is_relay() || self.upstreams[state.upstream].rollout.is_none() {
            return;
        }
        let way = self.servers[state.server].way();
        let work = (now - state.sent_at).saturating_sub(way);
        let verdict = match meaning {
            AttemptOutcome::Final => AnswerVerdict::Answered(work.div_f64(queue_factor(end))),
            AttemptOutcome::Failure => AnswerVerdict::Failed,
            AttemptOutcome::Broken if state.cancelled => AnswerVerdict::Abandoned(work),
            AttemptOutcome::Broken => AnswerVerdict::Failed,
            AttemptOutcome::NotRun
            | AttemptOutcome::Unsent
            | AttemptOutcome::Withdrawn
            | AttemptOutcome::Barred => return,
        };
        self.count_version(state.server, state.timing, state.slow_after, verdict);
    }

    /// Takes note that a server broke off while it had a request.
    fn record_broken_attempt(
        &mut self,
        state: &ForwardAttempt,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.counters.broken += 1;
        let call = state.call.and_then(|call| self.calls.get(call));
        let tag = call.map_or(NO_CALL, |call| call.tag);
        self.decide(tag, out, || {
            let (service, instance) = self.names(state.server);
            ForwardDecision::BrokenOff {
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
    fn update_server_stats(
        &mut self,
        attempt: SlotKey,
        state: &ForwardAttempt,
        end: &AttemptEnd,
        meaning: AttemptOutcome,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let server = &mut self.servers[state.server];
        server.settle(attempt);
        if ![AttemptOutcome::Final, AttemptOutcome::Withdrawn].contains(&meaning) {
            self.upstreams[state.upstream].counts.losses += 1;
        }
        let work = (now - state.sent_at).saturating_sub(server.way());
        match meaning {
            AttemptOutcome::Final => {
                if let Some(basis) = &state.basis {
                    self.expectations.add(basis, now - state.sent_at);
                }
                let alone = work.div_f64(queue_factor(end));
                if let Some(pace) = reported_speed(end) {
                    server.pace.told(pace, now);
                }
                if state.basis.is_some() && self.options.pauses == PauseWay::Foretold {
                    learn_stall(server, state, end, &mut self.pause_vote, now);
                }
                server.answered(alone, state.typical, now);
                server.judged(false);
                self.timings[state.timing].add(work);
            }
            AttemptOutcome::Failure | AttemptOutcome::NotRun => {
                server.answered_at = now;
                if let Some(pace) = reported_speed(end) {
                    server.pace.told(pace, now);
                }
                server.judged(true);
            }
            AttemptOutcome::Barred => server.answered_at = now,
            AttemptOutcome::Withdrawn => {}
            AttemptOutcome::Broken if state.call.is_none() => {}
            AttemptOutcome::Unsent if state.is_relay() && work > REFUSAL_TIME => {
                server.rest_at_least(SILENT_REST, now);
            }
            AttemptOutcome::Unsent => server.rest(now),
            AttemptOutcome::Broken => {
                server.judged(true);
                // One answer that broke off says little: of servers that lose one
                // in ten, each would rest for a quarter of the time.
                if state.is_relay() || server.failing > FAILURE_FRACTION_LIMIT {
                    server.rest(now);
                }
            }
        }
        let AttemptEnd::Answer(answer) = end else {
            return;
        };
        let server = &mut self.servers[state.server];
        if let Some(load) = answer.load {
            server.loaded(load, now);
            let work = server.work(state.typical, now);
            server.backlog.told(load.waiting, work, server.slots, now);
        }
        if answer.status == MISDIRECTED {
            self.set_replaced(state.server, out);
        }
    }

    /// Takes an end for the request that waits for it.
    fn settle(
        &mut self,
        attempt: SlotKey,
        state: &ForwardAttempt,
        end: AttemptEnd,
        meaning: AttemptOutcome,
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
        let is_refused = state.is_relay() && meaning == AttemptOutcome::Unsent;
        let mut is_wanted = false;
        for part in &state.parts {
            let part = &mut call.parts[*part];
            part.attempts.retain(|other| *other != attempt);
            part.uncount(meaning, state.runs);
            is_wanted |= part.is_open();
            if is_refused {
                // It is asked for from here, and so counts here.
                let budget = &mut self.upstreams[part.upstream].budget;
                budget.count_request(&self.options.extra, now);
            }
        }
        if is_wanted && meaning != AttemptOutcome::Final {
            let (service, instance) = self.names(state.server);
            self.decide(tag, out, || ForwardDecision::Lost {
                service,
                instance,
                reason: meaning.word(),
                after: now - state.sent_at,
            });
        }
        if is_wanted && meaning == AttemptOutcome::Final {
            self.record_slow_answer(state, &end, tag, now, out);
        }
        match end {
            AttemptEnd::Bundle(bundle) => {
                self.take_bundle(key, attempt, &state.parts, &bundle);
                self.pass_asked(key, &state.parts, state.server);
                self.check_end(key, now, out);
            }
            AttemptEnd::Answer(answer) if meaning == AttemptOutcome::Final => {
                return self.accept_answer(key, state.parts[0], answer, now, out);
            }
            AttemptEnd::Answer(answer) if meaning == AttemptOutcome::Failure => {
                if let Some(call) = self.calls.get_mut(key).filter(|call| !call.gathers) {
                    call.failure = Some(Box::new(answer));
                }
            }
            AttemptEnd::Withdrawn if self.is_over(key, now) => {
                return self.limit_due(key, now, out);
            }
            _ => {}
        }
        for part in &state.parts {
            self.retry_part(key, *part, now, out);
        }
    }

    /// Records an answer that took longer than most.
    fn record_slow_answer(
        &self,
        state: &ForwardAttempt,
        end: &AttemptEnd,
        tag: CallTag,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let after = now - state.sent_at;
        if after < (state.typical + self.servers[state.server].way()) * SLOW_FACTOR {
            return;
        }
        let load = match end {
            AttemptEnd::Answer(answer) => answer.load,
            _ => None,
        };
        self.decide(tag, out, || {
            let (service, instance) = self.names(state.server);
            ForwardDecision::Slow {
                service,
                instance,
                after,
                load,
            }
        });
    }

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
        if !call.gathers {
            return self.end_served(key, Box::new(answer), now, out);
        }
        let is_part = (200..300).contains(&answer.status);
        let Some(stamp) = answer.stamp.filter(|_| is_part) else {
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

    /// Sends a part once more if that is allowed and worth it, else gives it
    /// up unless another attempt is outstanding.
    pub(super) fn retry_part(
        &mut self,
        key: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.is_restricted(key, now) {
            if self.review_suspect(key, now, out) {
                self.plan_sweep(key, now);
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
        let has_time = now < call.plan.limit;
        let is_allowed = may_repeat && has_time && state.runs < call.attempts;
        let is_last = state.attempts.is_empty();
        // What may not be repeated in doubt is not looked at again.
        let may_wait = is_last && rule.idempotent;
        let awaits_grant =
            call.relayed && state.runs >= call.attempts && state.runs < rule.attempts;
        if is_last && may_repeat && has_time && awaits_grant {
            // The entry that asks is about to leave its attempts to this one.
            return self.check_end(key, now, out);
        }
        if is_allowed && !state.attempts.is_full() {
            match self.choose_for(key, part, now) {
                Ok(choice) if self.afford(key, part, now, out) => {
                    self.send_to(key, part, AttemptCause::Retry, choice, now, out);
                    return self.plan_sweep(key, now);
                }
                Ok(_) if may_wait => return self.look_again(key, part, now, out),
                Err(reason @ NoChoice::Full) if may_wait => {
                    self.wait_or_miss(key, part, reason, out);
                    return self.check_end(key, now, out);
                }
                _ => {}
            }
        }
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        let state = &mut call.parts[part];
        if state.attempts.is_empty() && !state.waits {
            state.status = PartStatus::Missing;
            call.missing += 1;
        }
        self.check_end(key, now, out);
    }
}
