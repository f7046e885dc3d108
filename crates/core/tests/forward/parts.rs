//! Gathering parts: coverage, the objective, merging.

use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::AttemptResult;
use wheelmast_core::request::records::{RecordMerge, RECORD_BYTES};

use crate::harness::{route, shards, table, Harness};

struct PartCase {
    name: &'static str,
    /// Shards that answer at once, of four.
    answered: usize,
    /// Least coverage.
    least: f64,
    /// Time that passes after that, in milliseconds.
    advance: u64,
    /// Shards left out of the answer, if there is one.
    missing: Option<usize>,
}

#[test]
fn a_partial_answer_goes_out_at_the_objective() {
    let cases = [
        PartCase {
            name: "all are in",
            answered: 4,
            least: 1.0,
            advance: 0,
            missing: Some(0),
        },
        PartCase {
            name: "it waits before the objective",
            answered: 3,
            least: 0.5,
            advance: 50,
            missing: None,
        },
        PartCase {
            name: "enough at the objective",
            answered: 3,
            least: 0.75,
            advance: 99,
            missing: Some(1),
        },
        PartCase {
            name: "not enough at the objective",
            answered: 2,
            least: 0.75,
            advance: 99,
            missing: None,
        },
        PartCase {
            name: "never enough",
            answered: 1,
            least: 0.75,
            advance: 990,
            missing: None,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let mut rule = route("q", shards(4));
        rule.least_coverage = case.least;
        harness.set_table(table(1, vec![rule]));
        for shard in 0..4 {
            harness.add_servers(&format!("s{shard}"), 1);
        }
        let call = harness.call("q");
        assert_eq!(harness.sends.len(), 4);
        for send in 0..case.answered {
            harness.answer_ok(send, b"");
        }
        harness.advance(case.advance);
        let missing = harness.gathered(call).map(|(_, missing)| missing);
        assert_eq!(missing, case.missing, "{}", case.name);
    }
}

#[test]
fn a_repeat_of_the_caller_has_less_time_to_the_objective() {
    let mut harness = Harness::new();
    harness.set_table(table(1, vec![route("q", shards(2))]));
    harness.add_servers("s0", 1);
    harness.add_servers("s1", 1);
    let usual = Some(Duration::from_millis(1000));
    harness.call_with("q", usual, None);
    let spent = Some(Duration::from_millis(950));
    let repeat = harness.call_with("q", spent, None);
    harness.answer_ok(2, b"");
    harness.advance(45);
    assert!(
        harness.gathered(repeat).is_some(),
        "50 ms were gone already"
    );
}

#[test]
fn a_shard_without_servers_is_left_out_or_refused_at_once() {
    for (least, served) in [(0.5, true), (1.0, false)] {
        let mut harness = Harness::new();
        let mut rule = route("q", shards(2));
        rule.least_coverage = least;
        harness.set_table(table(1, vec![rule]));
        harness.add_servers("s0", 1);
        let call = harness.call("q");
        if served {
            harness.answer_ok(0, b"");
            assert_eq!(harness.gathered(call), Some((vec!["s0-0"], 1)));
        } else {
            assert!(harness.failure_of(call).is_some(), "nothing more can come");
        }
    }
}

#[test]
fn a_servers_failure_is_no_part() {
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
fn only_one_answer_of_a_shard_is_in() {
    let mut harness = Harness::new();
    harness.set_table(table(1, vec![route("q", shards(2))]));
    harness.add_servers("s0", 2);
    harness.add_servers("s1", 1);
    let call = harness.call("q");
    harness.advance(60);
    assert_eq!(harness.sends.len(), 3, "the shard with two is hedged");
    harness.answer_ok(2, b"");
    harness.answer_ok(0, b"");
    harness.answer_ok(1, b"");
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (2, 0));
}

#[test]
fn the_merged_body_is_the_greatest_records() {
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
    fn merging_is_sorting(parts in prop::collection::vec(prop::collection::vec(0u8..4, 0..200), 0..6), top in 0usize..20) {
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
