//! Allowed regions of a route (setting `homes`): none of its requests is sent to another
//! region.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::process::forward::region_set::{RegionKey, RegionSet};
use wheelmast_core::version::route_table::{RouteRule, RouteTarget};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// Another failure domain of the local region.
const NEAR_DOMAIN: &str = "beside";
/// A failure domain of another region.
const FAR_DOMAIN: &str = "far";
/// A failure domain of a third region.
const THIRD_DOMAIN: &str = "farther";

/// Maps the four failure domains to three regions.
fn regions() -> RegionMap {
    let pairs = [
        (LOCAL_DOMAIN, "west"),
        (NEAR_DOMAIN, "west"),
        (FAR_DOMAIN, "east"),
        (THIRD_DOMAIN, "south"),
    ];
    RegionMap::new(pairs.map(|(domain, region)| (domain.into(), region.into())))
}

/// Creates a harness with a route restricted to the regions `allowed_regions`. Each service
/// has a server in each of `domains`; there is another entry in each of `peers`.
fn new_harness(
    target: RouteTarget,
    allowed_regions: &[&str],
    domains: &[&str],
    peers: &[&str],
) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        regions: regions(),
        ..ForwardOptions::default()
    });
    let rule = RouteRule {
        homes: allowed_regions.iter().map(ToString::to_string).collect(),
        ..route("q", target)
    };
    let services: Vec<String> = rule.services().map(str::to_string).collect();
    harness.set_table(table(3, vec![rule]));
    for service in services {
        for domain in domains {
            harness.add_server_in(&service, domain);
        }
    }
    if !peers.is_empty() {
        harness.add_entries(peers);
    }
    harness
}

struct RegionCase {
    name: &'static str,
    allowed_regions: &'static [&'static str],
    domains: &'static [&'static str],
    peers: &'static [&'static str],
    /// Failure domains that may receive requests.
    allowed: &'static [&'static str],
}

const CASES: &[RegionCase] = &[
    RegionCase {
        name: "the local region",
        allowed_regions: &["west"],
        domains: &[LOCAL_DOMAIN, NEAR_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN],
        peers: &[NEAR_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN],
        allowed: &[LOCAL_DOMAIN, NEAR_DOMAIN],
    },
    RegionCase {
        name: "another region",
        allowed_regions: &["east"],
        domains: &[LOCAL_DOMAIN, NEAR_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN],
        peers: &[LOCAL_DOMAIN, NEAR_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN],
        allowed: &[FAR_DOMAIN],
    },
    RegionCase {
        name: "two other regions",
        allowed_regions: &["east", "south"],
        domains: &[LOCAL_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN],
        peers: &[FAR_DOMAIN, THIRD_DOMAIN, NEAR_DOMAIN],
        allowed: &[FAR_DOMAIN, THIRD_DOMAIN],
    },
    RegionCase {
        name: "no entry in the allowed region",
        allowed_regions: &["east"],
        domains: &[LOCAL_DOMAIN, FAR_DOMAIN],
        peers: &[NEAR_DOMAIN, THIRD_DOMAIN],
        allowed: &[FAR_DOMAIN],
    },
];

/// Checks that requests were sent, and only to failure domains in `allowed`.
fn check_domains(name: &str, allowed: &[&str], sends: &[AttemptOrder]) {
    assert!(!sends.is_empty(), "{name}: nothing was sent");
    for order in sends {
        let is_allowed = allowed.iter().any(|domain| {
            order
                .instance
                .split('#')
                .next()
                .unwrap_or("")
                .ends_with(domain)
        });
        assert!(is_allowed, "{name}: sent to {}", order.instance);
    }
}

#[test]
fn first_sends_hedges_and_retries_stay_in_the_allowed_regions() {
    for case in CASES {
        for count in [1, 6, 30] {
            let target = if count == 1 {
                RouteTarget::Service("one".to_string())
            } else {
                shards(count)
            };
            let mut harness = new_harness(target, case.allowed_regions, case.domains, case.peers);
            for round in 0..6 {
                let first = harness.sends.len();
                harness.call("q");
                if round % 2 == 0 {
                    for send in first..harness.sends.len() {
                        harness.end(send, AttemptResult::Broken);
                    }
                }
                harness.advance(90);
            }
            check_domains(case.name, case.allowed, &harness.sends);
        }
    }
}

