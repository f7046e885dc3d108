//! Same failure domain, same region, elsewhere: whom an entry asks.

use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::{PlaceStep, RegionMap};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// A failure domain of the same region.
const BESIDE: &str = "beside";
/// One of another region.
const FAR: &str = "far";

fn regions() -> RegionMap {
    let pairs = [(LOCAL_DOMAIN, "west"), (BESIDE, "west"), (FAR, "east")];
    RegionMap::new(pairs.map(|(domain, region)| (domain.into(), region.into())))
}

fn world(count: usize, domains: &[&str]) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        regions: regions(),
        ..ForwardOptions::default()
    });
    harness.set_table(table(3, vec![route("q", shards(count))]));
    for shard in 0..count {
        for domain in domains {
            harness.add_server_in(&format!("s{shard}"), domain);
        }
    }
    harness
}

#[test]
fn there_are_three_steps() {
    let cases = [
        (LOCAL_DOMAIN, LOCAL_DOMAIN, PlaceStep::Domain),
        (LOCAL_DOMAIN, BESIDE, PlaceStep::Region),
        (LOCAL_DOMAIN, FAR, PlaceStep::Elsewhere),
        (LOCAL_DOMAIN, "unknown", PlaceStep::Elsewhere),
        ("unknown", "unheard", PlaceStep::Elsewhere),
        ("unknown", "unknown", PlaceStep::Domain),
    ];
    for (own, other, want) in cases {
        assert_eq!(regions().step(own, other), want, "{own} to {other}");
    }
}

struct PlaceCase {
    name: &'static str,
    domains: &'static [&'static str],
    asked: &'static str,
}

#[test]
fn the_nearest_server_is_asked_also_where_no_way_is_known() {
    let cases = [
        PlaceCase {
            name: "all three",
            domains: &[FAR, BESIDE, LOCAL_DOMAIN],
            asked: LOCAL_DOMAIN,
        },
        PlaceCase {
            name: "none here",
            domains: &[FAR, BESIDE],
            asked: BESIDE,
        },
        PlaceCase {
            name: "only far",
            domains: &[FAR],
            asked: FAR,
        },
    ];
    for case in cases {
        let mut harness = world(2, case.domains);
        for _ in 0..4 {
            let first = harness.sends.len();
            harness.call("q");
            for send in first..harness.sends.len() {
                harness.answer_ok(send, b"");
            }
        }
        for order in &harness.sends {
            assert!(order.instance.ends_with(case.asked), "{}", case.name);
        }
    }
}

#[test]
fn a_bundle_goes_to_the_own_region_also_where_no_way_is_known() {
    let mut harness = world(6, &[FAR, BESIDE]);
    harness.add_entries(&[FAR, BESIDE]);
    for _ in 0..4 {
        harness.call("q");
    }
    let bundles = harness.sends.iter().filter(|order| order.relay.is_some());
    let asked: Vec<&str> = bundles.map(|order| &*order.instance).collect();
    assert_eq!(asked, ["entry-beside#7"; 4]);
}
