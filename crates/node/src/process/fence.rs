//! The fence as an instance uses it: claims before, ends after.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use wheelmast_core::prelude::{QueryOutcome, RequestBody, RunState, UnfencedRule};
use wheelmast_core::process::control::fence::{ClaimOutcome, ClaimRequest, ExecutionResult};
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand};
use wheelmast_wire::caller::OUTCOME_UNKNOWN;
use wheelmast_wire::peer::CommandReply;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};
use xxhash_rust::xxh3::xxh3_128;

use crate::process::change::ChangeDesk;

/// Longest time a claim may take; then the submission is refused, not run.
const CLAIM_TIME: Duration = Duration::from_millis(1500);
/// Longest time to record an end; the caller does not wait beyond it.
const END_TIME: Duration = Duration::from_millis(500);

/// Claims keys in the control group.
#[derive(Debug, Clone)]
pub struct FenceDesk {
    /// Reaches the control group.
    pub desk: ChangeDesk,
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
pub enum FenceStop {
    /// It ran before; this is what its caller got.
    Ended(String),
    /// It is refused.
    Problem(Box<ProblemBody>),
}

fn stop(status: u16, word: &str, detail: &str) -> FenceStop {
    FenceStop::Problem(Box::new(ProblemBody::before_admission(
        status, word, detail,
    )))
}

impl FenceDesk {
    /// Claims the key of a submission.
    ///
    /// # Errors
    ///
    /// Tells why it must not run now.
    pub async fn claim(
        &self,
        service: &str,
        body: &RequestBody,
    ) -> Result<GrantedClaim, FenceStop> {
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
        match self.desk.command(&command, CLAIM_TIME).await {
            CommandReply::Done(CommandOutcome::Claim(outcome)) => standing(outcome, claim),
            CommandReply::Done(_) | CommandReply::Unknown | CommandReply::NotLeader => {
                self.without_quorum(service, claim).await
            }
        }
    }

    /// Records what became of a submission; `None` if it did not run.
    pub async fn end(&self, claim: GrantedClaim, end: Option<ExecutionResult>) {
        if !claim.is_fenced {
            return;
        }
        let command = ControlCommand::EndClaim {
            key: claim.key,
            claimant: claim.claimant,
            end,
        };
        if self.desk.command(&command, END_TIME).await == CommandReply::NotLeader {
            // A second arrival is told "in progress", and later "unknown".
            tracing::warn!("fence: the end of a claim could not be recorded");
        }
    }

    /// Decides by the table what happens without a quorum.
    async fn without_quorum(
        &self,
        service: &str,
        claim: GrantedClaim,
    ) -> Result<GrantedClaim, FenceStop> {
        if self.unfenced_rule(service).await == UnfencedRule::Run {
            tracing::warn!("fence: {service} runs unfenced, no quorum in reach");
            return Ok(GrantedClaim {
                is_fenced: false,
                ..claim
            });
        }
        // The claim may have been recorded all the same; give it back.
        let desk = self.clone();
        tokio::spawn(async move { desk.end(claim, None).await });
        let detail = "no quorum of the control group is in reach to claim the key";
        let mut problem = ProblemBody::before_admission(503, "no-quorum", detail);
        problem.retry_after_ms = Some(1000);
        Err(FenceStop::Problem(Box::new(problem)))
    }

    async fn unfenced_rule(&self, service: &str) -> UnfencedRule {
        let table = self.desk.table().await;
        let parsed = table.and_then(|table| {
            wheelmast_core::prelude::ServiceTable::parse(&table.csv, table.version).ok()
        });
        let row = parsed.as_ref().and_then(|table| table.row(service));
        row.map_or(UnfencedRule::Refuse, |row| row.unfenced)
    }
}

fn standing(outcome: ClaimOutcome, claim: GrantedClaim) -> Result<GrantedClaim, FenceStop> {
    match outcome {
        ClaimOutcome::Granted => Ok(claim),
        ClaimOutcome::Ended(ExecutionResult::Ran(Some(body))) => Err(FenceStop::Ended(body)),
        ClaimOutcome::Ended(ExecutionResult::Ran(None)) => Err(ran(
            200,
            "ran-before",
            "it ran; its answer was too large to be kept",
        )),
        ClaimOutcome::Ended(ExecutionResult::Unknown) => Err(ran(
            502,
            "outcome-unknown",
            "it was sent before, and whether it ran is not known",
        )),
        ClaimOutcome::InProgress => {
            let mut stop = ran(409, "in-progress", "a request with this key is at work");
            if let FenceStop::Problem(problem) = &mut stop {
                problem.retry_after_ms = Some(1000);
            }
            Err(stop)
        }
        ClaimOutcome::OtherContent => Err(stop(
            422,
            "key-reused",
            "this key was used for a request of other content",
        )),
        ClaimOutcome::Full => Err(stop(
            503,
            "fence-full",
            "no more claims can be kept; the oldest expire within a day",
        )),
    }
}

/// Returns a stop whose outcome is not "not run".
fn ran(status: u16, word: &str, detail: &str) -> FenceStop {
    let mut problem = ProblemBody::before_admission(status, word, detail);
    problem.outcome = OUTCOME_UNKNOWN.to_string();
    FenceStop::Problem(Box::new(problem))
}

/// Returns what is recorded of an outcome; `None` if it did not run.
pub fn claim_end(service: &str, outcome: &QueryOutcome) -> Option<ExecutionResult> {
    match outcome {
        QueryOutcome::Answer(answer) => {
            let body = AnswerBody::new(service, answer.clone());
            Some(ExecutionResult::Ran(serde_json::to_string(&body).ok()))
        }
        QueryOutcome::Refusal(refusal) if refusal.run == RunState::NotRun => None,
        QueryOutcome::Refusal(_) => Some(ExecutionResult::Unknown),
    }
}

/// Returns the wall clock in milliseconds since 1970.
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
