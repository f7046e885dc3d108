//! The limit on connections to servers that accept fewer than one from each entry, and the
//! unchanged rule for other servers. Guards against connections over the limit, against
//! requests that count as run although no server got them, and against parts that wait for
//! an event that never comes.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::arena::ServerKey;
use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::connection_places::{CONTACT_TIMEOUT, GAIN_DELAY};
use wheelmast_core::process::forward::extra::{ExtraBound, ExtraBudget, ExtraPurpose};
use wheelmast_core::process::forward::input::{
    AttemptResult, ConnectionLimit, EntryPeer, ForwardInput,
};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable, RouteTarget, ServiceRule};

use crate::harness::{route, server_announcement, shards, table, Harness, LOCAL_DOMAIN};

const BOUND: ExtraBound = ExtraBound {
    ratio: 0.0,
    slack: 0.0,
    window: Duration::from_secs(10),
};

/// Returns an entry of the local domain.
fn local_entry(number: usize) -> EntryPeer {
    EntryPeer {
        instance: format!("home-{number}").into(),
        incarnation: 7,
        domain: LOCAL_DOMAIN.into(),
        address: ([127, 0, 0, 1], 9500).into(),
    }
}

/// Returns a table with the route `q`, whose service `desk` accepts this many connections
/// at each server.
fn desk_table(connections: u32, idempotent: bool) -> Arc<RouteTable> {
    let desk = RouteTarget::Service("desk".into());
    let draft = RouteDraft {
        version: 1,
        services: vec![ServiceRule {
            name: "desk".into(),
            connections,
            cold_per_s: 0.0,
        }],
        routes: vec![wheelmast_core::version::route_table::RouteRule {
            idempotent,
            attempts: 1,
            ..route("q", desk)
        }],
        limits: Default::default(),
        workspaces: None,
    };
    Arc::new(RouteTable::check(draft).expect("valid table"))
}

/// Returns one of `entries` entries of the local domain, with `servers` servers there that
/// accept `connections` connections each.
fn desk_harness(number: usize, entries: usize, connections: u32, servers: u16) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        local_id: local_entry(number).id(),
        extra: BOUND,
        connection_subsets: true,
        ..ForwardOptions::default()
    });
    harness.set_table(desk_table(connections, false));
    harness.add_servers("desk", servers);
    list_entries(&mut harness, entries);
    harness
}

/// Gives the machine the list of the first `entries` entries.
fn list_entries(harness: &mut Harness, entries: usize) {
    harness.step(ForwardInput::EntryCount(entries as u32));
    let peers = (0..entries).map(local_entry).collect();
    harness.step(ForwardInput::Peers(peers));
}

/// Reports the connections to a server, as the pool does.
fn report(harness: &mut Harness, server: ServerKey, idle: u32, open: u32) {
    harness.step(ForwardInput::Connections { server, idle, open });
}

/// Ends an attempt as the pool does after a limit was reached.
fn reach_limit(harness: &mut Harness, send: usize, limit: ConnectionLimit) {
    let attempt = harness.sends[send].attempt;
    harness.step(ForwardInput::ConnectionLimitReached { attempt, limit });
    harness.end(send, AttemptResult::Unsent);
    let server = harness.sends[send].server;
    report(harness, server, 0, 0);
}

/// Returns the number of places of each of `entries` entries at a single server.
fn places(entries: usize, connections: u32) -> Vec<u32> {
    let places = (0..entries).map(|number| {
        let mut harness = desk_harness(number, entries, connections, 1);
        harness.advance(GAIN_DELAY.as_millis() as u64);
        harness.machine.place_totals().places
    });
    places.collect()
}

#[test]
fn where_connections_are_not_scarce_the_former_rule_applies() {
    for entries in [1_u32, 2, 7, 8, 20, 39, 63, 85] {
        for connections in [1_u32, 2, 8, 25, 54, 100, 440] {
            let used = f64::from(connections) * 0.85;
            let equal_share = (used / f64::from(entries)) as usize;
            if equal_share == 0 {
                continue;
            }
            let mut harness = desk_harness(0, entries as usize, connections, 1);
            let far = server_announcement("desk-far", "desk", "away", 700);
            harness.step(ForwardInput::Announcement(far));
            for _ in 0..12 {
                harness.call("q");
            }
            assert!(!harness.sends.is_empty());
            for order in harness.sends.clone() {
                assert_eq!(order.max_connections, None);
                let domain_share = (used / f64::from(entries)) as usize;
                let expected = if &*order.instance == "desk-far" {
                    equal_share.max(1)
                } else {
                    equal_share.max(domain_share.min(4)).max(1)
                };
                let cap = harness.machine.connection_cap(order.server);
                assert_eq!(cap, expected, "{entries} entries, {connections}");
                // The former rule does not count open connections.
                report(&mut harness, order.server, 0, 500);
            }
            let sends = harness.sends.len();
            assert!(sends <= 4, "a new connection only while a slot is free");
            harness.answer_ok(0, b"");
            assert_eq!(harness.sends.len(), sends + usize::from(sends < 12));
            assert_eq!(harness.idle_closes, 0);
            assert_eq!(harness.machine.place_totals().places, 0);
        }
    }
}

