//! Routing between server versions while a service is rolled out.

use wheelmast_core::process::control::rollout::RolloutState;
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::rollout::share::CanaryBound;
use wheelmast_core::process::rollout::{RolloutView, VersionOutcomes};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, route, server_announcement, table, Harness, LOCAL_DOMAIN};

/// Announces a server of the service `desk` with this id and version.
fn add_servers(harness: &mut Harness, id: &str, version: &str) {
    let port = 2000 + id.bytes().map(u16::from).sum::<u16>();
    let plain = server_announcement(id, "desk", LOCAL_DOMAIN, port);
    harness.step(ForwardInput::Announcement(ServerAnnouncement {
        version: version.into(),
        ..plain
    }));
}

/// Returns the input that announces a roll-out of `desk` to version `v2`.
fn view(state: RolloutState, order: u64) -> ForwardInput {
    ForwardInput::Rollouts(vec![RolloutView {
        service: "desk".into(),
        target: "v2".into(),
        state,
        order,
    }])
}

/// Returns a harness with one server of the old and one of the new version. The canary
/// bound is high enough not to limit the tests.
fn new_harness() -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        canary_bound: CanaryBound {
            share: 0.4,
            slack: 20.0,
        },
        ..ForwardOptions::default()
    });
    harness.set_table(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    add_servers(&mut harness, "old", "v1");
    add_servers(&mut harness, "new", "v2");
    harness.step(ForwardInput::ControlContact);
    harness
}

/// Makes `count` requests that are answered immediately. Returns how many went to the
/// new version.
fn requests(harness: &mut Harness, count: usize) -> usize {
    let mut new = 0;
    for _ in 0..count {
        let send = harness.sends.len();
        harness.call("q");
        new += usize::from(&*harness.sends[send].instance == "new");
        harness.answer_ok(send, b"done");
    }
    new
}

struct StateCase {
    state: RolloutState,
    /// Minimum and maximum number of 200 requests that go to the new version.
    new: (usize, usize),
}

#[test]
fn the_state_of_a_roll_out_determines_which_version_gets_requests() {
    let cases = [
        StateCase {
            state: RolloutState::Trying,
            new: (10, 80),
        },
        StateCase {
            state: RolloutState::Moving,
            new: (200, 200),
        },
        StateCase {
            state: RolloutState::Completed,
            new: (200, 200),
        },
        StateCase {
            state: RolloutState::RolledBack,
            new: (0, 0),
        },
    ];
    for case in cases {
        let mut harness = new_harness();
        harness.step(view(case.state, 1));
        let new = requests(&mut harness, 200);
        let (least, most) = case.new;
        assert!((least..=most).contains(&new), "{:?}: {new}", case.state);
    }
}

#[test]
fn an_entry_without_control_contact_sends_nothing_to_a_new_version_under_test() {
    let mut harness = new_harness();
    harness.step(view(RolloutState::Trying, 1));
    assert!(requests(&mut harness, 100) > 0);
    harness.advance(2500);
    assert_eq!(requests(&mut harness, 100), 0);
    harness.step(ForwardInput::ControlContact);
    assert!(requests(&mut harness, 100) > 0);
}

#[test]
fn a_repeat_goes_to_the_old_version() {
    let mut harness = new_harness();
    add_servers(&mut harness, "old-two", "v1");
    harness.step(view(RolloutState::Trying, 1));
    for _ in 0..100 {
        let send = harness.sends.len();
        harness.call("q");
        harness.end(send, AttemptResult::Answer(answer(500, "s", b"")));
        if let Some(repeat) = harness.sends.get(send + 1) {
            assert_ne!(&*repeat.instance, "new");
            harness.answer_ok(send + 1, b"done");
        }
        harness.advance(20);
        harness.step(ForwardInput::ControlContact);
    }
}

#[test]
fn a_server_of_a_rolled_back_version_that_joins_later_gets_nothing() {
    let mut harness = new_harness();
    harness.step(view(RolloutState::RolledBack, 1));
    add_servers(&mut harness, "new", "v2");
    add_servers(&mut harness, "later", "v2");
    let before = harness.sends.len();
    requests(&mut harness, 50);
    let mut sent = harness.sends[before..].iter();
    assert!(sent.all(|send| &*send.instance == "old"));
    // A new roll-out order tests the version again.
    harness.step(view(RolloutState::Trying, 3));
    assert!(requests(&mut harness, 100) > 0);
}

#[test]
fn servers_that_join_after_a_roll_out_get_requests_whatever_their_version() {
    let mut harness = new_harness();
    harness.step(view(RolloutState::Completed, 1));
    add_servers(&mut harness, "next", "v3");
    let before = harness.sends.len();
    requests(&mut harness, 200);
    let got_requests = |id: &str| {
        harness.sends[before..]
            .iter()
            .any(|send| &*send.instance == id)
    };
    assert!(got_requests("next") && got_requests("new") && !got_requests("old"));
}

#[test]
fn failures_and_slow_answers_are_counted_by_version_and_route() {
    let mut harness = new_harness();
    harness.step(view(RolloutState::Moving, 7));
    for (number, status) in [200, 200, 500].into_iter().enumerate() {
        let send = harness.sends.len();
        harness.call("q");
        // The route's typical time is not known yet; 15 ms are assumed.
        harness.advance(if number == 1 { 90 } else { 5 });
        harness.end(send, AttemptResult::Answer(answer(status, "s", b"")));
        for repeat in send + 1..harness.sends.len() {
            harness.answer_ok(repeat, b"done");
        }
    }
    let outcomes = harness.machine.take_outcome_counts();
    let new: Vec<&VersionOutcomes> = outcomes
        .iter()
        .filter(|outcome| outcome.is_target)
        .collect();
    assert_eq!(new.len(), 1, "{outcomes:?}");
    assert_eq!((new[0].order, &*new[0].route), (7, "q"));
    assert_eq!((new[0].answers, new[0].bad), (3, 2), "{outcomes:?}");
    assert!(harness.machine.take_outcome_counts().is_empty());
}

/// Guards against the roll-back of a good version on a busy machine, where answers that
/// usually take 1 ms take a few milliseconds.
#[test]
fn an_answer_that_is_far_within_the_objective_is_not_slow() {
    let mut harness = new_harness();
    // The route's typical time becomes 1 ms.
    for _ in 0..200 {
        let send = harness.sends.len();
        harness.call("q");
        harness.advance(1);
        harness.answer_ok(send, b"done");
    }
    harness.step(ForwardInput::ControlContact);
    harness.step(view(RolloutState::Moving, 1));
    for _ in 0..20 {
        let send = harness.sends.len();
        harness.call("q");
        harness.advance(8);
        harness.answer_ok(send, b"done");
    }
    let outcomes = harness.machine.take_outcome_counts();
    let bad: u32 = outcomes.iter().map(|outcome| outcome.bad).sum();
    assert_eq!(bad, 0, "{outcomes:?}");
}
