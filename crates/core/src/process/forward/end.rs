//! End of a request: with all parts merged, with some parts omitted, with one
//! server's answer, or with a failure. Attempts that are still outstanding then
//! become orphans and are cancelled after a grace period.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::{
    ForwardAction, ForwardAnswer, ForwardDecision, ForwardFailure,
};
use crate::process::forward::call::{CallState, PartStatus};
use crate::process::forward::canary::SuspectRefusal;
use crate::process::forward::input::ServerAnswer;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::input::CallTag;
use crate::request::records::RecordMerge;

/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Range of the random time added to [`MIN_RETRY_AFTER`] and [`CANARY_RETRY_AFTER`],
/// so that refused callers do not retry all at once.
const RETRY_SPREAD: Duration = Duration::from_millis(120);
/// Minimum time after which a caller should retry if this entry has no route table
/// yet. After a start the table takes 0.2 to 0.6 s to arrive, and a caller that
/// retries sooner is refused again.
const NO_TABLE_RETRY_AFTER: Duration = Duration::from_millis(350);
/// Range of the random time added to [`NO_TABLE_RETRY_AFTER`].
const NO_TABLE_RETRY_SPREAD: Duration = Duration::from_millis(250);
/// Minimum time after which a caller should retry while another entry runs the
/// canary attempt of the same request: the service time of one request and two round
/// trips to a control instance.
const CANARY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time from the end of a request until its outstanding attempts are cancelled.
const ORPHAN_GRACE: Duration = Duration::from_millis(400);
/// Like [`ORPHAN_GRACE`], for a request that ended because its caller left.
const CALLER_LEFT_GRACE: Duration = Duration::from_millis(250);
/// Statuses that callers take for the statement that the request has not run: request
/// timeout, misdirected request, too many requests, service unavailable.
const UNRUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

impl ForwardMachine {
    /// Ends a request if all its parts are answered or given up, if its required
    /// coverage can no longer be reached, or if its soft deadline has passed and the
    /// coverage suffices. A request relayed by another entry always ends at its soft
    /// deadline.
    pub(super) fn check_end(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.is_scatter_gather {
            if state.count_open_parts() == 0 {
                self.end_unanswered(call, now, out);
            }
            return;
        }
        let is_past_soft_deadline = now >= state.deadlines.soft_deadline;
        if state.count_open_parts() == 0 {
            if state.has_required_coverage() {
                return self.end_gathered(call, now, out);
            }
            return self.end_unanswered(call, now, out);
        }
        if !state.can_reach_coverage() {
            return self.end_unanswered(call, now, out);
        }
        if is_past_soft_deadline && state.has_required_coverage() {
            return self.end_gathered(call, now, out);
        }
        if is_past_soft_deadline && state.is_relayed {
            // The entry that relayed the request waits for this answer and can still
            // send the parts elsewhere.
            self.end_unanswered(call, now, out);
        }
    }

    /// Handles the soft deadline of a request: ends the request if the answered parts
    /// reach the required coverage.
    pub(super) fn handle_soft_deadline(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.check_end(call, now, out);
    }

    /// Returns whether a request has passed its hard deadline.
    pub(super) fn is_past_hard_deadline(&self, call: SlotKey, now: Duration) -> bool {
        let state = self.calls.get(call);
        state.is_some_and(|state| now >= state.deadlines.hard_deadline)
    }

    /// Handles the hard deadline of a request: answers with the answered parts if
    /// they reach the required coverage, or else fails the request as timed out.
    pub(super) fn handle_hard_deadline(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if state.is_scatter_gather && state.has_required_coverage() {
            return self.end_gathered(call, now, out);
        }
        let failure = if state.may_have_run() {
            ForwardFailure::TimedOut
        } else {
            ForwardFailure::TimedOutUnrun
        };
        self.end_failed(call, failure, now, out);
    }

    /// Ends a request with the merged records of its answered parts.
    fn end_gathered(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.remove_call(call, ORPHAN_GRACE, now, out) else {
            return;
        };
        let mut merge = RecordMerge::new(state.top);
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
        self.record_end(&state, outcome, now, out);
        let shards = if state.is_relayed {
            self.shard_names(&state, true)
        } else {
            Vec::new()
        };
        let answer = ForwardAnswer::Gathered {
            stamps,
            shards,
            missing,
            top: state.top,
            body: merge.finish(),
        };
        out.push(ForwardAction::Answer {
            call: state.tag,
            answer,
        });
    }

