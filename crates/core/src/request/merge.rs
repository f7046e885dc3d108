//! Merges the hits of the shards of a search into one list.

use std::cmp::Ordering;

/// How the hits of the shards are merged into one list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeRule {
    /// Sorted by score, best first, up to the limit.
    Score,
    /// Concatenated in the order of the shards, up to the limit.
    Concatenate,
    /// The single reply, unchanged in order.
    Single,
}

/// A hit with its score, as a shard returned it.
#[derive(Debug, Clone, PartialEq)]
pub struct ScoredHit {
    /// Score; greater is better. Not-a-number ranks last.
    pub score: f64,
    /// The hit as JSON text, which is passed on without being parsed.
    pub document: Box<str>,
}

/// Merges the hits of the shards, which are given in the order of the shards.
///
/// A `limit` of 0 means no limit. Hits with equal scores keep the order of their shards, so
/// that the same replies give the same answer in whatever order they arrived.
pub fn merge_hits(
    rule: MergeRule,
    limit: u32,
    shards: impl Iterator<Item = Vec<ScoredHit>>,
) -> Vec<ScoredHit> {
    let mut hits: Vec<ScoredHit> = shards.flatten().collect();
    if rule == MergeRule::Score {
        hits.sort_by(by_score);
    }
    if limit > 0 {
        hits.truncate(limit as usize);
    }
    hits
}

/// Orders hits by descending score, with not-a-number last.
fn by_score(a: &ScoredHit, b: &ScoredHit) -> Ordering {
    match (a.score.is_nan(), b.score.is_nan()) {
        (false, false) => b.score.total_cmp(&a.score),
        (left, right) => left.cmp(&right),
    }
}
