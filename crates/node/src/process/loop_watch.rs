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

/// Interval between two runs of the timer.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time between the due time of the timer and a read that does not
/// count as a delay. A loop that keeps up runs the timer twice within this
/// time.
pub const MAX_PROMPT_DELAY: Duration = Duration::from_millis(100);

/// Measures how late a loop reads its input, by a timer in that loop.
#[derive(Debug)]
pub struct LoopDelayMonitor {
    clock: ProcessClock,
    /// Due time of the latest run of the timer, since the process started.
    due: Cell<Duration>,
    /// Number of timer runs that were late.
    late_count: Cell<u64>,
}

impl LoopDelayMonitor {
    /// Returns a monitor for a loop that is running now and so has no delay.
    pub fn new(clock: ProcessClock) -> LoopDelayMonitor {
        LoopDelayMonitor {
            clock,
            due: Cell::new(clock.elapsed()),
            late_count: Cell::new(0),
        }
    }

    /// Runs the timer until the loop ends. Counts and logs late runs.
    pub async fn run(&self) {
        loop {
            let due = self.clock.elapsed() + ROUND_INTERVAL;
            tokio::time::sleep(ROUND_INTERVAL).await;
            self.due.set(due);
            let late = self.max_read_delay();
            if late > Duration::ZERO {
                self.late_count.set(self.late_count.get() + 1);
                tracing::warn!(target: "entry", late_ms = late.as_millis() as u64, "entry: held up");
            }
        }
    }

    /// Returns the longest time that input read now may have waited unread;
    /// zero if the loop keeps up.
    pub fn max_read_delay(&self) -> Duration {
        let unread = self.clock.elapsed().saturating_sub(self.due.get());
        if unread > MAX_PROMPT_DELAY {
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
