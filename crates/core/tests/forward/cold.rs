//! What servers get while they are cold, from all entries together.

use std::collections::HashMap;
use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::cold::{
    AdaptiveShare, ColdBound, EqualShare, OwnerShare, ServerSharing, ShareStrategy,
};
use wheelmast_core::process::forward::directory::ServerNotice;
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable, RouteTarget};

use crate::harness::{notice, route, table, Harness, HOME};

const BOUND: ColdBound = ColdBound {
    excess: 1.5,
    slack: 5.0,
};
/// Requests that a cold server takes in a second.
const PER_S: f64 = 10.0;
const SERVERS: usize = 6;

fn peer(number: usize) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{number}").into(),
        lifetime: 1,
        domain: HOME.into(),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
    }
}

/// One of so many entries of a domain, over servers of which a third is cold
/// for some seconds.
fn entry(number: usize, entries: usize, knows_peers: bool) -> Harness {
    entry_beside(number, entries, knows_peers, SERVERS / 3)
}

fn all_cold(number: usize, entries: usize) -> Harness {
    entry_beside(number, entries, true, SERVERS)
}

fn entry_beside(number: usize, entries: usize, knows_peers: bool, cold: usize) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: HOME.into(),
        own: peer(number).id(),
        cold: BOUND,
        seed: number as u64,
        ..ForwardOptions::default()
    });
    let checked = table(1, vec![route("q", RouteTarget::Service("desk".into()))]);
    let mut services = checked.services().to_vec();
    services[0].cold_per_s = PER_S;
    let draft = RouteDraft {
        version: 2,
        routes: checked.routes().to_vec(),
        services,
        limits: checked.limits(),
        workspaces: None,
    };
    harness.obey(RouteTable::check(draft).expect("it is good").into());
    if knows_peers {
        harness.step(ForwardInput::Entries(entries as u32));
        harness.step(ForwardInput::Peers((0..entries).map(peer).collect()));
    }
    for server in 0..SERVERS {
        let id = format!("desk-{server}");
        harness.step(ForwardInput::Notice(ServerNotice {
            cold_ms: if server < cold { 4000 } else { 0 },
            slots: 50,
            ..notice(&id, "desk", HOME, 1000 + server as u16)
        }));
    }
    harness
}

/// Plays three seconds of requests at all entries. Returns the most that a cold
/// server got in a second, and how many of all requests went to cold ones.
fn play(entries: &mut [Harness], rate: usize) -> (usize, usize) {
    let mut arrivals: HashMap<String, Vec<Duration>> = HashMap::new();
    for step in 0..300 {
        for (number, entry) in entries.iter_mut().enumerate() {
            let first = entry.sends.len();
            if (step + number * 7) % (100 / rate) == 0 {
                entry.call("q");
            }
            for send in first..entry.sends.len() {
                let id = entry.sends[send].instance.to_string();
                arrivals.entry(id).or_default().push(entry.now);
                entry.end_well(send, b"");
            }
            entry.pass(10);
        }
    }
    let cold = arrivals
        .iter()
        .filter(|(id, _)| **id == "desk-0" || **id == "desk-1");
    let cold: Vec<&Vec<Duration>> = cold.map(|(_, times)| times).collect();
    let window = |times: &&Vec<Duration>| {
        let counts = times.iter().map(|from| {
            let until = *from + Duration::from_secs(1);
            times
                .iter()
                .filter(|time| (*from..until).contains(time))
                .count()
        });
        counts.max().unwrap_or(0)
    };
    let max_per_second = cold.iter().map(window).max().unwrap_or(0);
    (max_per_second, cold.iter().map(|times| times.len()).sum())
}

#[test]
fn no_cold_server_gets_more_than_the_bound_from_all_entries() {
    let bound = BOUND.max_per_second(PER_S) as usize;
    for (count, rate) in [(1, 50), (5, 20), (30, 10), (60, 10)] {
        let mut entries: Vec<Harness> = (0..count).map(|n| entry(n, count, true)).collect();
        let (max_per_second, _) = play(&mut entries, rate);
        assert!(
            max_per_second <= bound,
            "{count} entries: {max_per_second} of {bound}"
        );
        // With every server cold, these are all there is.
        let mut entries: Vec<Harness> = (0..count).map(|n| all_cold(n, count)).collect();
        let (max_per_second, sent) = play(&mut entries, rate);
        assert!(
            max_per_second <= bound,
            "{count} entries: {max_per_second} of {bound}"
        );
        assert!(sent > 0, "{count} entries: cold servers are used");
    }
}

