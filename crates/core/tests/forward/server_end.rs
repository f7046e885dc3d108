//! Evidence on whether a server ended or lost an answer.
//!
//! Guards against this failure: servers ran requests and reset the connection before the
//! answer. Each such reset counted as a crash caused by its request, so hundreds of
//! harmless requests became suspects, their lost parts were not retried, and their other
//! attempts were cancelled.

use std::time::Duration;

use wheelmast_core::arena::{ArenaKey, ServerKey};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardInput};
use wheelmast_core::process::forward::server_end::estimate::EndEstimate;
use wheelmast_core::process::forward::server_end::evidence::PendingBreak;
use wheelmast_core::process::forward::server_end::watch::EndWatch;

use crate::harness::{
    answer, fingerprint_of, route, server_announcement, shards, table, Harness, LOCAL_DOMAIN,
};

/// Time after which a break without evidence is decided: 25 ms and the round trip, which
/// is 1 ms before the first measurement.
const TIMEOUT_MS: u64 = 26;

/// Something that happens after the connection of an attempt broke.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Time passes.
    Pass(u64),
    /// The driver counts this number of connections to the server.
    Open(u32),
    /// A connection to the server is established, or refused after this time.
    Accept,
    Refuse(u64),
    /// The server answers another request, with this status.
    Answer(u16),
    /// The server announces itself again.
    Announce,
    /// A new incarnation announces itself with the server's id.
    Restart,
    /// Another server announces itself at the server's address.
    Replace,
    /// The control group reports the lease as expired.
    Expire,
}

/// Numbers of breaks that were decided as ended, alive and unreachable.
type Verdicts = [u64; 3];
const UNDECIDED: Verdicts = [0, 0, 0];
const ENDED: Verdicts = [1, 0, 0];
const ALIVE: Verdicts = [0, 1, 0];
const UNREACHABLE: Verdicts = [0, 0, 1];

struct EvidenceCase {
    name: &'static str,
    /// Connections to the server at the break, the broken one included; 0 if the driver
    /// reports none.
    open: u32,
    steps: &'static [Step],
    verdicts: Verdicts,
}

const CASES: &[EvidenceCase] = &[
    EvidenceCase {
        name: "a connection is refused",
        open: 1,
        steps: &[Step::Open(0), Step::Open(1), Step::Pass(2), Step::Refuse(2)],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "a refusal that took too long is not the host's",
        open: 1,
        steps: &[
            Step::Open(0),
            Step::Open(1),
            Step::Pass(2),
            Step::Refuse(150),
        ],
        verdicts: UNDECIDED,
    },
    EvidenceCase {
        name: "all other connections close at once",
        open: 3,
        steps: &[Step::Open(2), Step::Open(1), Step::Open(0)],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "one of two other connections closes",
        open: 3,
        steps: &[Step::Open(2), Step::Open(1), Step::Pass(5)],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "another connection has not stayed open for long",
        open: 2,
        steps: &[Step::Open(1), Step::Pass(4)],
        verdicts: UNDECIDED,
    },
    EvidenceCase {
        name: "a new connection does not stand in for those that closed",
        open: 3,
        steps: &[Step::Open(2), Step::Open(3), Step::Open(2), Step::Open(1)],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "a connection is accepted and stays open",
        open: 1,
        steps: &[
            Step::Open(0),
            Step::Open(1),
            Step::Pass(3),
            Step::Accept,
            Step::Pass(2),
        ],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "a connection that was begun before the break is accepted",
        open: 1,
        steps: &[Step::Open(0), Step::Accept, Step::Pass(5)],
        verdicts: UNDECIDED,
    },
    EvidenceCase {
        name: "a connection is accepted and closed, as over the server's limit",
        open: 1,
        steps: &[
            Step::Open(0),
            Step::Open(1),
            Step::Pass(3),
            Step::Accept,
            Step::Open(0),
            Step::Pass(TIMEOUT_MS - 3),
        ],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "the server answers",
        open: 1,
        steps: &[Step::Open(0), Step::Pass(3), Step::Answer(200)],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "the server rejects a request",
        open: 1,
        steps: &[Step::Open(0), Step::Pass(3), Step::Answer(503)],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "an answer is read together with the break",
        open: 1,
        steps: &[Step::Open(0), Step::Pass(1), Step::Answer(200)],
        verdicts: UNDECIDED,
    },
    EvidenceCase {
        name: "another server answers at the address",
        open: 1,
        steps: &[Step::Open(0), Step::Pass(3), Step::Answer(421)],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "a new incarnation has the id",
        open: 1,
        steps: &[Step::Restart],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "another server has the address",
        open: 1,
        steps: &[Step::Replace],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "the lease expires",
        open: 1,
        steps: &[Step::Expire],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "the server announces itself, which alone decides only at the time-out",
        open: 1,
        steps: &[Step::Announce, Step::Pass(TIMEOUT_MS)],
        verdicts: ALIVE,
    },
    EvidenceCase {
        name: "there is no evidence in time, as the driver reports no connections",
        open: 0,
        steps: &[Step::Pass(TIMEOUT_MS)],
        verdicts: ENDED,
    },
    EvidenceCase {
        name: "there is no evidence yet",
        open: 0,
        steps: &[Step::Pass(TIMEOUT_MS - 1)],
        verdicts: UNDECIDED,
    },
    EvidenceCase {
        name: "a new connection is neither accepted nor refused",
        open: 1,
        steps: &[Step::Open(0), Step::Open(1), Step::Pass(100)],
        verdicts: UNREACHABLE,
    },
];

