//! Hedging: sends a second attempt for a part of a request whose first attempt
//! is slow.
//!
//! A timer per request triggers a sweep over its parts. A part is hedged when its
//! hedge delay has passed, the second attempt is likely to answer first, and the
//! budget for extra load allows it.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::PartState;
use crate::process::forward::canary::CallHold;
use crate::process::forward::choose::{SelectionFailure, ServerChoice};
use crate::process::forward::extra::ExtraPurpose;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::place::DomainProximity;
use crate::process::forward::retry_order::RetryUse;

/// Time until the next check of a part that could not be hedged, or until the
/// next search for a server that may run a suspect request's canary attempt. A
/// suspect request is one under which servers crashed; its canary attempt runs on
/// one server before other servers get the request.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of shards of a route up to which a hedge is sent to another region as
/// soon as a shard is slow. On such a route, an omitted shard costs a tenth of the
/// answer.
const EAGER_HEDGE_SHARDS: f64 = 20.0;
/// Fraction of recent requests that a shard had no capacity for, above which no
/// hedges are sent to the shard, because hedges would take capacity from requests
/// that were admitted.
const MAX_HEDGE_SHORTAGE: f64 = 0.1;
/// Factor on the expected response time of a hedge to another region, when the
/// latest useful time to send the hedge is computed.
const HEDGE_TIME_FACTOR: f64 = 1.5;
/// Additional time reserved for a hedge to another region.
const HEDGE_TIME_MARGIN: Duration = Duration::from_millis(4);

