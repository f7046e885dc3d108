//! Decides which lost parts are worth a retry, as retries draw on the extra-load budget.
//!
//! A request that reaches its coverage earns its value, and one that misses it by a part
//! earns none. The budget therefore goes first to the requests that lack the fewest parts
//! for their coverage, and none of it to one that ends before the retry is answered.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::process::forward::call::CallState;
use crate::process::forward::choose::ServerChoice;
use crate::process::forward::machine::ForwardMachine;

/// Fraction of a budget that a request must leave to others if it reaches its coverage
/// without the lost part. At 0.5 and 0.25, plays with rejecting servers earned up to 0.012
/// less, as the budget was then left unspent.
const SURPLUS_RESERVE: f64 = 0.1;
/// Fraction of a budget that a request must leave to others if it lacks more parts than it
/// may omit: it completes only if all of them succeed.
const DEFICIT_RESERVE: f64 = 0.05;

/// What a request needs for its coverage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CoverageNeed {
    /// Number of parts.
    pub parts: usize,
    /// Number of answered parts that the coverage requires.
    pub required: usize,
    /// Number of parts that are answered or outstanding.
    pub expected: usize,
}

impl CoverageNeed {
    /// Returns what a request needs.
    fn of(state: &CallState) -> CoverageNeed {
        let required = state.rule().least_coverage * state.parts.len() as f64;
        let open = state.parts.iter().filter(|part| part.is_open());
        let outstanding = open.filter(|part| !part.attempts.is_empty()).count();
        CoverageNeed {
            parts: state.parts.len(),
            required: (required - 1e-9).ceil() as usize,
            expected: state.answered + outstanding,
        }
    }

    /// Returns the fraction of a shard's budget that a retry must leave to other requests.
    pub fn reserve_fraction(self) -> f64 {
        let lacking = self.required.saturating_sub(self.expected);
        if lacking == 0 {
            return SURPLUS_RESERVE;
        }
        let spare = self.parts.saturating_sub(self.required).max(1);
        DEFICIT_RESERVE * ((lacking - 1) as f64 / spare as f64).min(1.0)
    }
}

/// Whether a lost part is retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RetryUse {
    /// Now, if the budget allows it.
    Now,
    /// Only once more of the budget is left.
    Later,
    /// Not any more.
    Never,
}

impl ForwardMachine {
    /// Decides whether a lost part is worth a retry at the chosen server.
    ///
    /// A part of a relayed request always is: the entry that relayed it knows what the
    /// request lacks, and this one does not.
    pub(super) fn weigh_retry(
        &self,
        call: SlotKey,
        part: usize,
        choice: ServerChoice,
        now: Duration,
    ) -> RetryUse {
        let Some(state) = self.calls.get(call) else {
            return RetryUse::Never;
        };
        if !state.is_scatter_gather || state.is_relayed || state.parts[part].arrivals == 0 {
            return RetryUse::Now;
        }
        if state.has_required_coverage() && now + choice.expected > state.deadlines.soft_deadline {
            return RetryUse::Never;
        }
        let upstream = state.parts[part].upstream;
        let budget = &self.upstreams[upstream].budget;
        let spent = budget.spent_fraction(&self.options.extra, self.budget_sharing(upstream), now);
        // Most retries are made with enough budget left for all.
        let max_reserve = SURPLUS_RESERVE.max(DEFICIT_RESERVE);
        if spent <= 1.0 - max_reserve || spent <= 1.0 - CoverageNeed::of(state).reserve_fraction() {
            RetryUse::Now
        } else {
            RetryUse::Later
        }
    }
}
