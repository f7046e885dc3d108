//! Statistics on the accuracy of expected response times, for metrics.
//!
//! Every response of a server is counted, even if its request has already ended.
//! Counting only slow responses would bias the statistics. The responses are
//! grouped by the inputs of the expectation: the queue length at the server, its
//! slowness, and the age of its last response.

use std::time::Duration;

/// Upper bounds of the queue length buckets: requests ahead of a new one, beyond
/// the server's free slots.
const QUEUE_BOUNDS: [f64; 3] = [0.5, 2.5, 5.5];
/// Upper bounds of the slowness buckets.
const SLOWNESS_BOUNDS: [f64; 2] = [1.5, 4.0];
/// Upper bounds of the buckets for the age of the server's last response.
const AGE_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1000)];
/// Metric labels of the queue length buckets.
const QUEUE_NAMES: [&str; 4] = ["none", "1-2", "3-5", "6+"];
/// Metric labels of the slowness buckets.
const SLOWNESS_NAMES: [&str; 3] = ["usual", "slow", "very slow"];
/// Metric labels of the age buckets.
const AGE_NAMES: [&str; 3] = ["fresh", "recent", "old"];
/// Number of cells: one per combination of buckets.
const CELL_COUNT: usize = QUEUE_NAMES.len() * SLOWNESS_NAMES.len() * AGE_NAMES.len();
/// Number of buckets of the relative error. The last one counts errors of 1 and
/// more.
const ERROR_BUCKET_COUNT: usize = 21;
/// Width of an error bucket: a twentieth of the actual response time.
const ERROR_BUCKET_WIDTH: f64 = 0.05;

/// An expected response time and the inputs that it was computed from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectationBasis {
    /// Expected response time, including the network round trip.
    pub expected: Duration,
    /// Estimated number of requests ahead at the server, beyond its free slots.
    pub queue: f64,
    /// Estimated slowness of the server; 2 means half as fast as its peers.
    pub slowness: f64,
    /// Age of the server's last response.
    pub age: Duration,
}

impl ExpectationBasis {
    /// Returns the index of the cell in which the response is counted.
    fn cell_index(&self) -> usize {
        let queue = QUEUE_BOUNDS.partition_point(|bound| self.queue > *bound);
        let slowness = SLOWNESS_BOUNDS.partition_point(|bound| self.slowness > *bound);
        let age = AGE_BOUNDS.partition_point(|bound| self.age > *bound);
        (queue * SLOWNESS_NAMES.len() + slowness) * AGE_NAMES.len() + age
    }
}

/// Sums over the responses of one cell.
#[derive(Debug, Clone, Copy, PartialEq)]
struct CellStats {
    samples: u64,
    /// Sum of the expected response times, in seconds.
    expected: f64,
    /// Sum of the actual response times, in seconds.
    actual: f64,
    /// Number of responses per bucket of the relative error.
    errors: [u32; ERROR_BUCKET_COUNT],
}

impl Default for CellStats {
    fn default() -> Self {
        CellStats {
            samples: 0,
            expected: 0.0,
            actual: 0.0,
            errors: [0; ERROR_BUCKET_COUNT],
        }
    }
}

/// The statistics of one cell: of all responses with similar inputs of the
/// expectation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectationRow {
    /// Metric label of the queue length at the server.
    pub queue: &'static str,
    /// Metric label of the server's estimated slowness.
    pub slowness: &'static str,
    /// Metric label of the age of the server's last response.
    pub age: &'static str,
    /// Number of responses.
    pub samples: u64,
    /// Mean of the expected response times, in seconds.
    pub expected: f64,
    /// Mean of the actual response times, in seconds.
    pub actual: f64,
    /// Median of the absolute error as a fraction of the actual response time,
    /// rounded down to a twentieth; 1 stands for 1 and more.
    pub median_error: f64,
}

impl ExpectationRow {
    /// Returns the mean error of the expectation as a fraction of the actual
    /// response time; negative if the expectation is too low.
    pub fn bias(&self) -> f64 {
        self.expected / self.actual.max(f64::MIN_POSITIVE) - 1.0
    }
}

/// Statistics of expected against actual response times, by the inputs of the
/// expectation.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectationStats {
    cells: Vec<CellStats>,
}

impl Default for ExpectationStats {
    fn default() -> Self {
        ExpectationStats {
            cells: vec![CellStats::default(); CELL_COUNT],
        }
    }
}

impl ExpectationStats {
    /// Records a response that took `actual`, for the expectation `basis`.
    pub fn add(&mut self, basis: &ExpectationBasis, actual: Duration) {
        let cell = &mut self.cells[basis.cell_index()];
        let (expected, actual) = (basis.expected.as_secs_f64(), actual.as_secs_f64());
        let error = (expected - actual).abs() / actual.max(1e-6);
        let bucket = ((error / ERROR_BUCKET_WIDTH) as usize).min(ERROR_BUCKET_COUNT - 1);
        cell.samples += 1;
        cell.expected += expected;
        cell.actual += actual;
        cell.errors[bucket] += 1;
    }

    /// Adds the statistics of `other` to these.
    pub fn merge(&mut self, other: &ExpectationStats) {
        for (cell, more) in self.cells.iter_mut().zip(&other.cells) {
            cell.samples += more.samples;
            cell.expected += more.expected;
            cell.actual += more.actual;
            for (count, more) in cell.errors.iter_mut().zip(more.errors) {
                *count += more;
            }
        }
    }

    /// Iterates over the cells that have responses.
    pub fn rows(&self) -> impl Iterator<Item = ExpectationRow> + '_ {
        let cells = self.cells.iter().enumerate();
        let used = cells.filter(|(_, cell)| cell.samples > 0);
        used.map(|(index, cell)| {
            let rest = index / AGE_NAMES.len();
            let samples = cell.samples as f64;
            ExpectationRow {
                queue: QUEUE_NAMES[rest / SLOWNESS_NAMES.len()],
                slowness: SLOWNESS_NAMES[rest % SLOWNESS_NAMES.len()],
                age: AGE_NAMES[index % AGE_NAMES.len()],
                samples: cell.samples,
                expected: cell.expected / samples,
                actual: cell.actual / samples,
                median_error: cell.median_error(),
            }
        })
    }
}

impl CellStats {
    /// Returns the lower bound of the error bucket that holds the median.
    fn median_error(&self) -> f64 {
        let half = self.samples.div_ceil(2);
        let mut seen = 0;
        for (bucket, count) in self.errors.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= half {
                return bucket as f64 * ERROR_BUCKET_WIDTH;
            }
        }
        1.0
    }
}