#[test]
fn before_the_list_of_entries_is_known_the_former_rule_applies() {
    let mut harness = Harness::new();
    harness.set_table(desk_table(9, false));
    harness.add_servers("desk", 1);
    harness.call("q");
    assert_eq!(harness.sends[0].max_connections, None);
}

#[test]
fn entries_with_a_place_send_and_the_others_refuse_at_once_as_not_run() {
    let places = places(40, 20);
    assert!(places.iter().sum::<u32>() <= 17 + 1, "{places:?}");
    let owners = places.iter().filter(|places| **places == 4).count();
    assert_eq!(owners, 1, "{places:?}");
    for (number, places) in places.iter().enumerate() {
        let mut harness = desk_harness(number, 40, 20, 1);
        let call = harness.call("q");
        assert_eq!(harness.sends.len(), usize::from(*places > 0), "{number}");
        let failure = harness.failure_of(call);
        let expected = (*places == 0).then_some(ForwardFailure::NoServer);
        assert_eq!(failure, expected, "{number}");
    }
}

#[test]
fn a_request_waits_for_the_only_connection_and_uses_it_when_it_is_idle() {
    let places = places(40, 20);
    let number = places.iter().position(|places| *places == 1);
    let mut harness = desk_harness(number.expect("one place"), 40, 20, 1);
    let first = harness.call("q");
    let second = harness.call("q");
    assert_eq!(harness.sends.len(), 1);
    let server = harness.sends[0].server;
    report(&mut harness, server, 0, 1);
    harness.answer_ok(0, b"");
    assert_eq!(harness.sends.len(), 1, "the connection is not idle yet");
    report(&mut harness, server, 1, 1);
    assert_eq!(harness.sends.len(), 2);
    harness.answer_ok(1, b"");
    for call in [first, second] {
        assert!(harness.answer_to(call).is_some());
        assert_eq!(harness.failure_of(call), None);
    }
}

#[test]
fn a_lost_place_is_released_at_once_and_a_gained_one_used_after_the_delay() {
    let (before, after) = (places(40, 24), places(46, 24));
    let losing = (0..40).find(|number| before[*number] == 1 && after[*number] == 0);
    let number = losing.expect("an entry that loses its place");
    let mut harness = desk_harness(number, 40, 24, 1);
    harness.call("q");
    let server = harness.sends[0].server;
    harness.answer_ok(0, b"");
    report(&mut harness, server, 1, 1);
    list_entries(&mut harness, 46);
    assert_eq!(harness.idle_closes, 1);
    report(&mut harness, server, 0, 0);
    harness.call("q");
    assert_eq!(harness.sends.len(), 1, "no place, no connection");
    list_entries(&mut harness, 40);
    assert_eq!(harness.machine.connection_cap(server), 0);
    harness.advance(GAIN_DELAY.as_millis() as u64);
    harness.call("q");
    assert_eq!(harness.sends.len(), 2);
}

#[test]
fn a_busy_connection_of_a_lost_place_is_closed_when_its_request_ends() {
    let (before, after) = (places(40, 24), places(46, 24));
    let losing = (0..40).find(|number| before[*number] == 1 && after[*number] == 0);
    let mut harness = desk_harness(losing.expect("an entry"), 40, 24, 1);
    let call = harness.call("q");
    let server = harness.sends[0].server;
    report(&mut harness, server, 0, 1);
    list_entries(&mut harness, 46);
    assert_eq!(harness.idle_closes, 0);
    harness.answer_ok(0, b"");
    assert_eq!(harness.failure_of(call), None);
    report(&mut harness, server, 1, 1);
    assert_eq!(harness.idle_closes, 1);
}

#[test]
fn an_entry_that_leaves_the_list_keeps_its_places() {
    for number in [3, 17] {
        let mut harness = desk_harness(number, 40, 20, 2);
        harness.call("q");
        let before = harness.machine.place_totals();
        let others = (0..40).filter(|other| *other != number).map(local_entry);
        harness.step(ForwardInput::Peers(others.collect()));
        harness.step(ForwardInput::Peers(Vec::new()));
        harness.call("q");
        assert_eq!(harness.machine.place_totals(), before);
    }
}

