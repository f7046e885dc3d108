//! Sending once more beside an attempt that is slow.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::PartState;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::extra::SpendRate;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::place::PlaceStep;

/// Time between two looks at a part that could not be hedged, or for a server that
/// may try a request.
pub(super) const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// Shards of a route up to which each is worth a far hedge as soon as it is
/// slow: what is left out of so few costs a tenth of the answer.
const DEAR_SHARDS: f64 = 20.0;
/// Fraction of the last requests without room above which a shard gets no
/// hedges: they would take the room from requests that were let in.
const HEDGED_SHORTAGE: f64 = 0.1;
/// By how much more than the expected time a hedge is given.
const HEDGE_MARGIN: f64 = 1.5;
/// Further time that it is given.
const HEDGE_SPARE: Duration = Duration::from_millis(4);

impl ForwardMachine {
    /// Sets the timer for the next look at a request.
    pub(super) fn plan_sweep(&mut self, call: SlotKey, now: Duration) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        if !state.rule().idempotent {
            return;
        }
        let open = state.parts.iter().filter(|part| part.is_open());
        let next = open.map(|part| part.hedge_at).min();
        let next = next.into_iter().chain(self.give_up_at(state)).min();
        let Some(next) = next.filter(|next| *next < state.plan.limit) else {
            return;
        };
        let at = next.max(now + Duration::from_millis(1));
        self.timers.set(at, ForwardTimer::Sweep(call));
    }

    /// Hedges the parts of a request that are slow.
    pub(super) fn sweep(&mut self, call: SlotKey, now: Duration, out: &mut Vec<ForwardAction>) {
        let Some(state) = self.calls.get(call) else {
            return;
        };
        let count = state.parts.len();
        self.look_after_relays(call, now, out);
        self.review_suspect(call, now, out);
        for part in 0..count {
            self.hedge_if_slow(call, part, now, out);
        }
        self.plan_sweep(call, now);
        self.check_end(call, now, out);
    }

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
        let most = state.attempts;
        let part_state = &state.parts[part];
        if !part_state.is_open() || part_state.waits || now < part_state.hedge_at {
            return;
        }
        if self.awaits_canary(call, part) {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = Duration::MAX;
            }
            return;
        }
        let is_spent = part_state.runs >= most || part_state.attempts.is_full();
        if is_spent || self.is_with_relay(&state.parts[part]) {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = Duration::MAX;
            }
            return;
        }
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + LOOK_AGAIN;
        }
        let Ok(choice) = self.choose_for(call, part, now) else {
            return;
        };
        let due = self.far_hedge_due(call, part, choice, now);
        if now < due {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = due;
            }
            return;
        }
        if !self.pays(call, part, choice, now) || !self.afford(call, part, now, out) {
            return;
        }
        let is_lost = self
            .calls
            .get(call)
            .is_some_and(|state| state.parts[part].attempts.is_empty());
        let cause = if is_lost {
            AttemptCause::Retry
        } else {
            AttemptCause::Hedge
        };
        self.send_to(call, part, cause, choice, now, out);
    }

    /// Keeps a part whose repeat the bound on extra load does not allow yet: the
    /// bound leaves room again with the next requests, and a shard given up may
    /// cost the whole answer.
    pub(super) fn look_again(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + LOOK_AGAIN;
        }
        self.plan_sweep(call, now);
        self.check_end(call, now, out);
    }

    /// Returns when a part that has become slow is worth a hedge.
    ///
    /// Bytes between regions are dear, and most of what is slow now is
    /// answered before the objective anyway. The more shards a route has, the
    /// less one of them is worth, and the later a far hedge goes out: at the
    /// latest when it is just in time.
    fn far_hedge_due(
        &self,
        call: SlotKey,
        part: usize,
        choice: ServerChoice,
        now: Duration,
    ) -> Duration {
        let Some(state) = self.calls.get(call) else {
            return now;
        };
        if !state.gathers || self.servers[choice.server.key()].place < PlaceStep::Elsewhere {
            return now;
        }
        if self.is_with_late_relay(&state.parts[part]) {
            return now;
        }
        let Some(first) = self.first_sent(&state.parts[part]) else {
            return now;
        };
        let count = state.gathered().len() as f64;
        let patience = (1.0 - DEAR_SHARDS / count).max(0.0);
        let needed = choice.expected.mul_f64(HEDGE_MARGIN) + HEDGE_SPARE;
        let latest = state.plan.aim.saturating_sub(needed);
        let slow = first + self.timings[state.timing].slow(state.rule());
        slow + latest.saturating_sub(slow).mul_f64(patience)
    }

    /// Tells whether a hedge is likely to answer before what is outstanding.
    fn pays(&self, call: SlotKey, part: usize, choice: ServerChoice, now: Duration) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        if self.is_with_late_relay(&state.parts[part]) {
            return true;
        }
        let Some(sent) = self.first_sent(&state.parts[part]) else {
            return true;
        };
        let upstream = &self.upstreams[state.parts[part].upstream];
        if upstream.shortage.at(now) > HEDGED_SHORTAGE {
            return false;
        }
        // What has been still for some time is likely to stay so as long.
        choice.expected < (now - sent) * 2
    }

    /// Returns when the oldest of a part's attempts was sent, if any is
    /// outstanding.
    pub(super) fn first_sent(&self, part: &PartState) -> Option<Duration> {
        let attempts = part.attempts.iter();
        let sent = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        sent.map(|attempt| attempt.sent_at).min()
    }

    /// Takes one repeat of a part out of the budget for extra load.
    pub(super) fn afford(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(state) = self.calls.get(call) else {
            return false;
        };
        if state.parts[part].arrivals == 0 {
            return true;
        }
        let (tag, upstream) = (state.tag, state.parts[part].upstream);
        let (bound, view) = (self.options.extra, self.extra_view(upstream));
        let budget = &mut self.upstreams[upstream].budget;
        let pace = if now < self.shifts_until {
            SpendRate::Halved
        } else {
            SpendRate::Unlimited
        };
        if budget.try_spend(&bound, view, pace, now) {
            return true;
        }
        self.counters.unaffordable += 1;
        let service = self.upstreams[upstream].name.clone();
        self.decide(tag, out, || ForwardDecision::NoBudget { service });
        false
    }
}
