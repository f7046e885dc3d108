//! Budget for extra load: sends of a part of a request to servers beyond the part's first
//! send, that is, retries and hedges.
//!
//! The bound limits the sum over all entries in a sliding window, to a ratio of the requests
//! plus a constant allowance. Each entry keeps to its part of the allowance plus the ratio of
//! its own requests, not only in the window that ends at a send, but in every window that
//! contains the send, including those that begin after most of its requests. So the sum over
//! all entries is within the bound however callers move between entries, as long as each
//! part is at least one send and the parts add up to the allowance.
//!
//! A send that is checked only against the window that ends with it may use requests that
//! later windows no longer contain. If their callers then earn budget at other entries, all
//! entries together exceed the bound.
//!
//! Where shards are divided among the entries of a failure domain, one entry owns a shard
//! there and sends most of its requests. With equal parts of the allowance, the owner's part
//! would shrink as entries are added, and the parts of entries that never send to the shard
//! would be unused. So the owners share an additional part of the allowance.

use std::time::Duration;

/// Number of steps that the sliding window is divided into.
const STEPS: usize = 20;

/// Fraction of the bound that entries leave unspent. It covers what an entry cannot count:
/// sends that reach their server some milliseconds later, entries that disagree for a while
/// about the number of entries, and a restarted entry that no longer knows its sends.
const RESERVE_FRACTION: f64 = 0.03;
/// Fraction of the entry's part of the allowance that hedges leave to retries. A retry
/// replaces an answer that is lost, a hedge one that is late. Where one server of each shard
/// shed 0.6 of its requests, 0.973 of the value was earned without this fraction and 0.986
/// with it. With 0.35, where a third of the servers were slow, lookups gained 0.003 and
/// sweeps lost 0.009.
const RETRY_FRACTION: f64 = 0.25;
/// Fraction of the constant allowance that is divided evenly among all entries, for a shard
/// that one entry of each failure domain owns.
const EVEN_FRACTION: f64 = 0.5;
/// Fraction of the constant allowance that is divided among the owners of a shard. It is
/// half of what is left, as entries may disagree for a while on which entries exist, so that
/// a shard may have two owners in each failure domain.
const OWNER_FRACTION: f64 = 0.25;
/// Fraction of the constant allowance that the owners of a shard may spend in addition in
/// windows that begin after the requests that paid for it. The parts of all entries add up to
/// 1 with it. Without it, an owner of a deployment with 69 entries could send 9 retries at
/// once where it had earned 14 more, and on a day on which half of the servers rejected
/// requests, 0.05 fewer requests were served.
const OWNER_BURST_FRACTION: f64 = 0.25;
/// Greatest rounding error of a sum of budgets that does not deny a send.
const ROUNDING_ERROR: f64 = 1e-9;

/// Bound on the extra load of each service, set by the operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraBound {
    /// Extra sends allowed for each request.
    pub ratio: f64,
    /// Constant allowance: extra sends allowed in addition in a window, over all entries.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

impl ExtraBound {
    /// Returns the lower bound that entries apply, so that all of them together keep to this
    /// bound.
    pub fn with_reserve(self) -> ExtraBound {
        ExtraBound {
            ratio: self.ratio * (1.0 - RESERVE_FRACTION),
            slack: self.slack * (1.0 - RESERVE_FRACTION),
            window: self.window,
        }
    }
}

impl Default for ExtraBound {
    fn default() -> Self {
        ExtraBound {
            ratio: 0.1,
            slack: 20.0,
            window: Duration::from_secs(10),
        }
    }
}

/// How a service's budget is shared among the entries, as one entry sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSharing {
    /// Number of entries that share the budget.
    pub entries: u32,
    /// Number of failure domains of these entries.
    pub domains: u32,
    /// Whether this entry owns the shard in its failure domain; `None` if the service is not
    /// a shard that is divided among entries.
    pub owns_shard: Option<bool>,
}

impl BudgetSharing {
    /// Returns this entry's part of the bound's constant allowance.
    fn allowance(self, bound: &ExtraBound) -> f64 {
        let even = bound.slack / f64::from(self.entries.max(1));
        let Some(owns_shard) = self.owns_shard else {
            return even;
        };
        let owner_part = if owns_shard {
            bound.slack * OWNER_FRACTION / f64::from(self.domains.max(1))
        } else {
            0.0
        };
        even * EVEN_FRACTION + owner_part
    }

    /// Returns the limit on this entry's extra sends beyond those that its requests paid for,
    /// in windows that begin after these requests.
    fn burst_allowance(self, bound: &ExtraBound) -> f64 {
        let burst_part = if self.owns_shard == Some(true) {
            bound.slack * OWNER_BURST_FRACTION / f64::from(self.domains.max(1))
        } else {
            0.0
        };
        self.allowance(bound) + burst_part
    }
}

/// Sharing of a service that is not divided, among this number of entries.
impl From<u32> for BudgetSharing {
    fn from(entries: u32) -> BudgetSharing {
        BudgetSharing {
            entries,
            domains: 1,
            owns_shard: None,
        }
    }
}

