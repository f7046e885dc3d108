//! JSON bodies and headers exchanged between a caller and an instance: answers, and
//! refusals as problem details (RFC 9457).

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use wheelmast_core::prelude::{
    CoverageReport, QueryAnswer, QueryRefusal, RefusalReason, RunState, SnapshotId,
};

/// Header in which a caller states how long it waits for the answer to a request, in
/// milliseconds.
pub const DEADLINE_HEADER: &str = "wheelmast-deadline-ms";
/// Header with the idempotency key that a caller chose for a request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Media type of a [`ProblemBody`], defined by RFC 9457.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Identity of an index snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotBody {
    /// Partitioning epoch: changes when the index is divided into shards anew.
    pub epoch: u32,
    /// Index version within the epoch.
    pub version: u64,
}

impl From<SnapshotId> for SnapshotBody {
    fn from(snapshot: SnapshotId) -> SnapshotBody {
        SnapshotBody {
            epoch: snapshot.epoch,
            version: snapshot.version,
        }
    }
}

/// Shard whose hits are missing from an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShardBody {
    /// Shard number.
    pub shard: u32,
    /// Why the shard is missing: `no-server`, `too-late`, `failed` or
    /// `snapshot-retired`.
    pub reason: String,
}

/// Coverage of an answer: which of the request's shards the answer contains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageBody {
    /// Number of all shards of the snapshot; 0 if the request was not sent.
    pub asked: u32,
    /// Number of shards whose hits are in the answer.
    pub answered: u32,
    /// Shards whose hits are not in the answer.
    pub missing: Vec<MissingShardBody>,
}

impl From<&CoverageReport> for CoverageBody {
    fn from(report: &CoverageReport) -> CoverageBody {
        let missing = report.missing.iter().map(|missing| MissingShardBody {
            shard: missing.shard,
            reason: missing.reason.label().to_string(),
        });
        CoverageBody {
            asked: report.asked,
            answered: report.answered,
            missing: missing.collect(),
        }
    }
}

/// One hit of an answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HitBody {
    /// Score; `null` if the upstream's score is not a finite number.
    pub score: Option<f64>,
    /// JSON document of the hit, unchanged from the upstream.
    pub document: Box<RawValue>,
}

/// Answer to a query, fetch or submission.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Request id.
    pub request: String,
    /// Name of the service that the request was for.
    pub service: String,
    /// Version of the service table by which the request was routed.
    pub table_version: u64,
    /// Snapshot that all hits come from.
    pub snapshot: SnapshotBody,
    /// Shards that the answer contains and lacks.
    pub coverage: CoverageBody,
    /// Whether a hedge (a second attempt at a slow subquery) was sent.
    pub hedged: bool,
    /// Whether the request was restarted on another snapshot.
    pub restarted: bool,
    /// Time left until the caller's deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Hits of all shards in the answer, merged.
    pub hits: Vec<HitBody>,
}

impl AnswerBody {
    /// Converts an answer of a service to its JSON body. Omits hits whose document is
    /// not JSON.
    pub fn new(service: &str, answer: QueryAnswer) -> AnswerBody {
        let hits = answer.hits.into_iter().filter_map(|hit| {
            let document = RawValue::from_string(hit.document.into()).ok()?;
            Some(HitBody {
                score: hit.score.is_finite().then_some(hit.score),
                document,
            })
        });
        AnswerBody {
            request: answer.request.to_string(),
            service: service.to_string(),
            table_version: answer.table_version,
            snapshot: answer.snapshot.into(),
            coverage: (&answer.coverage).into(),
            hedged: answer.hedged,
            restarted: answer.restarted,
            time_left_ms: answer.time_left.as_millis() as u64,
            hits: hits.collect(),
        }
    }
}

/// Refusal or error, in the problem details format of RFC 9457.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProblemBody {
    /// URN that identifies the type of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// Type of problem, in words.
    pub title: String,
    /// HTTP status of the response.
    pub status: u16,
    /// Explanation for this occurrence of the problem.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Request id; `None` if the request was refused before it got one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// `not-run` if it is certain that no server ran the request, else `unknown`.
    pub outcome: String,
    /// Time after which the caller may retry, in milliseconds; `None` if no time can be
    /// advised.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Coverage reached; `None` if the request was not sent to any server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageBody>,
}

/// Value of [`ProblemBody::outcome`] if it is certain that no server ran the request.
pub const OUTCOME_NOT_RUN: &str = "not-run";
/// Value of [`ProblemBody::outcome`] if a server may have run the request.
pub const OUTCOME_UNKNOWN: &str = "unknown";

impl ProblemBody {
    /// Creates the problem body for a request that was rejected before admission, with
    /// the outcome `not-run`. `label` is the last part of the type URN.
    pub fn before_admission(status: u16, label: &str, detail: impl Into<String>) -> ProblemBody {
        ProblemBody {
            kind: problem_type_uri(label),
            title: label.replace('-', " "),
            status,
            detail: Some(detail.into()),
            request: None,
            outcome: OUTCOME_NOT_RUN.to_string(),
            retry_after_ms: None,
            coverage: None,
        }
    }

    /// Creates the problem body for a refusal by the entry machine.
    pub fn refusal(refusal: &QueryRefusal) -> ProblemBody {
        let label = refusal.reason.label();
        let outcome = match refusal.run {
            RunState::NotRun => OUTCOME_NOT_RUN,
            RunState::Unknown => OUTCOME_UNKNOWN,
        };
        let was_sent = refusal.coverage.asked > 0;
        ProblemBody {
            kind: problem_type_uri(label),
            title: label.replace('-', " "),
            status: refusal_status(refusal.reason),
            detail: None,
            request: Some(refusal.request.to_string()),
            outcome: outcome.to_string(),
            retry_after_ms: refusal.retry_after.map(|wait| wait.as_millis() as u64),
            coverage: was_sent.then(|| (&refusal.coverage).into()),
        }
    }

    /// Returns the value of the `Retry-After` header, in whole seconds, rounded up;
    /// `None` if no retry time is set.
    pub fn retry_after(&self) -> Option<u64> {
        let wait = Duration::from_millis(self.retry_after_ms?);
        Some(wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
    }
}

/// Returns the URN for a type of problem.
fn problem_type_uri(label: &str) -> String {
    format!("urn:wheelmast:problem:{label}")
}

/// Returns the HTTP status for a refusal reason.
pub fn refusal_status(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::UnknownService => 404,
        RefusalReason::WrongKind => 405,
        RefusalReason::QueueFull | RefusalReason::QueueTooSlow => 429,
        RefusalReason::DeadlinePassed => 504,
        RefusalReason::OutcomeUnknown => 502,
        RefusalReason::Leaving
        | RefusalReason::NoServer
        | RefusalReason::BelowFloor
        | RefusalReason::Shed
        | RefusalReason::CallerLeft => 503,
    }
}
