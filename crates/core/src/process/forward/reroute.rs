//! Detects unresponsive entries and reroutes the shards that were relayed to them.
//!
//! An entry that lost power or its network sends no error. With about fifty entries
//! in a failure domain, each request is relayed to fifteen of them, so one
//! unresponsive entry in ten affects four requests in five. Therefore an entry
//! acknowledges a relay at once, long before its answer. If the acknowledgement is
//! late, the shards are sent to another entry or directly to servers.
//!
//! The route limits how many servers may run a part, even if messages are lost. An
//! entry is therefore first allowed all but one of the route's attempts. The last
//! attempt is granted to that entry once it has acknowledged the relay; otherwise
//! the attempt is used locally. Attempts granted to an entry always count as run.

use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision};
use crate::process::forward::bundle::{BundlePlan, MAX_UNDIVIDED_SHARDS};
use crate::process::forward::call::{
    CallState, ForwardAttempt, PartState, PartStatus, RelayStatus,
};
use crate::process::forward::machine::ForwardMachine;
use crate::process::forward::relay::UNRESPONSIVE_BACKOFF;
use crate::process::input::CallTag;

/// Fraction of the time left until the soft deadline within which an entry must
/// acknowledge a relay. A busy entry takes some tens of milliseconds; rerouting needs
/// time for a new connection and for the work of one request.
const ACK_TIME_FRACTION: f64 = 0.25;
/// Minimum time allowed for an acknowledgement. Entries of other failure domains are
/// some milliseconds away.
const MIN_ACK_TIME: Duration = Duration::from_millis(20);
/// Fraction of the time left until the soft deadline that is allowed for the network
/// if the entry's round-trip time was never measured.
const UNKNOWN_RTT_FRACTION: f64 = 0.25;
/// Time after the soft deadline at which a relay without an answer is abandoned, as a
/// fraction of the route's objective. Until then a late answer is still used.
const GIVE_UP_FRACTION: f64 = 0.5;

/// Attempt allowance of a relay: how many servers the other entry may try for each
/// part. Includes the deadline of the entry's acknowledgement.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptAllowance {
    /// Number of servers that the entry may try for each part.
    pub(super) attempts: u32,
    /// Time by which the entry must acknowledge the relay.
    pub(super) ack_due: Duration,
}

impl ForwardMachine {
    /// Computes the attempt allowance for relaying these parts to another entry.
    /// `round_trip` is the measured round-trip time to that entry, if there is one.
    pub(super) fn compute_allowance(
        state: &CallState,
        parts: &[usize],
        round_trip: Option<Duration>,
        now: Duration,
    ) -> AttemptAllowance {
        let time_left = state.deadlines.soft_deadline.saturating_sub(now);
        let ack_time = time_left.mul_f64(ACK_TIME_FRACTION).max(MIN_ACK_TIME);
        // Allows a second round trip, as a connection may have to be opened first.
        // Without it, all entries 12 ms away were treated as unresponsive, and a tenth
        // of the requests was lost.
        let network_time =
            round_trip.map_or(time_left.mul_f64(UNKNOWN_RTT_FRACTION), |time| time * 2);
        let reserved = u32::from(state.rule().idempotent);
        AttemptAllowance {
            attempts: remaining_attempts(state, parts)
                .saturating_sub(reserved)
                .max(1),
            ack_due: now + network_time + ack_time,
        }
    }

    /// Handles the acknowledgement of a relay by another entry: grants that entry the
    /// remaining attempts, unless the relay was already rerouted.
    pub(super) fn handle_acknowledgement(
        &mut self,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(relay) = self.attempts.get_mut(attempt) else {
            return;
        };
        self.servers[relay.server].answered_at = now;
        if relay.relay == RelayStatus::Unacknowledged {
            relay.relay = RelayStatus::Acknowledged;
            self.raise_allowance(attempt, out);
        }
    }

