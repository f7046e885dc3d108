//! The constant retry allowance (`slack`) of a shard whose group is owned by one entry of
//! each failure domain. The owner sends most requests to the shard, so its part of the
//! allowance must not shrink with the number of entries.

use std::time::Duration;

use wheelmast_core::process::forward::extra::{
    BudgetSharing, ExtraBound, ExtraBudget, ExtraPurpose,
};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::place::RegionMap;

use crate::harness::{route, shards, table, LOCAL_DOMAIN};

const BOUND: ExtraBound = ExtraBound {
    ratio: 0.2,
    slack: 1040.0,
    window: Duration::from_secs(10),
};
/// Number of failure domains.
const DOMAINS: u32 = 6;
/// Minimum number of retries in a window that an owner can make, at any number of entries.
const MIN_OWNER_RETRIES: usize = 40;

/// Returns how many retries an entry with this view can make at once.
fn available_retries(view: BudgetSharing) -> usize {
    let mut budget = ExtraBudget::default();
    let now = Duration::from_secs(60);
    let retries =
        (0..10_000).take_while(|_| budget.try_spend(&BOUND, view, ExtraPurpose::Retry, now));
    retries.count()
}

#[test]
fn an_owners_allowance_does_not_shrink_with_the_entries_and_all_keep_the_bound() {
    for entries in [6_u32, 30, 100, 300, 983, 2382] {
        let view = |owns_shard| BudgetSharing {
            entries,
            domains: DOMAINS,
            owns_shard: Some(owns_shard),
        };
        let (owner, other) = (
            available_retries(view(true)),
            available_retries(view(false)),
        );
        assert!(owner >= MIN_OWNER_RETRIES, "{entries} entries: {owner}");
        // While entries disagree about the list of entries, each domain has two owners.
        let owners = (DOMAINS * 2).min(entries) as usize;
        let all = owner * owners + other * (entries as usize - owners);
        assert!(all as f64 <= BOUND.slack, "{entries} entries: {all}");
    }
}

/// Guards against owners that send more in a burst than the constant allowance, in a window
/// that begins after the requests that paid for it.
#[test]
fn bursts_of_all_owners_keep_the_bound_in_windows_without_their_requests() {
    for entries in [6_u32, 30, 100, 300] {
        let burst = |owns_shard| {
            let view = BudgetSharing {
                entries,
                domains: DOMAINS,
                owns_shard: Some(owns_shard),
            };
            let mut budget = ExtraBudget::default();
            for _ in 0..10_000 {
                budget.count_request(&BOUND, Duration::from_secs(60));
            }
            let now = Duration::from_secs(62);
            let retries = (0..10_000)
                .take_while(|_| budget.try_spend(&BOUND, view, ExtraPurpose::Retry, now));
            retries.count()
        };
        let (owner, other) = (burst(true), burst(false));
        let all = owner * DOMAINS as usize + other * (entries - DOMAINS) as usize;
        assert!(all as f64 <= BOUND.slack, "{entries} entries: {all}");
        assert!(
            owner
                > available_retries(BudgetSharing {
                    entries,
                    domains: DOMAINS,
                    owns_shard: Some(true),
                })
        );
    }
}

/// Returns the entries of the local failure domain.
fn peers(count: u16) -> Vec<EntryPeer> {
    let peer = |number: u16| EntryPeer {
        instance: format!("home-{number}").into(),
        incarnation: 7,
        domain: LOCAL_DOMAIN.into(),
        address: ([127, 0, 0, 1], 9500 + number).into(),
    };
    (0..count).map(peer).collect()
}

/// Returns the services for which entry `number` has more than an equal part of the
/// allowance, after route tables with these numbers of shards.
fn services_owned_by(number: usize, peers: &[EntryPeer], tables: &[usize]) -> Vec<String> {
    let regions = ["here", "beside", "far"].map(|domain| (domain.into(), "west".into()));
    let mut machine = ForwardMachine::new(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        local_id: peers[number].id(),
        regions: RegionMap::new(regions),
        extra: BOUND,
        ..ForwardOptions::default()
    });
    let now = Duration::from_secs(1);
    let mut out = Vec::new();
    let tables = (1..).zip(tables).map(|(version, count)| {
        ForwardInput::Table(table(version, vec![route("q", shards(*count))]))
    });
    let entry_inputs = [
        ForwardInput::EntryCount(peers.len() as u32),
        ForwardInput::Peers(peers.to_vec()),
    ];
    for input in tables.chain(entry_inputs) {
        machine.step(now, input, &mut out);
    }
    let equal_part = BOUND.slack / peers.len() as f64;
    let services = machine.services(now);
    let owned = services.filter(|(_, _, _, budget)| *budget > equal_part);
    owned.map(|(name, _, _, _)| name.to_string()).collect()
}

#[test]
fn each_shard_has_one_owner_among_the_entries_of_a_domain() {
    let peers = peers(40);
    let mut expected: Vec<String> = (0..60).map(|shard| format!("s{shard}")).collect();
    expected.sort();
    // Later tables with fewer shards keep the owners, as requests under an older table may
    // still be in progress.
    for tables in [&[60][..], &[60, 30], &[60, 12]] {
        let owned = (0..peers.len()).flat_map(|number| services_owned_by(number, &peers, tables));
        let mut owned: Vec<String> = owned.collect();
        owned.sort();
        assert_eq!(owned, expected, "{tables:?}");
    }
}
