//! Servers that start again under the id that they had, and notices that other
//! writers made.

use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{
    AnnouncementEffect, AnnouncementPosition, ServerAnnouncement, ServerDirectory, ServerLifecycle,
};
use wheelmast_core::process::forward::input::{AttemptEnd, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, notice, route, table, Harness, HOME};

const START: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(5);

fn life(born: u64, sequence: u64) -> ServerAnnouncement {
    ServerAnnouncement {
        born,
        sequence,
        ..notice("desk-0", "desk", HOME, 1)
    }
}

fn standing(born: u64, sequence: u64, standing: ServerLifecycle) -> ServerAnnouncement {
    ServerAnnouncement {
        standing,
        ..life(born, sequence)
    }
}

struct LifeCase {
    name: &'static str,
    news: Vec<ServerAnnouncement>,
    effect: AnnouncementEffect,
    held: (u64, u64, ServerLifecycle),
}

#[test]
fn the_latest_life_holds_whatever_comes_late() {
    use ServerLifecycle::{Draining, Gone, Ready};
    let cases = [
        LifeCase {
            name: "counts start anew",
            news: vec![life(10, 90), life(20, 1)],
            effect: AnnouncementEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "it was gone",
            news: vec![ServerAnnouncement::gone("desk-0", 10), life(20, 1)],
            effect: AnnouncementEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "it was leaving",
            news: vec![standing(10, 9, Draining), life(20, 1)],
            effect: AnnouncementEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "an old sign of life",
            news: vec![life(20, 1), life(10, 91)],
            effect: AnnouncementEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "the old life's leaving",
            news: vec![life(20, 1), standing(10, 91, Draining)],
            effect: AnnouncementEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "the old life's end",
            news: vec![life(20, 1), ServerAnnouncement::gone("desk-0", 10)],
            effect: AnnouncementEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "an end that names no life is this one's",
            news: vec![life(20, 1), ServerAnnouncement::gone("desk-0", 0)],
            effect: AnnouncementEffect::Changed,
            held: (20, u64::MAX, Gone),
        },
        LifeCase {
            name: "another writer's service",
            news: vec![
                life(20, 1),
                ServerAnnouncement {
                    service: "other".into(),
                    ..life(20, 50)
                },
                life(20, 2),
            ],
            effect: AnnouncementEffect::Renewed,
            held: (20, 2, Ready),
        },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        let mut effect = AnnouncementEffect::Stale;
        for news in case.news {
            effect = directory.apply(news, START);
        }
        assert_eq!(effect, case.effect, "{}", case.name);
        let held = &directory.get("desk-0").expect("known").notice;
        let found = (held.born, held.sequence, held.standing);
        assert_eq!(found, case.held, "{}", case.name);
    }
}

#[test]
fn a_word_of_the_old_life_does_not_renew_the_new_one() {
    let mut directory = ServerDirectory::default();
    directory.apply(life(20, 1), START);
    let old = AnnouncementPosition {
        born: 10,
        sequence: 500,
    };
    directory.renew_lease("desk-0", old, START + LEASE);
    assert_eq!(
        directory.apply(life(20, 2), START),
        AnnouncementEffect::Renewed
    );
}

#[test]
fn a_server_that_became_cold_again_is_news() {
    let cold = |sequence, cold_ms| ServerAnnouncement {
        cold_ms,
        ..life(20, sequence)
    };
    let mut directory = ServerDirectory::default();
    directory.apply(cold(1, 3000), START);
    let second = Duration::from_secs(1);
    assert_eq!(
        directory.apply(cold(2, 2000), START + second),
        AnnouncementEffect::Renewed
    );
    assert_eq!(
        directory.apply(cold(3, 0), START + second * 4),
        AnnouncementEffect::Renewed
    );
    assert_eq!(
        directory.apply(cold(4, 3000), START + second * 5),
        AnnouncementEffect::Changed
    );
}

#[test]
fn nothing_of_the_old_life_is_left_at_an_entry() {
    let mut harness = Harness::new();
    harness.obey(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    harness.step(ForwardInput::Notice(life(10, 90)));
    for _ in 0..4 {
        harness.call("q");
        let send = harness.sends.len() - 1;
        harness.end(send, AttemptEnd::Broken);
        harness.pass(5);
    }
    let old = harness.sends[0].server;
    harness.step(ForwardInput::Notice(life(20, 1)));
    assert!(harness.closes > 0, "its idle connections are closed");
    assert_eq!(harness.machine.server_count(), 1);
    let first = harness.sends.len();
    harness.call("q");
    assert_eq!(harness.sends.len(), first + 1);
    assert_ne!(
        harness.sends[first].server, old,
        "it is a server of its own"
    );
    assert_eq!(&*harness.sends[first].instance, "desk-0");
    // What the old life said comes late.
    harness.step(ForwardInput::Notice(ServerAnnouncement::gone("desk-0", 10)));
    assert_eq!(harness.machine.server_count(), 1);
}

/// A server ended and came back at its address under another id; an entry that
/// starts then is told of both, in no order. One shard had no server for good at
/// such an entry: what was told last was taken for what lives, and the other one
/// for gone.
#[test]
fn of_two_lifetimes_at_an_address_the_one_that_answers_is_asked() {
    for told in [["desk-old", "desk-new"], ["desk-new", "desk-old"]] {
        let mut harness = Harness::new();
        let target = RouteTarget::Service("desk".into());
        harness.obey(table(3, vec![route("q", target)]));
        for id in told {
            harness.step(ForwardInput::Notice(notice(id, "desk", HOME, 1)));
        }
        for _ in 0..4 {
            let call = harness.call("q");
            while harness.answer_to(call).is_none() {
                let send = harness.sends.len() - 1;
                if *harness.sends[send].instance == *"desk-new" {
                    harness.end_well(send, b"");
                } else {
                    let mut other = answer(421, "", b"");
                    other.not_run = true;
                    harness.end(send, AttemptEnd::Answer(other));
                }
            }
            let is_served = matches!(harness.answer_to(call), Some(ForwardAnswer::Server(_)));
            assert!(is_served, "{told:?}");
        }
    }
}
