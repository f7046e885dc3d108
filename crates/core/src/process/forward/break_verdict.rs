//! Feeds the evidence on broken connections to the [`EndWatch`] and applies its verdicts:
//! to the server, to the record of suspect requests, and to the requests that wait.
//!
//! [`EndWatch`]: crate::process::forward::server_end::watch::EndWatch

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::call::ForwardAttempt;
use crate::process::forward::canary::CanaryStrategy;
use crate::process::forward::directory::ServerLifecycle;
use crate::process::forward::input::AttemptResult;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::reply::{MISDIRECTED, NO_CALL};
use crate::process::forward::server_end::evidence::{
    EndEvidence, EndFinding, EndVerdict, PendingBreak, REFUSAL_TIME,
};
use crate::process::forward::server_end::watch::WatchStep;

impl ForwardMachine {
    /// Returns the number of broken attempts without a verdict.
    pub fn undecided_breaks(&self) -> usize {
        self.server_ends.len()
    }

    /// Records that the connection of an attempt broke before the answer.
    pub(super) fn record_break(
        &mut self,
        attempt: &ForwardAttempt,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let call = attempt.call.and_then(|call| self.calls.get_mut(call));
        let has_run = attempt.has_run || call.as_ref().is_some_and(|call| call.suspicion.has_run);
        let expects_lost_answer = self.server_ends.expects_lost_answer(now);
        let is_counted =
            !has_run && !expects_lost_answer && self.options.canary != CanaryStrategy::Never;
        if let Some(state) = call.filter(|_| is_counted) {
            state.suspicion.count_undecided(attempt.is_canary);
        }
        let broken = PendingBreak {
            call: attempt.call,
            mark: attempt.mark,
            is_canary: attempt.is_canary,
            is_trial: attempt.is_trial,
            has_run,
            is_counted,
            at: now,
        };
        let server = &self.servers[attempt.server];
        let known_end = if server.is_ended(now) {
            Some(EndEvidence::EndedBefore)
        } else {
            self.is_replaced(attempt.server)
                .then_some(EndEvidence::Replaced)
        };
        let step = match known_end {
            Some(evidence) => WatchStep::Decide(EndFinding {
                verdict: EndVerdict::Ended,
                evidence,
                breaks: vec![broken],
                others: 0,
            }),
            None => self.server_ends.record_break(
                attempt.server,
                broken,
                server.open,
                server.round_trip(),
            ),
        };
        match step {
            // The request of this attempt is retried or reviewed after this call.
            WatchStep::Decide(finding) if finding.breaks.len() == 1 => {
                self.apply_verdict(attempt.server, &finding, now, out);
            }
            step => self.follow_step(attempt.server, step, now, out),
        }
    }

    /// Returns whether another server or incarnation is known to run at a server's
    /// address. It would accept the connection that is opened for evidence.
    fn is_replaced(&self, server: ServerKey) -> bool {
        let state = &self.servers[server];
        if !state.is_lapsed() && state.standing != ServerLifecycle::Gone {
            return false;
        }
        self.servers.iter().any(|(other, known)| {
            other != server
                && known.address == state.address
                && known.standing != ServerLifecycle::Gone
        })
    }

    /// Records the number of connections to a server as evidence on its breaks.
    pub(super) fn record_open_connections(
        &mut self,
        server: ServerKey,
        open: u32,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.server_ends.is_watching(server) {
            let record = self
                .server_ends
                .record(server, now, |group| group.record_open(open));
            self.follow_step(server, record, now, out);
        }
    }

    /// Records that a connection to a server was established in `took`.
    pub(super) fn handle_connected(
        &mut self,
        server: ServerKey,
        took: Duration,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.servers[server].record_connection(took);
        if self.server_ends.is_watching(server) {
            let record = self
                .server_ends
                .record(server, now, |group| group.record_accepted(took, now));
            self.follow_step(server, record, now, out);
        }
    }

    /// Records that a server's host refused a connection after `took`. A later refusal
    /// does not come from the host itself.
    pub(super) fn handle_connection_refused(
        &mut self,
        server: ServerKey,
        took: Duration,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if took < REFUSAL_TIME {
            self.record_server_end(server, EndEvidence::Refused, now, out);
        }
    }

    /// Records that a server or an entry answered an attempt, or that an attempt was
    /// cancelled here.
    pub(super) fn record_server_sign(
        &mut self,
        attempt: &ForwardAttempt,
        end: &AttemptResult,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        match end {
            AttemptResult::Answer(answer) if answer.status != MISDIRECTED => {
                self.servers[attempt.server].is_known_ended = false;
                self.record_identity(attempt.server, now, out);
                if self.server_ends.is_watching(attempt.server) {
                    let step = self.server_ends.record_answer(attempt.server, now);
                    self.follow_step(attempt.server, step, now, out);
                }
            }
            AttemptResult::Broken
                if attempt.is_cancelled && self.server_ends.is_watching(attempt.server) =>
            {
                let step = self
                    .server_ends
                    .record(attempt.server, now, |group| group.record_own_close());
                self.follow_step(attempt.server, step, now, out);
            }
            _ => {}
        }
    }

