//! Tests of the limit on requests that all entries together send to a server
//! while it is cold.

use std::collections::HashMap;
use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::cold::{
    AdaptiveShare, ColdBound, EqualShare, OwnerShare, ServerSharing, ShareStrategy,
};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable, RouteTarget};

use crate::harness::{route, server_announcement, table, Harness, LOCAL_DOMAIN};

const BOUND: ColdBound = ColdBound {
    excess: 1.5,
    slack: 5.0,
};
/// Requests per second that a cold server accepts.
const PER_S: f64 = 10.0;
/// Number of servers of the service.
const SERVERS: usize = 6;

/// Returns the description of an entry that is sent to the other entries.
fn peer(number: usize) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{number}").into(),
        incarnation: 1,
        domain: LOCAL_DOMAIN.into(),
        address: ([127, 0, 0, 1], 9000 + number as u16).into(),
    }
}

/// Returns one of `entries` entries of a failure domain. A third of the servers is
/// cold for four seconds.
fn entry_with_some_cold(number: usize, entries: usize, knows_peers: bool) -> Harness {
    entry_with_cold_servers(number, entries, knows_peers, SERVERS / 3)
}

/// Returns one of `entries` entries of a failure domain in which all servers are
/// cold.
fn entry_with_all_cold(number: usize, entries: usize) -> Harness {
    entry_with_cold_servers(number, entries, true, SERVERS)
}

/// Returns one of `entries` entries of a failure domain in which the first `cold`
/// servers are cold. If not `knows_peers`, the entry has received neither the
/// number nor the list of entries.
fn entry_with_cold_servers(
    number: usize,
    entries: usize,
    knows_peers: bool,
    cold: usize,
) -> Harness {
    let mut harness = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        local_id: peer(number).id(),
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
    harness.set_table(
        RouteTable::check(draft)
            .expect("the route table is valid")
            .into(),
    );
    if knows_peers {
        harness.step(ForwardInput::EntryCount(entries as u32));
        harness.step(ForwardInput::Peers((0..entries).map(peer).collect()));
    }
    for server in 0..SERVERS {
        let id = format!("desk-{server}");
        harness.step(ForwardInput::Announcement(ServerAnnouncement {
            cold_ms: if server < cold { 4000 } else { 0 },
            slots: 50,
            ..server_announcement(&id, "desk", LOCAL_DOMAIN, 1000 + server as u16)
        }));
    }
    harness
}

/// Simulates three seconds of requests at all entries. For the first two servers,
/// which are cold in every case, returns the maximum number of requests that one of
/// them received within a second, and the number that both received in total.
fn simulate(entries: &mut [Harness], rate: usize) -> (usize, usize) {
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
                entry.answer_ok(send, b"");
            }
            entry.advance(10);
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
    let max_received = cold.iter().map(window).max().unwrap_or(0);
    (max_received, cold.iter().map(|times| times.len()).sum())
}

#[test]
fn no_cold_server_receives_more_than_the_limit_from_all_entries() {
    let bound = BOUND.max_per_second(PER_S) as usize;
    for (count, rate) in [(1, 50), (5, 20), (30, 10), (60, 10)] {
        let mut entries: Vec<Harness> = (0..count)
            .map(|n| entry_with_some_cold(n, count, true))
            .collect();
        let (max_received, _) = simulate(&mut entries, rate);
        assert!(
            max_received <= bound,
            "{count} entries: {max_received} requests in a second, {bound} allowed"
        );
        // If every server is cold, the requests must go to cold servers.
        let mut entries: Vec<Harness> = (0..count).map(|n| entry_with_all_cold(n, count)).collect();
        let (max_received, sent) = simulate(&mut entries, rate);
        assert!(
            max_received <= bound,
            "{count} entries: {max_received} requests in a second, {bound} allowed"
        );
        assert!(
            sent > 0,
            "{count} entries: cold servers received no request"
        );
    }
}

