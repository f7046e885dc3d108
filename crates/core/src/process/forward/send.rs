//! Sending a part to a server, or letting it wait for one with room.

use std::time::Duration;

use crate::arena::{SlotKey, UpstreamKey};
use crate::process::forward::answer::{AttemptCause, AttemptOrder, ForwardAction, ForwardDecision};
use crate::process::forward::call::{CallState, ForwardAttempt, PartStatus, RelayStanding};
use crate::process::forward::choose::{ExpectedTimes, NoChoice, ServerChoice};
use crate::process::forward::input::RelayOrder;
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::server::OutstandingAttempt;
use crate::process::forward::suspect::registry::SuspectStatus;
use crate::process::forward::version::slow_after;

/// Time kept for the way back when a server is told its time.
const SEND_MARGIN: Duration = Duration::from_millis(3);

/// An attempt that is to be sent.
#[derive(Debug)]
pub(super) struct AttemptSend {
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
    pub(super) fn send(
        &mut self,
        call: SlotKey,
        part: usize,
        cause: AttemptCause,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Result<(), NoChoice> {
        let choice = self.choose_for(call, part, now)?;
        self.send_to(call, part, cause, choice, now, out);
        Ok(())
    }

    /// Chooses a server for a part out of those that were not asked for it.
    pub(super) fn choose_for(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
    ) -> Result<ServerChoice, NoChoice> {
        let state = self.calls.get(call).ok_or(NoChoice::NoServer)?;
        let (upstream, tried) = (state.parts[part].upstream, state.parts[part].tried.clone());
        let times = ExpectedTimes {
            far_as_near: !state.gathers && !tried.is_empty(),
            ..self.first_times(state)
        };
        self.choose(upstream, &tried, times, now)
    }

    /// Returns what is expected of the first answers to a request.
    pub(super) fn first_times(&self, state: &CallState) -> ExpectedTimes {
        ExpectedTimes {
            typical: self.timings[state.timing].typical(state.rule()),
            objective: state.rule().objective(),
            far_as_near: false,
            repeats: state.rule().idempotent,
            homes: state.homes,
        }
    }

    pub(super) fn send_to(
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
        let send = AttemptSend {
            parts: vec![part],
            cause,
            choice,
            timing,
            patience: self.servers[choice.server.key()].way() + slow,
            runs: 1,
            relay: None,
        };
        self.send_attempt(call, send, now, out);
        if let Some(state) = self.calls.get_mut(call) {
            let _ = state.parts[part].tried.try_push(choice.server.key());
        }
    }

    /// Sends one attempt, for one part or for several.
    pub(super) fn send_attempt(
        &mut self,
        call: SlotKey,
        send: AttemptSend,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let AttemptSend { cause, choice, .. } = send;
        let is_known = self.suspects.status_of(state.mark, now) != SuspectStatus::Clear;
        let on_trial = state.needs_canary() || (is_known && !state.gathers);
        let typical = self.timings[send.timing].typical(state.rule());
        let slow_after = slow_after(typical, state.rule().objective());
        let key = choice.server.key();
        let server = &mut self.servers[key];
        let attempt = self.attempts.insert(ForwardAttempt {
            call: Some(call),
            mark: state.mark,
            parts: send.parts.clone(),
            server: key,
            upstream: server.upstream,
            sent_at: now,
            typical,
            slow_after,
            basis: send
                .relay
                .is_none()
                .then(|| server.basis(choice.expected, now)),
            cause,
            timing: send.timing,
            runs: send.runs,
            due: if send.relay.is_some() {
                now + send.patience
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
        let until = state.plan.given_up.saturating_sub(SEND_MARGIN);
        for part in &send.parts {
            let part = &mut state.parts[*part];
            part.attempts.push(attempt);
            part.arrivals += 1;
            part.runs += send.runs;
            part.hedge_at = now + send.patience;
            part.bundled |= send.relay.is_some();
        }
        let counts = &mut self.upstreams[server.upstream].counts;
        counts.sends += 1;
        if matches!(cause, AttemptCause::Retry | AttemptCause::Hedge) {
            counts.extras += 1;
        }
        let outstanding = server.outstanding.len();
        if send.relay.is_none() {
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
            relay: send.relay,
        }));
    }

    /// Lets a part that was not sent wait for a server with room, or gives it
    /// up if its service has none.
    pub(super) fn wait_or_miss(
        &mut self,
        call: SlotKey,
        part: usize,
        reason: NoChoice,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let part_state = &mut state.parts[part];
        if reason == NoChoice::Full {
            if !part_state.waits {
                part_state.waits = true;
                let upstream = part_state.upstream;
                self.upstreams[upstream].waiting.push_back((call, part));
            }
        } else if part_state.attempts.is_empty() {
            self.miss(call, part, out);
        }
    }

    /// Gives a part up whose service has no server left to ask.
    fn miss(&mut self, call: SlotKey, part: usize, out: &mut Vec<ForwardAction>) {
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
    pub(super) fn cause_for(&self, call: SlotKey, part: usize) -> AttemptCause {
        let state = self.calls.get(call);
        let is_first = state.is_none_or(|state| state.parts[part].arrivals == 0);
        if is_first {
            AttemptCause::First
        } else {
            AttemptCause::Retry
        }
    }

    /// Gives the parts that wait for a service another try.
    pub(super) fn serve_waiting(
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
            if self.awaits_canary(call, part) {
                continue;
            }
            let cause = self.cause_for(call, part);
            match self.choose_for(call, part, now) {
                Ok(choice) if self.afford(call, part, now, out) => {
                    self.send_to(call, part, cause, choice, now, out);
                }
                Ok(_) => self.look_again(call, part, now, out),
                Err(reason) => {
                    self.wait_or_miss(call, part, reason, out);
                    self.check_end(call, now, out);
                }
            }
        }
    }
}
