//! Homes of a route: nothing of its requests leaves them.

use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::home::{HomeSet, RegionKey};
use wheelmast_core::process::forward::input::AttemptResult;
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::version::route_table::{RouteRule, RouteTarget};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

/// A failure domain of the same region.
const BESIDE: &str = "beside";
/// Two of other regions.
const FAR: &str = "far";
const FARTHER: &str = "farther";

fn regions() -> RegionMap {
    let pairs = [
        (LOCAL_DOMAIN, "west"),
        (BESIDE, "west"),
        (FAR, "east"),
        (FARTHER, "south"),
    ];
    RegionMap::new(pairs.map(|(domain, region)| (domain.into(), region.into())))
}

/// A route with these homes over shards with a server in each of `domains`,
/// and an entry in each of `peers`.
fn world(target: RouteTarget, homes: &[&str], domains: &[&str], peers: &[&str]) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        regions: regions(),
        ..ForwardOptions::default()
    });
    let rule = RouteRule {
        homes: homes.iter().map(ToString::to_string).collect(),
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

struct HomeCase {
    name: &'static str,
    homes: &'static [&'static str],
    domains: &'static [&'static str],
    peers: &'static [&'static str],
    /// Failure domains that may be asked.
    allowed: &'static [&'static str],
}

const CASES: &[HomeCase] = &[
    HomeCase {
        name: "the own region",
        homes: &["west"],
        domains: &[LOCAL_DOMAIN, BESIDE, FAR, FARTHER],
        peers: &[BESIDE, FAR, FARTHER],
        allowed: &[LOCAL_DOMAIN, BESIDE],
    },
    HomeCase {
        name: "another region",
        homes: &["east"],
        domains: &[LOCAL_DOMAIN, BESIDE, FAR, FARTHER],
        peers: &[LOCAL_DOMAIN, BESIDE, FAR, FARTHER],
        allowed: &[FAR],
    },
    HomeCase {
        name: "two other regions",
        homes: &["east", "south"],
        domains: &[LOCAL_DOMAIN, FAR, FARTHER],
        peers: &[FAR, FARTHER, BESIDE],
        allowed: &[FAR, FARTHER],
    },
    HomeCase {
        name: "no entry in the home",
        homes: &["east"],
        domains: &[LOCAL_DOMAIN, FAR],
        peers: &[BESIDE, FARTHER],
        allowed: &[FAR],
    },
];

fn check_places(name: &str, allowed: &[&str], sends: &[AttemptOrder]) {
    assert!(!sends.is_empty(), "{name}: nothing was asked");
    for order in sends {
        let is_allowed = allowed.iter().any(|domain| {
            order
                .instance
                .split('#')
                .next()
                .unwrap_or("")
                .ends_with(domain)
        });
        assert!(is_allowed, "{name}: asked {}", order.instance);
    }
}

#[test]
fn first_sends_hedges_and_repeats_stay_in_the_homes() {
    for case in CASES {
        for count in [1, 6, 30] {
            let target = if count == 1 {
                RouteTarget::Service("one".to_string())
            } else {
                shards(count)
            };
            let mut harness = world(target, case.homes, case.domains, case.peers);
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
            check_places(case.name, case.allowed, &harness.sends);
        }
    }
}

#[test]
fn without_a_server_in_the_homes_the_refusal_is_true_and_at_once() {
    for homes in [&["east"][..], &["nowhere"][..]] {
        let one = RouteTarget::Service("one".to_string());
        for target in [one, shards(6)] {
            let mut harness = world(target, homes, &[LOCAL_DOMAIN, FARTHER], &[BESIDE, FAR]);
            harness.call("q");
            assert_eq!(harness.sends.len(), 0, "{homes:?}");
            let answers = harness.answers.iter();
            let refused = answers.filter(|(_, answer)| {
                let ForwardAnswer::Failure { failure, .. } = answer else {
                    return false;
                };
                *failure == ForwardFailure::NoServer || *failure == ForwardFailure::Overload
            });
            assert_eq!(refused.count(), 1, "{homes:?}");
        }
    }
}

#[test]
fn a_set_holds_its_regions_and_no_unknown_one() {
    let map = regions();
    let east = map.homes(&["east".to_string()]);
    assert!(east.holds(map.region_of(FAR)));
    assert!(!east.holds(map.region_of(LOCAL_DOMAIN)));
    assert!(!east.holds(map.region_of("unheard")));
    assert!(!east.holds(RegionKey::UNKNOWN));
    assert!(map.homes(&[]).holds(RegionKey::UNKNOWN));
    assert!(HomeSet::ANYWHERE.holds(map.region_of(FARTHER)));
    let many = HomeSet::of((0..200).map(RegionKey::new));
    assert!(many.holds(RegionKey::new(62)));
    assert!(!many.holds(RegionKey::new(63)));
}
