//! How requests to one service end, and what is sent again.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{AttemptEnd, ForwardInput, ServerAnswer};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, notice, route, table, Harness, HOME};

fn not_run(status: u16) -> AttemptEnd {
    AttemptEnd::Answer(ServerAnswer {
        not_run: true,
        ..answer(status, "s", b"")
    })
}

struct EndCase {
    name: &'static str,
    idempotent: bool,
    end: AttemptEnd,
    /// Sends in all after the end.
    sends: usize,
    /// How the request ends if the second send ends the same way.
    failure: Option<ForwardFailure>,
}

#[test]
fn a_request_is_sent_again_only_where_that_is_safe() {
    let cases = [
        EndCase {
            name: "idempotent, broken",
            idempotent: true,
            end: AttemptEnd::Broken,
            sends: 2,
            failure: Some(ForwardFailure::Failed),
        },
        EndCase {
            name: "not idempotent, broken",
            idempotent: false,
            end: AttemptEnd::Broken,
            sends: 1,
            failure: Some(ForwardFailure::Failed),
        },
        EndCase {
            name: "not idempotent, unsent",
            idempotent: false,
            end: AttemptEnd::Unsent,
            sends: 2,
            failure: Some(ForwardFailure::NoServer),
        },
        EndCase {
            name: "not idempotent, known not to have run",
            idempotent: false,
            end: not_run(503),
            sends: 2,
            failure: Some(ForwardFailure::TurnedAway),
        },
        EndCase {
            name: "not idempotent, the server failed",
            idempotent: false,
            end: AttemptEnd::Answer(answer(500, "s", b"no")),
            sends: 1,
            failure: None,
        },
        EndCase {
            name: "idempotent, the server failed",
            idempotent: true,
            end: AttemptEnd::Answer(answer(500, "s", b"no")),
            sends: 2,
            failure: None,
        },
        EndCase {
            name: "a client's mistake is an answer",
            idempotent: true,
            end: AttemptEnd::Answer(answer(404, "s", b"")),
            sends: 1,
            failure: None,
        },
    ];
    for case in cases {
        let mut harness = Harness::new();
        let mut rule = route("a", RouteTarget::Service("desk".into()));
        rule.idempotent = case.idempotent;
        harness.obey(table(1, vec![rule]));
        harness.serve("desk", 2);
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
fn a_request_that_was_given_up_is_answered_at_once() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    let call = harness.call("a");
    let Some(ForwardAnswer::Failure {
        failure,
        retry_after,
    }) = harness.answer_to(call)
    else {
        panic!("it is refused");
    };
    assert_eq!(*failure, ForwardFailure::NoServer);
    assert!(retry_after.is_some(), "it is told when to come back");
}

#[test]
fn unknown_is_not_absent() {
    let mut harness = Harness::new();
    let early = harness.call("a");
    assert_eq!(harness.failure_of(early), Some(ForwardFailure::NoTable));
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    let other = harness.call("b");
    assert_eq!(harness.failure_of(other), Some(ForwardFailure::NoRoute));
}

#[test]
fn the_time_limit_is_kept_and_told_truly() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.serve("desk", 1);
    let ran = harness.call("a");
    harness.pass(1000);
    assert_eq!(harness.failure_of(ran), Some(ForwardFailure::Late));
    harness.pass(500);
    assert_eq!(harness.cancels.len(), 1, "nobody waits for it any more");
}

#[test]
fn a_slow_server_is_hedged_within_the_budget() {
    for (slack, sends) in [(1000.0, 2), (0.0, 1)] {
        let mut harness = Harness::with_bound(ExtraBound {
            ratio: 0.0,
            slack,
            window: Duration::from_secs(10),
        });
        harness.obey(table(
            1,
            vec![route("a", RouteTarget::Service("desk".into()))],
        ));
        harness.serve("desk", 2);
        harness.call("a");
        harness.pass(90);
        assert_eq!(harness.sends.len(), sends, "slack {slack}");
    }
}

#[test]
fn what_is_not_idempotent_is_never_hedged() {
    let mut harness = Harness::new();
    let mut rule = route("a", RouteTarget::Service("desk".into()));
    rule.idempotent = false;
    harness.obey(table(1, vec![rule]));
    harness.serve("desk", 2);
    harness.call("a");
    harness.pass(900);
    assert_eq!(harness.sends.len(), 1);
}

#[test]
fn a_leaving_server_gets_no_new_work_and_old_news_undo_nothing() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.serve("desk", 1);
    harness.step(ForwardInput::Notice(ServerAnnouncement::gone("desk-0", 0)));
    let late = ServerAnnouncement {
        sequence: 50,
        ..notice("desk-0", "desk", HOME, 1000)
    };
    harness.step(ForwardInput::Notice(late));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn an_address_that_changed_hands_is_not_used_for_the_former_service() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.step(ForwardInput::Notice(notice("old", "desk", HOME, 1000)));
    harness.step(ForwardInput::Notice(notice("new", "other", HOME, 1000)));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn a_server_that_is_another_one_is_not_asked_again() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.serve("desk", 1);
    harness.call("a");
    harness.end(0, AttemptEnd::Answer(answer(421, "s", b"")));
    let call = harness.call("a");
    assert_eq!(harness.failure_of(call), Some(ForwardFailure::NoServer));
}

#[test]
fn a_request_ends_with_the_table_it_began_with() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.serve("desk", 2);
    harness.serve("shelf", 1);
    let call = harness.call("a");
    harness.obey(table(
        2,
        vec![route("a", RouteTarget::Service("shelf".into()))],
    ));
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.end(0, AttemptEnd::Broken);
    assert!(harness.sends[1].instance.starts_with("desk"));
    harness.end_well(1, b"");
    assert!(harness.failure_of(call).is_none());
    harness.call("a");
    assert!(harness.sends[2].instance.starts_with("shelf"));
}

#[test]
fn connections_to_a_server_are_divided_over_the_entries() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("a", RouteTarget::Service("desk".into()))],
    ));
    harness.serve("desk", 1);
    harness.step(ForwardInput::Entries(40));
    for _ in 0..5 {
        harness.call("a");
    }
    assert_eq!(harness.sends.len(), 2, "100 connections, 40 entries");
    harness.end_well(0, b"");
    assert_eq!(harness.sends.len(), 3, "a request that waited goes next");
}
