//! How well the times that servers are expected to take are met.
//!
//! Every server's answer counts, whether its request still waited for it or
//! not: answers that are looked at because they were slow are slow by
//! selection. They are kept apart by what the expectation is made of: how much
//! waited at the server, how slow it was taken to be, and how old that was.

use std::time::Duration;

/// Requests ahead at a server, above its slots, up to which each place counts.
const QUEUE_BOUNDS: [f64; 3] = [0.5, 2.5, 5.5];
/// Slowness up to which each place counts.
const SLOWNESS_BOUNDS: [f64; 2] = [1.5, 4.0];
/// Age of the last answer up to which each place counts.
const AGE_BOUNDS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1000)];
/// Names of the places of a queue.
const QUEUE_NAMES: [&str; 4] = ["none", "1-2", "3-5", "6+"];
/// Names of the places of a slowness.
const SLOWNESS_NAMES: [&str; 3] = ["usual", "slow", "very slow"];
/// Names of the places of an age.
const AGE_NAMES: [&str; 3] = ["fresh", "recent", "old"];
/// Number of cells.
const CELLS: usize = QUEUE_NAMES.len() * SLOWNESS_NAMES.len() * AGE_NAMES.len();
/// Buckets of the relative error, each a twentieth of the real time.
const ERROR_BUCKETS: usize = 21;
/// Width of a bucket.
const ERROR_STEP: f64 = 0.05;

/// What an expectation was made of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectationBasis {
    /// The time expected, the way included.
    pub expected: Duration,
    /// Requests taken to be ahead at the server beyond its free slots.
    pub queue: f64,
    /// How slow the server was taken to be.
    pub slowness: f64,
    /// Age of its last answer.
    pub age: Duration,
}

impl ExpectationBasis {
    /// Returns the cell that it counts in.
    fn cell(&self) -> usize {
        let queue = QUEUE_BOUNDS.partition_point(|bound| self.queue > *bound);
        let slowness = SLOWNESS_BOUNDS.partition_point(|bound| self.slowness > *bound);
        let age = AGE_BOUNDS.partition_point(|bound| self.age > *bound);
        (queue * SLOWNESS_NAMES.len() + slowness) * AGE_NAMES.len() + age
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct CellCount {
    samples: u64,
    expected: f64,
    actual: f64,
    errors: [u32; ERROR_BUCKETS],
}

impl Default for CellCount {
    fn default() -> Self {
        CellCount {
            samples: 0,
            expected: 0.0,
            actual: 0.0,
            errors: [0; ERROR_BUCKETS],
        }
    }
}

/// One cell of the account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectationRow {
    /// What waited at the server.
    pub queue: &'static str,
    /// How slow it was taken to be.
    pub slowness: &'static str,
    /// How old that was.
    pub age: &'static str,
    /// Answers.
    pub samples: u64,
    /// Mean of the times expected, in seconds.
    pub expected: f64,
    /// Mean of the real times, in seconds.
    pub actual: f64,
    /// Median of the error, as a fraction of the real time, to a twentieth; 1
    /// stands for 1 and more.
    pub median_error: f64,
}

impl ExpectationRow {
    /// Returns by which fraction of the real time the expectation is too high
    /// on average; negative if it is too low.
    pub fn bias(&self) -> f64 {
        self.expected / self.actual.max(f64::MIN_POSITIVE) - 1.0
    }
}

/// The account of expected against real times.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectationStats {
    cells: Vec<CellCount>,
}

impl Default for ExpectationStats {
    fn default() -> Self {
        ExpectationStats {
            cells: vec![CellCount::default(); CELLS],
        }
    }
}

impl ExpectationStats {
    /// Takes an answer that came after `actual`.
    pub fn add(&mut self, basis: &ExpectationBasis, actual: Duration) {
        let cell = &mut self.cells[basis.cell()];
        let (expected, actual) = (basis.expected.as_secs_f64(), actual.as_secs_f64());
        let error = (expected - actual).abs() / actual.max(1e-6);
        let bucket = ((error / ERROR_STEP) as usize).min(ERROR_BUCKETS - 1);
        cell.samples += 1;
        cell.expected += expected;
        cell.actual += actual;
        cell.errors[bucket] += 1;
    }

    /// Adds another account to this one.
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

    /// Iterates over the cells that have answers.
    pub fn rows(&self) -> impl Iterator<Item = ExpectationRow> + '_ {
        let cells = self.cells.iter().enumerate();
        let used = cells.filter(|(_, cell)| cell.samples > 0);
        used.map(|(place, cell)| {
            let rest = place / AGE_NAMES.len();
            let samples = cell.samples as f64;
            ExpectationRow {
                queue: QUEUE_NAMES[rest / SLOWNESS_NAMES.len()],
                slowness: SLOWNESS_NAMES[rest % SLOWNESS_NAMES.len()],
                age: AGE_NAMES[place % AGE_NAMES.len()],
                samples: cell.samples,
                expected: cell.expected / samples,
                actual: cell.actual / samples,
                median_error: cell.median_error(),
            }
        })
    }
}

impl CellCount {
    fn median_error(&self) -> f64 {
        let half = self.samples.div_ceil(2);
        let mut seen = 0;
        for (bucket, count) in self.errors.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= half {
                return bucket as f64 * ERROR_STEP;
            }
        }
        1.0
    }
}
