//! Predicts the stalls of servers that stall at a fixed interval.
//!
//! A stall is a short period in which a server answers nothing, such as a
//! garbage collection. A request that arrives during a stall waits for its end,
//! and only the server's earlier stalls can predict it. Under the expected load, a
//! stall lasts as long as a route's objective, and of 90 shards four are stalled
//! at any time.
//!
//! A response that is later than service time and queueing explain shows when a
//! stall ended. Servers of one kind stall at the same interval, so one
//! [`IntervalHistogram`] collects the samples of all servers. The phase differs
//! per server, so each has a [`StallPredictor`]. Predictions start once three
//! stalls of a server fit the interval, and stop when two predicted stalls in a
//! row do not occur. A false prediction costs the traffic of a response from
//! another region; a missed stall costs a part of the answer.
//!
//! Simulated runs give a score for each request that is answered in time. In 15 runs
//! with stalls of 120 ms every 3 s, reactive detection reached 0.652 of the maximum
//! score, and prediction from three matching stalls 0.657. Prediction from two
//! matching stalls reached 0.651, because under the highest load responses that were
//! late for other reasons were taken for stalls.

use std::time::Duration;

use arrayvec::ArrayVec;

/// Range of the intervals between stalls that are detected.
const INTERVAL_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(15));
/// Width of a histogram bucket. The end of a stall is known only to within some
/// milliseconds, because the service time of a request varies.
const BUCKET_WIDTH: Duration = Duration::from_millis(20);
/// Number of histogram buckets.
const BUCKET_COUNT: usize = 750;
/// Minimum number of samples in a bucket and its neighbours for the interval to
/// be accepted.
const MIN_SAMPLES: u32 = 10;
/// Factor by which the buckets of an accepted interval must exceed the mean of
/// all buckets. Responses that are late for other reasons than stalls spread over
/// all buckets.
const MIN_PEAK_FACTOR: f64 = 20.0;
/// Maximum deviation of the end of a stall from its predicted time.
const END_TOLERANCE: Duration = Duration::from_millis(40);
/// Number of stall ends that are kept per server.
const ENDS_KEPT: usize = 5;
/// Number of earlier stalls whose distance from the last one must be a multiple
/// of the interval before stalls are predicted. A response that is late for
/// another reason fits one in twelve earlier stalls by chance.
const MIN_MATCHING_ENDS: usize = 2;
/// Number of consecutive predicted stalls that do not occur, after which the
/// server's stall history is discarded.
const MAX_MISSES: u32 = 2;
/// Minimum delay that counts as a stall. Shorter delays are attributed to the
/// request's service time.
pub(super) const MIN_STALL: Duration = Duration::from_millis(15);
/// Maximum delay that counts as a stall.
const MAX_STALL: Duration = Duration::from_millis(600);

/// How an entry avoids servers that stall.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StallStrategy {
    /// Detects a stall by the age of the oldest unanswered request.
    Reactive,
    /// Predicts stalls that occur at a fixed interval, and detects others like
    /// [`StallStrategy::Reactive`].
    #[default]
    Predictive,
}

impl StallStrategy {
    /// Names of the strategies in the settings.
    pub const NAMES: [&'static str; 2] = ["noticed", "foretold"];

    /// Returns the strategy with the given name in the settings, or the default
    /// strategy if the name is unknown.
    pub fn from_name(name: &str) -> StallStrategy {
        match name {
            "noticed" => StallStrategy::Reactive,
            _ => StallStrategy::Predictive,
        }
    }
}

/// One bucket of an [`IntervalHistogram`]: the samples of about the same length.
#[derive(Debug, Clone, Copy, Default)]
struct IntervalBucket {
    samples: u32,
    /// Sum of the samples, in seconds.
    sum: f64,
}

/// Histogram of the times between consecutive stalls, over all servers. A peak is
/// taken for the interval at which servers stall.
#[derive(Debug, Clone)]
pub struct IntervalHistogram {
    buckets: Vec<IntervalBucket>,
    samples: u32,
    interval: Option<Duration>,
}

impl Default for IntervalHistogram {
    fn default() -> Self {
        IntervalHistogram {
            buckets: vec![IntervalBucket::default(); BUCKET_COUNT],
            samples: 0,
            interval: None,
        }
    }
}

impl IntervalHistogram {
    /// Returns the interval between stalls, or `None` until one is detected.
    pub fn interval(&self) -> Option<Duration> {
        self.interval
    }

    /// Adds the time between two consecutive stalls of a server, and updates the
    /// detected interval.
    fn add(&mut self, sample: Duration) {
        if sample < INTERVAL_RANGE.0 || sample >= INTERVAL_RANGE.1 {
            return;
        }
        let index = (sample.as_millis() / BUCKET_WIDTH.as_millis()) as usize;
        self.buckets[index].samples += 1;
        self.buckets[index].sum += sample.as_secs_f64();
        self.samples += 1;
        let samples = self.samples_near(index);
        let mean = f64::from(self.samples) / BUCKET_COUNT as f64;
        if samples < MIN_SAMPLES || f64::from(samples) < mean * 3.0 * MIN_PEAK_FACTOR {
            return;
        }
        let best = self
            .interval
            .map_or(0, |interval| self.samples_near(bucket_index(interval)));
        if samples >= best {
            self.interval = Some(self.mean_near(index));
        }
    }

