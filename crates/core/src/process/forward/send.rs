//! Sends parts of requests to servers, and queues a part while all servers of its
//! service are at capacity. A part is one shard's subquery of a request, or the whole of
//! an unsharded request.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, AttemptOrder, ForwardAction, ForwardDecision};
use crate::process::forward::call::{CallState, ForwardAttempt, PartStatus, RelayStatus};
use crate::process::forward::choose::{SelectionCriteria, SelectionFailure, ServerChoice};
use crate::process::forward::input::RelayOrder;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::server::OutstandingAttempt;
use crate::process::forward::suspect::registry::SuspectStatus;
use crate::process::forward::version::slow_threshold;

/// Time reserved for returning the answer: a server's deadline is this much earlier than
/// the caller's.
const SERVER_RETURN_MARGIN: Duration = Duration::from_millis(3);

/// Everything needed to send one attempt to a server or to another entry.
#[derive(Debug)]
pub(super) struct AttemptPlan {
    /// Indexes of the parts in the request.
    pub(super) parts: Vec<usize>,
    /// Why the attempt is sent.
    pub(super) cause: AttemptCause,
    /// The server or entry that was chosen.
    pub(super) choice: ServerChoice,
    /// Index of the timing in which the attempt's service time is recorded.
    pub(super) timing: usize,
    /// Time after which an unanswered attempt is checked for a hedge or, if the attempt
    /// is a relay, for its acknowledgement.
    pub(super) check_after: Duration,
    /// Maximum number of servers that may run each part by this attempt.
    pub(super) runs: u32,
    /// The order for the other entry, if the attempt is a relay.
    pub(super) relay: Option<RelayOrder>,
}