/// Returns a harness with `count` shards of two servers each.
fn sharded_harness(count: usize) -> Harness {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(count))]));
    for shard in 0..count {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness
}

/// Reports the number of connections to a server.
fn report(harness: &mut Harness, server: ServerKey, open: u32) {
    let idle = open.saturating_sub(1);
    harness.step(ForwardInput::Connections { server, idle, open });
}

fn verdicts(harness: &Harness) -> Verdicts {
    let counters = harness.machine.counters();
    [
        counters.ended_breaks,
        counters.lost_answers,
        counters.unreachable_breaks,
    ]
}

/// Carries out a step at the server of the first attempt. `other` is an outstanding
/// attempt of another request at this server.
fn take_step(harness: &mut Harness, step: Step, other: usize) {
    let (server, id) = (harness.sends[0].server, harness.sends[0].instance.clone());
    let port = harness.sends[0].address.port();
    let announcement = server_announcement(&id, "s0", LOCAL_DOMAIN, port);
    match step {
        Step::Pass(millis) => harness.advance(millis),
        Step::Open(open) => report(harness, server, open),
        Step::Accept => harness.step(ForwardInput::Connected {
            server,
            took: Duration::from_millis(2),
        }),
        Step::Refuse(millis) => harness.step(ForwardInput::ConnectionRefused {
            server,
            took: Duration::from_millis(millis),
        }),
        Step::Answer(status) => {
            let mut other_answer = answer(status, &id, b"");
            other_answer.not_run = status == 503;
            harness.end(other, AttemptResult::Answer(other_answer));
        }
        Step::Announce => {
            let mut renewed = announcement;
            renewed.sequence = 2;
            harness.step(ForwardInput::Announcement(renewed));
        }
        Step::Restart => {
            let mut restarted = announcement;
            restarted.born = 20;
            harness.step(ForwardInput::Announcement(restarted));
        }
        Step::Replace => {
            let mut replacement = announcement;
            replacement.id = "s0-new".into();
            harness.step(ForwardInput::Announcement(replacement));
        }
        Step::Expire => harness.step(ForwardInput::LeaseExpiry((*id).into(), true)),
    }
}

/// Sends two requests of which both have an attempt at one server. Returns the index of
/// the second request's attempt there; the first one's is 0.
fn send_two(harness: &mut Harness) -> usize {
    harness.call("q");
    for _ in 0..50 {
        let first = harness.sends.len();
        harness.call("q");
        if harness.sends[first].server == harness.sends[0].server {
            return first;
        }
    }
    panic!("no other request was sent to the first server");
}

