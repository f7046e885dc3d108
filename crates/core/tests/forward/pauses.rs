//! Pauses of servers: foretold where they come at an interval.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::process::forward::pause::{IntervalHistogram, StallPredictor};

const WORK: Duration = Duration::from_millis(8);

/// A server that pauses, and what is asked of it.
struct PausingServer {
    /// Seconds between two pauses; none if they come at any time.
    interval: Option<f64>,
    length: Duration,
    phase: f64,
    book: StallPredictor,
    /// Requests that wait for the end of a pause: when they came, and that end.
    waiting: Vec<(Duration, Duration)>,
}

impl PausingServer {
    /// Returns until when a pause lasts that is at `at`.
    fn pause_at(&self, at: Duration, rng: &mut SmallRng) -> Option<Duration> {
        let Some(interval) = self.interval else {
            let is_slow = rng.random::<f64>() < 0.04;
            return is_slow.then(|| at + self.length.mul_f64(rng.random()));
        };
        let since = (at.as_secs_f64() + interval - self.phase) % interval;
        let left = self.length.as_secs_f64() - since;
        (left > 0.0).then(|| at + Duration::from_secs_f64(left))
    }

    fn ask(&mut self, at: Duration, vote: &mut IntervalHistogram, rng: &mut SmallRng) {
        let spread = WORK.mul_f64(0.3 * rng.random::<f64>());
        let (over, waiting) = self.waiting.iter().partition(|(_, end)| *end < at);
        self.waiting = waiting;
        let over: Vec<(Duration, Duration)> = over;
        for (came, end) in over {
            self.book.record_stall(came, end, vote);
        }
        match self.pause_at(at, rng) {
            Some(end) if end > at + Duration::from_millis(31) => {
                self.waiting.push((at, end + spread));
            }
            Some(_) => {}
            None => self.book.record_prompt_start(at + spread, vote.interval()),
        }
    }
}

struct PauseCase {
    name: &'static str,
    interval: Option<f64>,
    length_ms: u64,
    /// Fractions of the pauses that were foretold, and of the time without a
    /// pause in which one was.
    foretold: std::ops::RangeInclusive<f64>,
    mistaken: std::ops::RangeInclusive<f64>,
}

const CASES: &[PauseCase] = &[
    PauseCase {
        name: "short and often",
        interval: Some(3.0),
        length_ms: 120,
        foretold: 0.7..=1.0,
        mistaken: 0.0..=0.02,
    },
    PauseCase {
        name: "long and seldom",
        interval: Some(6.0),
        length_ms: 250,
        foretold: 0.5..=1.0,
        mistaken: 0.0..=0.02,
    },
    PauseCase {
        name: "at any time",
        interval: None,
        length_ms: 120,
        foretold: 0.0..=1.0,
        mistaken: 0.0..=0.005,
    },
];

/// Plays 30 s of 15 requests a second to each of 24 servers; the second half
/// counts.
fn play(case: &PauseCase, seed: u64) -> (f64, f64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut vote = IntervalHistogram::default();
    let mut servers: Vec<PausingServer> = (0..24)
        .map(|_| PausingServer {
            interval: case.interval,
            length: Duration::from_millis(case.length_ms),
            phase: rng.random::<f64>() * case.interval.unwrap_or(1.0),
            book: StallPredictor::default(),
            waiting: Vec::new(),
        })
        .collect();
    let (mut pauses, mut foretold, mut times, mut mistaken) = (0.0, 0.0, 0.0, 0.0);
    for step in 0..30 * 15 {
        for server in &mut servers {
            let jitter = Duration::from_micros(rng.random_range(0..60_000));
            let at = Duration::from_secs(1) + Duration::from_millis(step * 66) + jitter;
            if step > 15 * 15 {
                let expected_wait = server
                    .book
                    .expected_wait(at, Duration::ZERO, vote.interval());
                match server.pause_at(at, &mut rng) {
                    Some(_) => {
                        pauses += 1.0;
                        foretold += f64::from(u8::from(!expected_wait.is_zero()));
                    }
                    None => {
                        times += 1.0;
                        mistaken += f64::from(u8::from(expected_wait > Duration::from_millis(20)));
                    }
                }
            }
            server.ask(at, &mut vote, &mut rng);
        }
    }
    (
        foretold / f64::max(pauses, 1.0),
        mistaken / f64::max(times, 1.0),
    )
}

#[test]
fn pauses_at_an_interval_are_foretold_and_others_are_not() {
    for case in CASES {
        for seed in 0..12 {
            let (foretold, mistaken) = play(case, seed);
            let name = case.name;
            assert!(
                case.foretold.contains(&foretold),
                "{name}, seed {seed}: {foretold}"
            );
            assert!(
                case.mistaken.contains(&mistaken),
                "{name}, seed {seed}: {mistaken}"
            );
        }
    }
}

#[test]
fn a_server_that_pauses_no_more_is_asked_again() {
    let mut vote = IntervalHistogram::default();
    let second = Duration::from_secs(1);
    let mut books = vec![StallPredictor::default(); 12];
    for round in 0..4u32 {
        for (number, book) in books.iter_mut().enumerate() {
            let end = second * 3 * (round + 1) + Duration::from_millis(number as u64 * 90);
            book.record_stall(end - Duration::from_millis(100), end, &mut vote);
        }
    }
    let interval = vote.interval();
    assert!(interval.is_some_and(|found| found.abs_diff(second * 3) < Duration::from_millis(15)));
    let inside = |round: u32| second * 3 * round - Duration::from_millis(60);
    assert!(!books[0].expected_wait(inside(6), WORK, interval).is_zero());
    books[0].record_prompt_start(inside(6), interval);
    assert!(
        !books[0].expected_wait(inside(7), WORK, interval).is_zero(),
        "one may be by chance"
    );
    books[0].record_prompt_start(inside(7), interval);
    assert!(books[0].expected_wait(inside(8), WORK, interval).is_zero());
}