#[test]
fn the_bound_holds_with_two_views_of_who_the_entries_are() {
    let bound = BOUND.max_per_second(PER_S) as usize;
    for (old, new) in [(4, 6), (20, 30), (30, 29)] {
        let mut entries: Vec<Harness> = (0..old.max(new))
            .map(|n| entry(n, if n % 2 == 0 { old } else { new }, true))
            .collect();
        let (max_per_second, _) = play(&mut entries, 10);
        assert!(
            max_per_second <= bound,
            "{old} and {new}: {max_per_second} in a second, {bound} allowed"
        );
    }
}

#[test]
fn an_entry_that_knows_of_no_others_keeps_to_a_small_part() {
    let mut entries = vec![entry(0, 1, false)];
    let (max_per_second, _) = play(&mut entries, 50);
    assert!(max_per_second <= 1, "{max_per_second}");
}

struct ShareCase {
    entries: u32,
    is_owner: bool,
    equal: usize,
    holder: usize,
    fitting: usize,
}

/// What the two ways leave of 20 requests a second, and the one that is taken.
#[test]
fn equal_parts_fit_few_entries_and_one_holder_fits_many() {
    let cases = [
        ShareCase {
            entries: 1,
            is_owner: true,
            equal: 10,
            holder: 10,
            fitting: 10,
        },
        ShareCase {
            entries: 5,
            is_owner: false,
            equal: 2,
            holder: 0,
            fitting: 2,
        },
        ShareCase {
            entries: 5,
            is_owner: true,
            equal: 2,
            holder: 10,
            fitting: 2,
        },
        ShareCase {
            entries: 30,
            is_owner: false,
            equal: 0,
            holder: 0,
            fitting: 0,
        },
        ShareCase {
            entries: 30,
            is_owner: true,
            equal: 0,
            holder: 10,
            fitting: 10,
        },
    ];
    for case in cases {
        let view = ServerSharing {
            entries: case.entries,
            is_owner: case.is_owner,
        };
        let shares = [
            EqualShare.allowance(20.0, view),
            OwnerShare.allowance(20.0, view),
            AdaptiveShare.allowance(20.0, view),
        ];
        assert_eq!(shares, [case.equal, case.holder, case.fitting], "{view:?}");
    }
}

#[test]
fn a_server_is_doubted_when_its_domain_comes_back_or_it_was_silent() {
    let silence = |harness: &mut Harness| {
        for silent in [true, false] {
            harness.step(ForwardInput::Silent("desk-5".into(), silent));
        }
    };
    let evacuation = |harness: &mut Harness| {
        for domains in [vec![HOME.into()], Vec::new()] {
            harness.step(ForwardInput::Evacuated(domains));
        }
    };
    let events: [&dyn Fn(&mut Harness); 2] = [&silence, &evacuation];
    for event in events {
        let mut harness = entry(0, 60, true);
        event(&mut harness);
        let mut asked = 0;
        for _ in 0..60 {
            let first = harness.sends.len();
            harness.call("q");
            for send in first..harness.sends.len() {
                asked += usize::from(&*harness.sends[send].instance == "desk-5");
                harness.end_well(send, b"");
            }
            harness.pass(1);
        }
        assert!(asked <= BOUND.max_per_second(PER_S) as usize / 2, "{asked}");
    }
}

#[test]
fn what_cold_servers_have_no_room_for_is_refused_at_once() {
    let mut refused = 0;
    for number in 0..30 {
        let mut harness = all_cold(number, 30);
        let call = harness.call("q");
        match harness.failure_of(call) {
            Some(failure) => {
                assert_eq!(failure, ForwardFailure::NoServer);
                refused += 1;
            }
            None => assert_eq!(harness.sends.len(), 1),
        }
    }
    assert!(refused >= 30 - SERVERS, "only holders send: {refused}");
}
