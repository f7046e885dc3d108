//! Ending a request: whole, partial, with a server's answer, or refused.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::{
    ForwardAction, ForwardAnswer, ForwardDecision, ForwardFailure,
};
use crate::process::forward::call::{CallState, PartStatus};
use crate::process::forward::input::ServerAnswer;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::input::CallTag;
use crate::request::records::RecordMerge;

/// Least time after which a refused caller should come back.
const LEAST_RETRY: Duration = Duration::from_millis(60);
/// By how much that time is spread.
const RETRY_SPREAD: Duration = Duration::from_millis(120);
/// The same for a caller that came before this entry had its table: after a
/// start that takes 0.2 to 0.6 s, and a caller that comes back sooner is
/// refused again.
const LEARNING_RETRY: Duration = Duration::from_millis(350);
/// By how much that time is spread.
const LEARNING_SPREAD: Duration = Duration::from_millis(250);
/// The same for one that is on trial at another entry: the work of one request
/// and two ways to a control instance and back.
const TRIAL_RETRY: Duration = Duration::from_millis(100);
/// Time that an attempt goes on after its request was answered.
const ORPHAN_TIME: Duration = Duration::from_millis(400);
/// Time that an attempt goes on after its caller left.
const LEFT_TIME: Duration = Duration::from_millis(250);

impl ForwardMachine {
    /// Ends a request if nothing more can come of it, or all is in.
    pub(super) fn check_end(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.gathers {
            if state.open() == 0 {
                self.end_unanswered(call, now, out);
            }
            return;
        }
        let is_late = now >= state.plan.aim;
        if state.open() == 0 {
            if state.is_covered() {
                return self.end_gathered(call, now, out);
            }
            return self.end_unanswered(call, now, out);
        }
        if !state.is_coverable() {
            return self.end_unanswered(call, now, out);
        }
        if is_late && state.is_covered() {
            return self.end_gathered(call, now, out);
        }
        if is_late && state.relayed {
            // The entry that asks can still ask elsewhere, and waits for this.
            self.end_unanswered(call, now, out);
        }
    }

    pub(super) fn aim_due(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        self.check_end(call, now, out);
    }

    /// Tells whether a request has no time for an answer any more.
    pub(super) fn is_over(&self, call: SlotKey, now: Duration) -> bool {
        let call = self.calls.get(call);
        call.is_some_and(|state| now >= state.plan.limit)
    }

    pub(super) fn limit_due(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if state.gathers && state.is_covered() {
            return self.end_gathered(call, now, out);
        }
        let failure = if state.may_have_run() {
            ForwardFailure::Late
        } else {
            ForwardFailure::LateUnrun
        };
        self.end_failed(call, failure, now, out);
    }

    fn end_gathered(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.take_call(call, ORPHAN_TIME, now, out) else {
            return;
        };
        let mut merge = RecordMerge::new(state.rule().top);
        let mut stamps = Vec::with_capacity(state.answered);
        for part in &state.parts {
            if let PartStatus::Answered { stamp, body, .. } = &part.status {
                merge.take(body);
                stamps.push(stamp.clone());
            }
        }
        let missing = state.parts.len() - stamps.len();
        if missing == 0 {
            self.counters.whole += 1;
        } else {
            self.counters.partial += 1;
        }
        let outcome = if missing == 0 { "whole" } else { "partial" };
        self.decide_end(&state, outcome, now, out);
        let shards = if state.relayed {
            self.shard_names(&state, true)
        } else {
            Vec::new()
        };
        let answer = ForwardAnswer::Gathered {
            stamps,
            shards,
            missing,
            body: merge.finish(),
        };
        out.push(ForwardAction::Answer {
            call: state.tag,
            answer,
        });
    }

    /// Names the shards that are in, or those that are not.
    fn shard_names(&self, state: &CallState, answered: bool) -> Vec<Arc<str>> {
        let named = state
            .parts
            .iter()
            .filter(|part| matches!(part.status, PartStatus::Answered { .. }) == answered);
        named
            .map(|part| self.upstreams[part.upstream].name.clone())
            .collect()
    }

    /// Ends a request with a server's own answer.
    pub(super) fn end_served(
        &mut self,
        call: SlotKey,
        answer: Box<ServerAnswer>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(mut state) = self.take_call(call, ORPHAN_TIME, now, out) else {
            return;
        };
        state.answered = 1;
        self.counters.whole += 1;
        self.decide_end(&state, "served", now, out);
        out.push(ForwardAction::Answer {
            call: state.tag,
            answer: ForwardAnswer::Server(answer),
        });
    }

    pub(super) fn end_unanswered(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if let Some(answer) = state.failure.take() {
            return self.end_served(call, answer, now, out);
        }
        let failure = if state.may_have_run() {
            ForwardFailure::Failed
        } else if state.parts.iter().any(|part| part.arrivals > 0) {
            ForwardFailure::TurnedAway
        } else {
            ForwardFailure::NoServer
        };
        self.end_failed(call, failure, now, out);
    }

