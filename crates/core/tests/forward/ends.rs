//! Outcomes of requests to a single service: retries, hedges, time-outs, refusals,
//! and the servers that may get a request.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput, ServerAnswer};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, route, server_announcement, table, Harness, LOCAL_DOMAIN};

/// Returns an answer by which the server states that it did not run the request.
fn not_run(status: u16) -> AttemptResult {
    AttemptResult::Answer(ServerAnswer {
        not_run: true,
        ..answer(status, "s", b"")
    })
}

struct EndCase {
    name: &'static str,
    idempotent: bool,
    end: AttemptResult,
    /// Number of attempts after the first has this result.
    sends: usize,
    /// Failure of the request if a second attempt has the same result; `None` if
    /// the request gets a server's answer.
    failure: Option<ForwardFailure>,
}

#[test]
fn a_request_is_retried_only_if_that_is_safe() {
    let cases = [
        EndCase {
            name: "idempotent, connection broken",
            idempotent: true,
            end: AttemptResult::Broken,
            sends: 2,
            failure: Some(ForwardFailure::Failed),
        },
        EndCase {
            name: "not idempotent, connection broken",
            idempotent: false,
            end: AttemptResult::Broken,
            sends: 1,
            failure: Some(ForwardFailure::Failed),
        },
        EndCase {
            name: "not idempotent, not sent",
            idempotent: false,
            end: AttemptResult::Unsent,
            sends: 2,
            failure: Some(ForwardFailure::NoServer),
        },
        EndCase {
            name: "not idempotent, known not to have run",
            idempotent: false,
            end: not_run(503),
            sends: 2,
            failure: Some(ForwardFailure::RejectedByServers),
        },
        EndCase {
            name: "not idempotent, the server failed",
            idempotent: false,
            end: AttemptResult::Answer(answer(500, "s", b"no")),
            sends: 1,
            failure: None,
        },
        EndCase {
            name: "idempotent, the server failed",
            idempotent: true,
            end: AttemptResult::Answer(answer(500, "s", b"no")),
            sends: 2,
            failure: None,
        },
        EndCase {
            name: "a client error is an answer",
            idempotent: true,
            end: AttemptResult::Answer(answer(404, "s", b"")),
            sends: 1,
            failure: None,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let mut rule = route("a", RouteTarget::Service("desk".into()));
        rule.idempotent = case.idempotent;
        harness.set_table(table(1, vec![rule]));
        harness.add_servers("desk", 2);
        let call = harness.call("a");
        harness.end(0, case.end.clone());
        assert_eq!(harness.sends.len(), case.sends, "{}", case.name);
        if case.sends == 2 {
            assert_ne!(harness.sends[0].server, harness.sends[1].server);
            harness.end(1, case.end.clone());
        }
        assert!(harness.answer_to(call).is_some(), "{}", case.name);
        assert_eq!(harness.failure_of(call), case.failure, "{}", case.name);
    }
}

#[test]
fn a_request_without_servers_is_refused_at_once() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    let call = harness.call("a");
    let Some(ForwardAnswer::Failure {
        failure,
        retry_after,
    }) = harness.answer_to(call)
    else {
        panic!("the request was not refused");
    };
    assert_eq!(*failure, ForwardFailure::NoServer);
    assert!(retry_after.is_some(), "the refusal says when to retry");
}

#[test]
fn a_missing_table_and_a_missing_route_are_different_failures() {
    let mut harness = Harness::new();
    let without_table = harness.call("a");
    assert_eq!(
        harness.failure_of(without_table),
        Some(ForwardFailure::NoTable)
    );
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    let without_route = harness.call("b");
    assert_eq!(
        harness.failure_of(without_route),
        Some(ForwardFailure::NoRoute)
    );
}

#[test]
fn a_request_times_out_at_its_limit_and_its_attempt_is_cancelled() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 1);
    let unanswered = harness.call("a");
    harness.advance(1000);
    assert_eq!(
        harness.failure_of(unanswered),
        Some(ForwardFailure::TimedOut)
    );
    harness.advance(500);
    assert_eq!(harness.cancels.len(), 1, "the orphan attempt is cancelled");
}