    /// Returns the services of the answered parts, or of the unanswered ones if
    /// `is_answered` is false.
    fn shard_names(&self, state: &CallState, is_answered: bool) -> Vec<Arc<str>> {
        let selected = state
            .parts
            .iter()
            .filter(|part| matches!(part.status, PartStatus::Answered { .. }) == is_answered);
        selected
            .map(|part| self.upstreams[part.upstream].name.clone())
            .collect()
    }

    /// Ends a request with the unchanged answer of one server.
    ///
    /// A request that must not run twice fails instead if the status of the answer would make
    /// its caller repeat it, although the server did not state that it has not run.
    pub(super) fn end_served(
        &mut self,
        call: SlotKey,
        answer: Box<ServerAnswer>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let invites_repeat = UNRUN_STATUSES.contains(&answer.status) && !answer.not_run;
        if invites_repeat && !state.rule().idempotent {
            return self.end_failed(call, ForwardFailure::Failed, now, out);
        }
        let Some(mut state) = self.remove_call(call, ORPHAN_GRACE, now, out) else {
            return;
        };
        state.answered = 1;
        self.counters.whole += 1;
        self.record_end(&state, "served", now, out);
        out.push(ForwardAction::Answer {
            call: state.tag,
            answer: ForwardAnswer::Server(answer),
        });
    }

    /// Ends a request for which no further answer can come: with a server's error
    /// answer if there was one, or else with a failure.
    pub(super) fn end_unanswered(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        if let Some(answer) = state.failed_answer.take() {
            return self.end_served(call, answer, now, out);
        }
        let failure = if state.may_have_run() {
            ForwardFailure::Failed
        } else if state.parts.iter().any(|part| part.arrivals > 0) {
            ForwardFailure::RejectedByServers
        } else {
            ForwardFailure::NoServer
        };
        self.end_failed(call, failure, now, out);
    }

    /// Ends a request with a failure.
    pub(super) fn end_failed(
        &mut self,
        call: SlotKey,
        failure: ForwardFailure,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.remove_call(call, ORPHAN_GRACE, now, out) else {
            return;
        };
        self.record_end(&state, failure.label(), now, out);
        let trial_at = self.suspects.next_trial_at(state.mark);
        let retry_in = trial_at.filter(|_| failure == ForwardFailure::Quarantined);
        let retry_in = retry_in.map(|trial_at| trial_at.saturating_sub(now));
        self.refuse(state.tag, failure, retry_in, out);
    }

    /// Refuses a request that was not admitted.
    pub(super) fn reject_request(
        &mut self,
        call: CallTag,
        failure: ForwardFailure,
        out: &mut Vec<ForwardAction>,
    ) {
        self.record_rejection(call, failure, out);
        self.refuse(call, failure, None, out);
    }

    /// Refuses a suspect request that was not admitted.
    pub(super) fn reject_suspect(
        &mut self,
        call: CallTag,
        refusal: SuspectRefusal,
        out: &mut Vec<ForwardAction>,
    ) {
        self.record_rejection(call, refusal.failure, out);
        self.refuse(call, refusal.failure, Some(refusal.retry_in), out);
    }

    fn record_rejection(
        &self,
        call: CallTag,
        failure: ForwardFailure,
        out: &mut Vec<ForwardAction>,
    ) {
        self.record_decision(call, out, || ForwardDecision::End {
            outcome: failure.label(),
            parts: 0,
            missing: 0,
            left_out: Vec::new(),
            after: Duration::ZERO,
            sends: 0,
            late: false,
        });
    }

