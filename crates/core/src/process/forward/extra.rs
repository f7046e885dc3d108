//! The bound on extra load: arrivals beyond the first of each request.
//!
//! The bound holds for the sum over all entries in a sliding window. Each entry
//! earns by its own requests, and has its part of the constant allowance.
//!
//! Where many shards are divided among the entries of a failure domain, one entry
//! there asks for most of what a shard is asked. In equal parts it would have a
//! fraction of the allowance that shrinks with the number of entries, and those
//! that never ask the shard the rest. So a part goes to these holders.

use std::time::Duration;

/// Steps that a window is divided into.
const STEPS: usize = 20;

/// Part of the bound that entries do not spend. Each keeps its own part of it,
/// but what is earned moves with the callers: where entries were restarted and
/// servers then rejected requests, all of them together were 0.7 to 1.0 in 100
/// over it on one of 40 days.
const RESERVE: f64 = 0.03;
/// Part of the constant allowance that all entries have equal parts of, where one
/// entry of each failure domain holds a shard.
const EVEN_PART: f64 = 0.5;
/// Part of it that the holders have. Two views of who the entries are may be held
/// at once, so that a shard may have two holders in each failure domain.
const HOLDER_PART: f64 = 0.25;
/// Part of what a window earns that half of it may spend while the load shifts.
const HALF_PART: f64 = 0.5;

/// The bound, as the operator sets it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExtraBound {
    /// Extra arrivals for each request.
    pub ratio: f64,
    /// Extra arrivals in a window besides, over all entries.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl ExtraBound {
    /// Returns what the entries keep to, so that all of them together keep to
    /// this one while callers move between them.
    pub fn with_reserve(self) -> ExtraBound {
        ExtraBound {
            ratio: self.ratio * (1.0 - RESERVE),
            slack: self.slack * (1.0 - RESERVE),
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

/// What an entry knows of those that share the bound with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSharing {
    /// Entries that share it.
    pub entries: u32,
    /// Failure domains that they stand in.
    pub domains: u32,
    /// Whether this entry holds the shard in its failure domain; `None` if the
    /// service is no shard that is divided.
    pub holds: Option<bool>,
}

impl BudgetSharing {
    /// Returns this entry's part of the constant allowance.
    fn slack(self, bound: &ExtraBound) -> f64 {
        let even = bound.slack / f64::from(self.entries.max(1));
        let Some(holds) = self.holds else {
            return even;
        };
        let held = if holds {
            bound.slack * HOLDER_PART / f64::from(self.domains.max(1))
        } else {
            0.0
        };
        even * EVEN_PART + held
    }
}

/// The view of an entry of a service that is not divided.
impl From<u32> for BudgetSharing {
    fn from(entries: u32) -> BudgetSharing {
        BudgetSharing {
            entries,
            domains: 1,
            holds: None,
        }
    }
}

/// How quickly the bound may be spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SpendRate {
    /// All of it at once.
    Unlimited,
    /// In half a window half of what is earned: the load shifts between entries.
    /// An entry that had the requests of others while these were restarted must
    /// not spend at once what they earned, as the others earn by the same
    /// callers again.
    Halved,
}

#[derive(Debug, Clone, Copy, Default)]
struct StepCount {
    step: u64,
    requests: u32,
    extras: u32,
}

/// Counts requests and extra arrivals of one service in the window.
#[derive(Debug, Clone, Default)]
pub struct ExtraBudget {
    steps: [StepCount; STEPS + 1],
}

impl ExtraBudget {
    /// Counts a request.
    pub fn count_request(&mut self, bound: &ExtraBound, now: Duration) {
        self.slot(bound, now).requests += 1;
    }

    /// Takes one extra arrival if the bound leaves room for an entry with this
    /// view.
    pub fn try_spend(
        &mut self,
        bound: &ExtraBound,
        view: impl Into<BudgetSharing>,
        pace: SpendRate,
        now: Duration,
    ) -> bool {
        let view = view.into();
        let (allowed, spent) = self.account(bound, view, now);
        let has_room = spent + 1.0 <= allowed;
        let keeps_pace =
            pace == SpendRate::Unlimited || self.spends_slowly(bound, view, allowed, now);
        if !has_room || !keeps_pace {
            return false;
        }
        self.slot(bound, now).extras += 1;
        true
    }

    /// Tells whether one more in the newer half of the window is within half of
    /// what is earned.
    fn spends_slowly(
        &self,
        bound: &ExtraBound,
        view: BudgetSharing,
        allowed: f64,
        now: Duration,
    ) -> bool {
        let part = view.slack(bound);
        let newer = step_of(bound, now).saturating_sub(STEPS as u64 / 2);
        let live = self.steps.iter().filter(|count| count.step > newer);
        let recent: u32 = live.map(|count| count.extras).sum();
        let usable = (part + (allowed - part) * HALF_PART).max(1.0);
        f64::from(recent) + 1.0 <= usable
    }

    /// Returns how many extra arrivals the bound leaves room for.
    pub fn room(&self, bound: &ExtraBound, view: impl Into<BudgetSharing>, now: Duration) -> f64 {
        let (allowed, spent) = self.account(bound, view.into(), now);
        allowed - spent
    }

    /// Returns the fraction of what the bound allows that is spent, from 0 to
    /// 1.
    pub fn spent_fraction(
        &self,
        bound: &ExtraBound,
        view: impl Into<BudgetSharing>,
        now: Duration,
    ) -> f64 {
        let (allowed, spent) = self.account(bound, view.into(), now);
        (spent / allowed.max(1.0)).min(1.0)
    }

    /// Returns the extra arrivals that the bound allows in the window, and
    /// those that there were.
    fn account(&self, bound: &ExtraBound, view: BudgetSharing, now: Duration) -> (f64, f64) {
        let current = step_of(bound, now);
        let oldest = current.saturating_sub(STEPS as u64);
        let live = self.steps.iter().filter(|count| count.step >= oldest);
        let (mut requests, mut extras) = (0.0, 0.0);
        for count in live {
            extras += f64::from(count.extras);
            // The step that is only partly in the window earns nothing.
            if count.step > oldest {
                requests += f64::from(count.requests);
            }
        }
        (bound.ratio * requests + view.slack(bound), extras)
    }

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

/// Returns the number of the step that `now` is in, from 1.
fn step_of(bound: &ExtraBound, now: Duration) -> u64 {
    let length = bound.window.as_micros() as u64 / STEPS as u64;
    now.as_micros() as u64 / length.max(1) + 1
}
