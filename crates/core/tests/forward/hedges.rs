//! When a slow part is asked for once more.

use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

struct HedgeCase {
    name: &'static str,
    shards: usize,
    /// Where the second server of each shard stands.
    second: &'static str,
    /// Bounds of the time of the first hedge, in ms after the request.
    earliest: u64,
    latest: u64,
}

const CASES: &[HedgeCase] = &[
    HedgeCase {
        name: "near: as soon as it is slow",
        shards: 80,
        second: LOCAL_DOMAIN,
        earliest: 8,
        latest: 40,
    },
    HedgeCase {
        name: "far, of few shards: as soon as it is slow",
        shards: 20,
        second: "there",
        earliest: 8,
        latest: 40,
    },
    HedgeCase {
        name: "far, of many shards: late, and in time",
        shards: 80,
        second: "there",
        earliest: 48,
        latest: 75,
    },
];

#[test]
fn far_hedges_of_many_shards_are_late_and_in_time() {
    for case in CASES {
        let mut harness = Harness::new();
        harness.set_table(table(3, vec![route("q", shards(case.shards))]));
        for shard in 0..case.shards {
            harness.add_server_in(&format!("s{shard}"), LOCAL_DOMAIN);
        }
        for _ in 0..20 {
            let from = harness.sends.len();
            harness.call("q");
            harness.advance(5);
            for send in from..harness.sends.len() {
                harness.answer_ok(send, b"");
            }
        }
        for shard in 0..case.shards {
            let id = format!("s{shard}");
            let mut notice = crate::harness::notice(&id, &id, case.second, 5000 + shard as u16);
            notice.id = format!("{id}-second").into();
            harness
                .step(wheelmast_core::process::forward::input::ForwardInput::Announcement(notice));
        }
        let from = harness.sends.len();
        harness.call("q");
        let first = harness.sends.len();
        // All but one answer.
        harness.advance(5);
        for send in from + 1..first {
            harness.answer_ok(send, b"");
        }
        let mut time = 5;
        while harness.sends.len() == first && time < 100 {
            harness.advance(1);
            time += 1;
        }
        let range = case.earliest..=case.latest;
        assert!(range.contains(&time), "{}: {time} ms", case.name);
    }
}

#[test]
fn a_single_request_is_repeated_where_it_is_faster_near_or_far() {
    let mut harness = Harness::new();
    let target = RouteTarget::Service("desk".to_string());
    let mut rule = route("d", target);
    rule.objective_ms = 1000;
    rule.time_limit_ms = 3000;
    harness.set_table(table(3, vec![rule]));
    harness.add_servers("desk", 2);
    harness.add_server_in("desk", "there");
    for _ in 0..20 {
        harness.call("d");
        harness.advance(5);
        harness.answer_ok(harness.sends.len() - 1, b"");
    }
    assert!(harness
        .sends
        .iter()
        .all(|order| &*order.instance != "desk-there"));
    // Both near servers fall silent, one after the other.
    let first = harness.sends.len();
    harness.call("d");
    harness.advance(250);
    harness.call("d");
    let near = [first, first + 1].map(|send| harness.sends[send].instance.clone());
    assert_ne!(near[0], near[1]);
    assert!(near.iter().all(|instance| &**instance != "desk-there"));
    harness.advance(80);
    assert_eq!(&*harness.sends[first + 2].instance, "desk-there");
}
