//! Versions of servers while a service is rolled out.

use wheelmast_core::process::control::rollout::RolloutState;
use wheelmast_core::process::forward::directory::ServerNotice;
use wheelmast_core::process::forward::input::{AttemptEnd, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::rollout::share::CanaryBound;
use wheelmast_core::process::rollout::{RolloutView, VersionOutcomes};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, notice, route, table, Harness, HOME};

fn serve(harness: &mut Harness, id: &str, version: &str) {
    let port = 2000 + id.bytes().map(u16::from).sum::<u16>();
    let plain = notice(id, "desk", HOME, port);
    harness.step(ForwardInput::Notice(ServerNotice {
        version: version.into(),
        ..plain
    }));
}

fn view(state: RolloutState, order: u64) -> ForwardInput {
    ForwardInput::Rollouts(vec![RolloutView {
        service: "desk".into(),
        target: "v2".into(),
        state,
        order,
    }])
}

/// One old server and one of the new version, and as many tries as one likes.
fn world() -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: HOME.into(),
        canary_bound: CanaryBound {
            share: 0.4,
            slack: 20.0,
        },
        ..ForwardOptions::default()
    });
    harness.obey(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    serve(&mut harness, "old", "v1");
    serve(&mut harness, "new", "v2");
    harness.step(ForwardInput::Heard);
    harness
}

/// Makes requests that are answered at once; returns how many went to the new
/// version.
fn requests(harness: &mut Harness, count: usize) -> usize {
    let mut new = 0;
    for _ in 0..count {
        let send = harness.sends.len();
        harness.call("q");
        new += usize::from(&*harness.sends[send].instance == "new");
        harness.end_well(send, b"done");
    }
    new
}

struct StateCase {
    state: RolloutState,
    /// Least and most of 200 requests that go to the new version.
    new: (usize, usize),
}

#[test]
fn each_state_of_a_roll_out_says_which_version_is_asked() {
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
        let mut harness = world();
        harness.step(view(case.state, 1));
        let new = requests(&mut harness, 200);
        let (least, most) = case.new;
        assert!((least..=most).contains(&new), "{:?}: {new}", case.state);
    }
}

#[test]
fn an_entry_that_hears_nothing_tries_no_new_version() {
    let mut harness = world();
    harness.step(view(RolloutState::Trying, 1));
    assert!(requests(&mut harness, 100) > 0);
    harness.pass(2500);
    assert_eq!(requests(&mut harness, 100), 0);
    harness.step(ForwardInput::Heard);
    assert!(requests(&mut harness, 100) > 0);
}

#[test]
fn a_repeat_goes_to_the_old_version() {
    let mut harness = world();
    serve(&mut harness, "old-two", "v1");
    harness.step(view(RolloutState::Trying, 1));
    for _ in 0..100 {
        let send = harness.sends.len();
        harness.call("q");
        harness.end(send, AttemptEnd::Answer(answer(500, "s", b"")));
        if let Some(repeat) = harness.sends.get(send + 1) {
            assert_ne!(&*repeat.instance, "new");
            harness.end_well(send + 1, b"done");
        }
        harness.pass(20);
        harness.step(ForwardInput::Heard);
    }
}

#[test]
fn a_server_of_a_rolled_back_version_that_comes_later_gets_nothing() {
    let mut harness = world();
    harness.step(view(RolloutState::RolledBack, 1));
    serve(&mut harness, "new", "v2");
    serve(&mut harness, "later", "v2");
    let before = harness.sends.len();
    requests(&mut harness, 50);
    let mut sent = harness.sends[before..].iter();
    assert!(sent.all(|send| &*send.instance == "old"));
    // A new order tries it once more.
    harness.step(view(RolloutState::Trying, 3));
    assert!(requests(&mut harness, 100) > 0);
}

#[test]
fn servers_that_come_after_a_roll_out_are_asked_whatever_their_version() {
    let mut harness = world();
    harness.step(view(RolloutState::Completed, 1));
    serve(&mut harness, "next", "v3");
    let before = harness.sends.len();
    requests(&mut harness, 200);
    let asked = |id: &str| {
        harness.sends[before..]
            .iter()
            .any(|send| &*send.instance == id)
    };
    assert!(asked("next") && asked("new") && !asked("old"));
}

#[test]
fn failures_and_slow_answers_are_told_by_version_and_route() {
    let mut harness = world();
    harness.step(view(RolloutState::Moving, 7));
    for (number, status) in [200, 200, 500].into_iter().enumerate() {
        let send = harness.sends.len();
        harness.call("q");
        // The route's usual time is not known yet: 15 ms are taken for it.
        harness.pass(if number == 1 { 90 } else { 5 });
        harness.end(send, AttemptEnd::Answer(answer(status, "s", b"")));
        for repeat in send + 1..harness.sends.len() {
            harness.end_well(repeat, b"done");
        }
    }
    let tallies = harness.machine.take_tallies();
    let new: Vec<&VersionOutcomes> = tallies.iter().filter(|tally| tally.is_target).collect();
    assert_eq!(new.len(), 1, "{tallies:?}");
    assert_eq!((new[0].order, &*new[0].route), (7, "q"));
    assert_eq!((new[0].answers, new[0].bad), (3, 2), "{tallies:?}");
    assert!(harness.machine.take_tallies().is_empty());
}

/// What operators saw: beside a busy machine a good version was rolled back, as
/// answers that usually take a millisecond took a few.
#[test]
fn an_answer_that_is_far_within_the_objective_is_not_slow() {
    let mut harness = world();
    // The route's usual time becomes a millisecond.
    for _ in 0..200 {
        let send = harness.sends.len();
        harness.call("q");
        harness.pass(1);
        harness.end_well(send, b"done");
    }
    harness.step(ForwardInput::Heard);
    harness.step(view(RolloutState::Moving, 1));
    for _ in 0..20 {
        let send = harness.sends.len();
        harness.call("q");
        harness.pass(8);
        harness.end_well(send, b"done");
    }
    let tallies = harness.machine.take_tallies();
    let bad: u32 = tallies.iter().map(|tally| tally.bad).sum();
    assert_eq!(bad, 0, "{tallies:?}");
}