impl ForwardMachine {
    /// Sets the timer for the next sweep of a request: when the first of its open
    /// parts is due for a hedge, or when an unresponsive entry is given up.
    pub(super) fn schedule_sweep(&mut self, call: SlotKey, now: Duration) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.rule().idempotent {
            return;
        }
        let open = state.parts.iter().filter(|part| part.is_open());
        let next_hedge = open.map(|part| part.hedge_at).min();
        let next = next_hedge
            .into_iter()
            .chain(self.find_relay_deadline(state))
            .min();
        let Some(next) = next.filter(|next| *next < state.deadlines.hard_deadline) else {
            return;
        };
        let at = next.max(now + Duration::from_millis(1));
        self.timers.set(at, ForwardTimer::Sweep(call));
    }

    /// Checks all parts of a request and hedges those that are slow. Also checks
    /// the relays (shards sent to other entries) that the request waits for.
    pub(super) fn sweep(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let count = state.parts.len();
        self.check_relays(call, now, out);
        self.review_suspect(call, now, out);
        for part in 0..count {
            self.hedge_if_slow(call, part, now, out);
        }
        self.schedule_sweep(call, now);
        self.check_end(call, now, out);
    }

    /// Sends another attempt for a part if the part is due for a hedge, the hedge
    /// is likely to answer first and the budget for extra load allows it. Otherwise
    /// sets when to check the part again.
    fn hedge_if_slow(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let max_attempts = state.attempts;
        let part_state = &state.parts[part];
        if !part_state.is_open() || part_state.is_queued || now < part_state.hedge_at {
            return;
        }
        if self.awaits_canary(call, part) {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = match state.hold() {
                    CallHold::Verdict => now + RECHECK_INTERVAL,
                    CallHold::Canary | CallHold::Free => Duration::MAX,
                };
            }
            return;
        }
        let is_exhausted = part_state.runs >= max_attempts || part_state.attempts.is_full();
        if is_exhausted || self.has_active_relay(&state.parts[part]) {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = Duration::MAX;
            }
            return;
        }
        if self.withhold_hedge(call, part, now) {
            return;
        }
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + RECHECK_INTERVAL;
        }
        let choice = match self.choose_server_for(call, part, now) {
            Ok(choice) => choice,
            Err(SelectionFailure::NoServer) => {
                self.relay_placeless_part(call, part, now, out);
                return;
            }
            Err(SelectionFailure::Full) => return,
        };
        let due = self.hedge_due_at(call, part, choice, now);
        if now < due {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = due;
            }
            return;
        }
        let has_no_attempt = self
            .calls
            .get(call)
            .is_some_and(|state| state.parts[part].attempts.is_empty());
        if has_no_attempt && self.weigh_retry(call, part, choice, now) != RetryUse::Now {
            return;
        }
        if !self.is_hedge_worthwhile(call, part, choice, now)
            || !self.try_spend_budget(call, part, now, out)
        {
            return;
        }
        let cause = if has_no_attempt {
            AttemptCause::Retry
        } else {
            AttemptCause::Hedge
        };
        self.send_part_to(call, part, cause, choice, now, out);
    }

    /// Keeps a part open whose retry does not fit the extra-load budget yet, and
    /// schedules the next check. The next requests refill the budget, whereas
    /// giving up a shard may cost the whole answer.
    pub(super) fn schedule_recheck(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + RECHECK_INTERVAL;
        }
        self.schedule_sweep(call, now);
        self.check_end(call, now, out);
    }

    /// Returns the earliest time at which to hedge a part that has become slow.
    ///
    /// A hedge within the region may be sent now. A hedge to another region is
    /// delayed, because traffic between regions is expensive and most slow parts
    /// are answered within the objective anyway. The more shards a route has, the
    /// less each of them contributes to the answer, and the longer the delay. The
    /// hedge is sent at the latest when it can just answer in time.
    fn hedge_due_at(
        &self,
        call: SlotKey,
        part: usize,
        choice: ServerChoice,
        now: Duration,
    ) -> Duration {
        let Some(state) = self.calls.get(call) else {
            return now;
        };
        if !state.is_scatter_gather
            || self.servers[choice.server.key()].proximity < DomainProximity::Elsewhere
        {
            return now;
        }
        if self.has_only_overdue_relays(&state.parts[part]) {
            return now;
        }
        let Some(first_sent_at) = self.first_sent_at(&state.parts[part]) else {
            return now;
        };
        let shard_count = state.gathered_services().len() as f64;
        let delay_fraction = (1.0 - EAGER_HEDGE_SHARDS / shard_count).max(0.0);
        let time_needed = choice.expected.mul_f64(HEDGE_TIME_FACTOR) + HEDGE_TIME_MARGIN;
        let latest = state.deadlines.soft_deadline.saturating_sub(time_needed);
        let hedge_at = first_sent_at + self.timings[state.timing].hedge_delay(state.rule());
        hedge_at + latest.saturating_sub(hedge_at).mul_f64(delay_fraction)
    }

    /// Returns whether a hedge is likely to answer before the outstanding
    /// attempts, and its shard has the capacity for it.
    fn is_hedge_worthwhile(
        &self,
        call: SlotKey,
        part: usize,
        choice: ServerChoice,
        now: Duration,
    ) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        if self.has_only_overdue_relays(&state.parts[part]) {
            return true;
        }
        let Some(first_sent_at) = self.first_sent_at(&state.parts[part]) else {
            return true;
        };
        let upstream = &self.upstreams[state.parts[part].upstream];
        if upstream.shortage_rate.value_at(now) > MAX_HEDGE_SHORTAGE {
            return false;
        }
        // An attempt that has been outstanding for some time is likely to stay
        // so for as long again.
        choice.expected < (now - first_sent_at) * 2
    }

    /// Returns when the oldest outstanding attempt of a part was sent, or `None`
    /// if no attempt is outstanding.
    pub(super) fn first_sent_at(&self, part: &PartState) -> Option<Duration> {
        let attempts = part.attempts.iter();
        let sent = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        sent.map(|attempt| attempt.sent_at).min()
    }

    /// Takes one repeated attempt for a part out of the service's extra-load
    /// budget. Returns whether the attempt may be sent. An attempt for a part that
    /// has not reached any server yet is no extra load and always allowed.
    pub(super) fn try_spend_budget(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        let part_state = &state.parts[part];
        if part_state.arrivals == 0 {
            return true;
        }
        let (tag, upstream) = (state.tag, part_state.upstream);
        let awaits_answer =
            !part_state.attempts.is_empty() && !self.has_only_overdue_relays(part_state);
        let purpose = if awaits_answer {
            ExtraPurpose::Hedge
        } else {
            ExtraPurpose::Retry
        };
        let rank = state.rank;
        let is_withheld = self.is_repeat_withheld(upstream, rank, now);
        let (bound, sharing) = (self.options.extra, self.budget_sharing(upstream));
        let budget = &mut self.upstreams[upstream].budget;
        if !is_withheld && budget.try_spend(&bound, sharing, purpose, now) {
            return true;
        }
        self.counters.denied_repeats += 1;
        let service = self.upstreams[upstream].name.clone();
        self.record_decision(tag, out, || ForwardDecision::BudgetSpent { service });
        false
    }
}
