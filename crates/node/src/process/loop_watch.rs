//! How long what comes to a loop may lie unread.
//!
//! A loop whose processor is short, or whose process was stopped, reads late,
//! and nothing on a connection tells by how much. But a loop takes what comes
//! in the order in which it came, its own timers among it: what is read now
//! came after the last of them was due that has run.

use std::cell::Cell;
use std::time::Duration;

use crate::process::clock::ProcessClock;

/// Time from one round to the next.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between a round's due time and what is read that counts as
/// none: two rounds of a loop that keeps up are no further apart.
const MAX_PROMPT_DELAY: Duration = Duration::from_millis(100);

/// Watches how late a loop is.
#[derive(Debug)]
pub struct LoopDelayMonitor {
    clock: ProcessClock,
    /// When the last round that has run was due.
    due: Cell<Duration>,
    late_count: Cell<u64>,
}

impl LoopDelayMonitor {
    /// Returns a watch of a loop that has just run.
    pub fn new(clock: ProcessClock) -> LoopDelayMonitor {
        LoopDelayMonitor {
            clock,
            due: Cell::new(clock.elapsed()),
            late_count: Cell::new(0),
        }
    }

    /// Makes the rounds, until the loop ends.
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

    /// Returns how long what is read now may have lain unread; zero of a loop
    /// that keeps up.
    pub fn max_read_delay(&self) -> Duration {
        let unread = self.clock.elapsed().saturating_sub(self.due.get());
        if unread > MAX_PROMPT_DELAY {
            unread
        } else {
            Duration::ZERO
        }
    }

    /// Returns when what is read now may have come at the earliest, since the
    /// process started.
    pub fn earliest(&self) -> Duration {
        self.now().saturating_sub(self.max_read_delay())
    }

    /// Returns when the last round that has run was due: what was there by then
    /// has been read.
    pub fn last_due(&self) -> Duration {
        self.due.get()
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.elapsed()
    }

    /// Returns how often a round came late.
    pub fn late_rounds(&self) -> u64 {
        self.late_count.get()
    }
}
