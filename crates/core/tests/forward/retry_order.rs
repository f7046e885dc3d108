//! Which lost parts get a retry while the extra-load budget is short.
//!
//! Guards against this failure: with 8% of the answers lost, nearly every request lost
//! parts. The budget went to whichever came first, also to requests that had their
//! coverage and ended before the retry was answered, and others missed theirs by a part.

use std::time::Duration;

use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::process::forward::retry_order::CoverageNeed;
use wheelmast_core::version::route_table::RouteRule;

use crate::harness::{route, shards, table, Harness};

/// Extra sends allowed per shard in a window. `ASSUMED_ENTRIES` (8) share the allowance.
const ALLOWED: usize = 20;

/// Returns a harness whose requests need this fraction of ten shards.
fn harness_with(least_coverage: f64) -> Harness {
    let mut harness = Harness::with_bound(ExtraBound {
        ratio: 0.0,
        slack: 8.0 * ALLOWED as f64,
        window: Duration::from_secs(10),
    });
    let rule = RouteRule {
        least_coverage,
        ..route("q", shards(10))
    };
    harness.set_table(table(1, vec![rule]));
    for shard in 0..10 {
        harness.add_servers(&format!("s{shard}"), 3);
    }
    harness
}

/// Sends requests of which each loses the first shard's part after the others were
/// answered, and returns the number of retries.
fn retries_of_surplus_parts(harness: &mut Harness, requests: usize, wait_ms: u64) -> usize {
    let before = harness.machine.counters().retries;
    for _ in 0..requests {
        let first = harness.sends.len();
        harness.call("q");
        for send in first + 1..first + 10 {
            harness.answer_ok(send, b"");
        }
        harness.advance(wait_ms);
        harness.end(first, AttemptResult::Broken);
        let server = harness.sends[first].server;
        let took = Duration::ZERO;
        harness.step(ForwardInput::Connected { server, took });
        for send in first + 10..harness.sends.len() {
            harness.answer_ok(send, b"");
        }
        harness.advance(100);
    }
    (harness.machine.counters().retries - before) as usize
}

#[test]
fn parts_beyond_the_coverage_leave_a_tenth_of_the_budget_to_others() {
    let cases = [
        ("needed for the coverage", 1.0, 0, 20),
        ("beyond the coverage", 0.5, 0, 19),
        (
            "beyond the coverage, and the request ends before",
            0.5,
            99,
            0,
        ),
    ];
    for (name, least_coverage, wait_ms, expected) in cases {
        let mut harness = harness_with(least_coverage);
        let retries = retries_of_surplus_parts(&mut harness, 2 * ALLOWED, wait_ms);
        assert_eq!(retries, expected, "{name}");
    }
}

#[test]
fn requests_that_lack_the_fewest_parts_come_first() {
    let need = |required, expected| CoverageNeed {
        parts: 90,
        required,
        expected,
    };
    let cases = [
        ("one part completes it", need(86, 85), 0.0),
        ("it lacks as many as it may omit", need(86, 82), 0.0375),
        ("it lacks many", need(86, 40), 0.05),
        ("all parts are required", need(90, 89), 0.0),
        ("it has its coverage", need(86, 86), 0.1),
        ("it has more", need(77, 88), 0.1),
    ];
    for (name, need, reserve) in cases {
        let deviation = (need.reserve_fraction() - reserve).abs();
        assert!(deviation < 1e-9, "{name}: {need:?}");
    }
}
