//! Selection of the control instances that an entry connects to, and of its source: the
//! one that sends the entry large state, such as route tables.

use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::process::forward::place::DomainProximity;
use wheelmast_core::process::forward::source::{
    choose_control_connections, choose_source, ControlCandidate, ControlPeer, CONTROL_CONNECTIONS,
};

struct SourceCase {
    name: &'static str,
    /// Whether the instance is in the entry's domain, whether it has a quorum, and its
    /// connect time in ms. The index determines the address.
    peers: &'static [(bool, bool, u64)],
    /// Index of the instance that has just started.
    just_started: Option<usize>,
    /// Index of the current source.
    current: Option<u16>,
    /// Index of the expected source.
    want: Option<u16>,
}

const CASES: &[SourceCase] = &[
    SourceCase {
        name: "none is connected",
        peers: &[],
        just_started: None,
        current: Some(0),
        want: None,
    },
    SourceCase {
        name: "the near one replaces a far source",
        peers: &[(false, true, 1), (true, true, 2)],
        just_started: None,
        current: Some(0),
        want: Some(1),
    },
    SourceCase {
        name: "a far one with a quorum before a near one without",
        peers: &[(true, false, 1), (false, true, 16)],
        just_started: None,
        current: Some(0),
        want: Some(1),
    },
    SourceCase {
        name: "the far one with the shortest connect time",
        peers: &[(false, true, 16), (false, true, 2), (false, true, 17)],
        just_started: None,
        current: None,
        want: Some(1),
    },
    SourceCase {
        name: "the source stays if none is better except by connect time",
        peers: &[(false, true, 2), (false, true, 16)],
        just_started: None,
        current: Some(1),
        want: Some(1),
    },
    SourceCase {
        name: "the source is left unchanged when a near one has just started",
        peers: &[(false, true, 16), (true, true, 1)],
        just_started: Some(1),
        current: Some(0),
        want: Some(0),
    },
    SourceCase {
        name: "a near one that has just started stays the source",
        peers: &[(false, true, 16), (true, true, 1)],
        just_started: Some(1),
        current: Some(1),
        want: Some(1),
    },
    SourceCase {
        name: "all are without a quorum after a loss of power: the near one",
        peers: &[(false, false, 2), (true, false, 16)],
        just_started: None,
        current: None,
        want: Some(1),
    },
];

fn address(index: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1000 + index).into()
}

#[test]
fn the_source_has_a_quorum_and_is_near() {
    for case in CASES {
        let peers = case.peers.iter().enumerate();
        let peers: Vec<ControlPeer> = peers
            .map(|(index, (is_near, has_quorum, connect_time))| ControlPeer {
                started_recently: case.just_started == Some(index),
                address: address(index as u16),
                is_near: *is_near,
                has_quorum: *has_quorum,
                connect_time: Duration::from_millis(*connect_time),
            })
            .collect();
        let chosen = choose_source(&peers, case.current.map(address));
        assert_eq!(chosen, case.want.map(address), "{}", case.name);
    }
}

const LOCAL_DOMAIN: &str = "a1";

/// Returns one control instance per failure domain. The first letter of a domain is its
/// region.
fn sites(domains: &[&'static str]) -> Vec<ControlCandidate<'static>> {
    let place = |domain: &str| match domain {
        LOCAL_DOMAIN => DomainProximity::Domain,
        domain if domain.starts_with('a') => DomainProximity::Region,
        _ => DomainProximity::Elsewhere,
    };
    let sites = domains.iter().enumerate();
    sites
        .map(|(index, domain)| ControlCandidate {
            address: ([10, 0, 0, index as u8], 7380).into(),
            place: Some((*domain, place(domain))),
            last_failed_at: None,
        })
        .collect()
}

struct ConnectionCase {
    name: &'static str,
    domains: &'static [&'static str],
    /// Indexes of the instances that have failed.
    failing: &'static [usize],
    /// Failure domains of the instances that are chosen, in order.
    chosen: &'static [&'static str],
}

