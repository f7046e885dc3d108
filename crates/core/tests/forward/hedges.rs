//! Tests of when and where a hedge is sent for a slow part.

use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

struct HedgeCase {
    name: &'static str,
    shards: usize,
    /// Failure domain of the second server of each shard.
    second: &'static str,
    /// Earliest time of the first hedge, in ms after the request.
    earliest: u64,
    /// Latest time of the first hedge, in ms after the request.
    latest: u64,
}

const CASES: &[HedgeCase] = &[
    HedgeCase {
        name: "second server near (same domain): hedge as soon as the part is slow",
        shards: 80,
        second: LOCAL_DOMAIN,
        earliest: 8,
        latest: 40,
    },
    HedgeCase {
        name: "second server in another region, few shards: hedge as soon as the part is slow",
        shards: 20,
        second: "there",
        earliest: 8,
        latest: 40,
    },
    HedgeCase {
        name: "second server in another region, many shards: hedge late, but in time",
        shards: 80,
        second: "there",
        earliest: 48,
        latest: 75,
    },
];

#[test]
fn hedges_to_other_regions_are_delayed_but_in_time_on_routes_of_many_shards() {
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
            let mut announcement =
                crate::harness::server_announcement(&id, &id, case.second, 5000 + shard as u16);
            announcement.id = format!("{id}-second").into();
            harness.step(
                wheelmast_core::process::forward::input::ForwardInput::Announcement(announcement),
            );
        }
        let from = harness.sends.len();
        harness.call("q");
        let first = harness.sends.len();
        // All shards but the first one answer.
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
        assert!(
            range.contains(&time),
            "{}: hedged after {time} ms",
            case.name
        );
    }
}

#[test]
fn a_request_to_a_single_service_is_hedged_where_the_answer_is_expected_first() {
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
    // Both servers in the entry's failure domain stop answering, one after the
    // other.
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
