//! Messages between a caller and an instance, as JSON.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use wheelmast_core::prelude::{
    CoverageReport, QueryAnswer, QueryRefusal, RefusalReason, RunState, SnapshotId,
};

/// Header with the time a caller gives a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "wheelmast-deadline-ms";
/// Header with a caller's idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Media type of a problem (RFC 9457).
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// A snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotBody {
    /// Partitioning epoch.
    pub epoch: u32,
    /// Index version.
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

/// A shard that is not in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShardBody {
    /// Number of the shard.
    pub shard: u32,
    /// Why: `no-server`, `too-late`, `failed` or `snapshot-retired`.
    pub reason: String,
}

/// Coverage of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoverageBody {
    /// Shards asked.
    pub asked: u32,
    /// Shards in the answer.
    pub answered: u32,
    /// The shards that are not.
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
    /// Score; `null` where the upstream gave none that is a number.
    pub score: Option<f64>,
    /// The hit itself.
    pub document: Box<RawValue>,
}

/// An answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnswerBody {
    /// Identity of the request.
    pub request: String,
    /// Service that answered.
    pub service: String,
    /// Version of the table that steered it.
    pub table_version: u64,
    /// Snapshot all hits come from.
    pub snapshot: SnapshotBody,
    /// Which shards are included.
    pub coverage: CoverageBody,
    /// Whether a hedge was sent.
    pub hedged: bool,
    /// Whether it was restarted on another snapshot.
    pub restarted: bool,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// The hits.
    pub hits: Vec<HitBody>,
}

impl AnswerBody {
    /// Returns the body of an answer.
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

/// A refusal or an error, as problem details (RFC 9457).
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Names the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What happened to this request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub detail: Option<String>,
    /// Identity of the request, if it got one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// `not-run` if that is known, else `unknown`.
    pub outcome: String,
    /// When to come back, in milliseconds, where that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Coverage reached, if it was sent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub coverage: Option<CoverageBody>,
}

/// Word of an outcome known not to have run.
pub const OUTCOME_NOT_RUN: &str = "not-run";
/// Word of an outcome that is not known.
pub const OUTCOME_UNKNOWN: &str = "unknown";

impl ProblemBody {
    /// Returns the problem of a request that was never let in.
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

    /// Returns the problem of a refusal.
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

    /// Returns the value of `Retry-After`: whole seconds, rounded up.
    pub fn retry_after(&self) -> Option<u64> {
        let wait = Duration::from_millis(self.retry_after_ms?);
        Some(wait.as_secs() + u64::from(wait.subsec_nanos() > 0))
    }
}

fn problem_type_uri(label: &str) -> String {
    format!("urn:wheelmast:problem:{label}")
}

/// Returns the HTTP status of a refusal.
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
