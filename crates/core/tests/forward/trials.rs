//! How the quarantine of a request ends.
//!
//! Guards against a harmless request that is refused for good: all servers of its service
//! crashed while they ran it, so that no server was left for a canary attempt, and it stayed
//! quarantined after they were back, also over restarts.

use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::input::{AttemptResult, EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::suspect::record::{ServerCrash, SuspectRecord};
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::RouteTarget;

use crate::harness::{
    fingerprint_of, route, server_announcement, shards, table, Harness, LOCAL_DOMAIN,
};

/// Time within which a harmless request is served again once its servers are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Number of servers of the service `desk`, and of shards of the gathered route.
const SERVERS: u16 = 7;
/// Time that a connection to an ended server takes to be refused.
const REFUSED_AFTER: Duration = Duration::from_micros(300);

/// Returns a harness with three routes: to one of several servers, idempotent or not, and to
/// shards of one server each.
fn new_harness(peer: Option<u16>) -> Harness {
    let local = peer.map(entry_peer);
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        local_id: local.map(|local| local.id()).unwrap_or_default(),
        seed: u64::from(peer.unwrap_or(0)),
        ..ForwardOptions::default()
    });
    harness.step(ForwardInput::EntryCount(1));
    let mut once = route("once", RouteTarget::Service("desk".into()));
    once.idempotent = false;
    let routes = vec![
        route("page", RouteTarget::Service("desk".into())),
        once,
        route("sweep", shards(usize::from(SERVERS))),
    ];
    harness.set_table(table(3, routes));
    harness
}

fn entry_peer(number: u16) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{number}").into(),
        incarnation: 1,
        domain: LOCAL_DOMAIN.into(),
        address: ([127, 0, 0, 1], 9000 + number).into(),
    }
}

/// Announces all servers in their incarnation `life`.
fn announce_servers(harness: &mut Harness, life: u32) {
    for number in 0..SERVERS {
        let shard = format!("s{number}");
        for (service, port) in [("desk", 1000), (&shard, 2000)] {
            let id = format!("{service}-{number}-{life}");
            let announcement = server_announcement(&id, service, LOCAL_DOMAIN, port + number);
            harness.step(ForwardInput::Announcement(announcement));
        }
    }
}

/// Announces that the servers of the incarnation `life` are gone.
fn withdraw_servers(harness: &mut Harness, life: u32) {
    for number in 0..SERVERS {
        for service in ["desk".to_string(), format!("s{number}")] {
            let gone = ServerAnnouncement::gone(&format!("{service}-{number}-{life}"), 0);
            harness.step(ForwardInput::Announcement(gone));
        }
    }
}

/// Ends an attempt by the crash of its server.
fn crash(harness: &mut Harness, send: usize) {
    let server = harness.sends[send].server;
    harness.end(send, AttemptResult::Broken);
    harness.step(ForwardInput::ConnectionRefused {
        server,
        took: REFUSED_AFTER,
    });
}

/// Ends an attempt by a break after which the server's address accepts connections.
fn break_off(harness: &mut Harness, send: usize) {
    let server = harness.sends[send].server;
    harness.end(send, AttemptResult::Broken);
    harness.step(ForwardInput::Connected {
        server,
        took: REFUSED_AFTER,
    });
}

fn is_served(harness: &Harness, call: CallTag) -> bool {
    matches!(
        harness.answer_to(call),
        Some(ForwardAnswer::Server(_) | ForwardAnswer::Gathered { .. })
    )
}

fn mark_of(caller: u64) -> RequestFingerprint {
    RequestFingerprint {
        caller: CallerFingerprint(caller),
        ..fingerprint_of("/popular")
    }
}

struct OutageCase {
    name: &'static str,
    route: &'static str,
    callers: u64,
    /// Time for which all servers are down.
    down_ms: u64,
    /// Number of outages, one after the other.
    outages: u32,
    /// Whether the entry is replaced while the servers are down, by one that is told the
    /// records of the first.
    restarts: bool,
}

const OUTAGE_CASES: &[OutageCase] = &[
    OutageCase {
        name: "a page",
        route: "page",
        callers: 1,
        down_ms: 4500,
        outages: 1,
        restarts: false,
    },
    OutageCase {
        name: "a page of several callers",
        route: "page",
        callers: 3,
        down_ms: 4500,
        outages: 1,
        restarts: false,
    },
    OutageCase {
        name: "no server for a minute",
        route: "page",
        callers: 1,
        down_ms: 60_000,
        outages: 1,
        restarts: false,
    },
    OutageCase {
        name: "one outage after the other",
        route: "page",
        callers: 2,
        down_ms: 4500,
        outages: 5,
        restarts: false,
    },
    OutageCase {
        name: "a request that must not run twice",
        route: "once",
        callers: 2,
        down_ms: 4500,
        outages: 1,
        restarts: false,
    },
    OutageCase {
        name: "a gathered request",
        route: "sweep",
        callers: 1,
        down_ms: 4500,
        outages: 1,
        restarts: false,
    },
    OutageCase {
        name: "a page, and a restart of the entry",
        route: "page",
        callers: 2,
        down_ms: 4500,
        outages: 1,
        restarts: true,
    },
    OutageCase {
        name: "a gathered request, and a restart of the entry",
        route: "sweep",
        callers: 1,
        down_ms: 4500,
        outages: 1,
        restarts: true,
    },
];

