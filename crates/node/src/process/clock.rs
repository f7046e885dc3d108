//! A monotonic clock that also counts the time during which the machine is
//! suspended.
//!
//! Leases, time-outs and ages also pass at the other end of a connection: at
//! callers, servers and the control group. The usual monotonic clock stops
//! while a machine is suspended, so leases and time-outs would seem not to have
//! expired afterwards. This clock reads `CLOCK_BOOTTIME`, which does not stop.

use std::time::Duration;

use nix::time::{clock_gettime, ClockId};

/// Maximum sleep before something that is due by a [`ProcessClock`]. The
/// system's timers stop during a suspension, so this bounds how long after a
/// suspension an event that became due meanwhile is noticed.
pub const MAX_SLEEP: Duration = Duration::from_millis(200);

/// A clock that starts at zero with the process and includes suspensions.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    /// Reads the time since the machine booted, or a test's time.
    read_time: fn() -> Duration,
    /// Value of `read_time` at the start.
    started_at: Duration,
}

impl ProcessClock {
    /// Starts a clock at zero.
    pub fn start() -> ProcessClock {
        ProcessClock::start_with_source(read_boot_time)
    }

    /// Starts a clock at zero that reads its time from `read_time`; for tests.
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

    /// Returns how long to sleep for an event that is due at `at`: the time
    /// until then, but at most [`MAX_SLEEP`].
    pub fn sleep_time_until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.elapsed()).min(MAX_SLEEP)
    }
}

/// Reads the time since the machine booted, including suspensions.
fn read_boot_time() -> Duration {
    // All Linux systems have this clock, so reading it does not fail.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}
