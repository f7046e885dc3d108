//! How much work waits at a server, as one of many entries can know it.
//!
//! An entry sees its own sends and, with each answer, the server's own count
//! of what waits there. Between two answers it takes the other entries to send
//! as it does itself. Without that, eight entries that each see one request of
//! their own at a slow server all take it for idle, and together keep it busy
//! for a second.

use std::time::Duration;

/// When a server will have worked off what it has.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerBacklog {
    clear_at: Duration,
    /// Whether something waited there when it last said so.
    is_busy: bool,
}

impl ServerBacklog {
    /// Takes note of an own send that keeps a slot busy for `work`, at a server
    /// of `slots` that `sharers` entries use alike.
    pub fn record_send(&mut self, work: Duration, slots: u32, sharers: u32, now: Duration) {
        let sharers = if self.is_busy { sharers } else { 1 };
        let turn = work.mul_f64(f64::from(sharers) / f64::from(slots.max(1)));
        self.clear_at = self.clear_at.max(now) + turn;
    }

    /// Takes what is known for sure: `waiting` requests, of `work` each.
    pub fn record_report(&mut self, waiting: u32, work: Duration, slots: u32, now: Duration) {
        let turns = f64::from(waiting) / f64::from(slots.max(1));
        self.clear_at = now + work.mul_f64(turns);
        self.is_busy = waiting > 0;
    }

    /// Returns how long a request sent now waits for a slot.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        self.clear_at.saturating_sub(now)
    }
}