#[test]
fn a_slow_server_is_hedged_within_the_budget() {
    for (slack, sends) in [(1000.0, 2), (0.0, 1)] {
        let mut harness = Harness::with_bound(ExtraBound {
            ratio: 0.0,
            slack,
            window: Duration::from_secs(10),
        });
        harness.set_table(table(
            1,
            vec![route("a", RouteTarget::Service("desk".into()))],
        ));
        harness.add_servers("desk", 2);
        harness.call("a");
        harness.advance(90);
        assert_eq!(harness.sends.len(), sends, "slack {slack}");
    }
}

#[test]
fn a_request_that_is_not_idempotent_is_never_hedged() {
    let mut harness = Harness::new();
    let mut rule = route("a", RouteTarget::Service("desk".into()));
    rule.idempotent = false;
    harness.set_table(table(1, vec![rule]));
    harness.add_servers("desk", 2);
    harness.call("a");
    harness.advance(900);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn a_server_that_left_gets_no_requests_even_after_an_outdated_announcement() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 1);
    harness.step(ForwardInput::Announcement(ServerAnnouncement::gone(
        "desk-0", 0,
    )));
    let outdated = ServerAnnouncement {
        sequence: 50,
        ..server_announcement("desk-0", "desk", LOCAL_DOMAIN, 1000)
    };
    harness.step(ForwardInput::Announcement(outdated));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn an_address_taken_over_by_another_service_is_not_used_for_the_former_one() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.step(ForwardInput::Announcement(server_announcement(
        "old",
        "desk",
        LOCAL_DOMAIN,
        1000,
    )));
    harness.step(ForwardInput::Announcement(server_announcement(
        "new",
        "other",
        LOCAL_DOMAIN,
        1000,
    )));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn a_server_that_answers_misdirected_gets_no_further_requests() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 1);
    harness.call("a");
    harness.end(0, AttemptResult::Answer(answer(421, "s", b"")));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn a_request_keeps_the_table_it_was_admitted_with() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 2);
    harness.add_servers("shelf", 1);
    let call = harness.call("a");
    harness.set_table(table(
        2,
        vec![route("a", RouteTarget::Service("shelf".into()))],
    ));
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.end(0, AttemptResult::Broken);
    assert!(harness.sends[1].instance.starts_with("desk"));
    harness.answer_ok(1, b"");
    assert!(harness.failure_of(call).is_none());
    harness.call("a");
    assert!(harness.sends[2].instance.starts_with("shelf"));
}

#[test]
fn the_connections_to_a_server_are_divided_among_the_entries() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 1);
    harness.step(ForwardInput::EntryCount(40));
    for _ in 0..5 {
        harness.call("a");
    }
    assert_eq!(harness.sends.len(), 2, "100 connections, 40 entries");
    harness.answer_ok(0, b"");
    assert_eq!(harness.sends.len(), 3, "a queued request goes next");
}

/// Guards against a server that gets no request ever again after some failures: its failure
/// rate fell only with further answers, and the other servers were always preferred.
#[test]
fn a_server_that_failed_is_tried_again_after_some_time() {
    for idempotent in [true, false] {
        let mut harness = Harness::new();
        let mut rule = route("a", RouteTarget::Service("desk".into()));
        rule.idempotent = idempotent;
        harness.set_table(table(1, vec![rule]));
        harness.add_servers("desk", 2);
        let mut next = 0;
        let mut send_all = |harness: &mut Harness, is_failing: bool| {
            harness.call("a");
            let mut has_first = false;
            while next < harness.sends.len() {
                let is_first = *harness.sends[next].instance == *"desk-0";
                has_first |= is_first;
                harness.advance(10);
                if is_first && is_failing {
                    harness.end(next, AttemptResult::Answer(answer(500, "s", b"")));
                } else {
                    harness.answer_ok(next, b"");
                }
                next += 1;
            }
            harness.advance(100);
            has_first
        };
        for _ in 0..100 {
            send_all(&mut harness, true);
        }
        let first_again = (0..1000).position(|_| send_all(&mut harness, false));
        assert!(first_again.is_some(), "idempotent {idempotent}");
    }
}