impl ForwardMachine {
    /// Chooses a server for a part and sends the part there. Returns an error if no server
    /// can be chosen.
    pub(super) fn send_part(
        &mut self,
        call: SlotKey,
        part: usize,
        cause: AttemptCause,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Result<(), SelectionFailure> {
        let choice = self.choose_server_for(call, part, now)?;
        self.send_part_to(call, part, cause, choice, now, out);
        Ok(())
    }

    /// Chooses a server for a part, except those that were already tried for it.
    pub(super) fn choose_server_for(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        let state = self.calls.get(call).ok_or(SelectionFailure::NoServer)?;
        let (upstream, tried) = (state.parts[part].upstream, state.parts[part].tried.clone());
        let criteria = SelectionCriteria {
            ignores_distance: !state.is_scatter_gather && !tried.is_empty(),
            ..self.first_attempt_criteria(state)
        };
        self.choose_server(upstream, &tried, criteria, now)
    }

    /// Returns the criteria by which servers are chosen for a request's first attempts.
    pub(super) fn first_attempt_criteria(&self, state: &CallState) -> SelectionCriteria {
        SelectionCriteria {
            typical: self.timings[state.timing].typical(state.rule()),
            objective: state.rule().objective(),
            ignores_distance: false,
            is_repeatable: state.rule().idempotent,
            allowed_regions: state.allowed_regions,
        }
    }

    /// Sends a part to the chosen server and records that server as tried for the part.
    pub(super) fn send_part_to(
        &mut self,
        call: SlotKey,
        part: usize,
        cause: AttemptCause,
        choice: ServerChoice,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let timing = state.timing;
        let hedge_after = self.timings[timing].hedge_delay(state.rule());
        let plan = AttemptPlan {
            parts: vec![part],
            cause,
            choice,
            timing,
            check_after: self.servers[choice.server.key()].round_trip() + hedge_after,
            runs: 1,
            relay: None,
        };
        self.send_attempt(call, plan, now, out);
        if let Some(state) = self.calls.get_mut(call) {
            let _ = state.parts[part].tried.try_push(choice.server.key());
        }
    }

    /// Sends one attempt for one part or several, and records it with the request, the
    /// parts, the server and the counters.
    pub(super) fn send_attempt(
        &mut self,
        call: SlotKey,
        plan: AttemptPlan,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let AttemptPlan { cause, choice, .. } = plan;
        let starts_with_canary = self.suspects.status_of(state.mark, now) != SuspectStatus::Clear;
        let is_canary = state.needs_canary() || (starts_with_canary && !state.is_scatter_gather);
        let is_trial = state.suspicion.trial.is_some() && !state.suspicion.has_run;
        let typical = self.timings[plan.timing].typical(state.rule());
        let slow_threshold = slow_threshold(typical, state.rule().objective());
        let key = choice.server.key();
        let server = &mut self.servers[key];
        let attempt = self.attempts.insert(ForwardAttempt {
            call: Some(call),
            mark: state.mark,
            parts: plan.parts.clone(),
            server: key,
            upstream: server.upstream,
            sent_at: now,
            typical,
            slow_threshold,
            expectation_basis: plan
                .relay
                .is_none()
                .then(|| server.expectation_basis(choice.expected, now)),
            cause,
            timing: plan.timing,
            runs: plan.runs,
            ack_due_at: if plan.relay.is_some() {
                now + plan.check_after
            } else {
                Duration::MAX
            },
            relay: RelayStatus::Unacknowledged,
            is_cancelled: false,
            opens_connection: server.idle == 0,
            met_limit: false,
            is_canary,
            is_trial,
            has_run: false,
        });
        state.sends += 1;
        let (tag, is_scatter_gather) = (state.tag, state.is_scatter_gather);
        let workspace = state.workspace.clone();
        let until = state
            .deadlines
            .caller_deadline
            .saturating_sub(SERVER_RETURN_MARGIN);
        for part in &plan.parts {
            let part = &mut state.parts[*part];
            part.attempts.push(attempt);
            part.arrivals += 1;
            part.runs += plan.runs;
            part.hedge_at = now + plan.check_after;
            part.was_bundled |= plan.relay.is_some();
        }
        let counts = &mut self.upstreams[server.upstream].counts;
        counts.sends += 1;
        if matches!(cause, AttemptCause::Retry | AttemptCause::Hedge) {
            counts.extras += 1;
        }
        let outstanding = server.outstanding.len();
        if plan.relay.is_none() {
            let service_time = server.expected_service_time(typical, now);
            server
                .backlog
                .record_send(service_time, server.slots, self.entry_count, now);
        }
        if self.upstreams[server.upstream].cold_per_s > 0.0 {
            server.cold.record_send(now);
        }
        let max_connections = self.count_connection(key);
        let server = &mut self.servers[key];
        server.outstanding.push(OutstandingAttempt {
            attempt,
            sent_at: now,
            is_canary,
        });
        server.idle = server.idle.saturating_sub(1);
        let (address, instance) = (server.address, server.id.clone());
        let place = server.proximity;
        match cause {
            AttemptCause::First => self.counters.sends += 1,
            AttemptCause::Retry => self.counters.retries += 1,
            AttemptCause::Hedge => self.counters.hedges += 1,
            AttemptCause::Relay => self.counters.relays += 1,
        }
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(key);
            ForwardDecision::Send {
                service,
                instance,
                cause,
                place,
                expected: choice.expected,
                candidates: choice.candidates,
                outstanding,
            }
        });
        out.push(ForwardAction::Send(AttemptOrder {
            attempt,
            call: tag,
            server: key,
            address,
            instance,
            max_connections,
            until,
            workspace,
            forward_headers: !is_scatter_gather,
            relay: plan.relay,
        }));
    }

    /// Handles a part for which no server was chosen: puts the part in its service's
    /// queue if all servers are at capacity. If there is no usable server and the part has no
    /// other attempt, relays it to an entry that has a place at one, or gives it up.
    pub(super) fn enqueue_or_give_up(
        &mut self,
        call: SlotKey,
        part: usize,
        reason: SelectionFailure,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let part_state = &mut state.parts[part];
        if reason == SelectionFailure::Full {
            if !part_state.is_queued {
                part_state.is_queued = true;
                let upstream = part_state.upstream;
                self.upstreams[upstream].waiting.push_back((call, part));
            }
        } else if part_state.attempts.is_empty() && !self.relay_placeless_part(call, part, now, out)
        {
            self.give_up_part(call, part, out);
        }
    }

    /// Gives up a part whose service has no server left to try.
    fn give_up_part(&mut self, call: SlotKey, part: usize, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        state.parts[part].status = PartStatus::Missing;
        state.missing += 1;
        let (tag, upstream) = (state.tag, state.parts[part].upstream);
        let servers = self.upstreams[upstream].servers.len();
        let service = self.upstreams[upstream].name.clone();
        self.record_decision(tag, out, || ForwardDecision::NoServer { service, servers });
    }

    /// Returns the cause of a part's next attempt: `First` if the part never reached a
    /// server, otherwise `Retry`.
    pub(super) fn attempt_cause(&self, call: SlotKey, part: usize) -> AttemptCause {
        let state = self.calls.get(call);
        let is_first = state.is_none_or(|state| state.parts[part].arrivals == 0);
        if is_first {
            AttemptCause::First
        } else {
            AttemptCause::Retry
        }
    }

    /// Tries again to send the parts in a service's queue, each once.
    pub(super) fn retry_waiting_parts(
        &mut self,
        upstream: UpstreamKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let count = self.upstreams[upstream].waiting.len();
        for _ in 0..count {
            let Some((call, part)) = self.upstreams[upstream].waiting.pop_front() else {
                return;
            };
            let Some(state) = self.calls.get_mut(call) else {
                continue;
            };
            if !state.parts[part].is_open() {
                continue;
            }
            state.parts[part].is_queued = false;
            if self.awaits_canary(call, part) {
                continue;
            }
            let cause = self.attempt_cause(call, part);
            match self.choose_server_for(call, part, now) {
                Ok(choice) if self.try_spend_budget(call, part, now, out) => {
                    self.send_part_to(call, part, cause, choice, now, out);
                }
                Ok(_) => self.schedule_recheck(call, part, now, out),
                Err(reason) => {
                    self.enqueue_or_give_up(call, part, reason, now, out);
                    self.check_end(call, now, out);
                }
            }
        }
    }
}