    /// Records proof that a server ended.
    pub(super) fn record_server_end(
        &mut self,
        server: ServerKey,
        evidence: EndEvidence,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.server_ends.is_watching(server) {
            let step = self.server_ends.record_end(server, evidence, now);
            self.follow_step(server, step, now, out);
        }
    }

    /// Records that a server announced itself.
    pub(super) fn record_server_announced(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.server_ends.is_watching(server) {
            let step = self
                .server_ends
                .record(server, now, |group| group.record_announced());
            self.follow_step(server, step, now, out);
        }
    }

    /// Checks a server's breaks when their timer is due.
    pub(super) fn check_breaks(
        &mut self,
        server: ServerKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if self.server_ends.is_watching(server) {
            let step = self.server_ends.check_due(server, now);
            self.follow_step(server, step, now, out);
        }
    }

    /// Carries out what follows from evidence, and sets the timer of the next check.
    fn follow_step(
        &mut self,
        server: ServerKey,
        step: WatchStep,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        match step {
            WatchStep::Wait => {}
            WatchStep::OpenConnection => out.push(ForwardAction::OpenConnection {
                server,
                address: self.servers[server].address,
            }),
            WatchStep::Release(breaks) => {
                for broken in &breaks {
                    self.uncount_break(broken);
                }
                self.resume_calls(breaks.iter().filter(|broken| broken.is_counted), now, out);
            }
            WatchStep::Decide(finding) => {
                self.apply_verdict(server, &finding, now, out);
                // A request that did not wait is affected only if the server ended.
                let is_end = finding.verdict == EndVerdict::Ended;
                let breaks = finding.breaks.iter();
                let breaks = breaks.filter(|broken| is_end || broken.is_counted);
                self.resume_calls(breaks, now, out);
            }
        }
        if let Some(due) = self.server_ends.next_timer(server) {
            self.timers.set(due, ForwardTimer::BreakCheck(server));
        }
    }

    /// Applies a verdict to the server, to the record of suspect requests and to the
    /// counters.
    fn apply_verdict(
        &mut self,
        server: ServerKey,
        finding: &EndFinding,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let breaks = finding.breaks.len() as u64;
        let state = &mut self.servers[server];
        match finding.verdict {
            EndVerdict::Ended if finding.evidence == EndEvidence::Nothing => {
                state.back_off(now);
                self.counters.ended_breaks += breaks;
            }
            EndVerdict::Ended => {
                // The breaks of one end do not prolong the back-off.
                if !state.is_ended(now) {
                    state.mark_ended(now);
                }
                self.counters.ended_breaks += breaks;
            }
            EndVerdict::Alive => {
                state.is_known_ended = false;
                self.counters.lost_answers += breaks;
            }
            EndVerdict::Unreachable => {
                state.back_off(now);
                self.counters.unreachable_breaks += breaks;
            }
        }
        for broken in &finding.breaks {
            self.uncount_break(broken);
            if finding.verdict == EndVerdict::Ended {
                self.record_crash(server, broken, now, out);
            } else {
                self.record_broken_trial(broken, now, out);
            }
        }
        let first = finding.breaks.first();
        let call = first.and_then(|first| self.calls.get(first.call?));
        let tag = call.map_or(NO_CALL, |call| call.tag);
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(server);
            ForwardDecision::BreakVerdict {
                service,
                instance,
                verdict: finding.verdict,
                evidence: finding.evidence,
                breaks: finding.breaks.len(),
                others: finding.others,
                after: first.map_or(Duration::ZERO, |first| now - first.at),
            }
        });
    }

    /// Stops counting an undecided break as a crash under its request.
    fn uncount_break(&mut self, broken: &PendingBreak) {
        if !broken.is_counted {
            return;
        }
        if let Some(state) = broken.call.and_then(|call| self.calls.get_mut(call)) {
            state.suspicion.uncount_undecided(broken.is_canary);
        }
    }

    /// Continues the requests of breaks that were decided or released.
    fn resume_calls<'a>(
        &mut self,
        breaks: impl Iterator<Item = &'a PendingBreak>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let mut resumed: Vec<SlotKey> = Vec::new();
        for broken in breaks {
            let Some(call) = broken.call.filter(|call| !resumed.contains(call)) else {
                continue;
            };
            resumed.push(call);
            let is_scatter_gather = self.calls.get(call).map(|state| state.is_scatter_gather);
            match is_scatter_gather {
                Some(true) if self.is_restricted(call, now) => {
                    if self.review_suspect(call, now, out) {
                        self.schedule_sweep(call, now);
                    }
                }
                Some(true) => self.send_unsent_parts(call, now, out),
                Some(false) | None => {}
            }
        }
    }
}
