//! Health of a server as this instance observes it: moving averages of latency
//! and failures, ejection of bad servers, and the cost estimate by which servers
//! are compared.

use std::time::Duration;

use crate::request::decision::EjectCause;

/// Weight of a new sample in the moving average of latency.
const LATENCY_GAIN: f32 = 0.2;
/// Age in microseconds at which an observation has lost half of its weight
/// against the typical latency.
const OBSERVATION_DECAY_MICROS: f32 = 3e6;
/// Time over which the weight of a server's own load report falls to zero.
const LOAD_REPORT_TIME: Duration = Duration::from_secs(2);
/// Weight of a fresh load report relative to the subqueries that this instance
/// itself has outstanding.
const LOAD_REPORT_WEIGHT: f32 = 0.3;
/// Time over which a new or returned server ramps up to its full share of
/// requests.
pub const RAMP_TIME: Duration = Duration::from_secs(5);
/// Cost factor at the start of the ramp, minus 1.
const RAMP_FACTOR: f32 = 3.0;
/// Number of consecutive failures that eject a server.
const EJECT_FAILURES: u32 = 3;
/// Number of latency samples needed before latency can eject a server.
const EJECT_MIN_SAMPLES: u32 = 6;
/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_RATE_GAIN: f32 = 0.1;
/// Cost factor of a server that fails or sheds every attempt, minus 1.
const FAILURE_COST_FACTOR: f32 = 8.0;
/// Multiple of the typical latency above which a server is ejected.
const EJECT_LATENCY_MULTIPLE: f32 = 4.0;
/// Minimum excess over the typical latency, in microseconds, for which a server
/// is ejected.
const EJECT_MIN_EXCESS_MICROS: f32 = 10_000.0;
/// Length of a server's first ejection; doubles with each further ejection.
const FIRST_EJECT_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the ejection period.
const MAX_EJECT_DOUBLINGS: u32 = 4;
/// Time for which a server is avoided after it shed a request without saying
/// when to retry.
const SHED_PERIOD: Duration = Duration::from_millis(100);
/// Maximum time for which a server that sheds can ask to be avoided.
const MAX_SHED_PERIOD: Duration = Duration::from_secs(5);
/// Latency in microseconds assumed for an upstream without samples.
const DEFAULT_LATENCY_MICROS: f32 = 5_000.0;

/// Observations of one server: latency, failures, ejection, load report and ramp.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Moving average of latency in microseconds; 0 without samples.
    latency: f32,
    /// Number of latency samples since the last ejection.
    samples: u32,
    observed_at: Duration,
    consecutive_failures: u32,
    /// Moving average of attempts that failed or were shed (0 to 1).
    failure_rate: f32,
    /// Number of ejections so far.
    ejections: u32,
    ejected_until: Duration,
    /// Whether the server was ejected and has not answered since.
    is_on_probation: bool,
    shed_until: Duration,
    /// Start of the period in which the cost falls to its normal level.
    ramp_started_at: Duration,
    /// Load that the server reported last, as a multiple of its slots.
    load_report: f32,
    load_report_at: Duration,
}

/// Inputs of [`ServerHealth::cost`] besides the server's health.
#[derive(Debug, Clone, Copy)]
pub struct CostBasis {
    /// Median latency of the upstream in microseconds, if known.
    pub typical: Option<f32>,
    /// Number of requests that the server processes in parallel.
    pub slots: u32,
    /// Number of subqueries that this instance has outstanding at the server.
    pub outstanding: u32,
    /// Time to open a connection in microseconds; 0 if one is idle.
    pub connect: f32,
}

impl ServerHealth {
    /// Creates the state of a server first seen at `now`; starts its ramp.
    pub fn new(now: Duration) -> ServerHealth {
        ServerHealth {
            ramp_started_at: now,
            ..ServerHealth::default()
        }
    }

    /// Records the load that the server itself reported, as a multiple of its
    /// slots.
    pub fn record_load_report(&mut self, load: f32, now: Duration) {
        self.load_report = if load.is_finite() { load.max(0.0) } else { 0.0 };
        self.load_report_at = now;
    }

    /// Records a successful reply and its latency.
    pub fn record_success(&mut self, latency: Duration, now: Duration) {
        self.consecutive_failures = 0;
        self.is_on_probation = false;
        self.failure_rate -= self.failure_rate * FAILURE_RATE_GAIN;
        self.record_latency(micros(latency), now);
    }

