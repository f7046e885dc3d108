//! Leases in the server directory: servers remembered across a restart, servers that a
//! peer observes, and synchronization of directories.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::process::forward::directory::{
    lease_for, AnnouncementEffect, ServerAnnouncement, ServerDirectory, ServerLifecycle,
    ServerObserver,
};

use wheelmast_core::process::forward::input::ForwardInput;

use crate::harness::{server_announcement, Harness, LOCAL_DOMAIN};

const LEASE: Duration = Duration::from_secs(5);
/// Lease of a server that was loaded from disk after a restart: half of `LEASE`.
const REMEMBERED_LEASE: Duration = Duration::from_millis(2500);
const START: Duration = Duration::from_secs(1);

/// Returns a directory with one server that was loaded from disk at `START`.
fn remembered_directory() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    directory.remember(
        server_announcement("desk-0", "desk", LOCAL_DOMAIN, 1),
        START,
    );
    directory
}

/// Returns an announcement of that server with this sequence number.
fn later(sequence: u64) -> ServerAnnouncement {
    ServerAnnouncement {
        sequence,
        ..server_announcement("desk-0", "desk", LOCAL_DOMAIN, 1)
    }
}

#[test]
fn a_remembered_server_that_does_not_announce_itself_expires_early() {
    let mut directory = remembered_directory();
    assert!(directory
        .expire_leases(START + REMEMBERED_LEASE, LEASE, |_| None)
        .is_empty());
    let expired = directory.expire_leases(START + REMEMBERED_LEASE * 2, LEASE, |_| None);
    assert_eq!(expired, ["desk-0".into()]);
}

#[test]
fn a_remembered_server_that_announces_itself_has_a_full_lease() {
    let now = START + Duration::from_secs(1);
    let mut announced = remembered_directory();
    assert_eq!(announced.apply(later(2), now), AnnouncementEffect::Renewed);
    let mut renewed = remembered_directory();
    renewed.renew_lease("desk-0", later(2).position(), now);
    for mut directory in [announced, renewed] {
        assert!(directory
            .expire_leases(now + LEASE, LEASE, |_| None)
            .is_empty());
        assert_eq!(directory.confirmed_alive().count(), 1);
    }
}

#[test]
fn remembering_does_not_overwrite_a_known_server() {
    let mut directory = ServerDirectory::default();
    directory.apply(ServerAnnouncement::gone("desk-0", 0), START);
    directory.remember(
        server_announcement("desk-0", "desk", LOCAL_DOMAIN, 1),
        START,
    );
    let record = directory.get("desk-0").expect("it is known");
    assert_eq!(record.announcement.standing, ServerLifecycle::Gone);
    assert_eq!(directory.confirmed_alive().count(), 0);
}

#[test]
fn a_remembered_server_is_not_saved_until_it_announces_itself() {
    let directory = remembered_directory();
    assert_eq!(directory.confirmed_alive().count(), 0);
}

/// Returns a directory with a server that another control instance observes, and the
/// address of that instance.
fn observed_at_peer() -> (ServerDirectory, SocketAddr) {
    let mut directory = ServerDirectory::default();
    let peer = ([10, 0, 0, 1], 7380).into();
    directory.apply(later(2), START);
    directory.observe_at_peer("desk-0", peer);
    (directory, peer)
}

#[test]
fn a_server_counts_as_seen_while_its_observer_is_seen() {
    let (mut directory, _) = observed_at_peer();
    let now = START + LEASE * 10;
    let peer_seen = |at: Duration| move |_: &SocketAddr| Some(at);
    assert!(directory
        .expire_leases(now, LEASE, peer_seen(now))
        .is_empty());
    assert!(directory
        .expire_leases(now + LEASE, LEASE, peer_seen(now))
        .is_empty());
    let late = now + LEASE + Duration::from_millis(1);
    assert_eq!(
        directory.expire_leases(late, LEASE, peer_seen(now)),
        ["desk-0".into()]
    );
}

#[test]
fn only_the_observer_reports_that_a_lease_has_expired() {
    let other = ([10, 0, 0, 2], 7380).into();
    let (mut directory, peer) = observed_at_peer();
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), other));
    assert!(directory.record_peer_expiry("desk-0", later(9).position(), peer));
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), peer));
    // An announcement that precedes the expiry is stale, even if it arrives late.
    assert_eq!(directory.apply(later(8), START), AnnouncementEffect::Stale);
    assert_eq!(
        directory.apply(later(10), START),
        AnnouncementEffect::Changed
    );
    assert_eq!(directory.confirmed_alive().count(), 1);
}

#[test]
fn a_restarted_instance_observes_only_the_servers_that_it_lists() {
    let (mut directory, peer) = observed_at_peer();
    let now = START + LEASE * 10;
    assert_ne!(directory.digest(ServerObserver::Peer(peer)), 0);
    directory.retain_observed_at_peer(peer, &HashSet::new(), now);
    assert_eq!(directory.digest(ServerObserver::Peer(peer)), 0);
    let peer_seen = |_: &SocketAddr| Some(now + LEASE * 2);
    assert!(directory
        .expire_leases(now + LEASE, LEASE, peer_seen)
        .is_empty());
    let late = now + LEASE + Duration::from_millis(1);
    assert_eq!(
        directory.expire_leases(late, LEASE, peer_seen),
        ["desk-0".into()]
    );
}

