//! When a server will pause.
//!
//! Load that is met: servers that stand still for a moment at a fixed interval,
//! each at its own time. A request that comes in a pause waits for its end, and
//! nothing tells it beforehand but the pauses before. A pause is as long as an
//! objective, and of 90 shards four pause at any time.
//!
//! An answer that is late by more than work and queue explain says when a pause
//! ended. The interval is the same for servers of a kind, so all of them vote
//! on it; the time of its pauses is each server's own. A forecast is used once
//! three pauses of a server agree, and dropped when two in a row do not come: a
//! false one costs the bytes of a far answer, a missing one the part. Measured on
//! 15 plays of a deployment with pauses of 120 ms in 3 s: 0.652 of the worth where
//! they are noticed, 0.651 where two agree, as late answers for other reasons were
//! taken for pauses on the heaviest day, 0.657 where three do.

use std::time::Duration;

use arrayvec::ArrayVec;

/// Least and longest interval that is looked for.
const INTERVALS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(15));
/// Width of a place of the vote. Ends of pauses are known to some milliseconds
/// of work.
const VOTE_STEP: Duration = Duration::from_millis(20);
/// Places of the vote.
const VOTE_PLACES: usize = 750;
/// Least votes for an interval, with those beside it.
const LEAST_VOTES: u32 = 10;
/// How many times the mean of all places it must have: late answers for other
/// reasons spread over all.
const VOTE_TIMES: f64 = 20.0;
/// By how much the end of a pause may be off what was foretold.
const END_SPREAD: Duration = Duration::from_millis(40);
/// Ends of pauses that are remembered of a server.
const KEPT_ENDS: usize = 5;
/// Earlier pauses that must agree with the last one. Late answers for other
/// reasons agree with one in twelve of those before by chance.
const LEAST_AGREEING: usize = 2;
/// Pauses in a row that do not come, after which a forecast is dropped.
const MOST_MISSES: u32 = 2;
/// Time beyond which an answer is late by a pause and not by its work.
pub(super) const MIN_STALL: Duration = Duration::from_millis(15);
/// Longest delay that is taken for a pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(600);

/// How pauses are met.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StallStrategy {
    /// They are noticed, by the age of the oldest request without an answer.
    Reactive,
    /// They are foretold where they come at an interval, else noticed.
    #[default]
    Predictive,
}

impl StallStrategy {
    /// Names of the ways in the settings.
    pub const NAMES: [&'static str; 2] = ["noticed", "foretold"];

    /// Returns the way of a name; the usual one if there is none of that name.
    pub fn from_name(word: &str) -> StallStrategy {
        match word {
            "noticed" => StallStrategy::Reactive,
            _ => StallStrategy::Predictive,
        }
    }
}

/// The votes for intervals of about the same length.
#[derive(Debug, Clone, Copy, Default)]
struct VotePlace {
    votes: u32,
    /// Their sum, in seconds: their mean is the interval.
    sum: f64,
}

/// The vote of all servers on the interval of their pauses.
#[derive(Debug, Clone)]
pub struct IntervalHistogram {
    places: Vec<VotePlace>,
    votes: u32,
    found: Option<Duration>,
}

impl Default for IntervalHistogram {
    fn default() -> Self {
        IntervalHistogram {
            places: vec![VotePlace::default(); VOTE_PLACES],
            votes: 0,
            found: None,
        }
    }
}

impl IntervalHistogram {
    /// Returns the interval, once it is known.
    pub fn interval(&self) -> Option<Duration> {
        self.found
    }

    fn add(&mut self, between: Duration) {
        if between < INTERVALS.0 || between >= INTERVALS.1 {
            return;
        }
        let place = (between.as_millis() / VOTE_STEP.as_millis()) as usize;
        self.places[place].votes += 1;
        self.places[place].sum += between.as_secs_f64();
        self.votes += 1;
        let votes = self.around(place);
        let mean = f64::from(self.votes) / VOTE_PLACES as f64;
        if votes < LEAST_VOTES || f64::from(votes) < mean * 3.0 * VOTE_TIMES {
            return;
        }
        let best = self.found.map_or(0, |found| self.around(place_of(found)));
        if votes >= best {
            self.found = Some(self.centre(place));
        }
    }

