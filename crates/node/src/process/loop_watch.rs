//! Measures how late an event loop reads its input, so that the time a request
//! waited unread counts against its deadline.
//!
//! A loop that lacks processor time, or whose process was stopped, reads late,
//! and a connection does not show by how much. But the loop handles its events
//! in the order in which they came, including its own timers. So input that is
//! read now arrived after the due time of the latest timer that has run.

use std::cell::Cell;
use std::time::Duration;

use crate::process::clock::ProcessClock;

/// Interval between two runs of the timer, unless another one is given.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time between the due time of the timer and a read that does not
/// count as a delay. A loop that keeps up runs the timer twice within this
/// time.
pub const MAX_PROMPT_DELAY: Duration = Duration::from_millis(100);
/// Minimum delay during which connections may have queued up for longer than
/// [`LoopDelayMonitor::earliest_opening`] otherwise allows for.
const MIN_QUEUE_DELAY: Duration = Duration::from_millis(400);
/// Time after such a delay in which connections that were opened during the delay
/// may still wait to be accepted.
const QUEUE_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Measures how late a loop reads its input, by a timer in that loop.
#[derive(Debug)]
pub struct LoopDelayMonitor {
    clock: ProcessClock,
    /// Interval between two runs of the timer.
    interval: Duration,
    /// Due time of the latest run of the timer, since the process started.
    due: Cell<Duration>,
    /// When the timer ran for the last time, and for the time before that.
    last_runs: Cell<[Duration; 2]>,
    /// The latest delay of [`MIN_QUEUE_DELAY`] or more.
    last_long_delay: Cell<Option<LoopDelay>>,
    /// Number of timer runs that were late.
    late_count: Cell<u64>,
}

/// A time in which a loop read no input, since the process started.
#[derive(Debug, Clone, Copy)]
struct LoopDelay {
    began_at: Duration,
    ended_at: Duration,
}

impl LoopDelayMonitor {
    /// Returns a monitor for a loop that is running now and so has no delay.
    pub fn new(clock: ProcessClock) -> LoopDelayMonitor {
        LoopDelayMonitor::with_interval(clock, ROUND_INTERVAL)
    }

    /// Returns a monitor like [`LoopDelayMonitor::new`] whose timer has another
    /// interval. Delays up to twice the interval don't count.
    pub fn with_interval(clock: ProcessClock, interval: Duration) -> LoopDelayMonitor {
        LoopDelayMonitor {
            clock,
            interval,
            due: Cell::new(clock.elapsed()),
            last_runs: Cell::new([clock.elapsed(); 2]),
            last_long_delay: Cell::new(None),
            late_count: Cell::new(0),
        }
    }

    /// Runs the timer until the loop ends. Counts late runs and passes their delays to
    /// `log_delay`.
    pub async fn run(&self, log_delay: impl Fn(Duration)) {
        loop {
            let due = self.clock.elapsed() + self.interval;
            tokio::time::sleep(self.interval).await;
            self.due.set(due);
            let [previous_run, _] = self.last_runs.get();
            self.last_runs.set([self.now(), previous_run]);
            let late = self.max_read_delay();
            if late > Duration::ZERO {
                self.late_count.set(self.late_count.get() + 1);
                self.record_delay(previous_run);
                log_delay(late);
            }
        }
    }

    /// Records a delay that ends now and began after `previous_run`, if it was long. One
    /// that follows another before its queue was drained extends it.
    fn record_delay(&self, previous_run: Duration) {
        let ended_at = self.now();
        if ended_at < previous_run + MIN_QUEUE_DELAY {
            return;
        }
        let began_at = self.undrained_since().unwrap_or(previous_run);
        self.last_long_delay
            .set(Some(LoopDelay { began_at, ended_at }));
    }

    /// Returns when the latest long delay began, if connections that were opened during it
    /// may still wait to be accepted.
    fn undrained_since(&self) -> Option<Duration> {
        let delay = self.last_long_delay.get()?;
        (self.now() < delay.ended_at + QUEUE_DRAIN_TIME).then_some(delay.began_at)
    }

    /// Returns the longest time that input read now may have waited unread;
    /// zero if the loop keeps up.
    pub fn max_read_delay(&self) -> Duration {
        let unread = self.clock.elapsed().saturating_sub(self.due.get());
        if unread > self.interval * 2 {
            unread
        } else {
            Duration::ZERO
        }
    }

    /// Returns the earliest time at which input read now may have arrived,
    /// since the process started.
    pub fn earliest(&self) -> Duration {
        self.now().saturating_sub(self.max_read_delay())
    }

    /// Returns the earliest time at which a connection accepted now may have been
    /// opened, since the process started.
    pub fn earliest_opening(&self) -> Duration {
        // The loop may run its timer before it accepts the connections that came earlier,
        // but it accepts these before the timer runs again.
        let [_, run_before_last] = self.last_runs.get();
        self.undrained_since().unwrap_or(run_before_last)
    }

    /// Returns the due time of the latest run of the timer, since the process
    /// started. Input that had arrived by then has been read.
    pub fn last_due(&self) -> Duration {
        self.due.get()
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns how many runs of the timer were late.
    pub fn late_rounds(&self) -> u64 {
        self.late_count.get()
    }
}
