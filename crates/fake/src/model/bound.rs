//! The bound on extra load, as the servers' side counts it: in any window, over
//! all entries.

use std::collections::HashMap;
use std::time::Duration;

use wheelmast_core::process::forward::extra::ExtraBound;

/// When requests were made, and when repeats reached the servers of a shard.
#[derive(Debug, Default)]
pub(super) struct BoundWatch {
    requests: Vec<Duration>,
    extras: HashMap<usize, Vec<Duration>>,
}

impl BoundWatch {
    /// Takes note of a try of a caller; all are for all shards.
    pub(super) fn request(&mut self, now: Duration) {
        self.requests.push(now);
    }

    /// Takes note of a repeat.
    pub(super) fn extra(&mut self, shard: usize, now: Duration) {
        self.extras.entry(shard).or_default().push(now);
    }

    /// Returns by how much the bound is exceeded at most, in arrivals; less
    /// than 0 if it never is. The requests are those of the window, of the one
    /// before it, or of the one half a window before, whichever has most.
    pub(super) fn excess(&self, bound: &ExtraBound) -> f64 {
        let shards = self.extras.values();
        let excesses = shards.flat_map(|extras| {
            let starts = extras.iter();
            starts.map(|from| {
                let count = count_in(extras, *from, bound.window);
                count as f64 - self.allowed(bound, *from)
            })
        });
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    fn allowed(&self, bound: &ExtraBound, from: Duration) -> f64 {
        let window = bound.window;
        let starts = [Duration::ZERO, window / 2, window].map(|back| from.checked_sub(back));
        let counts = starts
            .into_iter()
            .flatten()
            .map(|start| count_in(&self.requests, start, window));
        bound.ratio * counts.max().unwrap_or(0) as f64 + bound.slack
    }
}

/// Counts the moments from `from` on within `window`; they are in order.
fn count_in(moments: &[Duration], from: Duration, window: Duration) -> usize {
    let first = moments.partition_point(|at| *at < from);
    let end = moments.partition_point(|at| *at < from + window);
    end - first
}
