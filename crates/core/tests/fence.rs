//! Tests of the claim registry: one claimant per key, the first result for all later
//! claims, bounded memory.

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

/// An event after claimant 1 has claimed a key, and the expected outcome of a later
/// claim of the same key by claimant 2.
struct SecondClaimCase {
    name: &'static str,
    /// Claimant and result of a call that ends the first claim, if there is one.
    result: Option<(u64, Option<ExecutionResult>)>,
    /// Content digest of the second request; the first one's is 7.
    digest: u128,
    /// Time of the second claim; the first one's is 0.
    at_ms: u64,
    outcome: ClaimOutcome,
}

#[test]
fn a_second_claim_gets_the_result_of_the_first() {
    let ran = || ExecutionResult::Ran(Some("answer".to_string()));
    let cases = [
        SecondClaimCase {
            name: "in progress",
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
            name: "result unknown",
            result: Some((1, Some(ExecutionResult::Unknown))),
            digest: 7,
            at_ms: 1,
            outcome: ClaimOutcome::Ended(ExecutionResult::Unknown),
        },
        SecondClaimCase {
            name: "result reported by another claimant",
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
            name: "claimant's instance lost",
            result: None,
            digest: 7,
            at_ms: CLAIM_LOST_AFTER_MS + 2,
            outcome: ClaimOutcome::Ended(ExecutionResult::Unknown),
        },
        SecondClaimCase {
            name: "claim older than a day",
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
fn total_result_size_is_bounded_and_freed_with_expired_claims() {
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
        let stored = registry.claim(&request("k0", 1, 2, at_ms));
        assert_eq!(
            stored,
            ClaimOutcome::Ended(ExecutionResult::Ran(Some(answer.clone())))
        );
    };
    fill_registry(&mut registry, 0);
    // A day later all earlier claims have expired and their bytes are free again.
    fill_registry(&mut registry, CLAIM_RETENTION_MS + 1);
}
