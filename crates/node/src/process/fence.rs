//! The fence as an instance uses it: claims before, ends after.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wheelmast_core::prelude::{QueryOutcome, RequestBody, RunState, UnfencedRule};
use wheelmast_core::process::control::fence::{ClaimEnd, ClaimOutcome, ClaimRequest};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_wire::caller::OUTCOME_UNKNOWN;
use wheelmast_wire::peer::CommandReply;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};
use xxhash_rust::xxh3::xxh3_128;

use crate::process::change::ControlClient;

/// Longest time a claim may take; then the submission is refused, not run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time to record an end; the caller does not wait beyond it.
const RESULT_TIMEOUT: Duration = Duration::from_millis(500);

/// Claims keys in the control group.
#[derive(Debug, Clone)]
pub struct FenceClient {
    /// Reaches the control group.
    pub control_client: ControlClient,
}

/// A claim that was granted, or that is not needed.
#[derive(Debug, Clone)]
pub struct GrantedClaim {
    key: String,
    claimant: u64,
    is_fenced: bool,
}

/// Why a submission is not run now.
#[derive(Debug)]
pub enum ClaimRejection {
    /// It ran before; this is what its caller got.
    AlreadyRan(String),
    /// It is refused.
    Problem(Box<ProblemBody>),
}

fn reject(status: u16, word: &str, detail: &str) -> ClaimRejection {
    ClaimRejection::Problem(Box::new(ProblemBody::early(status, word, detail)))
}

impl FenceClient {
    /// Claims the key of a submission.
    ///
    /// # Errors
    ///
    /// Tells why it must not run now.
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

    /// Records what became of a submission; `None` if it did not run.
    pub async fn record_result(&self, claim: GrantedClaim, end: Option<ClaimEnd>) {
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
            // A second arrival is told "in progress", and later "unknown".
            tracing::warn!("fence: the end of a claim could not be recorded");
        }
    }

    /// Decides by the table what happens without a quorum.
    async fn handle_missing_quorum(
        &self,
        service: &str,
        claim: GrantedClaim,
    ) -> Result<GrantedClaim, ClaimRejection> {
        if self.find_unfenced_rule(service).await == UnfencedRule::Run {
            tracing::warn!("fence: {service} runs unfenced, no quorum in reach");
            return Ok(GrantedClaim {
                is_fenced: false,
                ..claim
            });
        }
        // The claim may have been recorded all the same; give it back.
        let client = self.clone();
        tokio::spawn(async move { client.record_result(claim, None).await });
        let detail = "no quorum of the control group is in reach to claim the key";
        let mut problem = ProblemBody::early(503, "no-quorum", detail);
        problem.retry_after_ms = Some(1000);
        Err(ClaimRejection::Problem(Box::new(problem)))
    }

    async fn find_unfenced_rule(&self, service: &str) -> UnfencedRule {
        let table = self.control_client.fetch_table().await;
        let parsed = table.and_then(|table| {
            wheelmast_core::prelude::ServiceTable::parse(&table.csv, table.version).ok()
        });
        let row = parsed.as_ref().and_then(|table| table.row(service));
        row.map_or(UnfencedRule::Refuse, |row| row.unfenced)
    }
}

fn evaluate_claim(
    outcome: ClaimOutcome,
    claim: GrantedClaim,
) -> Result<GrantedClaim, ClaimRejection> {
    match outcome {
        ClaimOutcome::Granted => Ok(claim),
        ClaimOutcome::Ended(ClaimEnd::Ran(Some(body))) => Err(ClaimRejection::AlreadyRan(body)),
        ClaimOutcome::Ended(ClaimEnd::Ran(None)) => Err(reject_possibly_run(
            200,
            "ran-before",
            "it ran; its answer was too large to be kept",
        )),
        ClaimOutcome::Ended(ClaimEnd::Unknown) => Err(reject_possibly_run(
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

/// Returns a stop whose outcome is not "not run".
fn reject_possibly_run(status: u16, word: &str, detail: &str) -> ClaimRejection {
    let mut problem = ProblemBody::early(status, word, detail);
    problem.outcome = OUTCOME_UNKNOWN.to_string();
    ClaimRejection::Problem(Box::new(problem))
}

/// Returns what is recorded of an outcome; `None` if it did not run.
pub fn execution_result(service: &str, outcome: &QueryOutcome) -> Option<ClaimEnd> {
    match outcome {
        QueryOutcome::Answer(answer) => {
            let body = AnswerBody::new(service, answer.clone());
            Some(ClaimEnd::Ran(serde_json::to_string(&body).ok()))
        }
        QueryOutcome::Refusal(refusal) if refusal.run == RunState::NotRun => None,
        QueryOutcome::Refusal(_) => Some(ClaimEnd::Unknown),
    }
}

/// Returns the wall clock in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let time_since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    time_since_epoch.map_or(0, |time_since_epoch| time_since_epoch.as_millis() as u64)
}
