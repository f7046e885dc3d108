//! The time since a process started.
//!
//! Leases, windows, ages and limits are times at the other end as well: at a
//! caller, a server, a quorum. A machine may be suspended, and the steady clock
//! of the system stands still meanwhile, as if nothing had become old. This one
//! goes on.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// Longest time to sleep for what is due by a [`ProcessClock`]: the system's
/// timers stand still with the steady clock, so that what became due during a
/// suspension is found out so long after it.
pub const MAX_SLEEP: Duration = Duration::from_millis(200);

/// A clock that begins with a process and counts suspensions.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    read_time: fn() -> Duration,
    started_at: Duration,
}

impl ProcessClock {
    /// Returns the clock of a process that starts now.
    pub fn start() -> ProcessClock {
        ProcessClock::start_with_source(read_boot_time)
    }

    /// Returns a clock that starts now and takes its time from elsewhere.
    pub fn start_with_source(read_time: fn() -> Duration) -> ProcessClock {
        ProcessClock {
            read_time,
            started_at: read_time(),
        }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        (self.read_time)().saturating_sub(self.started_at)
    }

    /// Returns how long to sleep at most until something is due at `at`.
    pub fn sleep_time_until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.elapsed()).min(MAX_SLEEP)
    }
}

/// Reads the time since the machine booted, with its suspensions.
fn read_boot_time() -> Duration {
    // Every Linux has this clock, so that reading it cannot fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