#[test]
fn a_break_is_decided_by_the_evidence_and_only_an_end_is_reported() {
    for case in CASES {
        let mut harness = sharded_harness(3);
        let other = send_two(&mut harness);
        harness.advance(1);
        let server = harness.sends[0].server;
        if case.open > 0 {
            report(&mut harness, server, case.open);
        }
        let retries = harness.machine.counters().retries;
        harness.end(0, AttemptResult::Broken);
        assert_eq!(
            harness.machine.counters().retries,
            retries,
            "{}: the part waits for the verdict",
            case.name
        );
        for step in case.steps {
            take_step(&mut harness, *step, other);
        }
        assert_eq!(verdicts(&harness), case.verdicts, "{}", case.name);
        let is_ended = case.verdicts == ENDED;
        assert_eq!(
            harness.suspects.len(),
            usize::from(is_ended),
            "{}",
            case.name
        );
        let asks = usize::from(case.open < 2);
        assert!(harness.opens.len() <= 1, "{}: one connection", case.name);
        assert!(harness.opens.len() >= asks, "{}", case.name);
        let is_resent = [ALIVE, UNREACHABLE].contains(&case.verdicts);
        let resent = harness.sends[other..].iter().filter(|order| {
            order.call == harness.sends[0].call && order.instance.starts_with("s0")
        });
        assert_eq!(resent.count(), usize::from(is_resent), "{}", case.name);
    }
}

/// A part lost to a server that may have ended must not wait for longer than some 25 ms,
/// as the objective may be 80 ms, also if the verdict takes longer.
#[test]
fn a_lost_part_is_sent_elsewhere_before_a_late_verdict() {
    let mut harness = sharded_harness(3);
    harness.call("q");
    let server = harness.sends[0].server;
    report(&mut harness, server, 1);
    harness.end(0, AttemptResult::Broken);
    report(&mut harness, server, 1);
    harness.advance(TIMEOUT_MS);
    assert_eq!(verdicts(&harness), UNDECIDED);
    assert_eq!(harness.sends.len(), 4);
    let took = Duration::from_millis(30);
    harness.step(ForwardInput::ConnectionRefused { server, took });
    assert_eq!(verdicts(&harness), ENDED);
    assert_eq!(harness.suspects.len(), 1, "the late proof is recorded");
}

/// A new incarnation that is announced before the entry reads the break accepts the
/// connection that is opened for evidence, which would hide the end.
#[test]
fn a_break_of_a_server_that_was_replaced_before_is_an_end() {
    for step in [Step::Restart, Step::Replace] {
        let mut harness = sharded_harness(3);
        harness.call("q");
        take_step(&mut harness, step, 0);
        harness.end(0, AttemptResult::Broken);
        assert_eq!(verdicts(&harness), ENDED, "{step:?}");
        assert!(harness.opens.is_empty(), "{step:?}");
    }
}

#[test]
fn lost_parts_are_sent_elsewhere_at_once_while_answers_are_lost() {
    let mut harness = sharded_harness(3);
    for _ in 0..2 {
        let first = harness.sends.len();
        harness.call("q");
        let server = harness.sends[first].server;
        report(&mut harness, server, 2);
        harness.end(first, AttemptResult::Broken);
        report(&mut harness, server, 1);
        harness.advance(5);
    }
    assert_eq!(verdicts(&harness), [0, 2, 0]);
    let first = harness.sends.len();
    harness.call("q");
    harness.end(first, AttemptResult::Broken);
    assert_eq!(harness.sends.len(), first + 4, "the part is sent at once");
    for send in 0..harness.sends.len() {
        harness.answer_ok(send, b"");
    }
    harness.advance(20_000);
    let first = harness.sends.len();
    harness.call("q");
    harness.end(first, AttemptResult::Broken);
    assert_eq!(harness.sends.len(), first + 3, "the verdicts are too old");
}

