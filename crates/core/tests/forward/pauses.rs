//! Tests of the prediction of stalls that occur at a fixed interval.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::process::forward::stall::{IntervalHistogram, StallPredictor};

/// Minimum service time of a request.
const WORK: Duration = Duration::from_millis(8);

/// A simulated server that stalls, with the predictor that observes it.
struct StallingServer {
    /// Seconds between two stalls; `None` if they occur at random.
    interval: Option<f64>,
    /// Duration of a stall.
    length: Duration,
    /// Offset of the stalls from multiples of the interval, in seconds.
    phase: f64,
    predictor: StallPredictor,
    /// Requests that wait for the end of a stall: arrival time and time at which
    /// the server starts them.
    waiting: Vec<(Duration, Duration)>,
}

impl StallingServer {
    /// Returns the end of the stall that the server is in at `at`, or `None` if it
    /// is not stalled.
    fn stall_end_at(&self, at: Duration, rng: &mut SmallRng) -> Option<Duration> {
        let Some(interval) = self.interval else {
            let is_slow = rng.random::<f64>() < 0.04;
            return is_slow.then(|| at + self.length.mul_f64(rng.random()));
        };
        let since = (at.as_secs_f64() + interval - self.phase) % interval;
        let left = self.length.as_secs_f64() - since;
        (left > 0.0).then(|| at + Duration::from_secs_f64(left))
    }

    /// Simulates a request that arrives at `at`, and passes what an entry would
    /// observe to the predictor. A delay is observed once the stall is over.
    fn send_request(
        &mut self,
        at: Duration,
        histogram: &mut IntervalHistogram,
        rng: &mut SmallRng,
    ) {
        let spread = WORK.mul_f64(0.3 * rng.random::<f64>());
        let (finished, waiting) = self.waiting.iter().partition(|(_, end)| *end < at);
        self.waiting = waiting;
        let finished: Vec<(Duration, Duration)> = finished;
        for (arrived, end) in finished {
            self.predictor.record_stall(arrived, end, histogram);
        }
        match self.stall_end_at(at, rng) {
            Some(end) if end > at + Duration::from_millis(31) => {
                self.waiting.push((at, end + spread));
            }
            Some(_) => {}
            None => self
                .predictor
                .record_prompt_start(at + spread, histogram.interval()),
        }
    }
}

struct StallCase {
    name: &'static str,
    /// Seconds between two stalls; `None` if they occur at random.
    interval: Option<f64>,
    length_ms: u64,
    /// Expected fraction of the requests during stalls for which a stall was
    /// predicted.
    predicted: std::ops::RangeInclusive<f64>,
    /// Expected fraction of the other requests for which a stall was predicted.
    mistaken: std::ops::RangeInclusive<f64>,
}

const CASES: &[StallCase] = &[
    StallCase {
        name: "short and frequent",
        interval: Some(3.0),
        length_ms: 120,
        predicted: 0.7..=1.0,
        mistaken: 0.0..=0.02,
    },
    StallCase {
        name: "long and rare",
        interval: Some(6.0),
        length_ms: 250,
        predicted: 0.5..=1.0,
        mistaken: 0.0..=0.02,
    },
    StallCase {
        name: "at random times",
        interval: None,
        length_ms: 120,
        predicted: 0.0..=1.0,
        mistaken: 0.0..=0.005,
    },
];

/// Simulates 30 s of 15 requests per second to each of 24 servers. Returns, for the
/// second half, the fraction of the requests during stalls and of the other
/// requests for which a stall was predicted.
fn simulate(case: &StallCase, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut histogram = IntervalHistogram::default();
    let mut servers: Vec<StallingServer> = (0..24)
        .map(|_| StallingServer {
            interval: case.interval,
            length: Duration::from_millis(case.length_ms),
            phase: rng.random::<f64>() * case.interval.unwrap_or(1.0),
            predictor: StallPredictor::default(),
            waiting: Vec::new(),
        })
        .collect();
    let (mut stalled, mut predicted, mut prompt, mut mistaken) = (0.0, 0.0, 0.0, 0.0);
    for step in 0..30 * 15 {
        for server in &mut servers {
            let jitter = Duration::from_micros(rng.random_range(0..60_000));
            let at = Duration::from_secs(1) + Duration::from_millis(step * 66) + jitter;
            if step > 15 * 15 {
                let expected_wait =
                    server
                        .predictor
                        .expected_wait(at, Duration::ZERO, histogram.interval());
                match server.stall_end_at(at, &mut rng) {
                    Some(_) => {
                        stalled += 1.0;
                        predicted += f64::from(u8::from(!expected_wait.is_zero()));
                    }
                    None => {
                        prompt += 1.0;
                        mistaken += f64::from(u8::from(expected_wait > Duration::from_millis(20)));
                    }
                }
            }
            server.send_request(at, &mut histogram, &mut rng);
        }
    }
    (
        predicted / f64::max(stalled, 1.0),
        mistaken / f64::max(prompt, 1.0),
    )
}

#[test]
fn stalls_at_a_fixed_interval_are_predicted_and_others_are_not() {
    for case in CASES {
        for seed in 0..12 {
            let (predicted, mistaken) = simulate(case, seed);
            let name = case.name;
            assert!(
                case.predicted.contains(&predicted),
                "{name}, seed {seed}: {predicted} predicted"
            );
            assert!(
                case.mistaken.contains(&mistaken),
                "{name}, seed {seed}: {mistaken} mistaken"
            );
        }
    }
}

#[test]
fn stalls_are_no_longer_predicted_for_a_server_that_stopped_stalling() {
    let mut histogram = IntervalHistogram::default();
    let second = Duration::from_secs(1);
    let mut predictors = vec![StallPredictor::default(); 12];
    for round in 0..4u32 {
        for (number, predictor) in predictors.iter_mut().enumerate() {
            let end = second * 3 * (round + 1) + Duration::from_millis(number as u64 * 90);
            predictor.record_stall(end - Duration::from_millis(100), end, &mut histogram);
        }
    }
    let interval = histogram.interval();
    assert!(interval.is_some_and(|found| found.abs_diff(second * 3) < Duration::from_millis(15)));
    let inside = |round: u32| second * 3 * round - Duration::from_millis(60);
    assert!(!predictors[0]
        .expected_wait(inside(6), WORK, interval)
        .is_zero());
    predictors[0].record_prompt_start(inside(6), interval);
    assert!(
        !predictors[0]
            .expected_wait(inside(7), WORK, interval)
            .is_zero(),
        "a single miss may be chance"
    );
    predictors[0].record_prompt_start(inside(7), interval);
    assert!(predictors[0]
        .expected_wait(inside(8), WORK, interval)
        .is_zero());
}