    /// Raises the attempt allowance of an acknowledged relay by all attempts that are
    /// left for its parts.
    fn raise_allowance(&mut self, attempt: SlotKey, out: &mut Vec<ForwardAction>) {
        let Some(relay) = self.attempts.get_mut(attempt) else {
            return;
        };
        let call = relay.call.and_then(|call| self.calls.get_mut(call));
        let Some(state) = call.filter(|_| relay.relay == RelayStatus::Acknowledged) else {
            return;
        };
        let remaining = remaining_attempts(state, &relay.parts);
        if remaining == 0 {
            return;
        }
        relay.runs += remaining;
        for part in &relay.parts {
            state.parts[*part].runs += remaining;
        }
        out.push(ForwardAction::RaiseAllowance(attempt, relay.runs));
    }

    /// Handles a message of the entry that relayed this request: it raises the number
    /// of servers that may run each part. Passes the higher allowance on to the
    /// entries that this one relayed parts to.
    pub(super) fn handle_raised_allowance(
        &mut self,
        tag: CallTag,
        attempts: u32,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(call) = self.calls_by_tag.get(&tag).copied() else {
            return;
        };
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        let max_attempts = state.rule().attempts;
        if !state.is_relayed || attempts.min(max_attempts) <= state.attempts {
            return;
        }
        state.attempts = attempts.min(max_attempts);
        for part in state.parts.iter_mut().filter(|part| part.is_open()) {
            // Parts whose attempts all failed, or that were no longer checked for a
            // hedge, may be sent again under the raised allowance.
            let is_lost = part.attempts.is_empty() && !part.is_queued;
            if is_lost || part.hedge_at == Duration::MAX {
                part.hedge_at = now;
            }
        }
        for attempt in self.relays_of(call) {
            self.raise_allowance(attempt, out);
        }
        self.schedule_sweep(call, now);
    }

    /// Checks the relays that a request waits for. Reroutes a relay whose
    /// acknowledgement is late, and abandons one that is past the relay deadline.
    pub(super) fn check_relays(
        &mut self,
        call: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        for attempt in self.relays_of(call) {
            let Some(state) = self.attempts.get_mut(attempt) else {
                continue;
            };
            if state.relay == RelayStatus::Unacknowledged && now >= state.ack_due_at {
                state.relay = RelayStatus::Overdue;
                self.reroute_relay(call, attempt, now, out);
            }
            let is_past_deadline = self
                .calls
                .get(call)
                .is_some_and(|state| now >= relay_deadline(state));
            if is_past_deadline {
                self.abandon_relay(call, attempt, now, out);
            }
        }
    }

    /// Returns when the unanswered relays of a request are abandoned, or `None` if no
    /// part of the request is relayed.
    pub(super) fn find_relay_deadline(&self, state: &CallState) -> Option<Duration> {
        let mut attempts = state.parts.iter().flat_map(|part| &part.attempts);
        attempts
            .any(|attempt| self.is_relay(*attempt))
            .then(|| relay_deadline(state))
    }

    /// Returns whether a part is relayed to an entry whose acknowledgement is not late.
    pub(super) fn has_active_relay(&self, part: &PartState) -> bool {
        let attempts = part.attempts.iter();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        attempts.any(|attempt| attempt.is_relay() && attempt.relay != RelayStatus::Overdue)
    }

    /// Returns whether all attempts of a part are relays with a late acknowledgement.
    /// Such a part counts as not sent.
    pub(super) fn has_only_overdue_relays(&self, part: &PartState) -> bool {
        let attempts = part.attempts.iter();
        let mut attempts = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        !part.attempts.is_empty() && attempts.all(|attempt| attempt.relay == RelayStatus::Overdue)
    }

    /// Returns whether an attempt is a relay to another entry, not a send to a server.
    fn is_relay(&self, attempt: SlotKey) -> bool {
        let attempt = self.attempts.get(attempt);
        attempt.is_some_and(ForwardAttempt::is_relay)
    }

    /// Returns the attempts of a request that are relays to other entries, each once.
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

