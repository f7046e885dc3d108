//! Failure domains out of use: their servers get nothing new.

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{AttemptEnd, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{notice, route, shards, table, Harness, HOME};

const OTHER: &str = "other";

struct EvacuateCase {
    name: &'static str,
    out: &'static [&'static str],
    /// Failure domains that are asked.
    asked: &'static [&'static str],
}

const CASES: &[EvacuateCase] = &[
    EvacuateCase {
        name: "none",
        out: &[],
        asked: &[HOME, OTHER],
    },
    EvacuateCase {
        name: "the own",
        out: &[HOME],
        asked: &[OTHER],
    },
    EvacuateCase {
        name: "another",
        out: &[OTHER],
        asked: &[HOME],
    },
    EvacuateCase {
        name: "one that has no server",
        out: &["elsewhere"],
        asked: &[HOME, OTHER],
    },
    EvacuateCase {
        name: "all",
        out: &[HOME, OTHER],
        asked: &[],
    },
];

fn world(target: RouteTarget) -> Harness {
    let mut harness = Harness::new();
    let rule = route("q", target);
    let services: Vec<String> = rule.services().map(str::to_string).collect();
    harness.obey(table(1, vec![rule]));
    for service in services {
        for domain in [HOME, OTHER] {
            harness.serve_in(&service, domain);
        }
    }
    harness
}

fn take_out(harness: &mut Harness, domains: &[&str]) {
    let domains = domains.iter().map(|domain| (*domain).into()).collect();
    harness.step(ForwardInput::Evacuated(domains));
}

#[test]
fn no_send_of_any_cause_goes_to_a_domain_out_of_use() {
    for case in CASES {
        for target in [RouteTarget::Service("desk".into()), shards(6)] {
            let mut harness = world(target);
            take_out(&mut harness, case.out);
            for round in 0..8 {
                let first = harness.sends.len();
                harness.call("q");
                if round % 2 == 0 {
                    for send in first..harness.sends.len() {
                        harness.end(send, AttemptEnd::Broken);
                    }
                }
                harness.pass(120);
            }
            for order in &harness.sends {
                let is_asked = case
                    .asked
                    .iter()
                    .any(|domain| order.instance.ends_with(domain));
                assert!(is_asked, "{}: asked {}", case.name, order.instance);
            }
            assert_eq!(
                harness.sends.is_empty(),
                case.asked.is_empty(),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn with_all_out_of_use_a_request_is_refused_at_once_and_truly() {
    let mut harness = world(RouteTarget::Service("desk".into()));
    take_out(&mut harness, &[HOME, OTHER]);
    let call = harness.call("q");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn what_runs_is_finished_and_what_comes_back_is_asked_again() {
    let mut harness = world(RouteTarget::Service("desk".into()));
    let call = harness.call("q");
    let was_asked = harness.sends[0].instance.clone();
    take_out(&mut harness, &[HOME, OTHER]);
    assert!(harness.cancels.is_empty());
    harness.end_well(0, b"");
    assert!(harness.answer_to(call).is_some(), "{was_asked} finishes");
    take_out(&mut harness, &[]);
    let again = harness.call("q");
    assert!(harness.failure_of(again).is_none());
    assert_eq!(harness.sends.len(), 2);
}

#[test]
fn a_server_that_starts_in_a_domain_out_of_use_gets_nothing() {
    let mut harness = world(RouteTarget::Service("desk".into()));
    take_out(&mut harness, &[HOME]);
    let late = notice("late", "desk", HOME, 5000);
    harness.step(ForwardInput::Notice(late));
    for _ in 0..10 {
        harness.call("q");
    }
    assert!(harness
        .sends
        .iter()
        .all(|order| order.instance.ends_with(OTHER)));
}
