//! Servers that restart under the same id, and conflicting announcements of two
//! servers under one id.

use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{
    AnnouncementEffect, AnnouncementPosition, ServerAnnouncement, ServerDirectory, ServerLifecycle,
};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{answer, route, server_announcement, table, Harness, LOCAL_DOMAIN};

const START: Duration = Duration::from_secs(1);
const LEASE: Duration = Duration::from_secs(5);

/// Returns an announcement of the incarnation that started at `born`.
fn incarnation(born: u64, sequence: u64) -> ServerAnnouncement {
    ServerAnnouncement {
        born,
        sequence,
        ..server_announcement("desk-0", "desk", LOCAL_DOMAIN, 1)
    }
}

/// Returns an announcement of that incarnation with the given lifecycle state.
fn in_state(born: u64, sequence: u64, standing: ServerLifecycle) -> ServerAnnouncement {
    ServerAnnouncement {
        standing,
        ..incarnation(born, sequence)
    }
}

struct IncarnationCase {
    name: &'static str,
    /// Announcements in the order in which they arrive.
    announcements: Vec<ServerAnnouncement>,
    /// Expected effect of the last announcement.
    effect: AnnouncementEffect,
    /// Expected start time, sequence number and lifecycle state on record.
    recorded: (u64, u64, ServerLifecycle),
}

#[test]
fn the_latest_incarnation_wins_over_late_announcements() {
    use ServerLifecycle::{Draining, Gone, Ready};
    let cases = [
        IncarnationCase {
            name: "the sequence number counts from 1 again",
            announcements: vec![incarnation(10, 90), incarnation(20, 1)],
            effect: AnnouncementEffect::Changed,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "the old incarnation was gone",
            announcements: vec![ServerAnnouncement::gone("desk-0", 10), incarnation(20, 1)],
            effect: AnnouncementEffect::Changed,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "the old incarnation was leaving",
            announcements: vec![in_state(10, 9, Draining), incarnation(20, 1)],
            effect: AnnouncementEffect::Changed,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "late heartbeat of the old incarnation",
            announcements: vec![incarnation(20, 1), incarnation(10, 91)],
            effect: AnnouncementEffect::Stale,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "late announcement that the old incarnation is leaving",
            announcements: vec![incarnation(20, 1), in_state(10, 91, Draining)],
            effect: AnnouncementEffect::Stale,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "late end of the old incarnation",
            announcements: vec![incarnation(20, 1), ServerAnnouncement::gone("desk-0", 10)],
            effect: AnnouncementEffect::Stale,
            recorded: (20, 1, Ready),
        },
        IncarnationCase {
            name: "an end without a start time applies to the current incarnation",
            announcements: vec![incarnation(20, 1), ServerAnnouncement::gone("desk-0", 0)],
            effect: AnnouncementEffect::Changed,
            recorded: (20, u64::MAX, Gone),
        },
        IncarnationCase {
            name: "an announcement of another service under the same id",
            announcements: vec![
                incarnation(20, 1),
                ServerAnnouncement {
                    service: "other".into(),
                    ..incarnation(20, 50)
                },
                incarnation(20, 2),
            ],
            effect: AnnouncementEffect::Renewed,
            recorded: (20, 2, Ready),
        },
    ];
    for case in cases {
        let mut directory = ServerDirectory::default();
        let mut effect = AnnouncementEffect::Stale;
        for announcement in case.announcements {
            effect = directory.apply(announcement, START);
        }
        assert_eq!(effect, case.effect, "{}", case.name);
        let record = &directory.get("desk-0").expect("known").announcement;
        let found = (record.born, record.sequence, record.standing);
        assert_eq!(found, case.recorded, "{}", case.name);
    }
}

#[test]
fn a_report_about_the_old_incarnation_does_not_renew_the_new_one() {
    let mut directory = ServerDirectory::default();
    directory.apply(incarnation(20, 1), START);
    let old = AnnouncementPosition {
        born: 10,
        sequence: 500,
    };
    directory.renew_lease("desk-0", old, START + LEASE);
    assert_eq!(
        directory.apply(incarnation(20, 2), START),
        AnnouncementEffect::Renewed
    );
}

