//! Usage caps of workspaces, which all entries keep together.
//!
//! A request of a capped workspace costs a token. The leader of the control
//! group owns the tokens ([`owner::CapOwner`]); each control instance holds a
//! few for the entries that it is the source of ([`stock::CapStock`]), and an
//! entry asks its source ([`lease::CapLease`]). What stands above the cap in the
//! operator's bound ([`CapBound`]) is divided in fixed parts: tokens that lie
//! unused at control instances, and what these give out while they can't reach
//! the leader.

pub mod lease;
pub mod owner;
pub mod stock;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::version::workspace::UsageCap;

/// Part of the excess by which the owner's bucket is larger than the cap. The
/// order in which requests reach the owner is not that in which callers sent
/// them.
const OWNER_FRACTION: f64 = 0.4;
/// Part of the excess that lies unused at control instances.
const STOCK_FRACTION: f64 = 0.3;
/// Part of the excess that control instances give out without the leader.
const LEADERLESS_FRACTION: f64 = 0.2;

/// How far the requests of a workspace may exceed its cap in any window, all
/// entries taken together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapBound {
    /// Part of what the cap allows in a window.
    pub excess: f64,
    /// Requests in a window besides.
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
    /// Returns the requests beyond the cap that a window may have.
    fn max_excess(&self, cap: UsageCap) -> f64 {
        let allowed = cap.per_s * self.window.as_secs_f64() + cap.burst;
        allowed * self.excess + self.slack
    }

    /// Returns the cap that the owner keeps to.
    fn owner_cap(&self, cap: UsageCap) -> UsageCap {
        let times = 1.0 + self.excess * OWNER_FRACTION;
        UsageCap {
            per_s: cap.per_s * times,
            burst: cap.burst * times + self.slack * OWNER_FRACTION,
        }
    }

    /// Returns the most tokens that one of `instances` control instances holds.
    fn max_stock(&self, cap: UsageCap, instances: u32) -> u32 {
        let part = self.max_excess(cap) * STOCK_FRACTION;
        (part / f64::from(instances.max(1))) as u32
    }

    /// Returns what one of `instances` control instances gives out in a window
    /// without the leader.
    fn floor(&self, cap: UsageCap, instances: u32) -> f64 {
        self.max_excess(cap) * LEADERLESS_FRACTION / f64::from(instances.max(1))
    }
}

/// What is asked of whoever holds tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// The workspace.
    pub workspace: Box<str>,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens that are asked for in advance.
    pub ahead: u32,
}

/// The answer to a [`TokenRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenGrant {
    /// Tokens granted.
    pub tokens: u32,
    /// Time until there is another one, in milliseconds, if fewer were granted
    /// than wait.
    pub retry_ms: u32,
}
