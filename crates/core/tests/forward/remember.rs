//! Servers that were known before a restart.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::process::forward::directory::{
    lease_for, AnnouncementEffect, ServerAnnouncement, ServerDirectory, ServerLifecycle,
    ServerObserver,
};

use wheelmast_core::process::forward::input::ForwardInput;

use crate::harness::{notice, Harness, HOME};

const LEASE: Duration = Duration::from_secs(5);
/// Time for which a server that was known before a restart is believed to live.
const BELIEVE_TIME: Duration = Duration::from_millis(2500);
const START: Duration = Duration::from_secs(1);

fn remembering() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.remember(notice("desk-0", "desk", HOME, 1), START);
    directory
}

fn later(sequence: u64) -> ServerAnnouncement {
    ServerAnnouncement {
        sequence,
        ..notice("desk-0", "desk", HOME, 1)
    }
}

#[test]
fn who_is_not_heard_of_is_soon_silent() {
    let mut directory = remembering();
    assert!(directory
        .expire_leases(START + BELIEVE_TIME, LEASE, |_| None)
        .is_empty());
    let expired = directory.expire_leases(START + BELIEVE_TIME * 2, LEASE, |_| None);
    assert_eq!(expired, ["desk-0".into()]);
}

#[test]
fn who_is_heard_of_has_a_whole_lease() {
    let now = START + Duration::from_secs(1);
    let mut announced = remembering();
    assert_eq!(announced.apply(later(2), now), AnnouncementEffect::Renewed);
    let mut renewed = remembering();
    renewed.renew_lease("desk-0", later(2).position(), now);
    for mut directory in [announced, renewed] {
        assert!(directory
            .expire_leases(now + LEASE, LEASE, |_| None)
            .is_empty());
        assert_eq!(directory.confirmed_alive().count(), 1);
    }
}

#[test]
fn what_is_known_already_is_not_remembered_over() {
    let mut directory = ServerDirectory::default();
    directory.apply(ServerAnnouncement::gone("desk-0", 0), START);
    directory.remember(notice("desk-0", "desk", HOME, 1), START);
    let record = directory.get("desk-0").expect("it is known");
    assert_eq!(record.notice.standing, ServerLifecycle::Gone);
    assert_eq!(directory.confirmed_alive().count(), 0);
}

#[test]
fn only_who_was_heard_of_is_kept_for_the_next_time() {
    let directory = remembering();
    assert_eq!(directory.confirmed_alive().count(), 0);
}

/// A server that another control instance hears.
fn kept_elsewhere() -> (ServerDirectory, SocketAddr) {
    let mut directory = ServerDirectory::default();
    let peer = ([10, 0, 0, 1], 7380).into();
    directory.apply(later(2), START);
    directory.observe_at_peer("desk-0", peer);
    (directory, peer)
}

#[test]
fn a_server_is_heard_of_while_the_instance_that_hears_it_is() {
    let (mut directory, _) = kept_elsewhere();
    let now = START + LEASE * 10;
    let heard = |at: Duration| move |_: &SocketAddr| Some(at);
    assert!(directory.expire_leases(now, LEASE, heard(now)).is_empty());
    assert!(directory
        .expire_leases(now + LEASE, LEASE, heard(now))
        .is_empty());
    let late = now + LEASE + Duration::from_millis(1);
    assert_eq!(
        directory.expire_leases(late, LEASE, heard(now)),
        ["desk-0".into()]
    );
}

#[test]
fn who_hears_a_server_says_when_it_falls_silent_and_nobody_else() {
    let other = ([10, 0, 0, 2], 7380).into();
    let (mut directory, peer) = kept_elsewhere();
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), other));
    assert!(directory.record_peer_expiry("desk-0", later(9).position(), peer));
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), peer));
    // What it said before that, and what comes late, is old.
    assert_eq!(directory.apply(later(8), START), AnnouncementEffect::Stale);
    assert_eq!(
        directory.apply(later(10), START),
        AnnouncementEffect::Changed
    );
    assert_eq!(directory.confirmed_alive().count(), 1);
}

#[test]
fn an_instance_that_was_restarted_hears_only_what_it_says() {
    let (mut directory, peer) = kept_elsewhere();
    let now = START + LEASE * 10;
    assert_ne!(directory.digest(ServerObserver::Peer(peer)), 0);
    directory.retain_observed_at_peer(peer, &HashSet::new(), now);
    assert_eq!(directory.digest(ServerObserver::Peer(peer)), 0);
    let heard = |_: &SocketAddr| Some(now + LEASE * 2);
    assert!(directory
        .expire_leases(now + LEASE, LEASE, heard)
        .is_empty());
    let late = now + LEASE + Duration::from_millis(1);
    assert_eq!(
        directory.expire_leases(late, LEASE, heard),
        ["desk-0".into()]
    );
}