/// Lets callers ask for the page, and all servers that run it crash. Returns the harness of the
/// entry afterwards.
fn play_outage(mut harness: Harness, case: &OutageCase, life: u32) -> Harness {
    let first = harness.sends.len();
    for number in 0..u64::from(SERVERS) * 3 {
        harness.call_with_fingerprint(case.route, mark_of(number % case.callers), None, None);
    }
    let mut send = first;
    while send < harness.sends.len() {
        crash(&mut harness, send);
        send += 1;
    }
    harness.advance(100);
    withdraw_servers(&mut harness, life);
    let mut down_ms = case.down_ms;
    if case.restarts {
        let mut records: Vec<SuspectRecord> = Vec::new();
        records.extend(harness.machine.suspect_records().cloned());
        let now = harness.now;
        harness = new_harness(None);
        harness.now = now;
        harness.step(ForwardInput::Suspects(records));
        down_ms /= 2;
    }
    // Callers that ask while all servers are down have no effect on what follows.
    for _ in 0..down_ms / 250 {
        let call = harness.call_with_fingerprint(case.route, mark_of(0), None, None);
        harness.advance(250);
        assert!(harness.failure_of(call).is_some(), "{}", case.name);
    }
    harness
}

#[test]
fn a_harmless_request_is_served_again_after_its_servers_are_back() {
    for case in OUTAGE_CASES {
        let mut harness = new_harness(None);
        announce_servers(&mut harness, 0);
        for life in 0..case.outages {
            harness = play_outage(harness, case, life);
            announce_servers(&mut harness, life + 1);
            let back_at = harness.now;
            let mut answered = harness.sends.len();
            let mut served_since = None;
            while harness.now < back_at + RECOVERY_TIME * 2 {
                let caller = (harness.now.as_millis() / 40) as u64 % case.callers;
                let call = harness.call_with_fingerprint(case.route, mark_of(caller), None, None);
                while answered < harness.sends.len() {
                    harness.answer_ok(answered, b"");
                    answered += 1;
                }
                if !is_served(&harness, call) {
                    served_since = None;
                } else if served_since.is_none() {
                    served_since = Some(harness.now);
                }
                harness.advance(40);
            }
            let served_since = served_since.map(|at| at - back_at);
            assert!(
                served_since.is_some_and(|after| after <= RECOVERY_TIME),
                "{}: served since {served_since:?}",
                case.name
            );
        }
    }
}

/// Guards against a refusal without an end that says nothing of when to come back, and against
/// a trial that nobody can make while no server is there.
#[test]
fn a_quarantined_request_is_told_when_to_come_back() {
    let mut harness = new_harness(None);
    announce_servers(&mut harness, 0);
    harness = play_outage(harness, &OUTAGE_CASES[1], 0);
    announce_servers(&mut harness, 1);
    harness.advance(1000);
    let call = harness.call_with_fingerprint("page", mark_of(0), None, None);
    let send = harness.sends.len() - 1;
    assert!(harness.answer_to(call).is_none(), "the trial is running");
    let other = harness.call_with_fingerprint("page", mark_of(1), None, None);
    assert_eq!(
        harness.failure_of(other),
        Some(ForwardFailure::AwaitingCanary)
    );
    crash(&mut harness, send);
    harness.advance(100);
    let refused = harness.call_with_fingerprint("page", mark_of(2), None, None);
    let Some(ForwardAnswer::Failure {
        failure: ForwardFailure::Quarantined,
        retry_after: Some(retry_after),
    }) = harness.answer_to(refused)
    else {
        panic!("{:?}", harness.answer_to(refused));
    };
    let seconds = retry_after.as_secs();
    assert!((60..=121).contains(&seconds), "{retry_after:?}");
}

struct DeadlyCase {
    name: &'static str,
    entries: u16,
    route: &'static str,
    /// Number of entries at which the request arrives at the same time.
    at_once: u16,
    /// Time between these arrivals.
    every_ms: u64,
    /// Time after which the caller of a request closes its connection.
    leaves_after_ms: Option<u64>,
    /// Whether crashed servers accept connections again before an entry notices.
    restarts_at_once: bool,
    duration: Duration,
}

/// Time after the third crash within which all entries know the request.
const SPREAD_TIME: Duration = Duration::from_secs(4);
/// Sends of the request after that in the first hour.
const MAX_LATE_SENDS: usize = 3;

