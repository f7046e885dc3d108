//! Token bucket that limits extra subqueries (hedges and retries) to a
//! fraction of the first sends.

/// Capacity of the bucket in tokens, and its level at the start.
///
/// 10 tokens cover the first failures of a service with little traffic and are
/// few compared with the subqueries of a busy service.
pub const BUDGET_BURST: f64 = 10.0;

/// Number of tokens that hedges must leave in the bucket for retries.
///
/// A hedge only makes an answer faster, but a retry makes it complete, so
/// retries have priority when few tokens are left.
pub const HEDGE_RESERVE: f64 = 5.0;

/// Token bucket of one service: each first send of a shard adds a fraction of a
/// token, and each hedge or retry costs one token.
///
/// Over any period, the number of extra sends is at most `extra_load` times the
/// number of first sends, plus [`BUDGET_BURST`].
#[derive(Debug, Clone)]
pub struct ExtraBudget {
    tokens: f64,
}

impl Default for ExtraBudget {
    fn default() -> Self {
        ExtraBudget {
            tokens: BUDGET_BURST,
        }
    }
}

impl ExtraBudget {
    /// Adds `extra_load` tokens (the service's setting) for one first send.
    pub fn add_send_credit(&mut self, extra_load: f64) {
        self.tokens = (self.tokens + extra_load).min(BUDGET_BURST);
    }

    /// Returns whether the bucket holds a token for a retry.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Returns whether the bucket holds a token for a hedge besides the
    /// [`HEDGE_RESERVE`].
    pub fn allows_hedge(&self) -> bool {
        self.tokens >= 1.0 + HEDGE_RESERVE
    }

    /// Removes one token for an extra send. Returns false if there is none.
    pub fn try_spend(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
