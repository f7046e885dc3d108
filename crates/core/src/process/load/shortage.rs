//! Shortage level of one service, as one entry sees it.
//!
//! The level says how many ranks, starting from the lowest, are restricted. It follows
//! the *pressure*: the time that requests wait at the servers, relative to the objective
//! of the highest rank that uses the service, or the fraction of requests that the
//! service had no capacity for. Levels that follow a smoothed queueing time are known
//! from DAGOR (H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
//! 2018); that a queue must stand for a while before it counts, from CoDel (K. Nichols,
//! V. Jacobson, "Controlling Queue Delay", 2012).

use std::time::Duration;

/// Pressure above which the level is raised. Requests of the highest rank still have
/// three quarters of their objective when the next lower rank is restricted.
pub const RAISE_PRESSURE: f64 = 0.25;
/// Pressure below which the level is lowered.
pub const LOWER_PRESSURE: f64 = 0.1;
/// Minimum time between two raises, in which the effect of the first reaches the servers'
/// load reports.
const RAISE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the pressure must stay high before the level is raised. The queue that
/// a stall of 200 ms leaves at a server that is busy for a third of the time is worked
/// off within this time.
const SUSTAINED_TIME: Duration = Duration::from_millis(100);
/// Time for which the pressure must stay low before the level is lowered by one.
const LOWER_INTERVAL: Duration = Duration::from_secs(1);
/// Age at which a sample no longer counts.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(1);
/// Weight of a new sample in the smoothed pressure. A single sample of a long wait after
/// short ones stays below [`RAISE_PRESSURE`] once a short one follows.
const SAMPLE_WEIGHT: f64 = 0.3;

/// What one answer or one refused request tells about a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShortageEvidence {
    /// Time that a request sent now waits at the server, from its load report.
    pub wait: Duration,
    /// Whether the server refused the request while all its slots were in use.
    pub was_refused: bool,
    /// Fraction of recent requests for which the service had no capacity in time.
    pub shortage_rate: f64,
}

impl ShortageEvidence {
    /// Returns the pressure, from 0 to 1. A refusal counts as a wait of the whole
    /// objective.
    pub fn pressure(&self, objective: Duration) -> f64 {
        let wait = if self.was_refused {
            1.0
        } else {
            self.wait.as_secs_f64() / objective.as_secs_f64().max(1e-3)
        };
        wait.max(self.shortage_rate).min(1.0)
    }
}

/// Shortage level of one service, with hysteresis.
#[derive(Debug, Clone, Copy, Default)]
pub struct ShortageTracker {
    level: u8,
    /// Smoothed pressure.
    pressure: f64,
    /// Time of the last sample.
    sampled_at: Duration,
    /// Time since which all samples left the smoothed pressure above [`RAISE_PRESSURE`].
    high_since: Option<Duration>,
    /// Time of the last raise.
    raised_at: Option<Duration>,
    /// Time since which the pressure has been low. The level is lowered by one for each
    /// [`LOWER_INTERVAL`] since then, also if no samples arrive.
    low_since: Duration,
}

impl ShortageTracker {
    /// Records a sample of the pressure. `max_level` is the highest possible level.
    pub fn record(&mut self, pressure: f64, max_level: u8, now: Duration) {
        self.lower(now);
        if now > self.sampled_at + MAX_SAMPLE_AGE {
            self.pressure = 0.0;
            self.high_since = None;
        }
        self.sampled_at = now;
        self.pressure += SAMPLE_WEIGHT * (pressure - self.pressure);
        if self.pressure >= LOWER_PRESSURE {
            self.low_since = now;
        }
        if self.pressure <= RAISE_PRESSURE {
            self.high_since = None;
            return;
        }
        let high_since = *self.high_since.get_or_insert(now);
        let is_sustained = now >= high_since + SUSTAINED_TIME;
        let is_due = self.raised_at.is_none_or(|at| now >= at + RAISE_INTERVAL);
        if is_sustained && is_due && self.level < max_level {
            self.level += 1;
            self.raised_at = Some(now);
        }
    }

    /// Returns the level at `now`.
    pub fn level_at(&self, now: Duration) -> u8 {
        self.level.saturating_sub(self.lowered_by(now))
    }

    /// Returns the smoothed pressure after the last sample.
    pub fn pressure(&self) -> f64 {
        self.pressure
    }

    /// Returns how many steps the level has been lowered since it was last updated.
    fn lowered_by(&self, now: Duration) -> u8 {
        let low_time = now.saturating_sub(self.low_since);
        // The conversion saturates.
        (low_time.as_secs_f64() / LOWER_INTERVAL.as_secs_f64()) as u8
    }

    /// Applies the steps by which the level has been lowered.
    fn lower(&mut self, now: Duration) {
        let steps = self.lowered_by(now);
        self.level = self.level.saturating_sub(steps);
        self.low_since += LOWER_INTERVAL * u32::from(steps);
    }
}

/// Number of uses of a service in about the last second.
#[derive(Debug, Clone, Copy, Default)]
pub struct UseWindow {
    /// Current second, since the process started.
    second: u64,
    current: u16,
    previous: u16,
}

impl UseWindow {
    /// Counts one use.
    pub fn add(&mut self, now: Duration) {
        let second = now.as_secs();
        if second != self.second {
            let is_next = second == self.second + 1;
            self.previous = if is_next { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
        self.current = self.current.saturating_add(1);
    }

    /// Returns the number of uses in the last second: those in the current second, and
    /// the part of those in the one before that falls into the last 1000 ms.
    pub fn count(&self, now: Duration) -> u16 {
        let overlap = 1.0 - f64::from(now.subsec_millis()) / 1000.0;
        let count = match now.as_secs().saturating_sub(self.second) {
            0 => f64::from(self.current) + f64::from(self.previous) * overlap,
            1 => f64::from(self.current) * overlap,
            _ => 0.0,
        };
        count.ceil() as u16
    }
}