#[test]
fn a_server_that_announces_itself_elsewhere_changes_hands() {
    let (mut directory, peer) = kept_elsewhere();
    directory.apply(later(3), START);
    assert!(directory.observe_locally("desk-0"));
    assert!(!directory.observe_locally("desk-0"));
    assert_eq!(directory.observed().count(), 1);
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), peer));
}

/// What callers and the control group saw: where servers announce themselves each
/// five seconds, a lease of five seconds took each of 3,864 for silent once in each of
/// these, and every entry was told so and told otherwise.
#[test]
fn a_server_that_announces_itself_in_time_is_never_silent() {
    for interval in [100, 1200, 5000, 20_000].map(Duration::from_millis) {
        let lease = lease_for(interval);
        let mut directory = ServerDirectory::default();
        let mut now = START;
        for sequence in 1..40 {
            directory.apply(later(sequence), now);
            // It is looked after four times a second, and one in five comes late.
            let late = if sequence % 5 == 0 { 1200 } else { 60 };
            let next = now + interval + Duration::from_millis(late);
            while now < next {
                now += Duration::from_millis(250);
                let expired = directory.expire_leases(now, lease, |_| None);
                assert!(expired.is_empty(), "{interval:?}, {sequence}");
            }
        }
        let expired = directory.expire_leases(now + lease, lease, |_| None);
        assert_eq!(expired.len(), 1, "{interval:?}");
    }
}

#[test]
fn an_entry_that_comes_back_is_told_only_of_the_servers_that_changed() {
    let server = |number: usize| {
        let id = format!("desk-{number}");
        notice(&id, "desk", HOME, 1 + number as u16)
    };
    let (mut entry, mut group) = (ServerDirectory::default(), ServerDirectory::default());
    for number in 0..4000 {
        entry.apply(server(number), START);
        group.apply(server(number), START);
    }
    assert_eq!(group.records_to_sync(&entry.bucket_digests()).len(), 0);
    assert_eq!(group.records_to_sync(&[]).len(), 4000);
    // One leaves, one comes, and one starts again.
    group.apply(ServerAnnouncement::gone("desk-7", 0), START);
    group.apply(server(4000), START);
    let again = ServerAnnouncement {
        born: 5,
        ..server(8)
    };
    group.apply(again, START);
    let records_to_sync: Vec<ServerAnnouncement> = group
        .records_to_sync(&entry.bucket_digests())
        .into_iter()
        .map(|record| record.notice.clone())
        .collect();
    assert!(records_to_sync.len() < 400, "{}", records_to_sync.len());
    for notice in records_to_sync {
        entry.apply(notice, START);
    }
    assert_eq!(group.records_to_sync(&entry.bucket_digests()).len(), 0);
}

struct ReusedCase {
    name: &'static str,
    /// Time between the two servers.
    apart: Duration,
    /// Whether the first one is known to be silent when the second one comes.
    lapsed: bool,
    /// Whether the instance that heard the first one names all that it hears.
    renewed: bool,
}

const REUSED_CASES: [ReusedCase; 4] = [
    ReusedCase {
        name: "silent, then named no more",
        apart: LEASE,
        lapsed: true,
        renewed: true,
    },
    ReusedCase {
        name: "not silent yet, then named no more",
        apart: Duration::from_secs(2),
        lapsed: false,
        renewed: true,
    },
    ReusedCase {
        name: "both in one message, the first silent",
        apart: Duration::ZERO,
        lapsed: true,
        renewed: false,
    },
    ReusedCase {
        name: "both in one message",
        apart: Duration::ZERO,
        lapsed: false,
        renewed: false,
    },
];

#[test]
fn a_dead_server_does_not_take_the_place_of_the_living_one_at_its_address() {
    for case in &REUSED_CASES {
        let peer = ([10, 0, 0, 1], 7380).into();
        let mut group = ServerDirectory::default();
        let (first, second) = (START, START + case.apart);
        for port in 0..50 {
            group.apply(notice(&format!("desk-{port}"), "desk", HOME, port), first);
            group.observe_at_peer(&format!("desk-{port}"), peer);
        }
        for port in 0..50 {
            let dead = format!("desk-{port}");
            if case.lapsed {
                assert!(group.record_peer_expiry(&dead, later(9).position(), peer));
            }
            group.apply(notice(&format!("till-{port}"), "till", HOME, port), second);
        }
        if case.renewed {
            group.retain_observed_at_peer(peer, &HashSet::new(), second + LEASE);
        }
        let mut entry = Harness::new();
        for record in group.records_to_sync(&[]) {
            entry.step(ForwardInput::Notice(record.notice.clone()));
        }
        let services = entry.machine.services(entry.now);
        let tills = services.filter(|(service, ..)| *service == "till");
        let tills: usize = tills.map(|(_, _, servers, _)| servers).sum();
        assert_eq!(tills, 50, "{}: living servers", case.name);
    }
}