#[test]
fn a_server_that_became_cold_again_counts_as_changed() {
    let cold = |sequence, cold_ms| ServerAnnouncement {
        cold_ms,
        ..incarnation(20, sequence)
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
fn an_entry_keeps_no_state_of_the_old_incarnation() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    harness.step(ForwardInput::Announcement(incarnation(10, 90)));
    for _ in 0..4 {
        harness.call("q");
        let send = harness.sends.len() - 1;
        harness.end(send, AttemptResult::Broken);
        harness.advance(5);
    }
    let old = harness.sends[0].server;
    harness.step(ForwardInput::Announcement(incarnation(20, 1)));
    assert!(
        harness.idle_closes > 0,
        "idle connections to the old incarnation are closed"
    );
    assert_eq!(harness.machine.server_count(), 1);
    let first = harness.sends.len();
    harness.call("q");
    assert_eq!(harness.sends.len(), first + 1);
    assert_ne!(
        harness.sends[first].server, old,
        "the new incarnation is a separate server"
    );
    assert_eq!(&*harness.sends[first].instance, "desk-0");
    // The departure of the old incarnation arrives late.
    harness.step(ForwardInput::Announcement(ServerAnnouncement::gone(
        "desk-0", 10,
    )));
    assert_eq!(harness.machine.server_count(), 1);
}

/// Guards against an entry that permanently has no server for a shard. A server
/// stopped and another one started at its address under another id. An entry that
/// starts afterwards receives both announcements in either order; it must not assume
/// that the server announced last is alive and the other one gone.
#[test]
fn of_two_servers_at_an_address_the_one_that_answers_is_used() {
    for order in [["desk-old", "desk-new"], ["desk-new", "desk-old"]] {
        let mut harness = Harness::new();
        let target = RouteTarget::Service("desk".into());
        harness.set_table(table(3, vec![route("q", target)]));
        for id in order {
            harness.step(ForwardInput::Announcement(server_announcement(
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
                    let mut misdirected = answer(421, "", b"");
                    misdirected.not_run = true;
                    harness.end(send, AttemptResult::Answer(misdirected));
                }
            }
            let is_served = matches!(harness.answer_to(call), Some(ForwardAnswer::Server(_)));
            assert!(is_served, "announced in the order {order:?}");
        }
    }
}

/// What shows that a server of another service does not run at the address that it announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DepartureSign {
    /// The server that runs there says so when it gets a request for the other one.
    Misdirected,
    LeaseExpired,
    Withdrawn,
}

/// Guards against a server that gets no requests for the rest of its life: an entry that
/// starts is told of it, and then of a dead server of another service that had its address
/// before.
#[test]
fn a_server_whose_address_a_dead_one_had_before_is_used() {
    for sign in [
        DepartureSign::Misdirected,
        DepartureSign::LeaseExpired,
        DepartureSign::Withdrawn,
    ] {
        let mut harness = Harness::new();
        let desk = route("q", RouteTarget::Service("desk".into()));
        let till = route("t", RouteTarget::Service("till".into()));
        harness.set_table(table(3, vec![desk, till]));
        let announce = |id: &str, service: &str, port| {
            ForwardInput::Announcement(server_announcement(id, service, LOCAL_DOMAIN, port))
        };
        harness.step(announce("desk-live", "desk", 1));
        harness.step(announce("till-dead", "till", 1));
        match sign {
            DepartureSign::Misdirected => {
                let call = harness.call("t");
                assert_eq!(&*harness.sends[0].instance, "till-dead");
                let mut misdirected = answer(421, "", b"");
                misdirected.not_run = true;
                harness.end(0, AttemptResult::Answer(misdirected));
                assert!(harness.failure_of(call).is_some());
            }
            DepartureSign::LeaseExpired => {
                harness.step(ForwardInput::LeaseExpiry("till-dead".into(), true));
            }
            DepartureSign::Withdrawn => {
                let gone = ServerAnnouncement::gone("till-dead", 0);
                harness.step(ForwardInput::Announcement(gone));
            }
        }
        let call = harness.call("q");
        let order = harness.sends.last().map(|order| &*order.instance);
        assert_eq!(order, Some("desk-live"), "{sign:?}");
        harness.answer_ok(harness.sends.len() - 1, b"");
        let is_served = matches!(harness.answer_to(call), Some(ForwardAnswer::Server(_)));
        assert!(is_served, "{sign:?}");
    }
}