#[test]
fn without_a_server_in_the_allowed_regions_a_request_is_refused_at_once() {
    for allowed_regions in [&["east"][..], &["nowhere"][..]] {
        let one = RouteTarget::Service("one".to_string());
        for target in [one, shards(6)] {
            let mut harness = new_harness(
                target,
                allowed_regions,
                &[LOCAL_DOMAIN, THIRD_DOMAIN],
                &[NEAR_DOMAIN, FAR_DOMAIN],
            );
            harness.call("q");
            assert_eq!(harness.sends.len(), 0, "{allowed_regions:?}");
            let answers = harness.answers.iter();
            let refused = answers.filter(|(_, answer)| {
                let ForwardAnswer::Failure { failure, .. } = answer else {
                    return false;
                };
                *failure == ForwardFailure::NoServer || *failure == ForwardFailure::Overload
            });
            assert_eq!(refused.count(), 1, "{allowed_regions:?}");
        }
    }
}

#[test]
fn a_region_set_contains_its_regions_and_no_unknown_one() {
    let map = regions();
    let east = map.allowed_regions(&["east".to_string()]);
    assert!(east.contains(map.region_of(FAR_DOMAIN)));
    assert!(!east.contains(map.region_of(LOCAL_DOMAIN)));
    assert!(!east.contains(map.region_of("unheard")));
    assert!(!east.contains(RegionKey::UNKNOWN));
    assert!(map.allowed_regions(&[]).contains(RegionKey::UNKNOWN));
    assert!(RegionSet::ANYWHERE.contains(map.region_of(THIRD_DOMAIN)));
    let many = RegionSet::of((0..200).map(RegionKey::new));
    assert!(many.contains(RegionKey::new(62)));
    assert!(!many.contains(RegionKey::new(63)));
}

struct RelayRegionCase {
    name: &'static str,
    /// Regions that the table of the receiving entry allows.
    own: &'static [&'static str],
    /// Regions that the table of the sending entry allows.
    ordered: &'static [&'static str],
    /// Failure domains that may receive the shards.
    allowed: &'static [&'static str],
}

/// Guards against a relay that leaves the regions which the sending entry's table allows,
/// as the receiving entry has a newer table that allows others.
#[test]
fn a_relay_stays_in_the_regions_that_both_tables_allow() {
    let all = &[LOCAL_DOMAIN, NEAR_DOMAIN, FAR_DOMAIN, THIRD_DOMAIN];
    let cases = [
        RelayRegionCase {
            name: "neither restricts",
            own: &[],
            ordered: &[],
            allowed: all,
        },
        RelayRegionCase {
            name: "the older table restricts",
            own: &[],
            ordered: &["east"],
            allowed: &[FAR_DOMAIN],
        },
        RelayRegionCase {
            name: "the newer table restricts",
            own: &["east"],
            ordered: &[],
            allowed: &[FAR_DOMAIN],
        },
        RelayRegionCase {
            name: "both restrict",
            own: &["west", "east"],
            ordered: &["east", "south"],
            allowed: &[FAR_DOMAIN],
        },
        RelayRegionCase {
            name: "no region is allowed by both",
            own: &["west"],
            ordered: &["south"],
            allowed: &[],
        },
    ];
    for case in cases {
        let mut harness = new_harness(shards(1), case.own, all, &[]);
        let order = RelayOrder {
            version: 2,
            answer_by: harness.now + Duration::from_millis(80),
            attempts: 2,
            credits_budget: true,
            may_divide: false,
            workspace: None,
            top: Some(3),
            homes: case.ordered.iter().map(ToString::to_string).collect(),
            shards: vec!["s0".into()],
        };
        let call = harness.call_with("q", None, Some(order));
        if !harness.sends.is_empty() {
            harness.end(0, AttemptResult::Broken);
        }
        if case.allowed.is_empty() {
            assert!(harness.sends.is_empty(), "{}", case.name);
            let failure = harness.failure_of(call);
            assert_eq!(failure, Some(ForwardFailure::NoServer), "{}", case.name);
        } else {
            check_domains(case.name, case.allowed, &harness.sends);
        }
    }
}

#[test]
fn a_relay_states_the_regions_that_its_table_allows() {
    for (allowed, stated) in [(&[][..], &[][..]), (&["west"], &["west"])] {
        let peers = &[NEAR_DOMAIN];
        let mut harness = new_harness(shards(4), allowed, &[NEAR_DOMAIN], peers);
        harness.call("q");
        let orders = harness.sends.iter();
        let relays: Vec<_> = orders.filter_map(|order| order.relay.as_ref()).collect();
        assert_eq!(relays.len(), 1);
        assert_eq!(relays[0].homes, stated);
    }
}
