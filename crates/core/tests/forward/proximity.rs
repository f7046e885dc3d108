//! Proximity of failure domains (same domain, same region, elsewhere), and the preference
//! of nearer servers and entries.

use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::{DomainProximity, RegionMap};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Another failure domain of the local region.
const NEAR_DOMAIN: &str = "beside";
/// A failure domain of another region.
const FAR_DOMAIN: &str = "far";

/// Maps the three failure domains to two regions.
fn regions() -> RegionMap {
    let pairs = [
        (LOCAL_DOMAIN, "west"),
        (NEAR_DOMAIN, "west"),
        (FAR_DOMAIN, "east"),
    ];
    RegionMap::new(pairs.map(|(domain, region)| (domain.into(), region.into())))
}

/// Creates a harness with a route over `count` shards, each with a server in each of
/// `domains`.
fn new_harness(count: usize, domains: &[&str]) -> Harness {
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
fn proximity_of_known_and_unknown_domains() {
    let cases = [
        (LOCAL_DOMAIN, LOCAL_DOMAIN, DomainProximity::Domain),
        (LOCAL_DOMAIN, NEAR_DOMAIN, DomainProximity::Region),
        (LOCAL_DOMAIN, FAR_DOMAIN, DomainProximity::Elsewhere),
        (LOCAL_DOMAIN, "unknown", DomainProximity::Elsewhere),
        ("unknown", "unheard", DomainProximity::Elsewhere),
        ("unknown", "unknown", DomainProximity::Domain),
    ];
    for (local, other, want) in cases {
        assert_eq!(
            regions().proximity(local, other),
            want,
            "{local} to {other}"
        );
    }
}

struct ProximityCase {
    name: &'static str,
    /// Failure domains with a server of each shard.
    domains: &'static [&'static str],
    /// Failure domain whose servers get all requests.
    chosen: &'static str,
}

#[test]
fn the_nearest_server_is_chosen_also_without_a_measured_round_trip() {
    let cases = [
        ProximityCase {
            name: "servers in all three domains",
            domains: &[FAR_DOMAIN, NEAR_DOMAIN, LOCAL_DOMAIN],
            chosen: LOCAL_DOMAIN,
        },
        ProximityCase {
            name: "no server in the local domain",
            domains: &[FAR_DOMAIN, NEAR_DOMAIN],
            chosen: NEAR_DOMAIN,
        },
        ProximityCase {
            name: "servers only in another region",
            domains: &[FAR_DOMAIN],
            chosen: FAR_DOMAIN,
        },
    ];
    for case in cases {
        let mut harness = new_harness(2, case.domains);
        for _ in 0..4 {
            let first = harness.sends.len();
            harness.call("q");
            for send in first..harness.sends.len() {
                harness.answer_ok(send, b"");
            }
        }
        for order in &harness.sends {
            assert!(order.instance.ends_with(case.chosen), "{}", case.name);
        }
    }
}

#[test]
fn a_bundle_goes_to_the_local_region_also_without_a_measured_round_trip() {
    let mut harness = new_harness(6, &[FAR_DOMAIN, NEAR_DOMAIN]);
    harness.add_entries(&[FAR_DOMAIN, NEAR_DOMAIN]);
    for _ in 0..4 {
        harness.call("q");
    }
    let bundles = harness.sends.iter().filter(|order| order.relay.is_some());
    let receivers: Vec<&str> = bundles.map(|order| &*order.instance).collect();
    assert_eq!(receivers, ["entry-beside#7"; 4]);
}
