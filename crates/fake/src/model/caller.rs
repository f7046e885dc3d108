//! A caller: its tries and what it waits for.

use std::time::Duration;

use wheelmast_core::request::mark::RequestFingerprint;

/// Time between a caller's failure and its next try, if it is not told when to
/// come back.
pub(super) const PRESS_TIME: Duration = Duration::from_millis(2);
/// Most of the time left that a caller lets pass before it comes back.
const LONGEST_RETURN: u32 = 3;

/// A caller of a play.
#[derive(Debug)]
pub(super) struct ModelCaller {
    pub(super) kind: usize,
    /// What it asks for, and who asks.
    pub(super) mark: RequestFingerprint,
    /// Place among the requests that end servers, if it is one.
    pub(super) deadly: Option<usize>,
    /// When it first came.
    pub(super) came: Duration,
    /// Until when it waits.
    pub(super) until: Duration,
    /// Tries that it may still make.
    pub(super) tries_left: u32,
    /// Whether it came back after a refusal.
    pub(super) came_back: bool,
}

impl ModelCaller {
    pub(super) fn new(
        kind: usize,
        mark: RequestFingerprint,
        now: Duration,
        limit: Duration,
    ) -> ModelCaller {
        ModelCaller {
            kind,
            mark,
            deadly: None,
            came: now,
            until: now + limit,
            tries_left: 2,
            came_back: false,
        }
    }

    /// Returns when it tries again, if it does.
    pub(super) fn next_try(&self, told: Option<Duration>, now: Duration) -> Option<Duration> {
        let left = self.until.saturating_sub(now);
        if self.tries_left == 0 || left.is_zero() {
            return None;
        }
        let wait = told.map_or(PRESS_TIME, |told| told.min(left / LONGEST_RETURN));
        Some(now + wait)
    }
}