    /// Returns the number of samples in a bucket and its neighbours.
    fn samples_near(&self, index: usize) -> u32 {
        self.neighbours(index)
            .iter()
            .map(|bucket| bucket.samples)
            .sum()
    }

    /// Returns the mean of the samples in a bucket and its neighbours.
    fn mean_near(&self, index: usize) -> Duration {
        let sum: f64 = self.neighbours(index).iter().map(|bucket| bucket.sum).sum();
        Duration::from_secs_f64(sum / f64::from(self.samples_near(index).max(1)))
    }

    /// Returns a bucket with its neighbours on both sides.
    fn neighbours(&self, index: usize) -> &[IntervalBucket] {
        let end = (index + 2).min(BUCKET_COUNT);
        &self.buckets[index.saturating_sub(1)..end]
    }
}

/// Returns the index of the histogram bucket of an interval.
fn bucket_index(interval: Duration) -> usize {
    (interval.as_millis() / BUCKET_WIDTH.as_millis()) as usize
}

/// Predicts the stalls of one server from the ends of its earlier stalls.
#[derive(Debug, Clone, Default)]
pub struct StallPredictor {
    /// Ends of the server's last stalls, oldest first.
    ends: ArrayVec<Duration, ENDS_KEPT>,
    /// Longest delay that a request had because of one of these stalls.
    length: Duration,
    /// Number of consecutive predicted stalls that did not occur.
    misses: u32,
}

impl StallPredictor {
    /// Records that a request reached the server at `arrived` and was started at
    /// `started`, a delay that only a stall explains. `started` is the end of that
    /// stall. Delays that are too short or too long for a stall are ignored.
    pub fn record_stall(
        &mut self,
        arrived: Duration,
        started: Duration,
        histogram: &mut IntervalHistogram,
    ) {
        let delay = started.saturating_sub(arrived);
        if delay < MIN_STALL || delay > MAX_STALL {
            return;
        }
        let last = self.ends.last().copied();
        if last.is_some_and(|last| started < last + END_TOLERANCE) {
            // The request was delayed by a stall that is already recorded.
            self.length = self.length.max(delay);
            return;
        }
        if let Some(last) = last {
            histogram.add(started - last);
        }
        let is_periodic = histogram
            .interval()
            .is_some_and(|interval| last.is_some_and(|last| is_multiple(started - last, interval)));
        if is_periodic {
            self.misses = 0;
            self.length = self.length.max(delay);
        } else {
            self.length = delay;
        }
        if self.ends.is_full() {
            self.ends.remove(0);
        }
        self.ends.push(started);
    }

    /// Records that the server started a request without delay at `started`, so the
    /// server was not stalled then. If a stall was predicted for that time, counts
    /// the prediction as a miss.
    pub fn record_prompt_start(&mut self, started: Duration, interval: Option<Duration>) {
        let Some(end) = self.next_end(started, interval) else {
            return;
        };
        let start = end.saturating_sub(self.length.mul_f64(0.8));
        let is_in_predicted_stall = started > start && started + END_TOLERANCE / 2 < end;
        if !is_in_predicted_stall {
            return;
        }
        self.misses += 1;
        if self.misses >= MAX_MISSES {
            *self = StallPredictor::default();
        }
    }

    /// Returns how long a request is expected to be delayed by a stall, if it
    /// reaches the server at `at` and takes `service_time`. Zero if no stall is predicted
    /// for that time.
    pub fn expected_wait(
        &self,
        at: Duration,
        service_time: Duration,
        interval: Option<Duration>,
    ) -> Duration {
        let Some(end) = self.next_end(at, interval) else {
            return Duration::ZERO;
        };
        let start = end.saturating_sub(self.length);
        if at + service_time < start {
            return Duration::ZERO;
        }
        end.saturating_sub(at)
    }

    /// Returns the predicted end of the current or next stall as of `at`, or
    /// `None` if too few earlier stalls fit the interval.
    fn next_end(&self, at: Duration, interval: Option<Duration>) -> Option<Duration> {
        let interval = interval?;
        let (last, earlier) = self.ends.split_last()?;
        let matching = earlier
            .iter()
            .filter(|end| is_multiple(*last - **end, interval));
        if matching.count() < MIN_MATCHING_ENDS || at < *last {
            return None;
        }
        let intervals = ((at - *last).as_secs_f64() / interval.as_secs_f64()).ceil();
        Some(*last + interval.mul_f64(intervals))
    }
}

/// Returns whether a time is a multiple of the interval, to within
/// [`END_TOLERANCE`].
fn is_multiple(time: Duration, interval: Duration) -> bool {
    let intervals = (time.as_secs_f64() / interval.as_secs_f64()).round();
    let deviation = time.as_secs_f64() - intervals * interval.as_secs_f64();
    intervals >= 1.0 && deviation.abs() <= END_TOLERANCE.as_secs_f64()
}
