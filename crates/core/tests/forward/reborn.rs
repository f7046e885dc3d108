//! Servers that start again under the id that they had, and notices that other
//! writers made.

use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{
    LifeMark, NoticeEffect, ServerDirectory, ServerNotice, ServerStanding,
};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, notice, route, table, Harness, LOCAL_DOMAIN};

const START: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(5);

fn life(born: u64, sequence: u64) -> ServerNotice {
    ServerNotice {
        born,
        sequence,
        ..notice("desk-0", "desk", LOCAL_DOMAIN, 1)
    }
}

fn standing(born: u64, sequence: u64, standing: ServerStanding) -> ServerNotice {
    ServerNotice {
        standing,
        ..life(born, sequence)
    }
}

struct LifeCase {
    name: &'static str,
    news: Vec<ServerNotice>,
    effect: NoticeEffect,
    held: (u64, u64, ServerStanding),
}

#[test]
fn the_latest_life_holds_whatever_comes_late() {
    use ServerStanding::{Draining, Gone, Ready};
    let cases = [
        LifeCase {
            name: "counts start anew",
            news: vec![life(10, 90), life(20, 1)],
            effect: NoticeEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "it was gone",
            news: vec![ServerNotice::gone("desk-0", 10), life(20, 1)],
            effect: NoticeEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "it was leaving",
            news: vec![standing(10, 9, Draining), life(20, 1)],
            effect: NoticeEffect::Changed,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "an old sign of life",
            news: vec![life(20, 1), life(10, 91)],
            effect: NoticeEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "the old life's leaving",
            news: vec![life(20, 1), standing(10, 91, Draining)],
            effect: NoticeEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "the old life's end",
            news: vec![life(20, 1), ServerNotice::gone("desk-0", 10)],
            effect: NoticeEffect::Stale,
            held: (20, 1, Ready),
        },
        LifeCase {
            name: "an end that names no life is this one's",
            news: vec![life(20, 1), ServerNotice::gone("desk-0", 0)],
            effect: NoticeEffect::Changed,
            held: (20, u64::MAX, Gone),
        },
        LifeCase {
            name: "another writer's service",
            news: vec![
                life(20, 1),
                ServerNotice {
                    service: "other".into(),
                    ..life(20, 50)
                },
                life(20, 2),
            ],
            effect: NoticeEffect::Renewed,
            held: (20, 2, Ready),
        },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        let mut effect = NoticeEffect::Stale;
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
    let old = LifeMark {
        born: 10,
        sequence: 500,
    };
    directory.renew("desk-0", old, START + LEASE);
    assert_eq!(directory.apply(life(20, 2), START), NoticeEffect::Renewed);
}

#[test]
fn a_server_that_became_cold_again_is_news() {
    let cold = |sequence, cold_ms| ServerNotice {
        cold_ms,
        ..life(20, sequence)
    };
    let mut directory = ServerDirectory::default();
    directory.apply(cold(1, 3000), START);
    let second = Duration::from_secs(1);
    assert_eq!(
        directory.apply(cold(2, 2000), START + second),
        NoticeEffect::Renewed
    );
    assert_eq!(
        directory.apply(cold(3, 0), START + second * 4),
        NoticeEffect::Renewed
    );
    assert_eq!(
        directory.apply(cold(4, 3000), START + second * 5),
        NoticeEffect::Changed
    );
}

#[test]
fn nothing_of_the_old_life_is_left_at_an_entry() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    harness.step(ForwardInput::Announcement(life(10, 90)));
    for _ in 0..4 {
        harness.call("q");
        let send = harness.sends.len() - 1;
        harness.end(send, AttemptResult::Broken);
        harness.advance(5);
    }
    let old = harness.sends[0].server;
    harness.step(ForwardInput::Announcement(life(20, 1)));
    assert!(harness.idle_closes > 0, "its idle connections are closed");
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
    harness.step(ForwardInput::Announcement(ServerNotice::gone("desk-0", 10)));
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
        harness.set_table(table(3, vec![route("q", target)]));
        for id in told {
            harness.step(ForwardInput::Announcement(notice(
                id,
                "desk",
                LOCAL_DOMAIN,
                1,
            )));
        }
        for _ in 0..4 {
            let call = harness.call("q");
            while harness.answer_to(call).is_none() {
                let send = harness.sends.len() - 1;
                if *harness.sends[send].instance == *"desk-new" {
                    harness.answer_ok(send, b"");
                } else {
                    let mut other = answer(421, "", b"");
                    other.not_run = true;
                    harness.end(send, AttemptResult::Answer(other));
                }
            }
            let is_served = matches!(harness.answer_to(call), Some(ForwardAnswer::Server(_)));
            assert!(is_served, "{told:?}");
        }
    }
}
