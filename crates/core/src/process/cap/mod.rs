//! Usage caps: limits on the request rate of a workspace, enforced across all
//! entries together by a distributed token bucket.
//!
//! Each request of a capped workspace costs a token. The leader of the control
//! group holds the bucket ([`owner::CapOwner`]), each control instance holds a small
//! stock of tokens ([`stock::CapStock`]), and an entry requests tokens from one
//! control instance, its source ([`lease::CapLease`]). The excess over the cap that
//! [`CapBound`] permits is divided into fixed fractions: a larger bucket at the
//! leader, unused stock at control instances, and tokens that control instances
//! grant while they cannot reach the leader.

pub mod lease;
pub mod owner;
pub mod stock;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::workspace::UsageCap;

/// Fraction of the excess by which the owner's bucket is larger than the cap.
/// The bucket must be larger because requests do not reach the owner in the order
/// in which callers sent them.
const OWNER_FRACTION: f64 = 0.4;
/// Fraction of the excess that control instances hold as unused stock.
const STOCK_FRACTION: f64 = 0.3;
/// Fraction of the excess that control instances grant without the leader.
const LEADERLESS_FRACTION: f64 = 0.2;

/// Upper bound on how far a workspace's requests can exceed its cap in any window,
/// summed over all entries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapBound {
    /// Permitted excess as a fraction of what the cap allows in a window.
    pub excess: f64,
    /// Permitted excess in requests per window, in addition to the fraction.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for CapBound {
    fn default() -> Self {
        CapBound {
            excess: 0.1,
            slack: 0.0,
            window: Duration::from_secs(5),
        }
    }
}

impl CapBound {
    /// Returns the number of requests by which a window can exceed the cap.
    fn max_excess(&self, cap: UsageCap) -> f64 {
        let allowed = cap.per_s * self.window.as_secs_f64() + cap.burst;
        allowed * self.excess + self.slack
    }

    /// Returns the enlarged cap that the owner enforces.
    fn owner_cap(&self, cap: UsageCap) -> UsageCap {
        let factor = 1.0 + self.excess * OWNER_FRACTION;
        UsageCap {
            per_s: cap.per_s * factor,
            burst: cap.burst * factor + self.slack * OWNER_FRACTION,
        }
    }

    /// Returns the maximum stock of tokens of one of `instances` control instances.
    fn max_stock(&self, cap: UsageCap, instances: u32) -> u32 {
        let stock = self.max_excess(cap) * STOCK_FRACTION;
        (stock / f64::from(instances.max(1))) as u32
    }

    /// Returns the number of tokens that one of `instances` control instances can
    /// grant per window without the leader.
    fn leaderless_allowance(&self, cap: UsageCap, instances: u32) -> f64 {
        self.max_excess(cap) * LEADERLESS_FRACTION / f64::from(instances.max(1))
    }
}

/// Request for tokens, from an entry to its control instance or from a control
/// instance to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Name of the workspace.
    pub workspace: Box<str>,
    /// Number of requests that are waiting for a token.
    pub waiting: u32,
    /// Number of tokens requested in advance, for future requests.
    pub ahead: u32,
}

/// Reply to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Number of tokens granted.
    pub tokens: u32,
    /// Time after which refused requests can be retried, in milliseconds, if fewer
    /// tokens were granted than requests are waiting; else 0.
    pub retry_ms: u32,
}