/// Purpose of an extra send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraPurpose {
    /// No other attempt for the part is expected to be answered.
    Retry,
    /// Another attempt for the part is outstanding.
    Hedge,
}

/// Counts of one step of the sliding window.
#[derive(Debug, Clone, Copy, Default)]
struct StepCount {
    /// Number of the step, from 1; 0 if unused.
    step: u64,
    requests: u32,
    extras: u32,
    /// Greatest excess of the extra sends over the budget earned, from any moment in the step
    /// until the step's end.
    peak_excess: f64,
}

impl StepCount {
    /// Returns the excess of the extra sends in the step over the budget earned in it, less
    /// than 0 if more was earned.
    fn excess(&self, bound: &ExtraBound) -> f64 {
        f64::from(self.extras) - bound.ratio * f64::from(self.requests)
    }
}

/// Extra-load budget of one service at this entry: counts the requests and extra sends in the
/// sliding window.
#[derive(Debug, Clone, Default)]
pub struct ExtraBudget {
    /// Ring of counts, one slot more than a window has steps.
    steps: [StepCount; STEPS + 1],
}

impl ExtraBudget {
    /// Counts a request, which raises the budget by the bound's ratio.
    pub fn count_request(&mut self, bound: &ExtraBound, now: Duration) {
        let slot = self.slot(bound, now);
        slot.requests += 1;
        slot.peak_excess = (slot.peak_excess - bound.ratio).max(0.0);
    }

    /// Counts one extra send if it fits this entry's budget. Returns whether it does.
    pub fn try_spend(
        &mut self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        purpose: ExtraPurpose,
        now: Duration,
    ) -> bool {
        let sharing = sharing.into();
        let kept_back = match purpose {
            ExtraPurpose::Retry => 0.0,
            ExtraPurpose::Hedge => {
                // A hedge fits at least while nothing is spent, also where the part is small.
                let allowance = sharing.allowance(bound);
                (allowance * RETRY_FRACTION).min((allowance - 1.0).max(0.0))
            }
        };
        if self.remaining(bound, sharing, now) + ROUNDING_ERROR < 1.0 + kept_back {
            return false;
        }
        let slot = self.slot(bound, now);
        slot.extras += 1;
        slot.peak_excess += 1.0;
        true
    }

    /// Takes back the count of one extra send that arrived at no server.
    pub fn return_extra(&mut self, bound: &ExtraBound, now: Duration) {
        let current = step_of(bound, now);
        let live = self.steps.iter_mut();
        let live = live.filter(|count| count.step + STEPS as u64 >= current && count.extras > 0);
        if let Some(newest) = live.max_by_key(|count| count.step) {
            newest.extras -= 1;
            newest.peak_excess = (newest.peak_excess - 1.0).max(0.0);
        }
    }

    /// Returns how many more extra sends fit this entry's budget now.
    pub fn remaining(
        &self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        now: Duration,
    ) -> f64 {
        let sharing = sharing.into();
        let (allowance, burst_allowance) =
            (sharing.allowance(bound), sharing.burst_allowance(bound));
        let (window_excess, peak_excess) = self.excesses(bound, now);
        // An entry whose part is under one send could never send otherwise. It then keeps to
        // its part in the window that ends now, and to one send in later ones.
        (burst_allowance.max(1.0) - peak_excess).min(allowance - window_excess)
    }

    /// Returns the fraction of this entry's budget that is spent, from 0 to 1.
    pub fn spent_fraction(
        &self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        now: Duration,
    ) -> f64 {
        let sharing = sharing.into();
        let most = sharing.burst_allowance(bound).max(1.0);
        (1.0 - self.remaining(bound, sharing, now) / most).clamp(0.0, 1.0)
    }

    /// Returns the excess of the extra sends over the budget earned, in the window that ends
    /// now, and the greatest one of all periods that end now and are no longer than a window.
    fn excesses(&self, bound: &ExtraBound, now: Duration) -> (f64, f64) {
        let current = step_of(bound, now);
        let oldest = current.saturating_sub(STEPS as u64);
        let (mut window, mut peak) = (0.0, 0.0_f64);
        for step in (oldest..=current).rev() {
            let count = &self.steps[(step % (STEPS as u64 + 1)) as usize];
            if count.step != step {
                continue;
            }
            peak = peak.max(window + count.peak_excess);
            // The oldest step is only partly in the window. Its extra sends count as spent,
            // but its requests earn nothing.
            window += if step > oldest {
                count.excess(bound)
            } else {
                f64::from(count.extras)
            };
        }
        (window, peak)
    }

    /// Returns the counts of the current step, reset if the slot held an older step.
    fn slot(&mut self, bound: &ExtraBound, now: Duration) -> &mut StepCount {
        let step = step_of(bound, now);
        let slot = &mut self.steps[(step % (STEPS as u64 + 1)) as usize];
        if slot.step != step {
            *slot = StepCount {
                step,
                ..StepCount::default()
            };
        }
        slot
    }
}

/// Returns the number of the step that contains `now`, from 1.
fn step_of(bound: &ExtraBound, now: Duration) -> u64 {
    let length = bound.window.as_micros() as u64 / STEPS as u64;
    now.as_micros() as u64 / length.max(1) + 1
}
