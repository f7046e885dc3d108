//! Asking around an entry that does not say that it is at work.
//!
//! An entry that lost its power or its way answers nothing, and nothing says
//! so. With some fifty entries in a failure domain each request asks fifteen of
//! them, so that one silent entry in ten reaches four requests of five. So an
//! entry that is asked says at once that it is at work, long before its answer.
//! One that does not say so in time is asked around.
//!
//! No more servers than the route allows may run a part, whatever is lost on
//! the way. So another entry is first lent all but one of the route's attempts;
//! the last one it is granted when it was heard, or else it is used here. What
//! the other may have run counts as run.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::bundle::{BundlePlan, DIVIDE_ABOVE};
use crate::process::forward::call::{
    CallState, ForwardAttempt, PartState, PartStatus, RelayStanding,
};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::relay::SILENT_REST;
use crate::process::input::CallTag;

/// Part of the time left within which an entry says that it is at work. An
/// entry that is busy takes some tens of milliseconds; asking elsewhere takes a
/// new connection and the work of one request.
const SIGN_TIME: f64 = 0.25;
/// Least such time: entries of other failure domains are some milliseconds
/// away.
const LEAST_SIGN_TIME: Duration = Duration::from_millis(20);
/// Part of the time left that is allowed for ways that were never taken.
const UNKNOWN_WAY: f64 = 0.25;
/// Time after the aim at which a silent entry is given up, as a part of the
/// objective: until then a late answer may still come of it.
const LATE_TIME: f64 = 0.5;

/// What another entry may do for a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct RelayLoan {
    /// Servers of each part that it may run on.
    pub(super) attempts: u32,
    /// When it should have said that it is at work.
    pub(super) due: Duration,
}

impl ForwardMachine {
    /// Decides what another entry may do for these parts of a request.
    pub(super) fn loan(
        state: &CallState,
        parts: &[usize],
        way: Option<Duration>,
        now: Duration,
    ) -> RelayLoan {
        let left = state.plan.aim.saturating_sub(now);
        let sign_time = left.mul_f64(SIGN_TIME).max(LEAST_SIGN_TIME);
        // A connection may have to be opened first. Without that, entries 12 ms
        // away were all taken for silent, and a tenth of the requests was lost.
        let ways = way.map_or(left.mul_f64(UNKNOWN_WAY), |way| way * 2);
        let kept = u32::from(state.rule().idempotent);
        RelayLoan {
            attempts: own_attempts(state, parts).saturating_sub(kept).max(1),
            due: now + ways + sign_time,
        }
    }

    /// Takes the word of another entry that it is at work.
    pub(super) fn hear_alive(
        &mut self,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(relay) = self.attempts.get_mut(attempt) else {
            return;
        };
        self.servers[relay.server].answered_at = now;
        if relay.relay == RelayStanding::Unheard {
            relay.relay = RelayStanding::AtWork;
            self.grant(attempt, out);
        }
    }

    /// Leaves the attempts that are left to another entry that is at work.
    fn grant(&mut self, attempt: SlotKey, out: &mut Vec<ForwardAction>) {
        let Some(relay) = self.attempts.get_mut(attempt) else {
            return;
        };
        let call = relay.call.and_then(|call| self.calls.get_mut(call));
        let Some(state) = call.filter(|_| relay.relay == RelayStanding::AtWork) else {
            return;
        };
        let more = own_attempts(state, &relay.parts);
        if more == 0 {
            return;
        }
        relay.runs += more;
        for part in &relay.parts {
            state.parts[*part].runs += more;
        }
        out.push(ForwardAction::Grant(attempt, relay.runs));
    }

