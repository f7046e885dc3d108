//! Timers of the entry machine, in one heap.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::arena::SlotKey;

/// What a timer is for. A timer of a query that has ended is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum TimerPurpose {
    /// The query's time is over.
    Deadline(SlotKey),
    /// A partial answer may go out.
    Partial(SlotKey),
    /// Outstanding attempts are looked over for hedges and timeouts.
    Sweep(SlotKey),
}

/// A heap of timers, each with its purpose.
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
    /// Sets a timer for time `at`.
    pub fn set(&mut self, at: Duration, purpose: P) {
        self.heap.push(Reverse((at, purpose)));
    }

    /// Takes a timer that is due, if any.
    pub fn take_due(&mut self, now: Duration) -> Option<P> {
        let Reverse((at, _)) = self.heap.peek()?;
        if *at > now {
            return None;
        }
        self.heap.pop().map(|Reverse((_, purpose))| purpose)
    }

    /// Returns when the next timer is due.
    pub fn next(&self) -> Option<Duration> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }
}