    /// Returns the votes of a place and those beside it.
    fn around(&self, place: usize) -> u32 {
        self.beside(place).iter().map(|place| place.votes).sum()
    }

    /// Returns the mean of the votes of a place and those beside it.
    fn centre(&self, place: usize) -> Duration {
        let sum: f64 = self.beside(place).iter().map(|place| place.sum).sum();
        Duration::from_secs_f64(sum / f64::from(self.around(place).max(1)))
    }

    fn beside(&self, place: usize) -> &[VotePlace] {
        let to = (place + 2).min(VOTE_PLACES);
        &self.places[place.saturating_sub(1)..to]
    }
}

fn place_of(interval: Duration) -> usize {
    (interval.as_millis() / VOTE_STEP.as_millis()) as usize
}

/// What is known of one server's pauses.
#[derive(Debug, Clone, Default)]
pub struct StallPredictor {
    /// Ends of its last pauses, oldest first.
    ends: ArrayVec<Duration, KEPT_ENDS>,
    /// The longest wait for one of these.
    length: Duration,
    misses: u32,
}

impl StallPredictor {
    /// Takes a request that came to the server at `came` and was worked on from
    /// `begun`, later than anything but a pause explains.
    pub fn record_stall(&mut self, came: Duration, begun: Duration, vote: &mut IntervalHistogram) {
        let delay = begun.saturating_sub(came);
        if delay < MIN_STALL || delay > LONGEST_PAUSE {
            return;
        }
        let last = self.ends.last().copied();
        if last.is_some_and(|last| begun < last + END_SPREAD) {
            // Another request of the same pause.
            self.length = self.length.max(delay);
            return;
        }
        if let Some(last) = last {
            vote.add(begun - last);
        }
        let is_due = vote
            .interval()
            .is_some_and(|interval| last.is_some_and(|last| is_multiple(begun - last, interval)));
        if is_due {
            self.misses = 0;
            self.length = self.length.max(delay);
        } else {
            self.length = delay;
        }
        if self.ends.is_full() {
            self.ends.remove(0);
        }
        self.ends.push(begun);
    }

    /// Takes a request that was worked on at once at `begun`: no pause was there.
    pub fn record_prompt_start(&mut self, begun: Duration, interval: Option<Duration>) {
        let Some(end) = self.next_end(begun, interval) else {
            return;
        };
        let start = end.saturating_sub(self.length.mul_f64(0.8));
        let is_inside = begun > start && begun + END_SPREAD / 2 < end;
        if !is_inside {
            return;
        }
        self.misses += 1;
        if self.misses >= MOST_MISSES {
            *self = StallPredictor::default();
        }
    }

    /// Returns how long a request waits for a pause that comes to the server at
    /// `at` and takes `work`.
    pub fn expected_wait(
        &self,
        at: Duration,
        work: Duration,
        interval: Option<Duration>,
    ) -> Duration {
        let Some(end) = self.next_end(at, interval) else {
            return Duration::ZERO;
        };
        let start = end.saturating_sub(self.length);
        if at + work < start {
            return Duration::ZERO;
        }
        end.saturating_sub(at)
    }

    /// Returns the end of the pause that is at `at` or comes next, if that is
    /// known.
    fn next_end(&self, at: Duration, interval: Option<Duration>) -> Option<Duration> {
        let interval = interval?;
        let (last, before) = self.ends.split_last()?;
        let agreeing = before
            .iter()
            .filter(|end| is_multiple(*last - **end, interval));
        if agreeing.count() < LEAST_AGREEING || at < *last {
            return None;
        }
        let times = ((at - *last).as_secs_f64() / interval.as_secs_f64()).ceil();
        Some(*last + interval.mul_f64(times))
    }
}

/// Tells whether a time is about a multiple of the interval.
fn is_multiple(time: Duration, interval: Duration) -> bool {
    let times = (time.as_secs_f64() / interval.as_secs_f64()).round();
    let off = time.as_secs_f64() - times * interval.as_secs_f64();
    times >= 1.0 && off.abs() <= END_SPREAD.as_secs_f64()
}
