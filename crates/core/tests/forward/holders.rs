//! The constant allowance of repeats where shards are divided among the entries of
//! a failure domain: it follows who asks, however many entries there are.

use std::time::Duration;

use wheelmast_core::process::forward::extra::{BudgetSharing, ExtraBound, ExtraBudget, SpendRate};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardInput};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::place::RegionMap;

use crate::harness::{route, shards, table, HOME};

const BOUND: ExtraBound = ExtraBound {
    ratio: 0.2,
    slack: 1040.0,
    window: Duration::from_secs(10),
};
const DOMAINS: u32 = 6;
/// Least repeats in a window that a holder can make at any size.
const LEAST_HELD: usize = 40;

/// Returns how many repeats an entry with this view can make at once.
fn affordable(view: BudgetSharing) -> usize {
    let mut budget = ExtraBudget::default();
    let now = Duration::from_secs(60);
    let repeats =
        (0..10_000).take_while(|_| budget.try_spend(&BOUND, view, SpendRate::Unlimited, now));
    repeats.count()
}

#[test]
fn a_holder_s_part_does_not_shrink_with_the_entries_and_all_keep_the_bound() {
    for entries in [6_u32, 30, 100, 300, 983, 2382] {
        let view = |holds| BudgetSharing {
            entries,
            domains: DOMAINS,
            holds: Some(holds),
        };
        let (held, other) = (affordable(view(true)), affordable(view(false)));
        assert!(held >= LEAST_HELD, "{entries} entries: {held}");
        // Two views of the entries at once: each domain has two holders.
        let holders = (DOMAINS * 2).min(entries) as usize;
        let all = held * holders + other * (entries as usize - holders);
        assert!(all as f64 <= BOUND.slack, "{entries} entries: {all}");
    }
}

fn peers(count: u16) -> Vec<EntryPeer> {
    let peer = |number: u16| EntryPeer {
        instance: format!("home-{number}").into(),
        lifetime: 7,
        domain: HOME.into(),
        address: ([127, 0, 0, 1], 9500 + number).into(),
    };
    (0..count).map(peer).collect()
}

/// Returns the services whose repeats this entry of many has more room for, after
/// tables over so many shards each.
fn held_by(number: usize, peers: &[EntryPeer], tables: &[usize]) -> Vec<String> {
    let regions = ["here", "beside", "far"].map(|domain| (domain.into(), "west".into()));
    let mut machine = ForwardMachine::new(ForwardOptions {
        domain: HOME.into(),
        own: peers[number].id(),
        regions: RegionMap::new(regions),
        extra: BOUND,
        ..ForwardOptions::default()
    });
    let now = Duration::from_secs(1);
    let mut out = Vec::new();
    let tables = (1..).zip(tables).map(|(version, count)| {
        ForwardInput::Table(table(version, vec![route("q", shards(*count))]))
    });
    let known = [
        ForwardInput::Entries(peers.len() as u32),
        ForwardInput::Peers(peers.to_vec()),
    ];
    for input in tables.chain(known) {
        machine.step(now, input, &mut out);
    }
    let even = BOUND.slack / peers.len() as f64;
    let services = machine.services(now);
    let held = services.filter(|(_, _, _, room)| *room > even);
    held.map(|(name, _, _, _)| name.to_string()).collect()
}

#[test]
fn each_shard_has_one_holder_among_the_entries_of_a_domain() {
    let peers = peers(40);
    let mut wanted: Vec<String> = (0..60).map(|shard| format!("s{shard}")).collect();
    wanted.sort();
    // Also while requests of an older table are at work.
    for tables in [&[60][..], &[60, 30], &[60, 12]] {
        let held = (0..peers.len()).flat_map(|number| held_by(number, &peers, tables));
        let mut held: Vec<String> = held.collect();
        held.sort();
        assert_eq!(held, wanted, "{tables:?}");
    }
}
