//! Limits how often an event is logged that clients can cause at any rate.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Minimum time between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts events, and lets a line with their number be logged once a second at most.
#[derive(Debug, Default)]
pub struct LogLimit {
    unlogged: AtomicU64,
    last_logged: Mutex<Option<Instant>>,
}

impl LogLimit {
    /// Counts an event. Calls `log` with the number of events since the last line, if one is
    /// due.
    pub fn count(&self, log: impl FnOnce(u64)) {
        let count = self.unlogged.fetch_add(1, Ordering::Relaxed) + 1;
        let mut last_logged = self
            .last_logged
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_logged.is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
            return;
        }
        *last_logged = Some(Instant::now());
        self.unlogged.store(0, Ordering::Relaxed);
        log(count);
    }
}
