//! Token state of one workspace at an entry: tokens in hand, waiting requests and
//! the outstanding token request to the source (the control instance that grants
//! tokens to this entry).

use std::time::Duration;

use crate::process::cap::{TokenGrant, TokenRequest};

/// Time for which tokens are requested in advance, at the recent request rate.
const PREFETCH_TIME: Duration = Duration::from_millis(400);
/// Time after which unused tokens are dropped.
const TOKEN_LIFETIME: Duration = Duration::from_secs(1);
/// Minimum time for which requests are refused locally after the owner refused
/// one. Otherwise each further request would cause a message.
const MIN_REFUSAL_TIME: Duration = Duration::from_millis(60);
/// Maximum time for which requests are refused locally. Tokens may be available
/// earlier than announced, because other callers may retry less often than they
/// were told to.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Decision about a request that needs a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionStep {
    /// The request got a token and can run.
    Admit,
    /// The request waits, and the caller of this module must send a token request
    /// to the source.
    RequestTokens,
    /// The request waits, and a token request is already outstanding.
    Wait,
    /// The cap is reached; the request can be retried after this time.
    Refuse(Duration),
}

/// Effect of a grant on the waiting requests, oldest first: `served` requests run,
/// the next `refused` are refused, and the rest keep waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOutcome {
    /// Number of waiting requests that got a token.
    pub served: u32,
    /// Number of waiting requests refused, following the served ones.
    pub refused: u32,
    /// Time after which the refused requests can be retried.
    pub retry_after: Duration,
    /// Whether another token request must be sent for the requests that still wait.
    pub asks: bool,
}

/// An entry's token state for one workspace.
#[derive(Debug, Clone, Default)]
pub struct CapLease {
    tokens: u32,
    tokens_until: Duration,
    /// Time until which new requests are refused locally.
    refused_until: Duration,
    /// Number of requests waiting for a token.
    waiting: u32,
    /// Number of waiting requests that the outstanding token request covers; 0 if
    /// none is outstanding.
    requested: u32,
    /// Recent requests per second: a count that decays with a time constant of one
    /// second.
    rate: f64,
    last_request_at: Duration,
}

impl CapLease {
    /// Decides about a new request, and adds the request to the waiting ones if
    /// necessary.
    pub fn admit_request(&mut self, now: Duration) -> AdmissionStep {
        self.update_rate(now);
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
        if self.requested > 0 {
            AdmissionStep::Wait
        } else {
            AdmissionStep::RequestTokens
        }
    }

    /// Builds the token request for all waiting requests, and marks the token
    /// request as outstanding.
    pub fn token_request(&mut self, workspace: &str) -> TokenRequest {
        self.requested = self.waiting;
        TokenRequest {
            workspace: workspace.into(),
            waiting: self.waiting,
            ahead: (self.rate * PREFETCH_TIME.as_secs_f64()) as u32,
        }
    }

    /// Applies a grant from the source and decides about the waiting requests.
    pub fn handle_grant(&mut self, grant: TokenGrant, now: Duration) -> GrantOutcome {
        let served = grant.tokens.min(self.waiting);
        let requested = std::mem::take(&mut self.requested).min(self.waiting);
        let refused = requested.saturating_sub(served);
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

    /// Removes all waiting requests because the source did not answer. Returns their
    /// number.
    pub fn clear_waiting(&mut self) -> u32 {
        self.requested = 0;
        std::mem::take(&mut self.waiting)
    }

    /// Returns an unused token whose request was not sent to a server.
    pub fn return_token(&mut self, now: Duration) {
        self.tokens += 1;
        self.tokens_until = self.tokens_until.max(now + TOKEN_LIFETIME);
    }

    fn update_rate(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.last_request_at).as_secs_f64();
        self.last_request_at = now;
        self.rate = self.rate * (-passed).exp() + 1.0;
    }
}
