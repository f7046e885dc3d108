//! Quantiles of recent latencies, from a histogram of constant size.
//!
//! Old samples lose weight because all counts are halved after every few thousand samples.

use std::time::Duration;

/// Number of buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 8.0;
/// Number of buckets. They range from 16 us to about 4 s, in steps of 9%.
const BUCKET_COUNT: usize = 144;
/// Lower bound of the first bucket, in microseconds. Lower latencies count there too.
const FIRST_BUCKET_MICROS: f64 = 16.0;
/// Number of counted samples at which all counts are halved.
const HALVE_AT_SAMPLES: u32 = 4096;
/// Number of new samples after which the cached median is computed again.
const REFRESH_AFTER_SAMPLES: u32 = 64;
/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u32 = 32;

/// A histogram of recent latencies in logarithmic buckets.
///
/// All counts are halved whenever their sum reaches `HALVE_AT_SAMPLES`, so that the
/// quantiles follow the last few thousand samples. The error of a quantile is at most one
/// bucket (9%).
#[derive(Debug, Clone)]
pub struct LatencyWindow {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    samples_since_refresh: u32,
    median: Option<Duration>,
    median_micros: Option<f32>,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        LatencyWindow {
            counts: [0; BUCKET_COUNT],
            total: 0,
            samples_since_refresh: 0,
            median: None,
            median_micros: None,
        }
    }
}

impl LatencyWindow {
    /// Adds a sample, and updates the cached median if enough samples are new.
    pub fn add(&mut self, latency: Duration) {
        self.counts[bucket_of(latency)] += 1;
        self.total += 1;
        self.samples_since_refresh += 1;
        if self.total >= HALVE_AT_SAMPLES {
            self.halve();
        }
        if self.samples_since_refresh >= REFRESH_AFTER_SAMPLES {
            self.samples_since_refresh = 0;
            self.median = self.quantile(0.5);
            self.median_micros = self.median.map(|median| median.as_secs_f32() * 1e6);
        }
    }

    /// Returns the cached median, or `None` while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// Returns the cached median in microseconds. Routing reads it for the cost of every
    /// candidate server.
    pub fn median_micros(&self) -> Option<f32> {
        self.median_micros
    }

    /// Returns the upper bound of the bucket that contains the given quantile (0 to 1), or
    /// `None` while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if self.total < MIN_SAMPLES {
            return None;
        }
        let rank = (f64::from(self.total) * quantile).ceil() as u32;
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(bucket_upper_bound(bucket));
            }
        }
        Some(bucket_upper_bound(BUCKET_COUNT - 1))
    }

    /// Halves all counts, so that older samples lose weight.
    fn halve(&mut self) {
        self.total = 0;
        for count in &mut self.counts {
            *count /= 2;
            self.total += *count;
        }
    }
}

/// Returns the index of the bucket for a latency.
fn bucket_of(latency: Duration) -> usize {
    let micros = latency.as_secs_f64() * 1e6;
    if micros <= FIRST_BUCKET_MICROS {
        return 0;
    }
    let bucket = ((micros / FIRST_BUCKET_MICROS).log2() * BUCKETS_PER_DOUBLING) as usize;
    bucket.min(BUCKET_COUNT - 1)
}

/// Returns the highest latency of a bucket.
fn bucket_upper_bound(bucket: usize) -> Duration {
    let doublings = (bucket as f64 + 1.0) / BUCKETS_PER_DOUBLING;
    Duration::from_secs_f64(FIRST_BUCKET_MICROS * doublings.exp2() / 1e6)
}