#[test]
fn entries_without_contact_keep_to_the_reserve_and_go_on_serving() {
    for number in 0..40 {
        let mut harness = desk_harness(number, 40, 40, 3);
        harness.step(ForwardInput::ControlContact);
        harness.call("q");
        let before = harness.machine.place_totals().places;
        harness.advance(CONTACT_TIMEOUT.as_millis() as u64 + 1);
        let call = harness.call("q");
        let without = harness.machine.place_totals().places;
        // An entry without a place in contact gets one when it cannot know who has it.
        assert!(without <= before.max(1), "{without} {before}");
        assert_eq!(harness.failure_of(call), None, "{number}");
        harness.step(ForwardInput::ControlContact);
        harness.call("q");
        let at_first = if before == 0 { 0 } else { without };
        let places = harness.machine.place_totals().places;
        assert_eq!(places, at_first, "{number}");
        harness.advance(GAIN_DELAY.as_millis() as u64);
        assert_eq!(harness.machine.place_totals().places, before, "later");
    }
}

#[test]
fn a_reset_of_a_new_connection_is_no_run_and_no_extra_load() {
    let owner = places(40, 20).iter().position(|places| *places == 4);
    let mut harness = desk_harness(owner.expect("an owner"), 40, 20, 2);
    let call = harness.call("q");
    reach_limit(&mut harness, 0, ConnectionLimit::Server);
    assert_eq!(harness.sends.len(), 2, "the other server gets it");
    assert_ne!(harness.sends[0].server, harness.sends[1].server);
    reach_limit(&mut harness, 1, ConnectionLimit::Server);
    assert_eq!(harness.sends.len(), 2, "both servers are at their limit");
    assert!(harness.answer_to(call).is_none(), "the request waits");
    harness.advance(99);
    assert_eq!(harness.sends.len(), 2);
    harness.advance(1);
    // The route allows one attempt and no repeat, and the budget for extra load is empty.
    assert_eq!(harness.sends.len(), 3);
    assert_eq!(harness.machine.counters().connection_resets, 2);
    assert_eq!(harness.machine.counters().retries, 0);
    let mut ended = 2;
    for _ in 0..110 {
        while ended < harness.sends.len() {
            reach_limit(&mut harness, ended, ConnectionLimit::Server);
            ended += 1;
        }
        harness.advance(10);
    }
    assert!(ended <= 8, "the back-off grows: {ended} sends in a second");
    let failure = harness.failure_of(call).expect("a failure");
    assert!(failure.is_known_unrun(), "{failure:?}");
}

#[test]
fn a_limit_of_the_entry_itself_starts_no_back_off() {
    let mut harness = desk_harness(0, 1, 1, 1);
    list_entries(&mut harness, 1);
    harness.step(ForwardInput::EntryCount(9));
    harness.call("q");
    reach_limit(&mut harness, 0, ConnectionLimit::Entry);
    assert_eq!(harness.sends.len(), 2);
    assert_eq!(harness.machine.counters().connection_resets, 0);
}

#[test]
fn a_returned_repeat_can_be_spent_again() {
    let bound = ExtraBound {
        slack: 8.0,
        ..BOUND
    };
    let mut budget = ExtraBudget::default();
    let mut now = Duration::from_secs(60);
    let spend = |budget: &mut ExtraBudget, now| {
        (0..100)
            .take_while(|_| budget.try_spend(&bound, 1, ExtraPurpose::Retry, now))
            .count()
    };
    assert_eq!(spend(&mut budget, now), 8);
    now += Duration::from_secs(2);
    budget.return_extra(&bound, now);
    assert_eq!(spend(&mut budget, now), 1);
}

#[test]
fn the_table_of_other_tests_is_not_scarce() {
    let mut harness = Harness::new();
    harness.set_table(table(
        1,
        vec![route("q", RouteTarget::Service("desk".into()))],
    ));
    harness.add_servers("desk", 1);
    harness.add_local_entries(50);
    harness.call("q");
    assert_eq!(harness.sends[0].max_connections, None);
}

#[test]
fn a_part_without_a_place_is_relayed_to_an_entry_that_has_one() {
    let mut relayed = 0;
    for number in 0..40 {
        let mut harness = Harness::with_options(ForwardOptions {
            domain: LOCAL_DOMAIN.into(),
            local_id: local_entry(number).id(),
            connection_subsets: true,
            ..ForwardOptions::default()
        });
        let mut draft = RouteDraft {
            version: 1,
            services: Vec::new(),
            routes: vec![route("q", shards(4))],
            limits: Default::default(),
            workspaces: None,
        };
        for shard in 0..4 {
            draft.services.push(ServiceRule {
                name: format!("s{shard}"),
                connections: 20,
                cold_per_s: 0.0,
            });
        }
        harness.set_table(Arc::new(RouteTable::check(draft).expect("valid table")));
        list_entries(&mut harness, 40);
        for shard in 0..4 {
            harness.add_servers(&format!("s{shard}"), 1);
        }
        harness.call("q");
        let relays = harness.sends.iter().filter_map(|send| send.relay.as_ref());
        let relays: Vec<usize> = relays.map(|relay| relay.shards.len()).collect();
        let direct = harness.sends.len() - relays.len();
        assert_eq!(direct + relays.iter().sum::<usize>(), 4, "{number}");
        relayed += relays.len();
    }
    assert!(relayed > 0);
}
