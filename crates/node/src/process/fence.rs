//! Runs a submission at most once per idempotency key ("fencing"). Before it
//! runs, the key is claimed in the control group; afterwards the result is
//! recorded there for later submissions with the same key.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wheelmast_core::prelude::{QueryOutcome, RequestBody, RunState, UnfencedRule};
use wheelmast_core::process::control::fence::{ClaimOutcome, ClaimRequest, ExecutionResult};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_wire::caller::OUTCOME_UNKNOWN;
use wheelmast_wire::peer::CommandReply;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};
use xxhash_rust::xxh3::xxh3_128;

use crate::process::change::ControlClient;

/// Time within which a key must be claimed; otherwise the submission is refused
/// and not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time that the caller waits until the result is recorded.
const RESULT_TIMEOUT: Duration = Duration::from_millis(500);

/// A client that claims idempotency keys in the control group.
#[derive(Debug, Clone)]
pub struct FenceClient {
    /// The client of the control group.
    pub control_client: ControlClient,
}

/// A claim that was granted, or one that is not recorded because the service
/// may run without a quorum (`is_fenced` is false).
#[derive(Debug, Clone)]
pub struct GrantedClaim {
    key: String,
    claimant: u64,
    is_fenced: bool,
}

/// The reason why a submission must not run now.
#[derive(Debug)]
pub enum ClaimRejection {
    /// The submission ran before; holds the answer that its first caller got.
    AlreadyRan(String),
    /// The submission is refused with this problem.
    Problem(Box<ProblemBody>),
}

/// Returns a rejection of a submission that was not run.
fn reject(status: u16, kind: &str, detail: &str) -> ClaimRejection {
    ClaimRejection::Problem(Box::new(ProblemBody::before_admission(
        status, kind, detail,
    )))
}

impl FenceClient {
    /// Claims the idempotency key of a submission.
    ///
    /// # Errors
    ///
    /// Returns the reason why the submission must not run now.
    pub async fn claim(
        &self,
        service: &str,
        body: &RequestBody,
    ) -> Result<GrantedClaim, ClaimRejection> {
        let key = format!("{service}/{}", body.key.as_deref().unwrap_or_default());
        let request = ClaimRequest {
            key: key.clone(),
            digest: xxh3_128(&body.payload),
            claimant: rand::random(),
            at_ms: wall_clock_ms(),
        };
        let claim = GrantedClaim {
            key,
            claimant: request.claimant,
            is_fenced: true,
        };
        let command = ControlCommand::Claim(request);
        match self
            .control_client
            .commit_command(&command, CLAIM_TIMEOUT)
            .await
        {
            CommandReply::Done(CommandOutcome::Claim(outcome)) => evaluate_claim(outcome, claim),
            CommandReply::Done(_) | CommandReply::Unknown | CommandReply::NotLeader => {
                self.handle_missing_quorum(service, claim).await
            }
        }
    }

    /// Records the result of a submission; with `None` (it did not run) the
    /// claim is released.
    pub async fn record_result(&self, claim: GrantedClaim, end: Option<ExecutionResult>) {
        if !claim.is_fenced {
            return;
        }
        let command = ControlCommand::EndClaim {
            key: claim.key,
            claimant: claim.claimant,
            end,
        };
        if self
            .control_client
            .commit_command(&command, RESULT_TIMEOUT)
            .await
            == CommandReply::NotLeader
        {
            // A later submission with the same key first gets "in progress",
            // and "unknown" after some time.
            tracing::warn!("fence: the result of a claim could not be recorded");
        }
    }

    /// Decides by the service table whether a submission runs without a quorum
    /// of the control group. Submissions to a service that is not in the table
    /// are refused.
    async fn handle_missing_quorum(
        &self,
        service: &str,
        claim: GrantedClaim,
    ) -> Result<GrantedClaim, ClaimRejection> {
        if self.find_unfenced_rule(service).await == UnfencedRule::Run {
            tracing::warn!(
                "fence: {service} runs unfenced, no quorum of the control group is reachable"
            );
            return Ok(GrantedClaim {
                is_fenced: false,
                ..claim
            });
        }
        // The claim may have been recorded although no reply arrived, so it is
        // released.
        let client = self.clone();
        tokio::spawn(async move { client.record_result(claim, None).await });
        let detail = "no quorum of the control group is in reach to claim the key";
        let mut problem = ProblemBody::before_admission(503, "no-quorum", detail);
        problem.retry_after_ms = Some(1000);
        Err(ClaimRejection::Problem(Box::new(problem)))
    }

    /// Returns the rule of a service for submissions without a quorum.
    async fn find_unfenced_rule(&self, service: &str) -> UnfencedRule {
        let table = self.control_client.fetch_table().await;
        let parsed = table.and_then(|table| {
            wheelmast_core::prelude::ServiceTable::parse(&table.csv, table.version).ok()
        });
        let row = parsed.as_ref().and_then(|table| table.row(service));
        row.map_or(UnfencedRule::Refuse, |row| row.unfenced)
    }
}

/// Converts the outcome of a claim into a granted claim or a rejection.
fn evaluate_claim(
    outcome: ClaimOutcome,
    claim: GrantedClaim,
) -> Result<GrantedClaim, ClaimRejection> {
    match outcome {
        ClaimOutcome::Granted => Ok(claim),
        ClaimOutcome::Ended(ExecutionResult::Ran(Some(body))) => {
            Err(ClaimRejection::AlreadyRan(body))
        }
        ClaimOutcome::Ended(ExecutionResult::Ran(None)) => Err(reject_possibly_run(
            200,
            "ran-before",
            "it ran; its answer was too large to be kept",
        )),
        ClaimOutcome::Ended(ExecutionResult::Unknown) => Err(reject_possibly_run(
            502,
            "outcome-unknown",
            "it was sent before, and whether it ran is not known",
        )),
        ClaimOutcome::InProgress => {
            let mut rejection =
                reject_possibly_run(409, "in-progress", "a request with this key is at work");
            if let ClaimRejection::Problem(problem) = &mut rejection {
                problem.retry_after_ms = Some(1000);
            }
            Err(rejection)
        }
        ClaimOutcome::OtherContent => Err(reject(
            422,
            "key-reused",
            "this key was used for a request of other content",
        )),
        ClaimOutcome::Full => Err(reject(
            503,
            "fence-full",
            "no more claims can be kept; the oldest expire within a day",
        )),
    }
}

/// Returns a rejection of a submission that ran before or may have run.
fn reject_possibly_run(status: u16, kind: &str, detail: &str) -> ClaimRejection {
    let mut problem = ProblemBody::before_admission(status, kind, detail);
    problem.outcome = OUTCOME_UNKNOWN.to_string();
    ClaimRejection::Problem(Box::new(problem))
}

/// Returns the result to record for an outcome; `None` if the submission did
/// not run.
pub fn execution_result(service: &str, outcome: &QueryOutcome) -> Option<ExecutionResult> {
    match outcome {
        QueryOutcome::Answer(answer) => {
            let body = AnswerBody::new(service, answer.clone());
            Some(ExecutionResult::Ran(serde_json::to_string(&body).ok()))
        }
        QueryOutcome::Refusal(refusal) if refusal.run == RunState::NotRun => None,
        QueryOutcome::Refusal(_) => Some(ExecutionResult::Unknown),
    }
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let time_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    time_since_epoch.map_or(0, |time_since_epoch| time_since_epoch.as_millis() as u64)
}
