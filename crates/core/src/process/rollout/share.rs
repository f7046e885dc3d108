//! Which requests try a new version.
//!
//! The bound holds for all entries together, and most of them see a service a
//! few times in a roll-out. Each draws by chance, so that the sum comes out as
//! if one had drawn for all.

use rand::Rng;

/// Part of the bound's share that requests draw.
const SHARE_USE: f64 = 0.75;
/// Part of the bound's slack that all entries together try first.
const SLACK_USE: f64 = 0.4;
/// Part of the first requests that try the new version while the slack lasts.
const SLACK_DRAW_PROBABILITY: f64 = 0.5;

/// The bound on requests to a new version that is not proved good, over all
/// entries, as the operator sets it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanaryBound {
    /// Part of the service's requests.
    pub share: f64,
    /// Requests besides.
    pub slack: f64,
}

impl Default for CanaryBound {
    fn default() -> Self {
        CanaryBound {
            share: 0.05,
            slack: 0.0,
        }
    }
}

/// An entry's part of the bound, in one roll-out.
#[derive(Debug, Clone)]
pub struct CanarySampler {
    sampling_probability: f64,
    slack_left: u32,
}

impl CanarySampler {
    /// Returns the part of one of `entries`. What is no whole request falls to
    /// some of them, by chance.
    pub fn new<R: Rng>(bound: CanaryBound, entries: u32, rng: &mut R) -> CanarySampler {
        let slack_requests = bound.slack * SLACK_USE / f64::from(entries.max(1));
        let whole_requests = slack_requests.floor();
        let extra_request = u32::from(rng.random::<f64>() < slack_requests - whole_requests);
        CanarySampler {
            sampling_probability: bound.share * SHARE_USE,
            slack_left: whole_requests as u32 + extra_request,
        }
    }

    /// Tells whether the next request tries the new version.
    pub fn should_try_new_version<R: Rng>(&mut self, rng: &mut R) -> bool {
        if self.slack_left > 0 && rng.random::<f64>() < SLACK_DRAW_PROBABILITY {
            self.slack_left -= 1;
            return true;
        }
        rng.random::<f64>() < self.sampling_probability
    }
}