    /// Reroutes the open parts of a relay whose acknowledgement is late. More than
    /// [`MAX_UNDIVIDED_SHARDS`] parts go to another entry in one bundle; fewer are left
    /// to the hedging code, which sends them to servers.
    fn reroute_relay(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(relay) = self.attempts.get(attempt) else {
            return;
        };
        let (server, sent_at, parts) = (relay.server, relay.sent_at, relay.parts.clone());
        let Some(state) = self.calls.get(call).filter(|state| !state.needs_canary()) else {
            return;
        };
        let tag = state.tag;
        let open_parts: Vec<usize> = parts
            .into_iter()
            .filter(|part| state.parts[*part].is_open() && state.parts[*part].runs < state.attempts)
            .collect();
        if open_parts.is_empty() {
            return;
        }
        let count = open_parts.len();
        self.counters.rerouted_relays += 1;
        self.record_decision(tag, out, || {
            let (service, instance) = self.server_names(server);
            ForwardDecision::Reroute {
                service,
                instance,
                after: now - sent_at,
                parts: count,
            }
        });
        if count <= MAX_UNDIVIDED_SHARDS {
            return;
        }
        let entries = self.servers[server].upstream;
        let local_id = self.options.local_id.clone();
        let regions = state.allowed_regions;
        let Some(choice) = self.select_entry(entries, &local_id, false, regions, &[server], now)
        else {
            return;
        };
        let parts = open_parts.into_iter();
        let parts = parts.filter(|part| self.try_spend_budget(call, *part, now, out));
        let plan = BundlePlan {
            choice,
            parts: parts.collect(),
            may_divide: true,
        };
        if !plan.parts.is_empty() {
            self.send_bundle(call, plan, now, out);
        }
    }

    /// Abandons a relay that was not answered by the relay deadline: cancels the
    /// attempt, backs off from the entry and omits the parts that have no other
    /// attempt.
    fn abandon_relay(
        &mut self,
        call: SlotKey,
        attempt: SlotKey,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(relay) = self.attempts.get_mut(attempt) else {
            return;
        };
        relay.call = None;
        relay.is_cancelled = true;
        let (server, sent_at, parts) = (relay.server, relay.sent_at, relay.parts.clone());
        self.servers[server].back_off_at_least(UNRESPONSIVE_BACKOFF, now);
        let Some(state) = self.calls.get_mut(call) else {
            return;
        };
        for part in parts {
            let part = &mut state.parts[part];
            part.attempts.retain(|other| *other != attempt);
            if part.is_open() && part.attempts.is_empty() && !part.is_queued {
                part.status = PartStatus::Missing;
                state.missing += 1;
            }
        }
        out.push(ForwardAction::Cancel(attempt));
        self.close_if_unresponsive(server, sent_at, out);
    }

    /// Backs off from an entry for at least [`UNRESPONSIVE_BACKOFF`] if the entry has
    /// answered nothing since `sent_at`, the time at which a late relay was sent.
    pub(super) fn back_off_if_unresponsive(
        &mut self,
        server: ServerKey,
        sent_at: Duration,
        now: Duration,
    ) {
        if self.servers[server].answered_at < sent_at {
            self.servers[server].back_off_at_least(UNRESPONSIVE_BACKOFF, now);
        }
    }

    /// Marks the servers in an entry's failure domain as tried for the parts that its
    /// answer omitted. The entry sent these parts to the servers of its own domain
    /// first.
    pub(super) fn mark_domain_tried(&mut self, call: SlotKey, parts: &[usize], entry: ServerKey) {
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
            let same_domain = servers.filter(|server| self.servers[**server].domain == *domain);
            for server in same_domain {
                let _ = part.tried.try_push(*server);
            }
        }
    }
}

/// Returns how many more servers may run each of these parts. The part with the most
/// runs decides.
fn remaining_attempts(state: &CallState, parts: &[usize]) -> u32 {
    let runs = parts.iter().map(|part| state.parts[*part].runs).max();
    state.attempts.saturating_sub(runs.unwrap_or(0))
}

/// Returns when the unanswered relays of a request are abandoned.
fn relay_deadline(state: &CallState) -> Duration {
    state.deadlines.soft_deadline + state.rule().objective().mul_f64(GIVE_UP_FRACTION)
}