#[test]
fn the_limit_holds_while_entries_have_two_views_of_the_set_of_entries() {
    let bound = BOUND.max_per_second(PER_S) as usize;
    for (old, new) in [(4, 6), (20, 30), (30, 29)] {
        let mut entries: Vec<Harness> = (0..old.max(new))
            .map(|n| entry_with_some_cold(n, if n % 2 == 0 { old } else { new }, true))
            .collect();
        let (max_received, _) = simulate(&mut entries, 10);
        assert!(
            max_received <= bound,
            "{old} and {new} entries: {max_received} requests in a second, {bound} allowed"
        );
    }
}

#[test]
fn an_entry_without_a_list_of_entries_uses_a_small_share() {
    let mut entries = vec![entry_with_some_cold(0, 1, false)];
    let (max_received, _) = simulate(&mut entries, 50);
    assert!(max_received <= 1, "{max_received} requests in a second");
}

struct ShareCase {
    entries: u32,
    is_owner: bool,
    /// Expected allowance of [`EqualShare`].
    equal: usize,
    /// Expected allowance of [`OwnerShare`].
    owner: usize,
    /// Expected allowance of [`AdaptiveShare`].
    adaptive: usize,
}

/// Checks the allowances of the three strategies, with a limit of 20 requests per
/// second.
#[test]
fn equal_shares_suit_few_entries_and_a_single_owner_suits_many() {
    let cases = [
        ShareCase {
            entries: 1,
            is_owner: true,
            equal: 10,
            owner: 10,
            adaptive: 10,
        },
        ShareCase {
            entries: 5,
            is_owner: false,
            equal: 2,
            owner: 0,
            adaptive: 2,
        },
        ShareCase {
            entries: 5,
            is_owner: true,
            equal: 2,
            owner: 10,
            adaptive: 2,
        },
        ShareCase {
            entries: 30,
            is_owner: false,
            equal: 0,
            owner: 0,
            adaptive: 0,
        },
        ShareCase {
            entries: 30,
            is_owner: true,
            equal: 0,
            owner: 10,
            adaptive: 10,
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
        assert_eq!(shares, [case.equal, case.owner, case.adaptive], "{view:?}");
    }
}

#[test]
fn a_server_is_assumed_cold_after_its_domain_or_its_lease_came_back() {
    let lease_expiry = |harness: &mut Harness| {
        for has_expired in [true, false] {
            harness.step(ForwardInput::LeaseExpiry("desk-5".into(), has_expired));
        }
    };
    let evacuation = |harness: &mut Harness| {
        for domains in [vec![LOCAL_DOMAIN.into()], Vec::new()] {
            harness.step(ForwardInput::EvacuatedDomains(domains));
        }
    };
    let events: [&dyn Fn(&mut Harness); 2] = [&lease_expiry, &evacuation];
    for event in events {
        let mut harness = entry_with_some_cold(0, 60, true);
        event(&mut harness);
        let mut sent_count = 0;
        for _ in 0..60 {
            let first = harness.sends.len();
            harness.call("q");
            for send in first..harness.sends.len() {
                sent_count += usize::from(&*harness.sends[send].instance == "desk-5");
                harness.answer_ok(send, b"");
            }
            harness.advance(1);
        }
        assert!(
            sent_count <= BOUND.max_per_second(PER_S) as usize / 2,
            "{sent_count} requests sent to the server"
        );
    }
}

#[test]
fn requests_beyond_the_limit_of_cold_servers_are_refused_at_once() {
    let mut refused = 0;
    for number in 0..30 {
        let mut harness = entry_with_all_cold(number, 30);
        let call = harness.call("q");
        match harness.failure_of(call) {
            Some(failure) => {
                assert_eq!(failure, ForwardFailure::NoServer);
                refused += 1;
            }
            None => assert_eq!(harness.sends.len(), 1),
        }
    }
    assert!(
        refused >= 30 - SERVERS,
        "only an owner sends a request: {refused} refused"
    );
}
