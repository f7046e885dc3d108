//! The owner of the tokens: the leader of the control group.

use std::collections::HashMap;
use std::time::Duration;

use crate::process::cap::{CapBound, TokenGrant, TokenRequest};
use crate::version::workspace::UsageCap;

/// Part of its burst that a bucket keeps for requests that wait, before it
/// gives tokens out in advance.
const RESERVED_FRACTION: f64 = 0.5;
/// Longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1000.0;

#[derive(Debug, Clone, Copy)]
struct CapBucket {
    cap: UsageCap,
    level: f64,
    filled_at: Duration,
    /// Requests refused of late; fades within a second.
    refused: f64,
}

impl CapBucket {
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.level = (self.level + passed * self.cap.per_s).min(self.cap.burst.max(1.0));
        self.filled_at = now;
        self.refused *= (-passed).exp();
    }

    /// Returns the time until those refused of late could all be served, in
    /// milliseconds.
    fn retry_after(&self) -> u32 {
        let longest = MAX_RETRY_AFTER.as_secs_f64();
        let missing = (self.refused - self.level).max(0.0);
        let wait = if self.cap.per_s > 0.0 {
            (missing / self.cap.per_s).min(longest)
        } else {
            longest
        };
        (wait * MS_PER_SECOND).ceil().max(1.0) as u32
    }
}

/// The buckets of all capped workspaces.
#[derive(Debug, Clone, Default)]
pub struct CapOwner {
    buckets: HashMap<Box<str>, CapBucket>,
}

impl CapOwner {
    /// Takes over the caps of a table. A bucket that gets larger is filled by
    /// the difference; one that gets smaller keeps what fits.
    pub fn set_caps(
        &mut self,
        caps: impl IntoIterator<Item = (Box<str>, UsageCap)>,
        bound: &CapBound,
        now: Duration,
    ) {
        let mut former = std::mem::take(&mut self.buckets);
        for (workspace, cap) in caps {
            let cap = bound.owner_cap(cap);
            let bucket = match former.remove(&workspace) {
                Some(mut bucket) => {
                    bucket.refill(now);
                    let gained = (cap.burst - bucket.cap.burst).max(0.0);
                    let level = (bucket.level + gained).min(cap.burst.max(1.0));
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

    /// Begins with empty buckets: what a former leader granted a moment ago is
    /// not known here.
    pub fn empty_buckets(&mut self, now: Duration) {
        for bucket in self.buckets.values_mut() {
            bucket.level = 0.0;
            bucket.filled_at = now;
        }
    }

    /// Grants tokens: first to requests that wait, then in advance.
    pub fn grant(&mut self, request: &TokenRequest, now: Duration) -> TokenGrant {
        let Some(bucket) = self.buckets.get_mut(&request.workspace) else {
            // It has no cap in the table that is in force here.
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
            bucket.retry_after()
        } else {
            0
        };
        TokenGrant {
            tokens: served + ahead,
            retry_ms,
        }
    }
}
