//! Min-heap of timers, ordered by due time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::arena::SlotKey;

/// Reason for which a timer of the entry machine was set. Timers are not removed
/// when their query ends; the machine ignores them when they fire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerPurpose {
    /// The query's deadline passes.
    Deadline(SlotKey),
    /// The query may be answered with some shards missing.
    Partial(SlotKey),
    /// The query's outstanding attempts are checked for hedges and timeouts.
    Sweep(SlotKey),
}

/// Min-heap of timers, each with a purpose `P` that is returned when due.
#[derive(Debug)]
pub struct TimerHeap<P = TimerPurpose> {
    heap: BinaryHeap<Reverse<(Duration, P)>>,
}

impl<P: Ord> Default for TimerHeap<P> {
    fn default() -> Self {
        TimerHeap {
            heap: BinaryHeap::new(),
        }
    }
}

impl<P: Ord> TimerHeap<P> {
    /// Adds a timer that is due at `at`.
    pub fn set(&mut self, at: Duration, purpose: P) {
        self.heap.push(Reverse((at, purpose)));
    }

    /// Removes the earliest timer if it is due, and returns its purpose.
    pub fn take_due(&mut self, now: Duration) -> Option<P> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, purpose))| purpose)
    }

    /// Returns the due time of the earliest timer.
    pub fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
