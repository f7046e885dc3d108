//! Dividing requests over services by weight.

use crate::version::route_table::WeightedService;

/// Keeps each service's share of the requests near its weight's, also over
/// short spans: the service that lags most behind its share is next.
#[derive(Debug, Clone, Default)]
pub struct SplitCounter {
    credits: Vec<f64>,
    /// Requests of each service since the parts were last others in number.
    counts: Vec<u64>,
}

impl SplitCounter {
    /// Returns the place of the service for the next request.
    pub fn next(&mut self, parts: &[WeightedService]) -> usize {
        if self.credits.len() != parts.len() {
            self.credits = vec![0.0; parts.len()];
            self.counts = vec![0; parts.len()];
        }
        let sum: f64 = parts.iter().map(|part| part.weight).sum();
        for (credit, part) in self.credits.iter_mut().zip(parts) {
            *credit += part.weight / sum;
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