    pub(super) fn end_failed(
        &mut self,
        call: SlotKey,
        failure: ForwardFailure,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.take_call(call, ORPHAN_TIME, now, out) else {
            return;
        };
        self.decide_end(&state, failure.word(), now, out);
        self.refuse(state.tag, failure, out);
    }

    /// Refuses a request that was not let in.
    pub(super) fn turn_away(
        &mut self,
        call: CallTag,
        failure: ForwardFailure,
        out: &mut Vec<ForwardAction>,
    ) {
        self.decide(call, out, || ForwardDecision::End {
            outcome: failure.word(),
            parts: 0,
            missing: 0,
            left_out: Vec::new(),
            after: Duration::ZERO,
            sends: 0,
            late: false,
        });
        self.refuse(call, failure, out);
    }

    fn refuse(&mut self, call: CallTag, failure: ForwardFailure, out: &mut Vec<ForwardAction>) {
        self.counters.failed += 1;
        // Who comes back with what is kept from all is refused again.
        let is_vain = matches!(
            failure,
            ForwardFailure::NoRoute | ForwardFailure::Quarantined | ForwardFailure::NoKey
        );
        let is_worth = failure.is_unrun() && !is_vain;
        let retry_after = is_worth.then(|| {
            let (least, spread) = match failure {
                ForwardFailure::NoTable => (LEARNING_RETRY, LEARNING_SPREAD),
                ForwardFailure::Doubted => (TRIAL_RETRY, RETRY_SPREAD),
                _ => (LEAST_RETRY, RETRY_SPREAD),
            };
            least + spread.mul_f64(self.rng.random())
        });
        out.push(ForwardAction::Answer {
            call,
            answer: ForwardAnswer::Failure {
                failure,
                retry_after,
            },
        });
    }

    pub(super) fn caller_left(
        &mut self,
        tag: CallTag,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(call) = self.tags.get(&tag).copied() else {
            return;
        };
        self.counters.left += 1;
        if let Some(state) = self.take_call(call, LEFT_TIME, now, out) {
            self.decide_end(&state, "caller_left", now, out);
        }
    }

    /// Takes a request out; attempts still outstanding go on for `patience` at
    /// most.
    fn take_call(
        &mut self,
        call: SlotKey,
        patience: Duration,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Option<CallState> {
        let state = self.calls.remove(call)?;
        self.tags.remove(&state.tag);
        self.count_bundled(&state, now);
        for attempt in state.parts.iter().flat_map(|part| &part.attempts) {
            let Some(orphan) = self.attempts.get_mut(*attempt) else {
                continue;
            };
            if orphan.call.take().is_none() {
                // It stands for several parts.
                continue;
            }
            orphan.has_run = state.doubt.has_run;
            // Another entry has patience of its own.
            // A server that has not begun what others ended under is spared it.
            let is_urgent = orphan.is_relay() || state.needs_canary();
            let closes_in = if is_urgent { Duration::ZERO } else { patience };
            let (server, sent_at) = (orphan.server, orphan.sent_at);
            if now >= orphan.due {
                self.rest_if_silent(server, sent_at, now);
            }
            self.timers
                .set(now + closes_in, ForwardTimer::Orphan(*attempt));
            self.decide(state.tag, out, || {
                let (service, instance) = self.names(server);
                ForwardDecision::Abandon {
                    service,
                    instance,
                    after: now - sent_at,
                    closes_in,
                }
            });
        }
        Some(state)
    }

    pub(super) fn orphan_due(&mut self, attempt: SlotKey, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.call.is_some() {
            return;
        }
        state.cancelled = true;
        let (server, sent_at) = (state.server, state.sent_at);
        self.counters.cancels += 1;
        out.push(ForwardAction::Cancel(attempt));
        self.close_if_silent(server, sent_at, out);
    }

    /// Closes the idle connections to a server that has answered nothing since
    /// `sent_at`: they may have gone silent for good, without a reset, while
    /// new ones work.
    pub(super) fn close_if_silent(
        &self,
        server: ServerKey,
        sent_at: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.servers[server].answered_at < sent_at {
            out.push(ForwardAction::Close(server));
        }
    }

    fn decide_end(
        &self,
        state: &CallState,
        outcome: &'static str,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.decide(state.tag, out, || ForwardDecision::End {
            outcome,
            parts: state.answered,
            left_out: if state.gathers && state.answered > 0 {
                self.shard_names(state, false)
            } else {
                Vec::new()
            },
            missing: state.parts.len() - state.answered,
            after: now - state.arrived,
            sends: state.sends,
            late: now > state.plan.objective,
        });
    }
}
