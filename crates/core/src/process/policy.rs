//! How one server is chosen out of those that could be asked.

use rand::rngs::SmallRng;
use rand::Rng;

use crate::arena::ServerKey;

/// A server that could be asked now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteCandidate {
    /// The server.
    pub server: ServerKey,
    /// Expected time to a reply in microseconds.
    pub cost: f32,
    /// Subqueries this instance has outstanding there.
    pub outstanding: u32,
}

/// How servers are chosen, and which defences are on.
pub trait RoutePolicy {
    /// Returns the index of the candidate to ask. There is at least one.
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize;

    /// Whether any defence is on; each can be switched off by itself as well.
    fn uses_defenses(&self) -> bool {
        true
    }

    /// Whether slow attempts are hedged.
    fn hedges(&self) -> bool {
        self.uses_defenses()
    }

    /// Whether failing and slow servers are ejected.
    fn ejects(&self) -> bool {
        self.uses_defenses()
    }

    /// Whether a partial answer may go out before the deadline.
    fn answers_early(&self) -> bool {
        self.uses_defenses()
    }
}

/// The lowest expected cost, with a little chance among near equals, so that
/// instances that know the same do not all choose the same.
#[derive(Debug, Clone, Copy, Default)]
pub struct LowestCostPolicy {
    /// Switches hedging off, to measure what it brings.
    pub disable_hedging: bool,
    /// Switches ejection off, to measure what it brings.
    pub disable_ejection: bool,
}

/// Largest part by which chance changes a cost.
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

/// Any server, no hedge, no ejection, wait for all: the baseline.
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

/// The server with the fewest own subqueries outstanding; no other defence.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOutstanding;

impl RoutePolicy for LeastOutstanding {
    fn choose(&mut self, candidates: &[RouteCandidate], rng: &mut SmallRng) -> usize {
        let start = rng.random_range(0..candidates.len());
        let turned = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        turned
            .min_by_key(|index| candidates[*index].outstanding)
            .unwrap_or(0)
    }

    fn uses_defenses(&self) -> bool {
        false
    }
}

/// The better of two servers drawn at random; no other defence.
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
