//! Load-balancing policies: how one server is chosen among the candidates for a
//! shard, and which defenses against slow and failing servers are on.

use rand::rngs::SmallRng;
use rand::Rng;

use crate::arena::ServerKey;

/// A server that can get the subquery now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteCandidate {
    /// Key of the server.
    pub server: ServerKey,
    /// Estimated time to a reply in microseconds.
    pub cost: f32,
    /// Number of subqueries that this instance has outstanding at the server.
    pub outstanding: u32,
}

/// Strategy that chooses servers, and switches of the defenses.
pub trait RoutePolicy {
    /// Returns the index of the candidate that gets the subquery. `candidates` is
    /// not empty.
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize;

    /// Returns whether the defenses are on by default. Each defense below can be
    /// switched off separately.
    fn uses_defenses(&self) -> bool {
        true
    }

    /// Returns whether slow attempts are hedged.
    fn hedges(&self) -> bool {
        self.uses_defenses()
    }

    /// Returns whether failing and slow servers are ejected.
    fn ejects(&self) -> bool {
        self.uses_defenses()
    }

    /// Returns whether a partial answer can be sent before the deadline.
    fn answers_early(&self) -> bool {
        self.uses_defenses()
    }
}

/// Chooses the server with the lowest estimated cost after adding random jitter.
/// The jitter keeps instances with the same knowledge from all choosing the same
/// server. This is the policy used in production.
#[derive(Debug, Clone, Copy, Default)]
pub struct LowestCostPolicy {
    /// Switches hedging off, to measure the effect of hedging.
    pub disable_hedging: bool,
    /// Switches ejection off, to measure the effect of ejection.
    pub disable_ejection: bool,
}

/// Maximum random increase of a cost, as a fraction of the cost.
const COST_JITTER: f32 = 0.2;

impl RoutePolicy for LowestCostPolicy {
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize {
        let mut best = (0, f32::INFINITY);
        for (index, candidate) in candidates.iter().enumerate() {
            let cost = candidate.cost * (1.0 + COST_JITTER * rng.random::<f32>());
            if cost < best.1 {
                best = (index, cost);
            }
        }
        best.0
    }

    fn hedges(&self) -> bool {
        !self.disable_hedging
    }

    fn ejects(&self) -> bool {
        !self.disable_ejection
    }
}

/// Chooses a random server and uses no defenses; the baseline for comparisons.
#[derive(Debug, Clone, Copy, Default)]
pub struct RandomChoice;

impl RoutePolicy for RandomChoice {
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize {
        rng.random_range(0..candidates.len())
    }

    fn uses_defenses(&self) -> bool {
        false
    }
}

/// Chooses the server with the fewest subqueries of this instance outstanding,
/// without other defenses.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOutstanding;

impl RoutePolicy for LeastOutstanding {
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize {
        let start = rng.random_range(0..candidates.len());
        let rotated = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        rotated
            .min_by_key(|index| candidates[*index].outstanding)
            .unwrap_or(0)
    }

    fn uses_defenses(&self) -> bool {
        false
    }
}

/// Chooses the cheaper of two random servers (power of two choices), without
/// other defenses.
#[derive(Debug, Clone, Copy, Default)]
pub struct TwoChoices;

impl RoutePolicy for TwoChoices {
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize {
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        if candidates[first].cost <= candidates[second].cost {
            first
        } else {
            second
        }
    }

    fn uses_defenses(&self) -> bool {
        false
    }
}
