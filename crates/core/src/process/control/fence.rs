//! The fence: claims on the keys of requests that may not be repeated.
//!
//! A submission with an idempotency key is claimed in the replicated log
//! before it is sent anywhere. Whoever claims a key first may run it; a second
//! arrival, on any instance, gets what became of the first.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Most claims kept.
pub const MAX_CLAIMS: usize = 50_000;
/// Time after which a claim may be forgotten, in milliseconds: a day.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3600 * 1000;
/// Time after which a claim without an outcome counts as lost with its
/// instance, in milliseconds. Longer than any deadline.
pub const CLAIM_LOST_AFTER_MS: u64 = 620_000;
/// Largest outcome kept, in bytes; of a larger one only the fact is kept.
pub const MAX_RESULT_BYTES: usize = 4 * 1024;
/// Largest sum of all outcomes kept, in bytes. The whole state must fit into one
/// message to a replica that lags.
pub const MAX_TOTAL_RESULT_BYTES: usize = 8 * 1024 * 1024;

/// What became of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ExecutionResult {
    /// It ran; this is what the caller got, unless it was too large to keep.
    Ran(Option<String>),
    /// Whether it ran is not known.
    Unknown,
}

impl ExecutionResult {
    /// Returns about how many bytes the end takes.
    pub fn bytes(&self) -> usize {
        match self {
            ExecutionResult::Ran(answer) => answer.as_ref().map_or(0, String::len),
            ExecutionResult::Unknown => 0,
        }
    }
}

/// The answer to a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The key is claimed; the claimant may run the request.
    Granted,
    /// Somebody else claimed it and has not ended.
    InProgress,
    /// It ended before.
    Ended(ExecutionResult),
    /// The key was claimed for a request of other content.
    OtherContent,
    /// No claim can be kept; the request must not run.
    Full,
}

/// A claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Service and key, joined.
    pub key: String,
    /// Digest of the request's content.
    pub digest: u128,
    /// Identity of the request that claims it.
    pub claimant: u64,
    /// Wall clock of the claimant, in milliseconds since 1970. The log's own
    /// time is the greatest seen, so that all replicas agree on what is old.
    pub at_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    digest: u128,
    claimant: u64,
    at_ms: u64,
    #[serde(rename = "end")]
    result: Option<ExecutionResult>,
}

/// All claims, as every replica holds them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRegistry {
    now_ms: u64,
    claims: BTreeMap<String, ClaimRecord>,
    /// Keys in the order of their claims, with the claimant, to forget the
    /// oldest first.
    order: VecDeque<(String, u64)>,
    /// Bytes of the outcomes kept.
    bytes: usize,
}

impl ClaimRegistry {
    /// Takes a claim.
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
        let place = (request.key.clone(), request.claimant);
        self.order.push_back(place);
        ClaimOutcome::Granted
    }

    /// Ends a claim; `None` says that the request is known not to have run,
    /// which gives the key free. Only the claimant's word counts.
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

    /// Returns the number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    fn evaluate_existing(&self, record: &ClaimRecord, request: &ClaimRequest) -> ClaimOutcome {
        if record.digest != request.digest {
            return ClaimOutcome::OtherContent;
        }
        match &record.result {
            Some(result) => ClaimOutcome::Ended(result.clone()),
            // The same claim, sent twice on its way to the leader.
            None if record.claimant == request.claimant => ClaimOutcome::Granted,
            None if self.now_ms > record.at_ms + CLAIM_LOST_AFTER_MS => {
                ClaimOutcome::Ended(ExecutionResult::Unknown)
            }
            None => ClaimOutcome::InProgress,
        }
    }

    fn evict_expired(&mut self) {
        while let Some((key, claimant)) = self.order.front() {
            let record = self.claims.get(key);
            let is_current = record.is_some_and(|record| record.claimant == *claimant);
            let is_old =
                record.is_some_and(|record| self.now_ms > record.at_ms + CLAIM_RETENTION_MS);
            if is_current && !is_old {
                return;
            }
            if is_current {
                let forgotten = self.claims.remove(key);
                let result = forgotten.and_then(|record| record.result);
                self.bytes -= result.as_ref().map_or(0, stored_bytes);
            }
            self.order.pop_front();
        }
    }
}

fn limit_size(result: ExecutionResult, free_bytes: usize) -> ExecutionResult {
    if stored_bytes(&result) > free_bytes.min(MAX_RESULT_BYTES) {
        return ExecutionResult::Ran(None);
    }
    result
}

fn stored_bytes(result: &ExecutionResult) -> usize {
    match result {
        ExecutionResult::Ran(Some(text)) => text.len(),
        ExecutionResult::Ran(None) | ExecutionResult::Unknown => 0,
    }
}
