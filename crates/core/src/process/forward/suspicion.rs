//! What the ends of attempts say about their requests, and what others say.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::call::{CallState, ForwardAttempt};
use crate::process::forward::canary::CanaryStrategy;
use crate::process::forward::input::{AttemptEnd, ServerAnswer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::reply::MISDIRECTED;
use crate::process::forward::suspect::record::{ServerCrash, SuspectRecord};

/// Time within which a machine says that nobody listens there any more; a
/// machine that is dark says nothing.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Status of a server that stopped work when the time was over: it says nothing
/// about what would have come of it.
const OUT_OF_TIME: u16 = 504;

/// Tells whether a server ran a request to an end, by its answer.
fn has_run(answer: &ServerAnswer) -> bool {
    !answer.not_run && ![MISDIRECTED, OUT_OF_TIME].contains(&answer.status)
}

impl ForwardMachine {
    /// Takes over what others know of requests under which servers ended.
    pub(super) fn merge_suspects(
        &mut self,
        records: &[SuspectRecord],
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        for record in records {
            if !self.suspects.merge(record, now) {
                continue;
            }
            let same = self.tags.values().copied().filter(|call| {
                let state = self.calls.get(*call);
                state.is_some_and(|state| state.mark == record.mark)
            });
            let same: Vec<SlotKey> = same.collect();
            for call in same {
                self.doubt(call, record.ends.len(), now, out);
            }
        }
    }

    /// Takes note that so many servers ended under a request that is at work.
    fn doubt(&mut self, call: SlotKey, ends: usize, now: Duration, out: &mut Vec<ForwardAction>) {
        if let Some(state) = self.calls.get_mut(call) {
            state.doubt.ends = state.doubt.ends.max(ends);
            if self.review_suspect(call, now, out) {
                self.plan_sweep(call, now);
            }
        }
    }

    /// Tells whether a request is at work and doubted.
    pub(super) fn call_needs_canary(&self, call: Option<SlotKey>) -> bool {
        let call = call.and_then(|call| self.calls.get(call));
        call.is_some_and(CallState::needs_canary)
    }

    /// Takes note of what the end of an attempt says about its request.
    pub(super) fn record_evidence(
        &mut self,
        attempt: &ForwardAttempt,
        end: &AttemptEnd,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        match end {
            _ if self.options.canary == CanaryStrategy::Never => {}
            AttemptEnd::Broken | AttemptEnd::Unsent if attempt.is_relay() || attempt.cancelled => {}
            AttemptEnd::Unsent if now < attempt.sent_at + REFUSAL_TIME => {
                self.watch_end(attempt, now);
            }
            // That one broke off says little of whether it lives.
            AttemptEnd::Broken => self.note_end(attempt, now, out),
            AttemptEnd::Bundle(bundle) if !bundle.parts.is_empty() => {
                self.note_run(attempt, now, out);
            }
            AttemptEnd::Answer(answer) if !attempt.is_relay() && has_run(answer) => {
                self.note_run(attempt, now, out);
            }
            AttemptEnd::Barred(record) => {
                self.merge_suspects(std::slice::from_ref(record), now, out);
                let call = attempt.call.and_then(|call| self.calls.get_mut(call));
                if let Some(state) = call {
                    state.doubt.ends = state.doubt.ends.max(record.ends.len());
                }
            }
            _ => {}
        }
    }

    fn watch_end(&mut self, attempt: &ForwardAttempt, now: Duration) {
        let answered_at = self.servers[attempt.server].answered_at;
        self.end_watch.note(attempt.server, answered_at, now);
    }

    fn note_end(&mut self, attempt: &ForwardAttempt, now: Duration, out: &mut Vec<ForwardAction>) {
        let call = attempt.call.and_then(|call| self.calls.get_mut(call));
        let has_run = attempt.has_run || call.as_ref().is_some_and(|call| call.doubt.has_run);
        if has_run {
            // Another server ran it to an end and lives.
            return;
        }
        if let Some(state) = call {
            state.doubt.ends += 1;
        }
        let instance = self.servers[attempt.server].id.clone();
        let end = ServerCrash::of(&instance, attempt.on_trial);
        if let Some(record) = self.suspects.note_end(attempt.mark, end, now) {
            out.push(ForwardAction::Suspect(record));
        }
    }

    fn note_run(&mut self, attempt: &ForwardAttempt, now: Duration, out: &mut Vec<ForwardAction>) {
        if let Some(state) = attempt.call.and_then(|call| self.calls.get_mut(call)) {
            state.doubt.has_run = true;
        }
        if let Some(record) = self.suspects.note_run(attempt.mark, now) {
            out.push(ForwardAction::Suspect(record));
        }
    }
}
