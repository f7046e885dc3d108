//! Holding an instance's answers against what the servers really did.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};
use wheelmast_core::prelude::SnapshotId;
use wheelmast_wire::caller::OUTCOME_NOT_RUN;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

use crate::ledger::{FakeLedger, SearchedShard};

/// Broken promises, by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViolationCounts {
    /// Answers with hits from another snapshot than they state.
    pub mixed_snapshot: u64,
    /// Answers that claim shards that were not searched for them, or that
    /// include shards they say are missing.
    pub false_coverage: u64,
    /// Answers with hits of another request.
    pub foreign_answer: u64,
    /// Requests that may not be repeated and ran more than once.
    pub double_run: u64,
    /// Refusals that say "not run" of a request that ran.
    pub false_not_run: u64,
    /// Subqueries that came to a server long after it announced its leave.
    pub work_after_leaving: u64,
    /// Requests that got no response at all.
    pub cut_off: u64,
}

impl ViolationCounts {
    /// Returns the number of all broken promises.
    pub fn total(&self) -> u64 {
        self.mixed_snapshot
            + self.false_coverage
            + self.foreign_answer
            + self.double_run
            + self.false_not_run
            + self.work_after_leaving
            + self.cut_off
    }
}

/// What a fake server put into a hit.
#[derive(Debug, Deserialize)]
struct HitTruth {
    term: String,
    shard: u32,
    epoch: u32,
    version: u64,
}

/// Whether an answer is of a search over all shards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerShape {
    /// Over all shards.
    Search,
    /// From one server.
    Single,
}

/// Checks one answer against the ledger.
pub fn check_answer(
    ledger: &FakeLedger,
    term: &str,
    shape: AnswerShape,
    answer: &AnswerBody,
    counts: &mut ViolationCounts,
) {
    let snapshot = SnapshotId {
        epoch: answer.snapshot.epoch,
        version: answer.snapshot.version,
    };
    let hits = answer.hits.iter();
    let truths: Vec<HitTruth> = hits
        .filter_map(|hit| serde_json::from_str(hit.document.get()).ok())
        .collect();
    let is_other = |hit: &HitTruth| hit.epoch != snapshot.epoch || hit.version != snapshot.version;
    counts.mixed_snapshot += u64::from(truths.iter().any(is_other));
    let is_foreign = truths.iter().any(|hit| hit.term != term);
    counts.foreign_answer += u64::from(is_foreign || truths.len() != answer.hits.len());
    if shape == AnswerShape::Search {
        let is_true = is_coverage_true(ledger, answer, snapshot, &truths);
        counts.false_coverage += u64::from(!is_true);
    }
}

fn is_coverage_true(
    ledger: &FakeLedger,
    answer: &AnswerBody,
    snapshot: SnapshotId,
    truths: &[HitTruth],
) -> bool {
    let coverage = &answer.coverage;
    if coverage.answered as usize + coverage.missing.len() != coverage.asked as usize {
        return false;
    }
    let missing: HashSet<u32> = coverage.missing.iter().map(|shard| shard.shard).collect();
    if truths.iter().any(|hit| missing.contains(&hit.shard)) {
        return false;
    }
    let mut claimed = (0..coverage.asked).filter(|shard| !missing.contains(shard));
    claimed.all(|shard| {
        let searched = SearchedShard { shard, snapshot };
        ledger.was_searched(&answer.request, &searched)
    })
}

/// Checks one refusal against the ledger.
pub fn check_problem(
    ledger: &FakeLedger,
    term: &str,
    problem: &ProblemBody,
    counts: &mut ViolationCounts,
) {
    if problem.outcome == OUTCOME_NOT_RUN && ledger.runs(term) > 0 {
        counts.false_not_run += 1;
    }
}

/// Checks, at the end, a request that may not be repeated.
pub fn check_once(ledger: &FakeLedger, term: &str, counts: &mut ViolationCounts) {
    if ledger.runs(term) > 1 {
        counts.double_run += 1;
    }
}
