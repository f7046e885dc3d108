//! Budget for extra load: sends of a part of a request to servers beyond the part's first
//! send, that is, retries and hedges.
//!
//! The bound limits the sum over all entries in a sliding window, to a ratio of the requests
//! plus a constant allowance. Each entry may spend in proportion to its own requests, plus
//! its part of the allowance.
//!
//! Where shards are divided among the entries of a failure domain, one entry owns a shard
//! there and sends most of its requests. With equal parts of the allowance, the owner's part
//! would shrink as entries are added, and the parts of entries that never send to the shard
//! would be unused. So the owners share an additional part of the allowance.

use std::time::Duration;

/// Number of steps that the sliding window is divided into.
const STEPS: usize = 20;

/// Fraction of the bound that entries leave unspent. Each entry keeps to its own part of the
/// bound, but the budget earned by requests shifts when callers move between entries. Where
/// entries were restarted and servers then rejected requests, all entries together
/// exceeded the bound by 0.7 to 1.0 in 100 on one of 40 days.
const RESERVE_FRACTION: f64 = 0.03;
/// Fraction of the constant allowance that is divided evenly among all entries, for a shard
/// that one entry of each failure domain owns.
const EVEN_FRACTION: f64 = 0.5;
/// Fraction of the constant allowance that is divided among the owners of a shard. It is
/// half of what is left, as entries may disagree for a while on which entries exist, so that
/// a shard may have two owners in each failure domain.
const OWNER_FRACTION: f64 = 0.25;
/// Fraction of a window's earned budget that may be spent in half a window while load shifts
/// between entries.
const HALF_WINDOW_FRACTION: f64 = 0.5;

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
    /// bound while callers move between them.
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

/// How quickly the budget may be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendRate {
    /// The whole budget may be spent at once.
    Unlimited,
    /// At most half of the earned budget may be spent in half a window, while load shifts
    /// between entries. An entry that served the callers of restarted entries must not
    /// spend the budget earned by these callers at once, as the requests of the same
    /// callers earn budget again at the other entries.
    Halved,
}

/// Counts of one step of the sliding window.
#[derive(Debug, Clone, Copy, Default)]
struct StepCount {
    /// Number of the step, from 1; 0 if unused.
    step: u64,
    requests: u32,
    extras: u32,
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
        self.slot(bound, now).requests += 1;
    }

    /// Counts one extra send if it fits this entry's budget. Returns whether it does.
    pub fn try_spend(
        &mut self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        rate: SpendRate,
        now: Duration,
    ) -> bool {
        let sharing = sharing.into();
        let (allowed, spent) = self.allowed_and_spent(bound, sharing, now);
        let fits_budget = spent + 1.0 <= allowed;
        let fits_rate =
            rate == SpendRate::Unlimited || self.fits_half_window(bound, sharing, allowed, now);
        if !fits_budget || !fits_rate {
            return false;
        }
        self.slot(bound, now).extras += 1;
        true
    }

    /// Takes back the count of one extra send that arrived at no server.
    pub fn return_extra(&mut self, bound: &ExtraBound, now: Duration) {
        let current = step_of(bound, now);
        let live = self.steps.iter_mut();
        let live = live.filter(|count| count.step + STEPS as u64 >= current && count.extras > 0);
        if let Some(newest) = live.max_by_key(|count| count.step) {
            newest.extras -= 1;
        }
    }

    /// Returns whether one more extra send keeps those in the newer half of the window within
    /// the constant allowance plus half of the earned budget.
    fn fits_half_window(
        &self,
        bound: &ExtraBound,
        sharing: BudgetSharing,
        allowed: f64,
        now: Duration,
    ) -> bool {
        let allowance = sharing.allowance(bound);
        let newer = step_of(bound, now).saturating_sub(STEPS as u64 / 2);
        let live = self.steps.iter().filter(|count| count.step > newer);
        let recent: u32 = live.map(|count| count.extras).sum();
        let usable = (allowance + (allowed - allowance) * HALF_WINDOW_FRACTION).max(1.0);
        f64::from(recent) + 1.0 <= usable
    }

    /// Returns how many more extra sends fit this entry's budget.
    pub fn remaining(
        &self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        now: Duration,
    ) -> f64 {
        let (allowed, spent) = self.allowed_and_spent(bound, sharing.into(), now);
        allowed - spent
    }

    /// Returns the fraction of this entry's budget that is spent, from 0 to 1.
    pub fn spent_fraction(
        &self,
        bound: &ExtraBound,
        sharing: impl Into<BudgetSharing>,
        now: Duration,
    ) -> f64 {
        let (allowed, spent) = self.allowed_and_spent(bound, sharing.into(), now);
        (spent / allowed.max(1.0)).min(1.0)
    }

    /// Returns the number of extra sends that this entry may make in the window, and the
    /// number that it has made.
    fn allowed_and_spent(
        &self,
        bound: &ExtraBound,
        sharing: BudgetSharing,
        now: Duration,
    ) -> (f64, f64) {
        let current = step_of(bound, now);
        let oldest = current.saturating_sub(STEPS as u64);
        let live = self.steps.iter().filter(|count| count.step >= oldest);
        let (mut requests, mut extras) = (0.0, 0.0);
        for count in live {
            extras += f64::from(count.extras);
            // The oldest step is only partly in the window. Its extra sends count as spent,
            // but its requests earn nothing.
            if count.step > oldest {
                requests += f64::from(count.requests);
            }
        }
        (bound.ratio * requests + sharing.allowance(bound), extras)
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
