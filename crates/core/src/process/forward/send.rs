//! Sending a part to a server, or letting it wait for one with room.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, AttemptOrder, ForwardAction, ForwardDecision};
use crate::process::forward::call::{CallState, ForwardAttempt, PartStatus, RelayStanding};
use crate::process::forward::choose::{SelectionCriteria, SelectionFailure, ServerChoice};
use crate::process::forward::input::RelayOrder;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::server::OutstandingAttempt;
use crate::process::forward::suspect::book::SuspectStanding;
use crate::process::forward::version::slow_after;

/// Time kept for the way back when a server is told its time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(3);

/// An attempt that is to be sent.
#[derive(Debug)]
pub(super) struct AttemptPlan {
    /// Places of the parts in the request.
    pub(super) parts: Vec<usize>,
    /// Why.
    pub(super) cause: AttemptCause,
    /// The server.
    pub(super) choice: ServerChoice,
    /// Place of the timing that it counts for.
    pub(super) timing: usize,
    /// Time after which it is looked over.
    pub(super) patience: Duration,
    /// Servers of each part that it may run on.
    pub(super) runs: u32,
    /// What is asked, if the server is another entry.
    pub(super) relay: Option<RelayOrder>,
}

impl ForwardMachine {
    /// Sends a part to a server, if there is one with room.
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

    /// Chooses a server for a part out of those that were not asked for it.
    pub(super) fn choose_server_for(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
    ) -> Result<ServerChoice, SelectionFailure> {
        let state = self.calls.get(call).ok_or(SelectionFailure::NoServer)?;
        let (upstream, tried) = (state.parts[part].upstream, state.parts[part].tried.clone());
        let times = SelectionCriteria {
            ignores_distance: !state.gathers && !tried.is_empty(),
            ..self.first_attempt_criteria(state)
        };
        self.choose_server(upstream, &tried, times, now)
    }

    /// Returns what is expected of the first answers to a request.
    pub(super) fn first_attempt_criteria(&self, state: &CallState) -> SelectionCriteria {
        SelectionCriteria {
            typical: self.timings[state.timing].typical(state.rule()),
            objective: state.rule().objective(),
            ignores_distance: false,
            repeats: state.rule().idempotent,
            homes: state.homes,
        }
    }

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
        let slow = self.timings[timing].slow(state.rule());
        let send_part = AttemptPlan {
            parts: vec![part],
            cause,
            choice,
            timing,
            patience: self.servers[choice.server.key()].way() + slow,
            runs: 1,
            relay: None,
        };
        self.send_attempt(call, send_part, now, out);
        if let Some(state) = self.calls.get_mut(call) {
            let _ = state.parts[part].tried.try_push(choice.server.key());
        }
    }

    /// Sends one attempt, for one part or for several.
    pub(super) fn send_attempt(
        &mut self,
        call: SlotKey,
        send_part: AttemptPlan,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let AttemptPlan { cause, choice, .. } = send_part;
        let is_known = self.suspects.standing(state.mark, now) != SuspectStanding::Clear;
        let on_trial = state.is_doubted() || (is_known && !state.gathers);
        let typical = self.timings[send_part.timing].typical(state.rule());
        let slow_after = slow_after(typical, state.rule().objective());
        let key = choice.server.key();
        let server = &mut self.servers[key];
        let attempt = self.attempts.insert(ForwardAttempt {
            call: Some(call),
            mark: state.mark,
            parts: send_part.parts.clone(),
            server: key,
            upstream: server.upstream,
            sent_at: now,
            typical,
            slow_after,
            basis: send_part
                .relay
                .is_none()
                .then(|| server.basis(choice.expected, now)),
            cause,
            timing: send_part.timing,
            runs: send_part.runs,
            due: if send_part.relay.is_some() {
                now + send_part.patience
            } else {
                Duration::MAX
            },
            relay: RelayStanding::Unheard,
            cancelled: false,
            on_trial,
            has_run: false,
        });
        state.sends += 1;
        let (tag, gathers) = (state.tag, state.gathers);
        let workspace = state.workspace.clone();
        let until = state.plan.given_up.saturating_sub(RESPONSE_MARGIN);
        for part in &send_part.parts {
            let part = &mut state.parts[*part];
            part.attempts.push(attempt);
            part.arrivals += 1;
            part.runs += send_part.runs;
            part.hedge_at = now + send_part.patience;
            part.bundled |= send_part.relay.is_some();
        }
        let counts = &mut self.upstreams[server.upstream].counts;
        counts.sends += 1;
        if matches!(cause, AttemptCause::Retry | AttemptCause::Hedge) {
            counts.extras += 1;
        }
        let outstanding = server.outstanding.len();
        if send_part.relay.is_none() {
            let work = server.work(typical, now);
            server.backlog.sent(work, server.slots, self.entries, now);
        }
        if self.upstreams[server.upstream].cold_per_s > 0.0 {
            server.cold.sent(now);
        }
        server.outstanding.push(OutstandingAttempt {
            attempt,
            sent_at: now,
            on_trial,
        });
        server.idle = server.idle.saturating_sub(1);
        let (address, instance) = (server.address, server.id.clone());
        let place = server.place;
        match cause {
            AttemptCause::First => self.counters.sends += 1,
            AttemptCause::Retry => self.counters.retries += 1,
            AttemptCause::Hedge => self.counters.hedges += 1,
            AttemptCause::Relay => self.counters.relays += 1,
        }
        self.decide(tag, out, || {
            let (service, instance) = self.names(key);
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
            until,
            workspace,
            whole_head: !gathers,
            relay: send_part.relay,
        }));
    }

    /// Lets a part that was not sent wait for a server with room, or gives it
    /// up if its service has none.
    pub(super) fn enqueue_or_give_up(
        &mut self,
        call: SlotKey,
        part: usize,
        reason: SelectionFailure,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let part_state = &mut state.parts[part];
        if reason == SelectionFailure::Full {
            if !part_state.waits {
                part_state.waits = true;
                let upstream = part_state.upstream;
                self.upstreams[upstream].waiting.push_back((call, part));
            }
        } else if part_state.attempts.is_empty() {
            self.give_up_part(call, part, out);
        }
    }

    /// Gives a part up whose service has no server left to ask.
    fn give_up_part(&mut self, call: SlotKey, part: usize, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        state.parts[part].status = PartStatus::Missing;
        state.missing += 1;
        let (tag, upstream) = (state.tag, state.parts[part].upstream);
        let servers = self.upstreams[upstream].servers.len();
        let service = self.upstreams[upstream].name.clone();
        self.decide(tag, out, || ForwardDecision::NoServer { service, servers });
    }

    /// Returns why a part is sent that was sent before, or was not.
    pub(super) fn attempt_cause(&self, call: SlotKey, part: usize) -> AttemptCause {
        let state = self.calls.get(call);
        let is_first = state.is_none_or(|state| state.parts[part].arrivals == 0);
        if is_first {
            AttemptCause::First
        } else {
            AttemptCause::Retry
        }
    }

    /// Gives the parts that wait for a service another try.
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
            state.parts[part].waits = false;
            if self.is_held(call, part) {
                continue;
            }
            let cause = self.attempt_cause(call, part);
            match self.choose_server_for(call, part, now) {
                Ok(choice) if self.afford(call, part, now, out) => {
                    self.send_part_to(call, part, cause, choice, now, out);
                }
                Ok(_) => self.look_again(call, part, now, out),
                Err(reason) => {
                    self.enqueue_or_give_up(call, part, reason, out);
                    self.check_end(call, now, out);
                }
            }
        }
    }
}
