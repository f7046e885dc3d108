//! Gathering the answers of shards: required coverage, the soft deadline, and merging.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::AttemptResult;
use wheelmast_core::request::records::{RecordMerge, RECORD_BYTES};

use crate::harness::{route, shards, table, Harness};

struct PartCase {
    name: &'static str,
    /// Number of shards, out of four, that answer at once.
    answered: usize,
    /// Required coverage, as a fraction of the shards.
    min_coverage: f64,
    /// Time that passes after the shards have answered, in milliseconds.
    pass_ms: u64,
    /// Number of shards omitted from the answer; `None` if there is no answer yet.
    missing: Option<usize>,
}

#[test]
fn a_partial_answer_is_sent_at_the_soft_deadline() {
    let cases = [
        PartCase {
            name: "all shards answered",
            answered: 4,
            min_coverage: 1.0,
            pass_ms: 0,
            missing: Some(0),
        },
        PartCase {
            name: "waits until the soft deadline",
            answered: 3,
            min_coverage: 0.5,
            pass_ms: 50,
            missing: None,
        },
        PartCase {
            name: "enough shards at the soft deadline",
            answered: 3,
            min_coverage: 0.75,
            pass_ms: 99,
            missing: Some(1),
        },
        PartCase {
            name: "too few shards at the soft deadline",
            answered: 2,
            min_coverage: 0.75,
            pass_ms: 99,
            missing: None,
        },
        PartCase {
            name: "too few shards at the hard deadline",
            answered: 1,
            min_coverage: 0.75,
            pass_ms: 990,
            missing: None,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let mut rule = route("q", shards(4));
        rule.least_coverage = case.min_coverage;
        harness.set_table(table(1, vec![rule]));
        for shard in 0..4 {
            harness.add_servers(&format!("s{shard}"), 1);
        }
        let call = harness.call("q");
        assert_eq!(harness.sends.len(), 4);
        for send in 0..case.answered {
            harness.answer_ok(send, b"");
        }
        harness.advance(case.pass_ms);
        let missing = harness.gathered(call).map(|(_, missing)| missing);
        assert_eq!(missing, case.missing, "{}", case.name);
    }
}

#[test]
fn a_callers_retry_has_less_time_to_the_soft_deadline() {
    let mut harness = Harness::new();
    harness.set_table(table(1, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    let full_time = Some(Duration::from_millis(1000));
    harness.call_with("q", full_time, None);
    let time_left = Some(Duration::from_millis(950));
    let retry = harness.call_with("q", time_left, None);
    harness.answer_ok(2, b"");
    harness.advance(45);
    assert!(
        harness.gathered(retry).is_some(),
        "50 ms of the objective were already spent"
    );
}

#[test]
fn a_shard_without_servers_is_omitted_or_the_request_refused_at_once() {
    for (min_coverage, is_answered) in [(0.5, true), (1.0, false)] {
        let mut harness = Harness::new();
        let mut rule = route("q", shards(2));
        rule.least_coverage = min_coverage;
        harness.set_table(table(1, vec![rule]));
        harness.add_servers("s0", 1);
        let call = harness.call("q");
        if is_answered {
            harness.answer_ok(0, b"");
            assert_eq!(harness.gathered(call), Some((vec!["s0-0"], 1)));
        } else {
            assert!(
                harness.failure_of(call).is_some(),
                "the required coverage cannot be reached"
            );
        }
    }
}

#[test]
fn a_failure_of_a_server_does_not_count_as_an_answered_part() {
    let mut harness = Harness::new();
    let mut rule = route("q", shards(1));
    rule.least_coverage = 1.0;
    harness.set_table(table(1, vec![rule]));
    harness.add_servers("s0", 2);
    let call = harness.call("q");
    let failed = crate::harness::answer(500, "bad", b"");
    harness.end(0, AttemptResult::Answer(failed.clone()));
    harness.end(1, AttemptResult::Answer(failed));
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::Failed));
}

#[test]
fn only_one_answer_of_each_shard_is_used() {
    let mut harness = Harness::new();
    harness.set_table(table(1, vec![route("q", shards(2))]));
    harness.add_servers("s0", 2);
    harness.add_servers("s1", 1);
    let call = harness.call("q");
    harness.advance(60);
    assert_eq!(
        harness.sends.len(),
        3,
        "the shard with two servers is hedged"
    );
    harness.answer_ok(2, b"");
    harness.answer_ok(0, b"");
    harness.answer_ok(1, b"");
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (2, 0));
}

#[test]
fn the_merged_body_has_the_greatest_records_of_all_shards() {
    let mut harness = Harness::new();
    harness.set_table(table(1, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    let call = harness.call("q");
    harness.answer_ok(0, b"aaaaaaaaaaaaaaaaccccccccccccccccbb");
    harness.answer_ok(1, b"ddddddddddddddddbbbbbbbbbbbbbbbb");
    let Some(ForwardAnswer::Gathered { body, .. }) = harness.answer_to(call) else {
        panic!("an answer");
    };
    assert_eq!(&**body, b"ddddddddddddddddccccccccccccccccbbbbbbbbbbbbbbbb");
}

proptest! {
    #[test]
    fn merging_equals_sorting_and_truncating(parts in prop::collection::vec(prop::collection::vec(0u8..4, 0..200), 0..6), top in 0usize..20) {
        let mut merge = RecordMerge::new(top);
        let mut all: Vec<&[u8]> = Vec::new();
        for part in &parts {
            merge.take(&Bytes::from(part.clone()));
            all.extend(part.chunks_exact(RECORD_BYTES));
        }
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.truncate(top);
        prop_assert_eq!(merge.finish(), all.concat());
    }
}
