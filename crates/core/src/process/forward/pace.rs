//! How fast a server is at this moment, against its peers.
//!
//! Load that is met: servers that share their machines with others, so that
//! some take many times as long as usual for a fraction of a second or for
//! many seconds. Some servers say so with each answer; of others only the times
//! of their answers tell it, several answers late.

use std::time::Duration;

/// Weight of a new sample in the moving average of an answer's time.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Bounds of what one answer says.
const RATIO_BOUNDS: (f64, f64) = (0.3, 20.0);
/// Time without an answer in which half of what was learned is forgotten: a
/// server that is avoided would stay slow for ever.
const FORGET_TIME: Duration = Duration::from_secs(3);
/// The same for what the server said. It is right when it is said; a fault
/// lasts for seconds, a neighbour's burst for a fraction of one.
const TOLD_FORGET_TIME: Duration = Duration::from_secs(1);
/// What a server says when its work takes as long as usual.
const USUAL_PACE: f64 = 100.0;

/// An estimate of a server's slowness: 2 is half as fast as its peers.
pub trait SlownessEstimate {
    /// Takes an answer that took `ratio` of what is usual.
    fn answered(&mut self, ratio: f64, now: Duration);

    /// Takes the server's own word, in hundredths of the usual time.
    fn record_report(&mut self, pace: u32, now: Duration);

    /// Returns the slowness to expect.
    fn slowness(&self, now: Duration) -> f64;
}

/// What the times of the answers say.
///
/// A moving average of logarithms is not carried away by one answer of many
/// times the usual.
#[derive(Debug, Clone, Copy, Default)]
pub struct ObservedSlowness {
    logarithm: f64,
    learned_at: Duration,
}

impl SlownessEstimate for ObservedSlowness {
    fn answered(&mut self, ratio: f64, now: Duration) {
        let known = fade(
            self.logarithm,
            now.saturating_sub(self.learned_at),
            FORGET_TIME,
        );
        let sample = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        self.logarithm = known + SAMPLE_WEIGHT * (sample - known);
        self.learned_at = now;
    }

    fn record_report(&mut self, _pace: u32, _now: Duration) {}

    fn slowness(&self, now: Duration) -> f64 {
        fade(
            self.logarithm,
            now.saturating_sub(self.learned_at),
            FORGET_TIME,
        )
        .exp()
    }
}

/// What the server says, and what the times of its answers say besides: that
/// it is slower than its peers at all times, for one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReportedSlowness {
    beside: ObservedSlowness,
    /// Logarithm of its word.
    logarithm: f64,
    told_at: Duration,
}

impl ReportedSlowness {
    fn word(&self, now: Duration) -> f64 {
        fade(
            self.logarithm,
            now.saturating_sub(self.told_at),
            TOLD_FORGET_TIME,
        )
        .exp()
    }
}

impl SlownessEstimate for ReportedSlowness {
    fn answered(&mut self, ratio: f64, now: Duration) {
        self.beside.answered(ratio / self.word(now), now);
    }

    fn record_report(&mut self, pace: u32, now: Duration) {
        let times = f64::from(pace.max(1)) / USUAL_PACE;
        self.logarithm = times.ln();
        self.told_at = now;
    }

    fn slowness(&self, now: Duration) -> f64 {
        self.word(now) * self.beside.slowness(now)
    }
}

/// Returns what is left of a logarithm after `age`.
fn fade(logarithm: f64, age: Duration, half: Duration) -> f64 {
    logarithm * 0.5f64.powf(age.as_secs_f64() / half.as_secs_f64())
}

/// Which estimate is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SlownessStrategy {
    /// [`ObservedSlowness`].
    Observed,
    /// [`ReportedSlowness`]; the same as the other where servers say nothing.
    #[default]
    Reported,
}

impl SlownessStrategy {
    /// Names of the ways in the settings.
    pub const NAMES: [&'static str; 2] = ["learned", "told"];

    /// Returns the way of a name; the usual one if there is none of that name.
    pub fn from_name(word: &str) -> SlownessStrategy {
        match word {
            "learned" => SlownessStrategy::Observed,
            _ => SlownessStrategy::Reported,
        }
    }
}

/// The estimate of one server, in the way that the settings name.
#[derive(Debug, Clone, Copy)]
pub enum ServerSlowness {
    /// Learned.
    Observed(ObservedSlowness),
    /// Told.
    Reported(ReportedSlowness),
}

impl ServerSlowness {
    /// Returns the estimate of a server of which nothing is known.
    pub fn new(way: SlownessStrategy) -> ServerSlowness {
        match way {
            SlownessStrategy::Observed => ServerSlowness::Observed(ObservedSlowness::default()),
            SlownessStrategy::Reported => ServerSlowness::Reported(ReportedSlowness::default()),
        }
    }
}

impl SlownessEstimate for ServerSlowness {
    fn answered(&mut self, ratio: f64, now: Duration) {
        match self {
            ServerSlowness::Observed(pace) => pace.answered(ratio, now),
            ServerSlowness::Reported(pace) => pace.answered(ratio, now),
        }
    }

    fn record_report(&mut self, pace: u32, now: Duration) {
        match self {
            ServerSlowness::Observed(estimate) => estimate.record_report(pace, now),
            ServerSlowness::Reported(estimate) => estimate.record_report(pace, now),
        }
    }

    fn slowness(&self, now: Duration) -> f64 {
        match self {
            ServerSlowness::Observed(pace) => pace.slowness(now),
            ServerSlowness::Reported(pace) => pace.slowness(now),
        }
    }
}