#[test]
fn an_entry_is_connected_to_two_near_instances_of_different_domains() {
    let cases = [
        ConnectionCase {
            name: "one in each domain",
            domains: &["a1", "b1", "c1", "a2", "b2", "c2"],
            failing: &[],
            chosen: &["a1", "a2"],
        },
        ConnectionCase {
            name: "several in each domain",
            domains: &["a1", "a1", "a2", "a2", "b1", "b1"],
            failing: &[],
            chosen: &["a1", "a2"],
        },
        ConnectionCase {
            name: "one instance of the local domain fails",
            domains: &["a1", "a1", "a2", "b1"],
            failing: &[0],
            chosen: &["a1", "a2"],
        },
        ConnectionCase {
            name: "the local domain fails",
            domains: &["a1", "a2", "b1"],
            failing: &[0],
            chosen: &["a2", "b1"],
        },
        ConnectionCase {
            name: "the local region fails",
            domains: &["a1", "a2", "b1", "c1", "c1"],
            failing: &[0, 1],
            chosen: &["b1", "c1"],
        },
        ConnectionCase {
            name: "all but one fail",
            domains: &["a1", "a2", "b1"],
            failing: &[0, 2],
            chosen: &["a2", "a1"],
        },
        ConnectionCase {
            name: "all in one domain",
            domains: &["a1", "a1", "a1"],
            failing: &[],
            chosen: &["a1", "a1"],
        },
        ConnectionCase {
            name: "one alone",
            domains: &["b1"],
            failing: &[],
            chosen: &["b1"],
        },
    ];
    for case in cases {
        let mut sites = sites(case.domains);
        for failing in case.failing {
            sites[*failing].last_failed_at = Some(Duration::from_secs(1));
        }
        let chosen = choose_control_connections("entry#1", &sites);
        let domain = |address| {
            let mut sites = sites.iter();
            let site = sites.find(|site| site.address == address);
            site.and_then(|site| site.place).map(|(domain, _)| domain)
        };
        let mut domains: Vec<&str> = chosen
            .iter()
            .filter_map(|address| domain(*address))
            .collect();
        if case.failing.len() > 1 && case.chosen != ["a2", "a1"] {
            // The order of two equally distant regions depends on the hash.
            domains.sort_unstable();
        }
        assert_eq!(domains, case.chosen, "{}", case.name);
    }
}

#[test]
fn instances_that_failed_earlier_are_preferred_to_those_that_have_just_lost_their_quorum() {
    let mut sites = sites(&["a1", "a2", "b1", "c1"]);
    for (site, last_failed_at) in sites.iter_mut().zip([9, 9, 6, 5]) {
        site.last_failed_at = Some(Duration::from_secs(last_failed_at));
    }
    let chosen = choose_control_connections("entry#1", &sites);
    assert_eq!(chosen, [sites[3].address, sites[2].address]);
}

#[test]
fn connections_grow_with_the_entries_and_spread_over_the_near_instances() {
    let domains: Vec<&str> = (0..24)
        .map(|index| ["a1", "a2", "b1", "b2", "c1", "c2"][index % 6])
        .collect();
    let sites = sites(&domains);
    let near = sites.iter().filter(|site| {
        site.place
            .is_some_and(|(domain, _)| domain.starts_with('a'))
    });
    let near = near.count();
    for entries in [100, 1000] {
        let mut counts = std::collections::HashMap::new();
        for number in 0..entries {
            for address in choose_control_connections(&format!("entry-{number}#7"), &sites) {
                *counts.entry(address).or_insert(0) += 1;
            }
        }
        let all: usize = counts.values().sum();
        assert_eq!(all, entries * CONTROL_CONNECTIONS);
        let most = counts.values().max().copied().unwrap_or(0);
        assert!(most <= all * 2 / near, "{most} of {all} at one of {near}");
    }
}
