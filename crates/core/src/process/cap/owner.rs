//! Token buckets of all capped workspaces, held by the leader of the control
//! group (the owner of the tokens).

use std::collections::HashMap;
use std::time::Duration;

use crate::process::cap::{CapBound, TokenGrant, TokenRequest};
use crate::version::workspace::UsageCap;

/// Fraction of the burst that a bucket reserves for waiting requests; only tokens
/// above this level are granted in advance.
const RESERVED_FRACTION: f64 = 0.5;
/// Maximum retry time given to refused callers.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Milliseconds per second.
const MS_PER_SECOND: f64 = 1000.0;

#[derive(Debug, Clone, Copy)]
struct CapBucket {
    cap: UsageCap,
    level: f64,
    filled_at: Duration,
    /// Count of recently refused requests, decaying with a time constant of one
    /// second.
    refused: f64,
}

impl CapBucket {
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + passed * self.cap.per_s).min(self.cap.burst.max(1.0));
        self.filled_at = now;
        self.refused *= (-passed).exp();
    }

    /// Returns the time in milliseconds until the bucket has refilled enough to serve
    /// all recently refused requests.
    fn retry_after_ms(&self) -> u32 {
        let max_wait = MAX_RETRY_AFTER.as_secs_f64();
        let missing = (self.refused - self.level).max(0.0);
        let wait = if self.cap.per_s > 0.0 {
            (missing / self.cap.per_s).min(max_wait)
        } else {
            max_wait
        };
        (wait * MS_PER_SECOND).ceil().max(1.0) as u32
    }
}

/// Token buckets of all capped workspaces.
#[derive(Debug, Clone, Default)]
pub struct CapOwner {
    buckets: HashMap<Box<str>, CapBucket>,
}

impl CapOwner {
    /// Applies the caps of a new table. A bucket that grows is filled by the
    /// difference; a bucket that shrinks keeps the tokens that still fit.
    pub fn set_caps(
        &mut self,
        caps: impl IntoIterator<Item = (Box<str>, UsageCap)>,
        bound: &CapBound,
        now: Duration,
    ) {
        let mut old_buckets = std::mem::take(&mut self.buckets);
        for (workspace, cap) in caps {
            let cap = bound.owner_cap(cap);
            let bucket = match old_buckets.remove(&workspace) {
                Some(mut bucket) => {
                    bucket.refill(now);
                    let added = (cap.burst - bucket.cap.burst).max(0.0);
                    let level = (bucket.level + added).min(cap.burst.max(1.0));
                    CapBucket {
                        cap,
                        level,
                        filled_at: now,
                        refused: bucket.refused,
                    }
                }
                None => CapBucket {
                    cap,
                    level: cap.burst,
                    filled_at: now,
                    refused: 0.0,
                },
            };
            self.buckets.insert(workspace, bucket);
        }
    }

    /// Empties all buckets when this instance becomes leader, because the tokens that
    /// the previous leader granted recently are unknown.
    pub fn empty_buckets(&mut self, now: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.level = 0.0;
            bucket.filled_at = now;
        }
    }

    /// Grants tokens from the bucket, first to waiting requests, then in advance.
    pub fn grant(&mut self, request: &TokenRequest, now: Duration) -> TokenGrant {
        let Some(bucket) = self.buckets.get_mut(&request.workspace) else {
            // The workspace has no cap in the leader's current table.
            return TokenGrant {
                tokens: request.waiting,
                retry_ms: 0,
            };
        };
        bucket.refill(now);
        let served = (bucket.level.max(0.0) as u32).min(request.waiting);
        bucket.level -= f64::from(served);
        let spare = bucket.level - bucket.cap.burst * RESERVED_FRACTION;
        let ahead = (spare.max(0.0) as u32).min(request.ahead);
        bucket.level -= f64::from(ahead);
        let retry_ms = if served < request.waiting {
            bucket.refused += f64::from(request.waiting - served);
            bucket.retry_after_ms()
        } else {
            0
        };
        TokenGrant {
            tokens: served + ahead,
            retry_ms,
        }
    }
}
