//! Collects the evidence on whether a request crashes servers.
//!
//! The evidence comes from the ends of this entry's attempts and from the crash records of
//! other entries. New evidence triggers a review of the running requests that it concerns.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::ForwardAction;
use crate::process::forward::call::{CallState, ForwardAttempt};
use crate::process::forward::canary::{CallHold, CanaryStrategy};
use crate::process::forward::input::{AttemptResult, ServerAnswer};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::reply::MISDIRECTED;
use crate::process::forward::server_end::evidence::{PendingBreak, REFUSAL_TIME};
use crate::process::forward::suspect::record::{ServerCrash, SuspectRecord};

/// Status (504 Gateway Timeout) of a server that stopped working on a request at the
/// request's deadline. This is no proof of completion: with more time, the request
/// might have crashed the server.
const TIMED_OUT: u16 = 504;

/// Returns whether an answer shows that the server completed the request.
fn is_completion(answer: &ServerAnswer) -> bool {
    !answer.not_run && ![MISDIRECTED, TIMED_OUT].contains(&answer.status)
}

impl ForwardMachine {
    /// Merges the crash records of other instances and reviews the running requests that
    /// they concern.
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
            let matching = self.calls_by_tag.values().copied().filter(|call| {
                let state = self.calls.get(*call);
                state.is_some_and(|state| state.mark == record.mark)
            });
            let matching: Vec<SlotKey> = matching.collect();
            for call in matching {
                self.raise_suspicion(call, record.crash_count(), now, out);
            }
        }
    }

    /// Records that at least this many servers crashed under a running request, and reviews
    /// the request.
    fn raise_suspicion(
        &mut self,
        call: SlotKey,
        crashes: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(state) = self.calls.get_mut(call) {
            state.suspicion.crashes = state.suspicion.crashes.max(crashes);
            if self.review_suspect(call, now, out) {
                self.schedule_sweep(call, now);
            }
        }
    }

    /// Returns why a running request may not be sent to all shards at once.
    pub(super) fn call_hold(&self, call: Option<SlotKey>) -> CallHold {
        let call = call.and_then(|call| self.calls.get(call));
        call.map_or(CallHold::Free, CallState::hold)
    }

    /// Records the evidence that the end of an attempt gives about its request: a crash, a
    /// completion, or the record of an entry that refused it.
    pub(super) fn record_evidence(
        &mut self,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        match end {
            AttemptResult::Broken if !attempt.is_relay() && !attempt.is_cancelled => {
                self.record_break(attempt, now, out);
            }
            _ if self.options.canary == CanaryStrategy::Never => {}
            AttemptResult::Broken | AttemptResult::Unsent
                if attempt.is_relay() || attempt.is_cancelled => {}
            // The server was reachable, but it or this entry had too many connections.
            AttemptResult::Unsent if attempt.met_limit => {}
            AttemptResult::Unsent if now < attempt.sent_at + REFUSAL_TIME => {
                self.record_refused_connection(attempt, now);
            }
            AttemptResult::Bundle(bundle) if !bundle.parts.is_empty() => {
                self.record_completion(attempt, now, out);
            }
            AttemptResult::Answer(answer) if !attempt.is_relay() && is_completion(answer) => {
                self.record_completion(attempt, now, out);
            }
            AttemptResult::RefusedAsSuspect(record) => {
                self.merge_suspects(std::slice::from_ref(record), now, out);
                let call = attempt.call.and_then(|call| self.calls.get_mut(call));
                if let Some(state) = call {
                    state.suspicion.crashes = state.suspicion.crashes.max(record.crash_count());
                }
            }
            _ => {}
        }
    }

    /// Records in the crash watch that a server refused a connection.
    fn record_refused_connection(&mut self, attempt: &ForwardAttempt, now: Duration) {
        let answered_at = self.servers[attempt.server].answered_at;
        self.crash_watch
            .record_crash(attempt.server, answered_at, now);
    }

    /// Records that a server ended under the request of a broken attempt, and reports the
    /// changed record. Not recorded in the crash watch, which counts refused connections.
    pub(super) fn record_crash(
        &mut self,
        server: ServerKey,
        broken: &PendingBreak,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let call = broken.call.and_then(|call| self.calls.get_mut(call));
        let has_run = broken.has_run || call.as_ref().is_some_and(|call| call.suspicion.has_run);
        if has_run || self.options.canary == CanaryStrategy::Never {
            // Another server completed the request without a crash.
            return;
        }
        if let Some(state) = call {
            state.suspicion.crashes += 1;
            state.suspicion.canary_crashes += usize::from(broken.is_canary);
        }
        let instance = self.servers[server].id.clone();
        let crash = ServerCrash::of(&instance, broken.is_canary);
        if let Some(record) = self
            .suspects
            .record_crash(broken.mark, crash, broken.is_trial, now)
        {
            out.push(ForwardAction::PublishSuspect(record));
        }
    }

    /// Records that the connection of a trial broke, although the server did not end: the
    /// request was not completed, so it is not tried again soon.
    pub(super) fn record_broken_trial(
        &mut self,
        broken: &PendingBreak,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if !broken.is_trial || broken.has_run {
            return;
        }
        if let Some(record) = self.suspects.record_broken_trial(broken.mark, now) {
            out.push(ForwardAction::PublishSuspect(record));
        }
    }

    /// Records that a server completed an attempt's request, and reports the changed record.
    fn record_completion(
        &mut self,
        attempt: &ForwardAttempt,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(call) = attempt.call {
            if let Some(state) = self.calls.get_mut(call) {
                state.suspicion.has_run = true;
                if state.suspicion.trial.take().is_some() {
                    state.attempts = state.rule().attempts;
                }
            }
            self.server_ends.record_completion(call);
        }
        if let Some(record) = self.suspects.record_completion(attempt.mark, now) {
            out.push(ForwardAction::PublishSuspect(record));
        }
    }
}
