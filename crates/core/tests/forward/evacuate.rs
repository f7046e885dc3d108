//! Evacuated failure domains: their servers get no new requests.

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{route, server_announcement, shards, table, Harness, LOCAL_DOMAIN};

const OTHER_DOMAIN: &str = "other";

struct EvacuateCase {
    name: &'static str,
    /// Evacuated failure domains.
    evacuated: &'static [&'static str],
    /// Failure domains whose servers may get requests.
    expected_domains: &'static [&'static str],
}

const CASES: &[EvacuateCase] = &[
    EvacuateCase {
        name: "none",
        evacuated: &[],
        expected_domains: &[LOCAL_DOMAIN, OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "the local domain",
        evacuated: &[LOCAL_DOMAIN],
        expected_domains: &[OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "another domain",
        evacuated: &[OTHER_DOMAIN],
        expected_domains: &[LOCAL_DOMAIN],
    },
    EvacuateCase {
        name: "a domain that has no server",
        evacuated: &["elsewhere"],
        expected_domains: &[LOCAL_DOMAIN, OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "all",
        evacuated: &[LOCAL_DOMAIN, OTHER_DOMAIN],
        expected_domains: &[],
    },
];

/// Returns a harness with one server of each service in both failure domains.
fn evacuation_harness(target: RouteTarget) -> Harness {
    let mut harness = Harness::new();
    let rule = route("q", target);
    let services: Vec<String> = rule.services().map(str::to_string).collect();
    harness.set_table(table(1, vec![rule]));
    for service in services {
        for domain in [LOCAL_DOMAIN, OTHER_DOMAIN] {
            harness.add_server_in(&service, domain);
        }
    }
    harness
}

/// Gives the machine the complete list of evacuated domains.
fn evacuate(harness: &mut Harness, domains: &[&str]) {
    let domains = domains.iter().map(|domain| (*domain).into()).collect();
    harness.step(ForwardInput::EvacuatedDomains(domains));
}

#[test]
fn no_attempt_of_any_cause_goes_to_an_evacuated_domain() {
    for case in CASES {
        for target in [RouteTarget::Service("desk".into()), shards(6)] {
            let mut harness = evacuation_harness(target);
            evacuate(&mut harness, case.evacuated);
            for round in 0..8 {
                let first = harness.sends.len();
                harness.call("q");
                if round % 2 == 0 {
                    for send in first..harness.sends.len() {
                        harness.end(send, AttemptResult::Broken);
                    }
                }
                harness.advance(120);
            }
            for order in &harness.sends {
                let is_expected = case
                    .expected_domains
                    .iter()
                    .any(|domain| order.instance.ends_with(domain));
                assert!(is_expected, "{}: sent to {}", case.name, order.instance);
            }
            assert_eq!(
                harness.sends.is_empty(),
                case.expected_domains.is_empty(),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn a_request_is_refused_at_once_if_all_domains_are_evacuated() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    evacuate(&mut harness, &[LOCAL_DOMAIN, OTHER_DOMAIN]);
    let call = harness.call("q");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn outstanding_attempts_finish_and_returned_domains_get_requests_again() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    let call = harness.call("q");
    let server_id = harness.sends[0].instance.clone();
    evacuate(&mut harness, &[LOCAL_DOMAIN, OTHER_DOMAIN]);
    assert!(harness.cancels.is_empty());
    harness.answer_ok(0, b"");
    assert!(harness.answer_to(call).is_some(), "{server_id} finishes");
    evacuate(&mut harness, &[]);
    let second_call = harness.call("q");
    assert!(harness.failure_of(second_call).is_none());
    assert_eq!(harness.sends.len(), 2);
}

#[test]
fn a_server_that_starts_in_an_evacuated_domain_gets_no_requests() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    evacuate(&mut harness, &[LOCAL_DOMAIN]);
    let new_server = server_announcement("late", "desk", LOCAL_DOMAIN, 5000);
    harness.step(ForwardInput::Announcement(new_server));
    for _ in 0..10 {
        harness.call("q");
    }
    assert!(harness
        .sends
        .iter()
        .all(|order| order.instance.ends_with(OTHER_DOMAIN)));
}