    /// Sends a failure answer, with a time to retry after if a retry can succeed. It cannot
    /// before `retry_in` if this time is known.
    fn refuse(
        &mut self,
        call: CallTag,
        failure: ForwardFailure,
        retry_in: Option<Duration>,
        out: &mut Vec<ForwardAction>,
    ) {
        self.counters.failed += 1;
        // For these failures a retry would be refused again.
        let is_permanent = match failure {
            ForwardFailure::NoRoute | ForwardFailure::NoKey => true,
            ForwardFailure::Quarantined => retry_in.is_none(),
            _ => false,
        };
        let may_retry = failure.is_known_unrun() && !is_permanent;
        let retry_after = may_retry.then(|| {
            let (min, spread) = match failure {
                ForwardFailure::NoTable => (NO_TABLE_RETRY_AFTER, NO_TABLE_RETRY_SPREAD),
                ForwardFailure::AwaitingCanary => (CANARY_RETRY_AFTER, RETRY_SPREAD),
                _ => (MIN_RETRY_AFTER, RETRY_SPREAD),
            };
            retry_in.unwrap_or_default() + min + spread.mul_f64(self.rng.random())
        });
        out.push(ForwardAction::Answer {
            call,
            answer: ForwardAnswer::Failure {
                failure,
                retry_after,
            },
        });
    }

    /// Ends a request whose caller closed the connection before the answer.
    pub(super) fn handle_caller_left(
        &mut self,
        tag: CallTag,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(call) = self.calls_by_tag.get(&tag).copied() else {
            return;
        };
        self.counters.left += 1;
        if let Some(state) = self.remove_call(call, CALLER_LEFT_GRACE, now, out) {
            self.record_end(&state, "caller_left", now, out);
        }
    }

    /// Removes a request and schedules the cancellation of its outstanding attempts
    /// after `grace`.
    fn remove_call(
        &mut self,
        call: SlotKey,
        grace: Duration,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Option<CallState> {
        let state = self.calls.remove(call)?;
        self.calls_by_tag.remove(&state.tag);
        self.withdraw_unrun_trial(&state);
        self.record_bundle_misses(&state, now);
        self.retract_unserved_work(&state, now);
        for attempt in state.parts.iter().flat_map(|part| &part.attempts) {
            let Some(orphan) = self.attempts.get_mut(*attempt) else {
                continue;
            };
            if orphan.call.take().is_none() {
                // The attempt has several parts and was handled with an earlier one.
                continue;
            }
            orphan.has_run = state.suspicion.has_run;
            // A relay is cancelled at once, because the other entry applies the grace
            // period to its own attempts. A request that may crash servers is also
            // cancelled at once, before further servers start to process it.
            let is_immediate = orphan.is_relay() || state.needs_canary();
            let closes_in = if orphan.is_trial {
                // The result of the trial is needed, also without the caller.
                state.deadlines.hard_deadline.saturating_sub(now) + grace
            } else if is_immediate {
                Duration::ZERO
            } else {
                grace
            };
            let (server, sent_at) = (orphan.server, orphan.sent_at);
            if now >= orphan.ack_due_at {
                self.back_off_if_unresponsive(server, sent_at, now);
            }
            self.timers
                .set(now + closes_in, ForwardTimer::Orphan(*attempt));
            self.record_decision(state.tag, out, || {
                let (service, instance) = self.server_names(server);
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

    /// Cancels an orphan attempt whose grace period is over.
    pub(super) fn cancel_orphan(&mut self, attempt: SlotKey, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.attempts.get_mut(attempt) else {
            return;
        };
        if state.call.is_some() {
            return;
        }
        state.is_cancelled = true;
        let (server, sent_at) = (state.server, state.sent_at);
        self.counters.cancels += 1;
        out.push(ForwardAction::Cancel(attempt));
        self.close_if_unresponsive(server, sent_at, out);
    }

    /// Closes the idle connections to a server that has answered nothing since
    /// `sent_at`. They may have been lost without a reset, while new connections
    /// still work.
    pub(super) fn close_if_unresponsive(
        &self,
        server: ServerKey,
        sent_at: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.servers[server].answered_at < sent_at {
            out.push(ForwardAction::CloseIdle(server));
        }
    }

    /// Records the end of a request for the log.
    fn record_end(
        &self,
        state: &CallState,
        outcome: &'static str,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.record_decision(state.tag, out, || ForwardDecision::End {
            outcome,
            parts: state.answered,
            left_out: if state.is_scatter_gather && state.answered > 0 {
                self.shard_names(state, false)
            } else {
                Vec::new()
            },
            missing: state.parts.len() - state.answered,
            after: now - state.arrived_at,
            sends: state.sends,
            late: now > state.deadlines.objective,
        });
    }
}
