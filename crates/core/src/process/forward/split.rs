//! Smooth weighted round robin: distributes the requests of a split route over several
//! services by weight.

use rand::Rng;

use crate::version::route_table::WeightedService;

/// Number of positions in the sequence of choices that a scheduler may start at.
const START_POSITIONS: u32 = 1000;

/// Scheduler that keeps each service's share of the requests near its weight's share,
/// even over few requests. The next request goes to the service that is furthest behind
/// its share.
#[derive(Debug, Clone, Default)]
pub struct SplitScheduler {
    /// Weights of the services, in the order of the route's services.
    weights: Vec<f64>,
    /// Requests that each service should have received so far, minus those it received.
    credits: Vec<f64>,
    /// Requests sent to each service since the weights last changed.
    counts: Vec<u64>,
}

impl SplitScheduler {
    /// Creates a scheduler that starts at a random position in its sequence of choices.
    ///
    /// With many entries, each may receive only one or two requests of a route. If all
    /// entries started at the same position, the service with the largest weight would
    /// get nearly all of these requests.
    pub fn with_random_start<R: Rng>(parts: &[WeightedService], rng: &mut R) -> SplitScheduler {
        let mut scheduler = SplitScheduler::default();
        for _ in 0..rng.random_range(0..START_POSITIONS) {
            scheduler.next(parts);
        }
        scheduler.counts.fill(0);
        scheduler
    }

    /// Returns whether the scheduler's current weights equal those of `parts`.
    pub fn uses_weights(&self, parts: &[WeightedService]) -> bool {
        let weights = parts.iter().map(|part| part.weight);
        weights.eq(self.weights.iter().copied())
    }

    /// Chooses the service for the next request, and returns its index in `parts`. Starts
    /// over if the weights have changed.
    pub fn next(&mut self, parts: &[WeightedService]) -> usize {
        if !self.uses_weights(parts) {
            self.weights = parts.iter().map(|part| part.weight).collect();
            self.credits = vec![0.0; parts.len()];
            self.counts = vec![0; parts.len()];
        }
        let sum: f64 = self.weights.iter().sum();
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += weight / sum;
        }
        let mut next = 0;
        for (index, credit) in self.credits.iter().enumerate() {
            if *credit > self.credits[next] {
                next = index;
            }
        }
        self.credits[next] -= 1.0;
        self.counts[next] += 1;
        next
    }

    /// Returns the number of requests sent to each service since the weights last changed,
    /// in the order of `parts`.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }
}
