//! What an instance has seen of a server, and what that makes it cost.

use std::time::Duration;

use crate::request::decision::EjectCause;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_GAIN: f32 = 0.2;
/// Time over which an old observation fades towards the typical latency, in
/// microseconds.
const OBSERVATION_DECAY_MICROS: f32 = 3e6;
/// Time over which a server's own load report loses its weight.
const LOAD_REPORT_TIME: Duration = Duration::from_secs(2);
/// Weight of a fresh load report against an own observation.
const LOAD_REPORT_WEIGHT: f32 = 0.3;
/// Time over which a new server ramps up to its full part.
pub const RAMP_TIME: Duration = Duration::from_secs(5);
/// Cost factor at the start of the ramp, less 1.
const RAMP_FACTOR: f32 = 3.0;
/// Failures in a row that eject a server.
const EJECT_FAILURES: u32 = 3;
/// Samples needed before latency may eject a server.
const EJECT_MIN_SAMPLES: u32 = 6;
/// Weight of a new outcome in the moving average of trouble.
const FAILURE_RATE_GAIN: f32 = 0.1;
/// Cost factor of a server that always fails or sheds, less 1.
const FAILURE_COST_FACTOR: f32 = 8.0;
/// Multiple of the typical latency that ejects a server.
const EJECT_LATENCY_MULTIPLE: f32 = 4.0;
/// Least distance from the typical latency that ejects a server, in us.
const EJECT_MIN_EXCESS_MICROS: f32 = 10_000.0;
/// First period of an ejection; doubled each time.
const FIRST_EJECT_PERIOD: Duration = Duration::from_secs(2);
/// Most doublings of the period.
const MAX_EJECT_DOUBLINGS: u32 = 4;
/// Time a server is avoided after it shed a request, if it names none.
const SHED_PERIOD: Duration = Duration::from_millis(100);
/// Longest time a server may ask to be avoided for.
const MAX_SHED_PERIOD: Duration = Duration::from_secs(5);
/// Latency expected where nothing was seen yet, in us.
const DEFAULT_LATENCY_MICROS: f32 = 5_000.0;

/// What an instance has seen of a server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    latency: f32,
    samples: u32,
    observed_at: Duration,
    consecutive_failures: u32,
    /// Part of the recent attempts that failed or were shed (0 to 1).
    failure_rate: f32,
    ejections: u32,
    ejected_until: Duration,
    /// Whether it was ejected and has not answered since.
    is_on_probation: bool,
    shed_until: Duration,
    ramp_started_at: Duration,
    load_report: f32,
    load_report_at: Duration,
}

/// What a server's cost is worked out from, besides its health.
#[derive(Debug, Clone, Copy)]
pub struct CostBasis {
    /// Typical latency of the upstream, in microseconds.
    pub typical: Option<f32>,
    /// Slots of the server.
    pub slots: u32,
    /// Subqueries this instance has outstanding there.
    pub outstanding: u32,
    /// Extra time for opening a connection, if none is idle, in microseconds.
    pub connect: f32,
}

impl ServerHealth {
    /// Returns the health of a server first seen at `now`.
    pub fn new(now: Duration) -> ServerHealth {
        ServerHealth {
            ramp_started_at: now,
            ..ServerHealth::default()
        }
    }

    /// Takes a load report of the server itself.
    pub fn record_load_report(&mut self, load: f32, now: Duration) {
        self.load_report = if load.is_finite() { load.max(0.0) } else { 0.0 };
        self.load_report_at = now;
    }

    /// Takes the latency of a reply.
    pub fn record_success(&mut self, latency: Duration, now: Duration) {
        self.consecutive_failures = 0;
        self.is_on_probation = false;
        self.failure_rate -= self.failure_rate * FAILURE_RATE_GAIN;
        self.record_latency(micros(latency), now);
    }

    /// Takes the time an attempt had been outstanding when it was cancelled:
    /// its latency would have been at least that.
    pub fn record_censored_latency(&mut self, elapsed: Duration, now: Duration) {
        let elapsed = micros(elapsed);
        if elapsed > self.latency {
            self.record_latency(elapsed, now);
        }
    }

    /// Counts a failure.
    pub fn record_failure(&mut self, now: Duration) {
        self.consecutive_failures += 1;
        self.raise_failure_rate(now);
    }

    /// Avoids the server for `period`, for what was seen of its domain.
    pub fn eject_for_domain(&mut self, period: Duration, now: Duration) {
        self.ejected_until = self.ejected_until.max(now + period);
        self.ramp_started_at = self.ejected_until;
        self.consecutive_failures = EJECT_FAILURES - 1;
        self.is_on_probation = true;
    }

    /// Avoids the server for a time after it shed a request.
    pub fn record_shed(&mut self, retry_after: Option<Duration>, now: Duration) {
        let period = retry_after.unwrap_or(SHED_PERIOD).min(MAX_SHED_PERIOD);
        self.shed_until = now + period;
        self.raise_failure_rate(now);
    }

    /// Ejects the server if its failures or its latency call for it. Returns
    /// the cause and the period.
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
        // Once it is back, a single failure more ejects it again.
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

    /// Tells whether the server is ejected.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }

    /// Tells whether the server was ejected and has not answered since. It
    /// then gets one subquery at a time, unless a shard has no other server.
    pub fn is_on_probation(&self) -> bool {
        self.is_on_probation
    }

    /// Tells whether the server asked to be avoided.
    pub fn is_shedding(&self, now: Duration) -> bool {
        now < self.shed_until
    }

    /// Starts the ramp anew, for a server that came back.
    pub fn reset(&mut self, now: Duration) {
        *self = ServerHealth::new(now);
    }

    /// Returns the expected time to a reply in microseconds.
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

    /// Returns the weight of what was seen last (0 to 1); it fades with age.
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
    // Without the division of `as_secs_f32`: this is worked out for every
    // candidate of every shard.
    duration.as_secs() as f32 * 1e6 + duration.subsec_nanos() as f32 * 1e-3
}