#[test]
fn a_request_that_crashes_its_servers_gets_few_trials() {
    let case = |name, entries, route, at_once, every_ms| DeadlyCase {
        name,
        entries,
        route,
        at_once,
        every_ms,
        leaves_after_ms: None,
        restarts_at_once: false,
        duration: Duration::from_secs(3000),
    };
    let cases = [
        case("one entry", 1, "page", 1, 500),
        case("seven entries at once", 7, "page", 7, 250),
        case("seven entries at once, gathered", 7, "sweep", 7, 250),
        case("seven entries by turns", 7, "page", 1, 100),
        case("59 entries at once", 59, "page", 59, 1000),
        DeadlyCase {
            leaves_after_ms: Some(5),
            ..case("callers that leave early", 7, "page", 7, 250)
        },
        DeadlyCase {
            restarts_at_once: true,
            ..case("servers that restart at once", 7, "page", 7, 250)
        },
    ];
    for case in cases {
        let late = count_late_sends(&case);
        assert!(late <= MAX_LATE_SENDS, "{}: {late} late sends", case.name);
        assert!(late > 0, "{}: no trial", case.name);
    }
}

/// Sends a request that crashes each server 20 ms after it got the request, and returns how
/// often it is sent when all entries know it. The entries hear each other's records after
/// 50 ms; crashed servers are back when the request comes again.
fn count_late_sends(case: &DeadlyCase) -> usize {
    let mut entries: Vec<Harness> = (0..case.entries)
        .map(|number| new_harness(Some(number)))
        .collect();
    for (number, entry) in entries.iter_mut().enumerate() {
        let peers = (0..case.entries).filter(|peer| usize::from(*peer) != number);
        entry.step(ForwardInput::Peers(peers.map(entry_peer).collect()));
        entry.step(ForwardInput::EntryCount(u32::from(case.entries)));
        announce_servers(entry, 0);
    }
    let mut sends: Vec<Duration> = Vec::new();
    let mut life = 0;
    let mut arrivals = 0;
    let begin = entries[0].now;
    while entries[0].now < begin + case.duration {
        let mut calls = Vec::new();
        let firsts: Vec<usize> = entries.iter().map(|entry| entry.sends.len()).collect();
        for _ in 0..case.at_once {
            let entry = arrivals % entries.len();
            arrivals += 1;
            let call = entries[entry].call_with_fingerprint(case.route, mark_of(1), None, None);
            calls.push((entry, call));
        }
        if let Some(leaves_after_ms) = case.leaves_after_ms {
            for entry in &mut entries {
                entry.advance(leaves_after_ms);
            }
            for (entry, call) in calls {
                entries[entry].step(ForwardInput::CallerLeft(call));
            }
        }
        let mut has_crashed = false;
        let has_known = sends.len() >= 8;
        let mut next = firsts;
        // Canary attempts follow each other.
        for _ in 0..4 {
            for (entry, next) in entries.iter_mut().zip(&mut next) {
                entry.advance(20);
                while *next < entry.sends.len() {
                    if !entry.cancels.contains(&entry.sends[*next].attempt) {
                        sends.push(entry.now);
                        has_crashed = true;
                    }
                    if case.restarts_at_once && has_known {
                        break_off(entry, *next);
                    } else {
                        crash(entry, *next);
                    }
                    *next += 1;
                }
            }
        }
        let news: Vec<Vec<SuspectRecord>> = entries
            .iter_mut()
            .map(|entry| std::mem::take(&mut entry.suspects))
            .collect();
        for (teller, records) in news.iter().enumerate() {
            for (entry, harness) in entries.iter_mut().enumerate() {
                if entry != teller && !records.is_empty() {
                    harness.step(ForwardInput::Suspects(records.clone()));
                }
            }
        }
        if has_crashed {
            for entry in &mut entries {
                withdraw_servers(entry, life);
                announce_servers(entry, life + 1);
            }
            life += 1;
        }
        for entry in &mut entries {
            entry.advance(case.every_ms.saturating_sub(80));
        }
    }
    sends.sort();
    let known_at = sends[2] + SPREAD_TIME;
    sends.iter().filter(|at| **at > known_at).count()
}

/// Guards against a gathered request whose trial succeeds and which fails nevertheless: another
/// entry has not heard of the result yet and refuses the shards that are relayed to it.
#[test]
fn shards_that_another_entry_refuses_after_a_trial_are_sent_to_their_servers() {
    let mut harness = Harness::new();
    harness.step(ForwardInput::EntryCount(1));
    harness.set_table(table(3, vec![route("q", shards(8))]));
    for shard in 0..8 {
        harness.add_server_in(&format!("s{shard}"), "far");
    }
    harness.add_servers("s0", 1);
    let mut record = SuspectRecord::new(mark_of(1));
    for server in ["a", "b", "c"] {
        record.add(ServerCrash::of(server, true));
    }
    harness.step(ForwardInput::Suspects(vec![record.clone()]));
    harness.advance(6000);
    harness.add_entries(&["far"]);
    let mut call = None;
    // The entry waits for its turn.
    while harness.sends.is_empty() {
        call = Some(harness.call_with_fingerprint("q", mark_of(1), None, None));
        harness.advance(10);
    }
    let mut next = 0;
    while next < harness.sends.len() {
        if harness.sends[next].relay.is_some() {
            harness.end(next, AttemptResult::RefusedAsSuspect(record.clone()));
        } else {
            harness.answer_ok(next, b"");
        }
        next += 1;
    }
    let (stamps, missing) = harness.gathered(call.expect("a trial")).expect("an answer");
    assert_eq!((stamps.len(), missing), (8, 0));
}
