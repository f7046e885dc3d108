//! Failure domains out of use: their servers get nothing new.

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{notice, route, shards, table, Harness, LOCAL_DOMAIN};

const OTHER_DOMAIN: &str = "other";

struct EvacuateCase {
    name: &'static str,
    evacuated: &'static [&'static str],
    /// Failure domains that are asked.
    expected_domains: &'static [&'static str],
}

const CASES: &[EvacuateCase] = &[
    EvacuateCase {
        name: "none",
        evacuated: &[],
        expected_domains: &[LOCAL_DOMAIN, OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "the own",
        evacuated: &[LOCAL_DOMAIN],
        expected_domains: &[OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "another",
        evacuated: &[OTHER_DOMAIN],
        expected_domains: &[LOCAL_DOMAIN],
    },
    EvacuateCase {
        name: "one that has no server",
        evacuated: &["elsewhere"],
        expected_domains: &[LOCAL_DOMAIN, OTHER_DOMAIN],
    },
    EvacuateCase {
        name: "all",
        evacuated: &[LOCAL_DOMAIN, OTHER_DOMAIN],
        expected_domains: &[],
    },
];

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

fn evacuate(harness: &mut Harness, domains: &[&str]) {
    let domains = domains.iter().map(|domain| (*domain).into()).collect();
    harness.step(ForwardInput::EvacuatedDomains(domains));
}

#[test]
fn no_send_of_any_cause_goes_to_a_domain_out_of_use() {
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
                let is_asked = case
                    .expected_domains
                    .iter()
                    .any(|domain| order.instance.ends_with(domain));
                assert!(is_asked, "{}: asked {}", case.name, order.instance);
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
fn with_all_out_of_use_a_request_is_refused_at_once_and_truly() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    evacuate(&mut harness, &[LOCAL_DOMAIN, OTHER_DOMAIN]);
    let call = harness.call("q");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn what_runs_is_finished_and_what_comes_back_is_asked_again() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    let call = harness.call("q");
    let was_asked = harness.sends[0].instance.clone();
    evacuate(&mut harness, &[LOCAL_DOMAIN, OTHER_DOMAIN]);
    assert!(harness.cancels.is_empty());
    harness.answer_ok(0, b"");
    assert!(harness.answer_to(call).is_some(), "{was_asked} finishes");
    evacuate(&mut harness, &[]);
    let again = harness.call("q");
    assert!(harness.failure_of(again).is_none());
    assert_eq!(harness.sends.len(), 2);
}

#[test]
fn a_server_that_starts_in_a_domain_out_of_use_gets_nothing() {
    let mut harness = evacuation_harness(RouteTarget::Service("desk".into()));
    evacuate(&mut harness, &[LOCAL_DOMAIN]);
    let late = notice("late", "desk", LOCAL_DOMAIN, 5000);
    harness.step(ForwardInput::Announcement(late));
    for _ in 0..10 {
        harness.call("q");
    }
    assert!(harness
        .sends
        .iter()
        .all(|order| order.instance.ends_with(OTHER_DOMAIN)));
}
