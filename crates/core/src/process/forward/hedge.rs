//! Sending once more beside an attempt that is slow.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::answer::{AttemptCause, ForwardAction, ForwardDecision};
use crate::process::forward::call::PartState;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::far::FarPart;
use crate::process::forward::machine::{ForwardMachine, ForwardTimer};
use crate::process::forward::place::PlaceStep;

/// Time between two looks at a part that could not be hedged.
const LOOK_AGAIN: Duration = Duration::from_millis(10);
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
        let mut far = Vec::new();
        for part in 0..count {
            far.extend(self.hedge_if_slow(call, part, now, out));
        }
        if !far.is_empty() {
            self.send_far(call, far, now, out);
        }
        self.plan_sweep(call, now);
        self.check_end(call, now, out);
    }

    /// Sends a part once more if it is slow. Returns it if it is to be asked for
    /// in another region along with others.
    fn hedge_if_slow(
        &mut self,
        call: SlotKey,
        part: usize,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Option<FarPart> {
        let state = self.calls.get(call)?;
        let most = state.attempts;
        let part_state = &state.parts[part];
        if !part_state.is_open() || part_state.waits || now < part_state.hedge_at {
            return None;
        }
        let is_spent = part_state.runs >= most || part_state.attempts.is_full();
        if is_spent || self.is_with_relay(&state.parts[part]) {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = Duration::MAX;
            }
            return None;
        }
        if let Some(state) = self.calls.get_mut(call) {
            state.parts[part].hedge_at = now + LOOK_AGAIN;
        }
        let choice = self.choose_for(call, part, now).ok()?;
        let due = self.far_hedge_due(call, part, choice, now);
        if now < due {
            if let Some(state) = self.calls.get_mut(call) {
                state.parts[part].hedge_at = due;
            }
            return None;
        }
        if !self.pays(call, part, choice, now) || !self.afford(call, part, now, out) {
            return None;
        }
        let state = self.calls.get(call)?;
        let cause = if state.parts[part].attempts.is_empty() {
            AttemptCause::Retry
        } else {
            AttemptCause::Hedge
        };
        if self.goes_with_others(state, part, choice) {
            return Some(FarPart {
                part,
                cause,
                choice,
            });
        }
        self.send_to(call, part, cause, choice, now, out);
        None
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
        let way = self.far_way(choice);
        let patience = way.patience(state.gathered().len());
        let needed = choice.expected.mul_f64(HEDGE_MARGIN) + HEDGE_SPARE + way.hop();
        let latest = state.plan.aim.saturating_sub(needed);
        let slow = first + self.timings[state.timing].slow(state.rule());
        let answers = first + self.expected_of(&state.parts[part]).mul_f64(HEDGE_MARGIN);
        // What was known to be slow when it was asked is waited for, unless that
        // would be too long.
        let slow = if answers < latest {
            slow.max(answers)
        } else {
            slow
        };
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

    /// Returns the time that was expected of the oldest of a part's attempts.
    fn expected_of(&self, part: &PartState) -> Duration {
        let attempts = part.attempts.iter();
        let mut oldest = attempts.filter_map(|attempt| self.attempts.get(*attempt));
        let basis = oldest.next().and_then(|attempt| attempt.basis.as_ref());
        basis.map_or(Duration::ZERO, |basis| basis.expected)
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
        let (bound, entries) = (self.options.extra, self.entries);
        let budget = &mut self.upstreams[upstream].budget;
        let is_taken = if now < self.shifts_until {
            budget.take_slowly(&bound, entries, now)
        } else {
            budget.take(&bound, entries, now)
        };
        if is_taken {
            return true;
        }
        self.counters.unaffordable += 1;
        let service = self.upstreams[upstream].name.clone();
        self.decide(tag, out, || ForwardDecision::NoBudget { service });
        false
    }
}
