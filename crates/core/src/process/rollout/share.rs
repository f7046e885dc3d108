//! Random selection of the requests that go to a new version as canaries.
//!
//! The bound on canary requests holds for all entries together, and most entries
//! get only a few requests for a service during a roll-out. Each entry therefore
//! selects at random, so that the total is as if one entry selected for all.

use rand::Rng;

/// Fraction of [`CanaryBound::share`] that entries use as probability.
const SHARE_USE: f64 = 0.75;
/// Fraction of [`CanaryBound::slack`] that all entries together use.
const SLACK_USE: f64 = 0.4;
/// Probability that a request is drawn from the slack while some is left.
const SLACK_DRAW_PROBABILITY: f64 = 0.5;

/// Bound on the canary requests of all entries together: requests to a new version
/// that the evaluation has not accepted yet. Set by the operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanaryBound {
    /// Allowed fraction of the service's requests.
    pub share: f64,
    /// Number of requests allowed in addition to that fraction, per roll-out.
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

/// Selects an entry's canary requests in one roll-out.
#[derive(Debug, Clone)]
pub struct CanarySampler {
    /// Probability that a request is a canary when no slack is used.
    sampling_probability: f64,
    /// Number of requests that this entry may still take from the slack.
    slack_left: u32,
}

impl CanarySampler {
    /// Returns a sampler for one of `entries` entries, with an equal part of the
    /// slack. A fractional request is rounded up or down at random, with the
    /// fraction as the probability of rounding up.
    pub fn new<R: Rng>(bound: CanaryBound, entries: u32, rng: &mut R) -> CanarySampler {
        let slack_requests = bound.slack * SLACK_USE / f64::from(entries.max(1));
        let whole_requests = slack_requests.floor();
        let extra_request = u32::from(rng.random::<f64>() < slack_requests - whole_requests);
        CanarySampler {
            sampling_probability: bound.share * SHARE_USE,
            slack_left: whole_requests as u32 + extra_request,
        }
    }

    /// Decides whether the next request goes to the new version. Takes one request
    /// from the slack if the decision uses the slack.
    pub fn should_try_new_version<R: Rng>(&mut self, rng: &mut R) -> bool {
        if self.slack_left > 0 && rng.random::<f64>() < SLACK_DRAW_PROBABILITY {
            self.slack_left -= 1;
            return true;
        }
        rng.random::<f64>() < self.sampling_probability
    }
}