#[test]
fn a_server_that_announces_itself_elsewhere_changes_its_observer() {
    let (mut directory, peer) = observed_at_peer();
    directory.apply(later(3), START);
    assert!(directory.observe_locally("desk-0"));
    assert!(!directory.observe_locally("desk-0"));
    assert_eq!(directory.observed().count(), 1);
    assert!(!directory.record_peer_expiry("desk-0", later(9).position(), peer));
}

/// Guards against a lease that is too short for the announcement interval. With an
/// interval and a lease of 5 s each, every one of 3,864 servers expired once per
/// interval, and every entry was notified of the expiry and of the recovery.
#[test]
fn a_server_that_announces_itself_in_time_never_expires() {
    for interval in [100, 1200, 5000, 20_000].map(Duration::from_millis) {
        let lease = lease_for(interval);
        let mut directory = ServerDirectory::default();
        let mut now = START;
        for sequence in 1..40 {
            directory.apply(later(sequence), now);
            // Leases are checked four times a second; one announcement in five is late.
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
fn a_reconnecting_entry_is_sent_only_the_servers_in_changed_buckets() {
    let server = |number: usize| {
        let id = format!("desk-{number}");
        server_announcement(&id, "desk", LOCAL_DOMAIN, 1 + number as u16)
    };
    let (mut entry, mut group) = (ServerDirectory::default(), ServerDirectory::default());
    for number in 0..4000 {
        entry.apply(server(number), START);
        group.apply(server(number), START);
    }
    assert_eq!(group.records_to_sync(&entry.bucket_digests()).len(), 0);
    assert_eq!(group.records_to_sync(&[]).len(), 4000);
    // One server leaves, one joins and one restarts.
    group.apply(ServerAnnouncement::gone("desk-7", 0), START);
    group.apply(server(4000), START);
    let restarted = ServerAnnouncement {
        born: 5,
        ..server(8)
    };
    group.apply(restarted, START);
    let records_to_sync: Vec<ServerAnnouncement> = group
        .records_to_sync(&entry.bucket_digests())
        .into_iter()
        .map(|record| record.announcement.clone())
        .collect();
    assert!(records_to_sync.len() < 400, "{}", records_to_sync.len());
    for announcement in records_to_sync {
        entry.apply(announcement, START);
    }
    assert_eq!(group.records_to_sync(&entry.bucket_digests()).len(), 0);
}

struct ReusedAddressCase {
    name: &'static str,
    /// Time between the announcements of the two servers.
    apart: Duration,
    /// Whether the first server's lease has expired when the second one announces itself.
    has_expired: bool,
    /// Whether the first server's observer lists all its servers, without the first one.
    is_relisted: bool,
}

const REUSED_ADDRESS_CASES: [ReusedAddressCase; 4] = [
    ReusedAddressCase {
        name: "unresponsive and expired, then no longer listed",
        apart: LEASE,
        has_expired: true,
        is_relisted: true,
    },
    ReusedAddressCase {
        name: "unresponsive but not expired yet, then no longer listed",
        apart: Duration::from_secs(2),
        has_expired: false,
        is_relisted: true,
    },
    ReusedAddressCase {
        name: "both in one message, the first unresponsive and expired",
        apart: Duration::ZERO,
        has_expired: true,
        is_relisted: false,
    },
    ReusedAddressCase {
        name: "both in one message",
        apart: Duration::ZERO,
        has_expired: false,
        is_relisted: false,
    },
];

#[test]
fn a_dead_server_does_not_replace_the_live_one_at_its_address() {
    for case in &REUSED_ADDRESS_CASES {
        let peer = ([10, 0, 0, 1], 7380).into();
        let mut group = ServerDirectory::default();
        let (first, second) = (START, START + case.apart);
        for port in 0..50 {
            group.apply(
                server_announcement(&format!("desk-{port}"), "desk", LOCAL_DOMAIN, port),
                first,
            );
            group.observe_at_peer(&format!("desk-{port}"), peer);
        }
        for port in 0..50 {
            let dead = format!("desk-{port}");
            if case.has_expired {
                assert!(group.record_peer_expiry(&dead, later(9).position(), peer));
            }
            group.apply(
                server_announcement(&format!("till-{port}"), "till", LOCAL_DOMAIN, port),
                second,
            );
        }
        if case.is_relisted {
            group.retain_observed_at_peer(peer, &HashSet::new(), second + LEASE);
        }
        let mut entry = Harness::new();
        for record in group.records_to_sync(&[]) {
            entry.step(ForwardInput::Announcement(record.announcement.clone()));
        }
        let services = entry.machine.services(entry.now);
        let tills = services.filter(|(service, ..)| *service == "till");
        let tills: usize = tills.map(|(_, _, servers, _)| servers).sum();
        assert_eq!(tills, 50, "{}: live servers", case.name);
    }
}