    /// Records that an attempt was cancelled after `elapsed`. Its latency would
    /// have been at least `elapsed` (a censored sample), so only a value above the
    /// current average counts.
    pub fn record_censored_latency(&mut self, elapsed: Duration, now: Duration) {
        let elapsed = micros(elapsed);
        if elapsed > self.latency {
            self.record_latency(elapsed, now);
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.raise_failure_rate(now);
    }

    /// Ejects the server for `period` because its failure domain is suspected to
    /// be unreachable.
    pub fn eject_for_domain(&mut self, period: Duration, now: Duration) {
        self.ejected_until = self.ejected_until.max(now + period);
        self.ramp_started_at = self.ejected_until;
        self.consecutive_failures = EJECT_FAILURES - 1;
        self.is_on_probation = true;
    }

    /// Records that the server shed a request, and avoids the server for
    /// `retry_after` or a default period.
    pub fn record_shed(&mut self, retry_after: Option<Duration>, now: Duration) {
        let period = retry_after.unwrap_or(SHED_PERIOD).min(MAX_SHED_PERIOD);
        self.shed_until = now + period;
        self.raise_failure_rate(now);
    }

    /// Ejects the server if it had too many consecutive failures or its latency is
    /// far above `typical`. Returns the cause and the period of a new ejection.
    pub fn eject_if_unhealthy(
        &mut self,
        typical: Option<Duration>,
        now: Duration,
    ) -> Option<(EjectCause, Duration)> {
        if self.is_ejected(now) {
            return None;
        }
        let cause = self.find_eject_cause(typical)?;
        let doublings = self.ejections.min(MAX_EJECT_DOUBLINGS);
        let period = FIRST_EJECT_PERIOD * (1 << doublings);
        self.ejections += 1;
        self.ejected_until = now + period;
        // After the period, a single further failure ejects the server again.
        self.consecutive_failures = EJECT_FAILURES - 1;
        self.is_on_probation = true;
        self.samples = 0;
        self.ramp_started_at = self.ejected_until;
        Some((cause, period))
    }

    fn find_eject_cause(&self, typical: Option<Duration>) -> Option<EjectCause> {
        if self.consecutive_failures >= EJECT_FAILURES {
            return Some(EjectCause::Failures);
        }
        let typical = micros(typical?);
        let is_slow = self.latency > typical * EJECT_LATENCY_MULTIPLE
            && self.latency > typical + EJECT_MIN_EXCESS_MICROS
            && self.samples >= EJECT_MIN_SAMPLES;
        is_slow.then_some(EjectCause::Latency)
    }

    /// Returns whether the server is currently ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server was ejected and has not answered since. Such a
    /// server gets one subquery at a time, unless a shard has no other server.
    pub fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }

    /// Returns whether the server shed a request and asked to be avoided until
    /// later than `now`.
    pub fn is_shedding(&self, now: Duration) -> bool {
        now < self.shed_until
    }

    /// Forgets all observations and starts the ramp again, for a server that
    /// restarted or returned.
    pub fn reset(&mut self, now: Duration) {
        *self = ServerHealth::new(now);
    }

    /// Estimates the time to a reply in microseconds, raised for servers that are
    /// ramping up or fail often.
    pub fn cost(&self, basis: &CostBasis, now: Duration) -> f32 {
        let slots = basis.slots.max(1) as f32;
        let queued = basis.outstanding as f32 + self.reported_load(now) * slots;
        let latency = self.expected_latency(basis.typical, now);
        let waiting = (queued + 1.0 - slots).max(0.0) / slots;
        let shared = queued / (slots * 4.0);
        let base = latency * (1.0 + waiting + shared) + basis.connect;
        base * self.ramp_factor(now) * self.failure_factor(now)
    }

    fn expected_latency(&self, typical: Option<f32>, now: Duration) -> f32 {
        let typical = typical.unwrap_or(DEFAULT_LATENCY_MICROS);
        if self.latency == 0.0 {
            return typical;
        }
        typical + (self.latency - typical) * self.observation_weight(now)
    }

    fn failure_factor(&self, now: Duration) -> f32 {
        if self.failure_rate == 0.0 {
            return 1.0;
        }
        1.0 + FAILURE_COST_FACTOR * self.failure_rate * self.observation_weight(now)
    }

    /// Returns the weight of the last observation (0 to 1), which falls with its
    /// age.
    fn observation_weight(&self, now: Duration) -> f32 {
        let age = micros(now.saturating_sub(self.observed_at));
        OBSERVATION_DECAY_MICROS / (OBSERVATION_DECAY_MICROS + age)
    }

    fn raise_failure_rate(&mut self, now: Duration) {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_GAIN;
        self.observed_at = now;
    }

    fn reported_load(&self, now: Duration) -> f32 {
        if self.load_report == 0.0 || now >= self.load_report_at + LOAD_REPORT_TIME {
            return 0.0;
        }
        let age =
            now.saturating_sub(self.load_report_at).as_secs_f32() / LOAD_REPORT_TIME.as_secs_f32();
        self.load_report * LOAD_REPORT_WEIGHT * (1.0 - age).max(0.0)
    }

    fn ramp_factor(&self, now: Duration) -> f32 {
        if now >= self.ramp_started_at + RAMP_TIME {
            return 1.0;
        }
        let progress =
            now.saturating_sub(self.ramp_started_at).as_secs_f32() / RAMP_TIME.as_secs_f32();
        1.0 + RAMP_FACTOR * (1.0 - progress).max(0.0)
    }

    fn record_latency(&mut self, latency: f32, now: Duration) {
        let gain = if self.latency == 0.0 {
            1.0
        } else {
            LATENCY_GAIN
        };
        self.latency += (latency - self.latency) * gain;
        self.samples += 1;
        self.observed_at = now;
    }
}

fn micros(duration: Duration) -> f32 {
    // Avoids the division in `as_secs_f32`, because this function runs for every
    // candidate server of every shard.
    duration.as_secs() as f32 * 1e6 + duration.subsec_nanos() as f32 * 1e-3
}
