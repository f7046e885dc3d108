//! Claims: one claimant a key, the first outcome for all, bounded memory.

use wheelmast_core::process::control::fence::{
    ClaimOutcome, ClaimRegistry, ClaimRequest, ExecutionResult, CLAIM_LOST_AFTER_MS,
    CLAIM_RETENTION_MS, MAX_CLAIMS, MAX_RESULT_BYTES, MAX_TOTAL_RESULT_BYTES,
};

fn request(key: &str, digest: u128, claimant: u64, at_ms: u64) -> ClaimRequest {
    ClaimRequest {
        key: key.to_string(),
        digest,
        claimant,
        at_ms,
    }
}

/// Something that happens to a key claimed by claimant 1, and what a claim of
/// claimant 2 at `at_ms` then gets.
struct SecondClaimCase {
    name: &'static str,
    result: Option<(u64, Option<ExecutionResult>)>,
    digest: u128,
    at_ms: u64,
    outcome: ClaimOutcome,
}

#[test]
fn a_second_arrival_gets_what_became_of_the_first() {
    let ran = || ExecutionResult::Ran(Some("answer".to_string()));
    let cases = [
        SecondClaimCase {
            name: "at work",
            result: None,
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::InProgress,
        },
        SecondClaimCase {
            name: "ran",
            result: Some((1, Some(ran()))),
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::Ended(ran()),
        },
        SecondClaimCase {
            name: "known not to have run",
            result: Some((1, None)),
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::Granted,
        },
        SecondClaimCase {
            name: "not known",
            result: Some((1, Some(ExecutionResult::Unknown))),
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::Ended(ExecutionResult::Unknown),
        },
        SecondClaimCase {
            name: "another's word",
            result: Some((2, None)),
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::InProgress,
        },
        SecondClaimCase {
            name: "other content",
            result: Some((1, Some(ran()))),
            digest: 8,
            at_ms: 1,
            outcome: ClaimOutcome::OtherContent,
        },
        SecondClaimCase {
            name: "its instance was lost",
            result: None,
            digest: 7,
            at_ms: CLAIM_LOST_AFTER_MS + 2,
            outcome: ClaimOutcome::Ended(ExecutionResult::Unknown),
        },
        SecondClaimCase {
            name: "a day ago",
            result: Some((1, Some(ran()))),
            digest: 7,
            at_ms: CLAIM_RETENTION_MS + 2,
            outcome: ClaimOutcome::Granted,
        },
    ];
    for case in cases {
        let mut registry = ClaimRegistry::default();
        assert_eq!(
            registry.claim(&request("k", 7, 1, 0)),
            ClaimOutcome::Granted
        );
        if let Some((claimant, result)) = case.result {
            registry.end_claim("k", claimant, result);
        }
        let outcome = registry.claim(&request("k", case.digest, 2, case.at_ms));
        assert_eq!(outcome, case.outcome, "{}", case.name);
    }
}

#[test]
fn claims_are_bounded_in_number_and_size() {
    let mut registry = ClaimRegistry::default();
    for number in 0..MAX_CLAIMS as u64 {
        let outcome = registry.claim(&request(&format!("k{number}"), 1, number, 0));
        assert_eq!(outcome, ClaimOutcome::Granted);
    }
    assert_eq!(
        registry.claim(&request("more", 1, 1, 0)),
        ClaimOutcome::Full
    );
    let later = CLAIM_RETENTION_MS + 1;
    assert_eq!(
        registry.claim(&request("more", 1, 1, later)),
        ClaimOutcome::Granted
    );
    assert_eq!(registry.len(), 1);
    let oversized_result = "x".repeat(MAX_RESULT_BYTES + 1);
    registry.end_claim(
        "more",
        1,
        Some(ExecutionResult::Ran(Some(oversized_result))),
    );
    let outcome = registry.claim(&request("more", 1, 2, later));
    assert_eq!(outcome, ClaimOutcome::Ended(ExecutionResult::Ran(None)));
}

#[test]
fn kept_answers_are_bounded_in_sum_and_forgotten_with_their_claims() {
    let answer = "x".repeat(MAX_RESULT_BYTES);
    let max_full_results = MAX_TOTAL_RESULT_BYTES / MAX_RESULT_BYTES;
    let mut registry = ClaimRegistry::default();
    let fill_registry = |registry: &mut ClaimRegistry, at_ms: u64| {
        for number in 0..=max_full_results as u64 {
            let key = format!("k{number}");
            assert_eq!(
                registry.claim(&request(&key, 1, 1, at_ms)),
                ClaimOutcome::Granted
            );
            registry.end_claim(&key, 1, Some(ExecutionResult::Ran(Some(answer.clone()))));
        }
        let last = registry.claim(&request(&format!("k{max_full_results}"), 1, 2, at_ms));
        assert_eq!(last, ClaimOutcome::Ended(ExecutionResult::Ran(None)));
        let kept = registry.claim(&request("k0", 1, 2, at_ms));
        assert_eq!(
            kept,
            ClaimOutcome::Ended(ExecutionResult::Ran(Some(answer.clone())))
        );
    };
    fill_registry(&mut registry, 0);
    // A day later all of them have made room.
    fill_registry(&mut registry, CLAIM_RETENTION_MS + 1);
}
