//! The tokens of one workspace at an entry, and the requests that wait for one.

use std::time::Duration;

use crate::process::cap::{TokenGrant, TokenRequest};

/// Time for which tokens are asked for in advance, by the requests of late.
const PREFETCH_TIME: Duration = Duration::from_millis(400);
/// Time after which tokens that were not used are dropped.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// Least time for which requests are refused after the owner refused one: each
/// of them would be a question.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(60);
/// Longest such time: the others may have come back less often than told.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// What becomes of a request that needs a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionStep {
    /// It has one.
    Admit,
    /// It waits, and the source is to be asked.
    RequestTokens,
    /// It waits for the answer to a question that was asked.
    Wait,
    /// The cap is reached; it may come back after this time.
    Refuse(Duration),
}

/// What becomes of the requests that wait, oldest first, once the source has
/// answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOutcome {
    /// Requests that have a token.
    pub served: u32,
    /// Requests after these that are refused.
    pub refused: u32,
    /// When the refused may come back.
    pub retry_after: Duration,
    /// Whether the source is to be asked once more, for the others.
    pub asks: bool,
}

/// What an entry holds of a workspace.
#[derive(Debug, Clone, Default)]
pub struct CapLease {
    tokens: u32,
    tokens_until: Duration,
    refused_until: Duration,
    waiting: u32,
    /// Requests that were waiting when the source was asked; 0 if it was not.
    asked: u32,
    /// Requests a second of late.
    rate: f64,
    seen_at: Duration,
}

impl CapLease {
    /// Takes a request in.
    pub fn admit_request(&mut self, now: Duration) -> AdmissionStep {
        self.count(now);
        if now >= self.tokens_until {
            self.tokens = 0;
        }
        if self.waiting == 0 && self.tokens > 0 {
            self.tokens -= 1;
            return AdmissionStep::Admit;
        }
        if now < self.refused_until {
            return AdmissionStep::Refuse(self.refused_until - now);
        }
        self.waiting += 1;
        if self.asked > 0 {
            AdmissionStep::Wait
        } else {
            AdmissionStep::RequestTokens
        }
    }

    /// Returns the question to the source for all that wait.
    pub fn token_request(&mut self, workspace: &str) -> TokenRequest {
        self.asked = self.waiting;
        TokenRequest {
            workspace: workspace.into(),
            waiting: self.waiting,
            ahead: (self.rate * PREFETCH_TIME.as_secs_f64()) as u32,
        }
    }

    /// Takes the source's answer.
    pub fn handle_grant(&mut self, grant: TokenGrant, now: Duration) -> GrantOutcome {
        let served = grant.tokens.min(self.waiting);
        let asked = std::mem::take(&mut self.asked).min(self.waiting);
        let refused = asked.saturating_sub(served);
        self.waiting -= served + refused;
        self.tokens += grant.tokens - served;
        self.tokens_until = now + TOKEN_LIFETIME;
        let retry_after = Duration::from_millis(u64::from(grant.retry_ms)).max(MIN_REFUSAL_TIME);
        if refused > 0 {
            self.refused_until = now + retry_after.min(MAX_REFUSAL_TIME);
        }
        GrantOutcome {
            served,
            refused,
            retry_after,
            asks: self.waiting > 0,
        }
    }

    /// Takes note that the source did not answer; returns how many requests
    /// have waited in vain.
    pub fn clear_waiting(&mut self) -> u32 {
        self.asked = 0;
        std::mem::take(&mut self.waiting)
    }

    /// Takes a token back whose request was not sent.
    pub fn return_token(&mut self, now: Duration) {
        self.tokens += 1;
        self.tokens_until = self.tokens_until.max(now + TOKEN_LIFETIME);
    }

    fn count(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.seen_at).as_secs_f64();
        self.seen_at = now;
        self.rate = self.rate * (-passed).exp() + 1.0;
    }
}
