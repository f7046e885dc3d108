//! The fence: a replicated registry of idempotency keys, which keeps a request
//! that must not be repeated from running twice.
//!
//! An entry claims the idempotency key of a submission in the replicated log
//! before it sends the submission to any server. The first claim on a key is
//! granted. A later request with the same key, on any instance, gets the result
//! of the first one instead of running.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Maximum number of claims in the registry.
pub const MAX_CLAIMS: usize = 50_000;
/// Time for which a claim is retained, in milliseconds: one day.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;
/// Age at which a claim without a result is taken to be lost with the instance
/// that made the claim, in milliseconds. Longer than any request's deadline.
pub const CLAIM_LOST_AFTER_MS: u64 = 620_000;
/// Maximum size of a stored result, in bytes. Of a larger result, the registry
/// stores only that the request ran.
pub const MAX_RESULT_BYTES: usize = 4 * 1024;
/// Maximum size of all stored results together, in bytes. The whole replicated
/// state must fit into one snapshot message to a replica that lags.
pub const MAX_TOTAL_RESULT_BYTES: usize = 8 * 1024 * 1024;

/// Result of executing a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionResult {
    /// The request ran, with this answer to its caller; `None` if the answer was
    /// too large to store.
    Ran(Option<String>),
    /// It is not known whether the request ran.
    Unknown,
}

impl ExecutionResult {
    /// Returns the approximate size of the result in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            ExecutionResult::Ran(answer) => answer.as_ref().map_or(0, String::len),
            ExecutionResult::Unknown => 0,
        }
    }
}

/// Outcome of a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The key is claimed; the claimant may run the request.
    Granted,
    /// Another request holds the key and has no result yet.
    InProgress,
    /// An earlier request with this key ended with this result.
    Ended(ExecutionResult),
    /// An earlier request with this key had a different content digest.
    OtherContent,
    /// The registry is full, so the key is not claimed; the request must not run.
    Full,
}

/// A request to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Name of the service and idempotency key, joined into one text.
    pub key: String,
    /// Digest of the request's content.
    pub digest: u128,
    /// Identity of the request that claims the key.
    pub claimant: u64,
    /// Wall-clock time at the claimant, in milliseconds since 1970. The registry
    /// takes the highest time of all claims as the current time, so that all
    /// replicas agree on which claims have expired.
    pub at_ms: u64,
}

/// A granted claim, with its result once the request has ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    /// Digest of the request's content.
    digest: u128,
    /// Identity of the request that claimed the key.
    claimant: u64,
    /// Time of the claim, in Unix milliseconds.
    at_ms: u64,
    #[serde(rename = "end")]
    result: Option<ExecutionResult>,
}

/// Registry of all claims, equal on every replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRegistry {
    /// Highest time of any claim so far, in Unix milliseconds.
    now_ms: u64,
    /// Claims by key.
    claims: BTreeMap<String, ClaimRecord>,
    /// Keys with their claimants, oldest claim first; used to evict in that order.
    order: VecDeque<(String, u64)>,
    /// Total size of the stored results, in bytes.
    bytes: usize,
}

impl ClaimRegistry {
    /// Claims a key, or returns why the key can't be claimed.
    pub fn claim(&mut self, request: &ClaimRequest) -> ClaimOutcome {
        self.now_ms = self.now_ms.max(request.at_ms);
        self.evict_expired();
        if let Some(record) = self.claims.get(&request.key) {
            return self.evaluate_existing(record, request);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return ClaimOutcome::Full;
        }
        let record = ClaimRecord {
            digest: request.digest,
            claimant: request.claimant,
            at_ms: self.now_ms,
            result: None,
        };
        self.claims.insert(request.key.clone(), record);
        let claimed_key = (request.key.clone(), request.claimant);
        self.order.push_back(claimed_key);
        ClaimOutcome::Granted
    }

    /// Records the result of a claimed request. `None` means that the request is
    /// known not to have run; the key then becomes free. Ignored unless `claimant`
    /// holds the key and no result was recorded before.
    pub fn end_claim(&mut self, key: &str, claimant: u64, result: Option<ExecutionResult>) {
        let Some(record) = self.claims.get_mut(key) else {
            return;
        };
        if record.claimant != claimant || record.result.is_some() {
            return;
        }
        match result {
            Some(result) => {
                let result = limit_size(result, MAX_TOTAL_RESULT_BYTES - self.bytes);
                self.bytes += stored_bytes(&result);
                record.result = Some(result);
            }
            None => {
                self.claims.remove(key);
            }
        }
    }

    /// Returns the number of claims in the registry.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether the registry holds no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns the outcome of a claim on a key that already has a claim.
    fn evaluate_existing(&self, record: &ClaimRecord, request: &ClaimRequest) -> ClaimOutcome {
        if record.digest != request.digest {
            return ClaimOutcome::OtherContent;
        }
        match &record.result {
            Some(result) => ClaimOutcome::Ended(result.clone()),
            // A duplicate of the granted claim, resent on its way to the leader.
            None if record.claimant == request.claimant => ClaimOutcome::Granted,
            None if self.now_ms > record.at_ms + CLAIM_LOST_AFTER_MS => {
                ClaimOutcome::Ended(ExecutionResult::Unknown)
            }
            None => ClaimOutcome::InProgress,
        }
    }

    /// Removes claims older than [`CLAIM_RETENTION_MS`], and queue items whose
    /// claim was removed or replaced by another claimant's.
    fn evict_expired(&mut self) {
        while let Some((key, claimant)) = self.order.front() {
            let record = self.claims.get(key);
            let is_current = record.is_some_and(|record| record.claimant == *claimant);
            let is_expired =
                record.is_some_and(|record| self.now_ms > record.at_ms + CLAIM_RETENTION_MS);
            if is_current && !is_expired {
                return;
            }
            if is_current {
                let evicted = self.claims.remove(key);
                let result = evicted.and_then(|record| record.result);
                self.bytes -= result.as_ref().map_or(0, stored_bytes);
            }
            self.order.pop_front();
        }
    }
}

/// Drops the answer from a result that exceeds [`MAX_RESULT_BYTES`] or the free
/// space.
fn limit_size(result: ExecutionResult, free_bytes: usize) -> ExecutionResult {
    if stored_bytes(&result) > free_bytes.min(MAX_RESULT_BYTES) {
        return ExecutionResult::Ran(None);
    }
    result
}

/// Returns the size of a result in the registry, in bytes.
fn stored_bytes(result: &ExecutionResult) -> usize {
    match result {
        ExecutionResult::Ran(Some(text)) => text.len(),
        ExecutionResult::Ran(None) | ExecutionResult::Unknown => 0,
    }
}