    /// Takes the word of the entry that asks that more servers may run a part,
    /// and passes it on to those that are asked in turn.
    pub(super) fn take_grant(
        &mut self,
        tag: CallTag,
        attempts: u32,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(call) = self.tags.get(&tag).copied() else {
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let most = state.rule().attempts;
        if !state.relayed || attempts.min(most) <= state.attempts {
            return;
        }
        state.attempts = attempts.min(most);
        for part in state.parts.iter_mut().filter(|part| part.is_open()) {
            // What is lost or was not looked at any more may be repeated now.
            let is_lost = part.attempts.is_empty() && !part.waits;
            if is_lost || part.hedge_at == Duration::MAX {
                part.hedge_at = now;
            }
        }
        for attempt in self.relays_of(call) {
            self.grant(attempt, out);
        }
        self.plan_sweep(call, now);
    }

    /// Looks after the entries that a request waits for: those that are late
    /// are asked around, those that stay silent given up.
    pub(super) fn look_after_relays(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        for attempt in self.relays_of(call) {
            let Some(state) = self.attempts.get_mut(attempt) else {
                continue;
            };
            if state.relay == RelayStanding::Unheard && now >= state.due {
                state.relay = RelayStanding::Late;
                self.ask_around(call, attempt, now, out);
            }
            let is_over = self
                .calls
                .get(call)
                .is_some_and(|state| now >= give_up_time(state));
            if is_over {
                self.drop_silent_relay(call, attempt, now, out);
            }
        }
    }

    /// Returns when the next silent entry is given up, if one is asked.
    pub(super) fn give_up_at(&self, state: &CallState) -> Option<Duration> {
        let mut attempts = state.parts.iter().flat_map(|part| &part.attempts);
        attempts
            .any(|attempt| self.is_relay(*attempt))
            .then(|| give_up_time(state))
    }

    /// Tells whether another entry is at work on a part, or may be.
    pub(super) fn is_with_relay(&self, part: &PartState) -> bool {
        let attempts = part.attempts.iter();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        attempts.any(|attempt| attempt.is_relay() && attempt.relay != RelayStanding::Late)
    }

    /// Tells whether nobody but entries that are late was asked for a part: it
    /// is as good as not asked for.
    pub(super) fn is_with_late_relay(&self, part: &PartState) -> bool {
        let attempts = part.attempts.iter();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        !part.attempts.is_empty() && attempts.all(|attempt| attempt.relay == RelayStanding::Late)
    }

    fn is_relay(&self, attempt: SlotKey) -> bool {
        let attempt = self.attempts.get(attempt);
        attempt.is_some_and(ForwardAttempt::is_relay)
    }

    /// Returns the attempts of a request that other entries have.
    fn relays_of(&self, call: SlotKey) -> Vec<SlotKey> {
        let mut relays = Vec::new();
        let Some(state) = self.calls.get(call) else {
            return relays;
        };
        for attempt in state.parts.iter().flat_map(|part| &part.attempts) {
            if self.is_relay(*attempt) && !relays.contains(attempt) {
                relays.push(*attempt);
            }
        }
        relays
    }

    /// Asks for the parts of an entry that is late elsewhere: for many through
    /// another entry, for few of servers.
    fn ask_around(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(late) = self.attempts.get(attempt) else {
            return;
        };
        let (server, sent_at, parts) = (late.server, late.sent_at, late.parts.clone());
        let Some(state) = self.calls.get(call).filter(|state| !state.needs_canary()) else {
            return;
        };
        let tag = state.tag;
        let open: Vec<usize> = parts
            .into_iter()
            .filter(|part| state.parts[*part].is_open() && state.parts[*part].runs < state.attempts)
            .collect();
        if open.is_empty() {
            return;
        }
        let count = open.len();
        self.counters.asked_around += 1;
        self.decide(tag, out, || {
            let (service, instance) = self.names(server);
            ForwardDecision::AskAround {
                service,
                instance,
                after: now - sent_at,
                parts: count,
            }
        });
        if count <= DIVIDE_ABOVE {
            return;
        }
        let entries = self.servers[server].upstream;
        let own = self.options.own.clone();
        let homes = state.homes;
        let Some(choice) = self.entry_for(entries, &own, false, homes, &[server], now) else {
            return;
        };
        let parts = open.into_iter();
        let parts = parts.filter(|part| self.afford(call, *part, now, out));
        let plan = BundlePlan {
            choice,
            parts: parts.collect(),
            divides: true,
        };
        if !plan.parts.is_empty() {
            self.send_bundle(call, plan, now, out);
        }
    }

    /// Gives up an entry that has not answered, with the parts that nobody else
    /// is asked for.
    fn drop_silent_relay(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(late) = self.attempts.get_mut(attempt) else {
            return;
        };
        late.call = None;
        late.cancelled = true;
        let (server, sent_at, parts) = (late.server, late.sent_at, late.parts.clone());
        self.servers[server].rest_at_least(SILENT_REST, now);
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        for part in parts {
            let part = &mut state.parts[part];
            part.attempts.retain(|other| *other != attempt);
            if part.is_open() && part.attempts.is_empty() && !part.waits {
                part.status = PartStatus::Missing;
                state.missing += 1;
            }
        }
        out.push(ForwardAction::Cancel(attempt));
        self.close_if_silent(server, sent_at, out);
    }

    /// Leaves an entry alone for a while that was late and has answered nothing
    /// else since it was asked.
    pub(super) fn rest_if_silent(&mut self, server: ServerKey, sent_at: Duration, now: Duration) {
        if self.servers[server].answered_at < sent_at {
            self.servers[server].rest_at_least(SILENT_REST, now);
        }
    }

    /// Takes the servers beside an entry that answered without some parts as
    /// asked for these: it asked them first.
    pub(super) fn pass_asked(&mut self, call: SlotKey, parts: &[usize], entry: ServerKey) {
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let domain = &self.servers[entry].domain;
        for part in parts {
            let part = &mut state.parts[*part];
            if !part.is_open() {
                continue;
            }
            let servers = self.upstreams[part.upstream].servers.iter();
            let beside = servers.filter(|server| self.servers[**server].domain == *domain);
            for server in beside {
                let _ = part.tried.try_push(*server);
            }
        }
    }
}

/// Returns how many more servers may run any of these parts.
fn own_attempts(state: &CallState, parts: &[usize]) -> u32 {
    let runs = parts.iter().map(|part| state.parts[*part].runs).max();
    state.attempts.saturating_sub(runs.unwrap_or(0))
}

/// Returns when an entry that is silent is given up.
fn give_up_time(state: &CallState) -> Duration {
    state.plan.aim + state.rule().objective().mul_f64(LATE_TIME)
}
