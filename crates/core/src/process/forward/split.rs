//! Dividing requests over services by weight.

use rand::Rng;

use crate::version::route_table::WeightedService;

/// Places of the sequence that a counter may begin at.
const START_POSITIONS: u32 = 1000;

/// Keeps each service's share of the requests near its weight's, also over
/// short spans: the service that lags most behind its share is next.
#[derive(Debug, Clone, Default)]
pub struct SplitScheduler {
    /// Weights that the credits are for.
    weights: Vec<f64>,
    credits: Vec<f64>,
    /// Requests of each service since the weights last changed.
    counts: Vec<u64>,
}

impl SplitScheduler {
    /// Returns a counter that is somewhere in its sequence, by chance.
    ///
    /// Many entries see a request or two of a route. Did all begin at the same
    /// place, the heaviest service would get nearly all.
    pub fn begin<R: Rng>(parts: &[WeightedService], rng: &mut R) -> SplitScheduler {
        let mut counter = SplitScheduler::default();
        for _ in 0..rng.random_range(0..START_POSITIONS) {
            counter.next(parts);
        }
        counter.counts.fill(0);
        counter
    }

    /// Tells whether the weights are those that it divides by.
    pub fn uses_weights(&self, parts: &[WeightedService]) -> bool {
        let weights = parts.iter().map(|part| part.weight);
        weights.eq(self.weights.iter().copied())
    }

    /// Returns the place of the service for the next request.
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
        let mut best = 0;
        for (index, credit) in self.credits.iter().enumerate() {
            if *credit > self.credits[best] {
                best = index;
            }
        }
        self.credits[best] -= 1.0;
        self.counts[best] += 1;
        best
    }

    /// Returns the requests of each service, in the order of the parts.
    pub fn counts(&self) -> &[u64] {
        &self.counts
    }
}
