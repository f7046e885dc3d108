//! Estimates the queueing delay at a server from what one entry can observe.
//!
//! An entry knows its own requests and, from the load report in each response,
//! how many requests were waiting at the server. Between two reports it assumes
//! that the other entries send as many requests as it does. Without this
//! assumption, eight entries that each see one request of their own at a slow
//! server all take the server for idle, and together keep it busy for a second.

use std::time::Duration;

/// Estimate of when a server will have worked off its queue.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerBacklog {
    clear_at: Duration,
    /// Whether requests were waiting at the server in its last load report.
    had_queue: bool,
}

impl ServerBacklog {
    /// Records that this entry sent a request that occupies a slot for `service_time`,
    /// at a server with `slots` slots that `entries` entries share.
    pub fn record_send(&mut self, service_time: Duration, slots: u32, entries: u32, now: Duration) {
        let senders = if self.had_queue { entries } else { 1 };
        let delay = service_time.mul_f64(f64::from(senders) / f64::from(slots.max(1)));
        self.clear_at = self.clear_at.max(now) + delay;
    }

    /// Replaces the estimate by a server's load report: `waiting` requests that
    /// take `service_time` each.
    pub fn record_report(
        &mut self,
        waiting: u32,
        service_time: Duration,
        slots: u32,
        now: Duration,
    ) {
        let requests_per_slot = f64::from(waiting) / f64::from(slots.max(1));
        self.clear_at = now + service_time.mul_f64(requests_per_slot);
        self.had_queue = waiting > 0;
    }

    /// Returns how long a request sent now is expected to wait for a slot.
    pub fn expected_wait(&self, now: Duration) -> Duration {
        self.clear_at.saturating_sub(now)
    }
}
