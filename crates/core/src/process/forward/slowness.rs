//! Estimates the slowness of a server: its current service time relative to that
//! of its peers.
//!
//! Servers that share their machines with other processes may take many times as
//! long as usual, for a fraction of a second or for many seconds. Some servers
//! report this in each response. For the others, slowness can only be observed
//! from response times, which takes several responses.

use std::time::Duration;

/// Weight of a new sample in the moving average of the response time ratio.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Range to which the response time ratio of one sample is clamped.
const RATIO_RANGE: (f64, f64) = (0.3, 20.0);
/// Time without responses in which the observed slowness (its logarithm) halves.
/// Without decay, a server that is avoided because it was slow would count as
/// slow forever.
const OBSERVED_HALF_LIFE: Duration = Duration::from_secs(3);
/// Time in which the slowness that a server reported (its logarithm) halves. A
/// report is accurate when it is sent, but soon out of date: a fault lasts for
/// seconds, a burst of other processes on the machine for a fraction of a second.
const REPORTED_HALF_LIFE: Duration = Duration::from_secs(1);
/// Value of a server's report that means its work takes as long as usual.
const USUAL_REPORT: f64 = 100.0;

/// Estimates the slowness of one server. A slowness of 2 means that the server is
/// half as fast as its peers.
pub trait SlownessEstimate {
    /// Records a response whose service time was `ratio` times the usual one.
    fn record_ratio(&mut self, ratio: f64, now: Duration);

    /// Records the slowness that the server reported, in hundredths of the usual
    /// service time.
    fn record_report(&mut self, report: u32, now: Duration);

    /// Returns the expected slowness.
    fn slowness(&self, now: Duration) -> f64;
}

/// Slowness observed from response times.
///
/// The average is taken over logarithms, so that a single response of many times
/// the usual time does not dominate it.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObservedSlowness {
    logarithm: f64,
    updated_at: Duration,
}

impl SlownessEstimate for ObservedSlowness {
    fn record_ratio(&mut self, ratio: f64, now: Duration) {
        let previous = decay(
            self.logarithm,
            now.saturating_sub(self.updated_at),
            OBSERVED_HALF_LIFE,
        );
        let sample = ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1).ln();
        self.logarithm = previous + SAMPLE_WEIGHT * (sample - previous);
        self.updated_at = now;
    }

    fn record_report(&mut self, _report: u32, _now: Duration) {}

    fn slowness(&self, now: Duration) -> f64 {
        decay(
            self.logarithm,
            now.saturating_sub(self.updated_at),
            OBSERVED_HALF_LIFE,
        )
        .exp()
    }
}

/// Slowness that the server reported, multiplied by the slowness that its
/// response times show beyond the reports. The latter covers, for example, a
/// server that is always slower than its peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedSlowness {
    /// Slowness of the response times relative to the reports.
    unreported: ObservedSlowness,
    /// Logarithm of the last reported slowness.
    logarithm: f64,
    reported_at: Duration,
}

impl ReportedSlowness {
    /// Returns the last reported slowness, decayed up to `now`.
    fn reported(&self, now: Duration) -> f64 {
        decay(
            self.logarithm,
            now.saturating_sub(self.reported_at),
            REPORTED_HALF_LIFE,
        )
        .exp()
    }
}

impl SlownessEstimate for ReportedSlowness {
    fn record_ratio(&mut self, ratio: f64, now: Duration) {
        self.unreported
            .record_ratio(ratio / self.reported(now), now);
    }

    fn record_report(&mut self, report: u32, now: Duration) {
        let slowness = f64::from(report.max(1)) / USUAL_REPORT;
        self.logarithm = slowness.ln();
        self.reported_at = now;
    }

    fn slowness(&self, now: Duration) -> f64 {
        self.reported(now) * self.unreported.slowness(now)
    }
}

/// Returns a logarithm after exponential decay over `age`.
fn decay(logarithm: f64, age: Duration, half_life: Duration) -> f64 {
    logarithm * 0.5f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// How the slowness of servers is estimated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SlownessStrategy {
    /// From response times alone, by [`ObservedSlowness`].
    Observed,
    /// From the servers' reports and response times, by [`ReportedSlowness`].
    /// Equal to [`SlownessStrategy::Observed`] for servers that send no reports.
    #[default]
    Reported,
}

impl SlownessStrategy {
    /// Names of the strategies in the settings.
    pub const NAMES: [&'static str; 2] = ["learned", "told"];

    /// Returns the strategy with the given name in the settings, or the default
    /// strategy if the name is unknown.
    pub fn from_name(name: &str) -> SlownessStrategy {
        match name {
            "learned" => SlownessStrategy::Observed,
            _ => SlownessStrategy::Reported,
        }
    }
}

/// The slowness estimate of one server, by the configured strategy.
#[derive(Debug, Clone, Copy)]
pub enum ServerSlowness {
    /// Estimate from response times alone.
    Observed(ObservedSlowness),
    /// Estimate from the server's reports and response times.
    Reported(ReportedSlowness),
}

impl ServerSlowness {
    /// Returns the initial estimate of a server: as fast as its peers.
    pub fn new(strategy: SlownessStrategy) -> ServerSlowness {
        match strategy {
            SlownessStrategy::Observed => ServerSlowness::Observed(ObservedSlowness::default()),
            SlownessStrategy::Reported => ServerSlowness::Reported(ReportedSlowness::default()),
        }
    }
}

impl SlownessEstimate for ServerSlowness {
    fn record_ratio(&mut self, ratio: f64, now: Duration) {
        match self {
            ServerSlowness::Observed(estimate) => estimate.record_ratio(ratio, now),
            ServerSlowness::Reported(estimate) => estimate.record_ratio(ratio, now),
        }
    }

    fn record_report(&mut self, report: u32, now: Duration) {
        match self {
            ServerSlowness::Observed(estimate) => estimate.record_report(report, now),
            ServerSlowness::Reported(estimate) => estimate.record_report(report, now),
        }
    }

    fn slowness(&self, now: Duration) -> f64 {
        match self {
            ServerSlowness::Observed(estimate) => estimate.slowness(now),
            ServerSlowness::Reported(estimate) => estimate.slowness(now),
        }
    }
}