/// Three breaks count as crashes until the verdict, which cancels the other attempts: a
/// request that ends servers must not end more than before. Lost answers undo that.
#[test]
fn breaks_without_a_verdict_hold_the_request_until_they_are_lost_answers() {
    let mut harness = sharded_harness(8);
    let mark = fingerprint_of("/q/harmless");
    let call = harness.call_with_fingerprint("q", mark, None, None);
    for send in 0..3 {
        harness.end(send, AttemptResult::Broken);
    }
    assert_eq!(harness.cancels.len(), 5);
    assert_eq!(harness.sends.len(), 9, "one canary");
    for send in 0..3 {
        let server = harness.sends[send].server;
        harness.advance(3);
        let took = Duration::from_millis(1);
        harness.step(ForwardInput::Connected { server, took });
    }
    harness.advance(2);
    assert_eq!(verdicts(&harness), [0, 3, 0]);
    assert_eq!(harness.sends.len(), 16, "all parts are sent again");
    assert!(harness.suspects.is_empty());
    for send in 8..16 {
        harness.answer_ok(send, b"");
    }
    let (stamps, missing) = harness.gathered(call).expect("an answer");
    assert_eq!((stamps.len(), missing), (8, 0));
}

#[test]
fn a_server_that_ended_gets_no_requests_until_it_answers_or_returns() {
    let mut harness = sharded_harness(1);
    harness.call("q");
    let (server, id) = (harness.sends[0].server, harness.sends[0].instance.clone());
    let port = harness.sends[0].address.port();
    harness.end(0, AttemptResult::Broken);
    let took = Duration::from_millis(1);
    harness.step(ForwardInput::ConnectionRefused { server, took });
    let first = harness.sends.len();
    for _ in 0..20 {
        let send = harness.sends.len();
        harness.call("q");
        if send < harness.sends.len() {
            assert_ne!(harness.sends[send].server, server);
            harness.answer_ok(send, b"");
        }
    }
    assert!(harness.sends.len() > first + 10);
    let mut restarted = server_announcement(&id, "s0", LOCAL_DOMAIN, port);
    restarted.born = 20;
    harness.step(ForwardInput::Announcement(restarted));
    let first = harness.sends.len();
    for _ in 0..20 {
        let send = harness.sends.len();
        harness.call("q");
        harness.answer_ok(send, b"");
    }
    let mut later = harness.sends[first..].iter();
    assert!(later.any(|order| order.instance == id), "it is used again");
}

/// A server that lost several answers in a row was backed off from, for 250 ms and more.
#[test]
fn a_server_that_loses_answers_still_gets_requests() {
    let mut harness = Harness::new();
    harness.set_table(table(3, vec![route("q", shards(1))]));
    harness.add_servers("s0", 1);
    for _ in 0..6 {
        let send = harness.sends.len();
        harness.call("q");
        assert_eq!(harness.sends.len(), send + 1);
        let server = harness.sends[send].server;
        report(&mut harness, server, 2);
        harness.end(send, AttemptResult::Broken);
        report(&mut harness, server, 1);
        harness.advance(6);
    }
    assert_eq!(verdicts(&harness), [0, 6, 0]);
    assert!(harness.suspects.is_empty());
}

#[test]
fn the_estimate_follows_the_recent_verdicts() {
    let cases = [
        ("no verdict", 0, 0, 0, false),
        ("one lost answer", 0, 1, 0, false),
        ("two lost answers", 0, 2, 0, true),
        ("two lost answers, too old", 0, 2, 5000, false),
        ("lost answers and an end", 1, 2, 0, false),
        ("many lost answers and an end", 1, 8, 0, true),
    ];
    for (name, ended, lost, later_ms, is_expected) in cases {
        let now = Duration::from_secs(7);
        let mut estimate = EndEstimate::default();
        for number in 0..ended + lost {
            estimate.record(number < ended, now);
        }
        let later = now + Duration::from_millis(later_ms);
        assert_eq!(estimate.expects_lost_answer(later), is_expected, "{name}");
    }
}

/// Servers may break thousands of connections within seconds; undecided breaks must not
/// fill the memory.
#[test]
fn undecided_breaks_are_bounded_per_server_and_in_total() {
    let mut watch = EndWatch::default();
    let now = Duration::from_secs(1);
    let broken = PendingBreak {
        call: None,
        mark: fingerprint_of("/q/x"),
        is_canary: false,
        is_trial: false,
        has_run: false,
        is_counted: false,
        at: now,
    };
    for number in 0..4000 * 40 {
        let server = ServerKey::from_index(number % 4000);
        watch.record_break(server, broken, 100, Duration::ZERO);
    }
    assert_eq!(watch.len(), 512 * 16);
}
