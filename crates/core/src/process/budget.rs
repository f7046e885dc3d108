//! The budget for extra subqueries: hedges and retries.

/// Most tokens a budget holds, and what it starts with.
///
/// Enough to carry the first failures of a service that is asked rarely, and
/// small beside the subqueries of one that is asked often.
pub const BUDGET_BURST: f64 = 10.0;

/// Tokens that hedges leave to retries.
///
/// A hedge makes an answer sooner, a retry makes it whole: with few tokens
/// left the retry goes first.
pub const HEDGE_RESERVE: f64 = 5.0;

/// A token bucket that is filled by first sends and spent by extra ones.
///
/// Over any time, extra sends are at most `extra_load` times the first sends,
/// plus [`BUDGET_BURST`].
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
    /// Adds what one first send earns.
    pub fn add_send_credit(&mut self, extra_load: f64) {
        self.tokens = (self.tokens + extra_load).min(BUDGET_BURST);
    }

    /// Tells whether there is a token for a retry.
    pub fn allows_retry(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Tells whether there is a token for a hedge.
    pub fn allows_hedge(&self) -> bool {
        self.tokens >= 1.0 + HEDGE_RESERVE
    }

    /// Takes one token for an extra send, if there is one.
    pub fn try_spend(&mut self) -> bool {
        if !self.allows_retry() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
