//! Dividing many near shards among the entries of a domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder, ServerAnswer};

use crate::harness::{answer, route, shards, table, Harness};

/// Shards of the route.
const SHARDS: usize = 60;
/// Entries of the domain.
const ENTRIES: u16 = 6;

fn world(number: u16) -> Harness {
    let mut harness = Harness::in_local_domain(number);
    harness.set_table(table(3, vec![route("q", shards(SHARDS))]));
    for shard in 0..SHARDS {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness.add_local_entries(ENTRIES);
    harness
}

/// Returns which entry was asked for each shard; this one by its own number.
fn askers(harness: &Harness, own: u16) -> BTreeMap<String, String> {
    let mut askers = BTreeMap::new();
    for order in &harness.sends {
        let pairs = match &order.relay {
            Some(relay) => {
                let entry = order.instance.to_string();
                let shards = relay.shards.iter();
                shards
                    .map(|shard| (shard.to_string(), entry.clone()))
                    .collect()
            }
            None => {
                let (shard, _) = order.instance.split_once('-').expect("a server's id");
                vec![(shard.to_string(), format!("home-{own}#7"))]
            }
        };
        for (shard, entry) in pairs {
            assert!(askers.insert(shard, entry).is_none(), "asked for once");
        }
    }
    askers
}

#[test]
fn the_same_shards_fall_to_the_same_entry_whoever_asks() {
    let mut seen: Option<BTreeMap<String, String>> = None;
    for number in 0..ENTRIES {
        let mut harness = world(number);
        harness.call("q");
        let bundles = harness.sends.iter().filter(|order| order.relay.is_some());
        assert!((2..=5).contains(&bundles.count()));
        let askers = askers(&harness, number);
        assert_eq!(askers.len(), SHARDS);
        assert_eq!(*seen.get_or_insert(askers.clone()), askers);
    }
}

#[test]
fn a_share_is_not_divided_again() {
    for (may_divide, want) in [(false, false), (true, true)] {
        let mut harness = world(0);
        let order = RelayOrder {
            version: 3,
            answer_by: harness.now + Duration::from_millis(60),
            attempts: 1,
            credits_budget: true,
            may_divide,
            workspace: None,
            shards: (0..SHARDS)
                .map(|shard| format!("s{shard}").into())
                .collect(),
        };
        harness.call_with("q", None, Some(order));
        let has_bundles = harness.sends.iter().any(|order| order.relay.is_some());
        assert_eq!(has_bundles, want);
        let mut bundles = harness
            .sends
            .iter()
            .filter_map(|order| order.relay.as_ref());
        assert!(bundles.all(|relay| !relay.may_divide));
    }
}

#[test]
fn a_refused_share_is_asked_for_here_and_may_be_repeated_here() {
    let mut harness = world(0);
    harness.call("q");
    let mut orders = harness.sends.iter();
    let bundle = orders.position(|order| order.relay.is_some());
    let bundle = bundle.expect("a bundle");
    let before = harness.sends.len();
    let share = harness.sends[bundle].relay.clone().expect("an order");
    harness.end(bundle, AttemptResult::Unsent);
    let direct = &harness.sends[before..];
    assert_eq!(direct.len(), share.shards.len());
    // One request earns one repeat here: it counts where it is asked.
    let lost = before;
    harness.end(lost, AttemptResult::Broken);
    // Nothing says yet that the server did not end under the request.
    assert_eq!(harness.sends.len(), before + share.shards.len());
    harness.answer_ok(lost + 1, b"");
    assert_eq!(harness.sends.len(), before + share.shards.len() + 1);
}

#[test]
fn parts_that_another_asks_for_earn_no_repeats_here() {
    let mut harness = world(0);
    harness.call("q");
    let relayed = harness
        .sends
        .iter()
        .filter_map(|order| order.relay.as_ref());
    let relayed: Vec<Arc<str>> = relayed.flat_map(|relay| relay.shards.clone()).collect();
    let rooms = harness.machine.services(harness.now);
    let rooms: BTreeMap<String, f64> = rooms
        .map(|(name, _, _, room)| (name.to_string(), room))
        .collect();
    for shard in 0..SHARDS {
        let name = format!("s{shard}");
        let want = if relayed.contains(&name.as_str().into()) {
            0.0
        } else {
            1.0
        };
        assert_eq!(rooms[&name], want, "{name}");
    }
}

#[test]
fn a_few_shards_are_not_divided() {
    let mut harness = Harness::in_local_domain(0);
    harness.set_table(table(3, vec![route("q", shards(20))]));
    for shard in 0..20 {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness.add_local_entries(ENTRIES);
    harness.call("q");
    assert_eq!(harness.sends.len(), 20);
}

/// Requests before another entry joins.
const EARNING: usize = 40;

#[test]
fn half_a_window_spends_half_once_an_entry_has_joined() {
    for (joins, least, most) in [(false, 80, 80), (true, 40, 61)] {
        let mut harness = Harness::in_local_domain(0);
        harness.set_table(table(3, vec![route("q", shards(1))]));
        harness.add_servers("s0", 3);
        harness.add_local_entries(2);
        for _ in 0..EARNING {
            harness.call("q");
            harness.answer_ok(harness.sends.len() - 1, b"");
        }
        if joins {
            harness.add_local_entries(3);
        }
        // Each request earns one repeat by itself, and wants one.
        for _ in 0..2 * EARNING {
            harness.call("q");
            let first = harness.sends.len() - 1;
            let rejected = ServerAnswer {
                not_run: true,
                ..answer(503, "s", b"")
            };
            harness.end(first, AttemptResult::Answer(rejected));
            if harness.sends.len() > first + 1 {
                harness.answer_ok(first + 1, b"");
            }
        }
        let made = harness.machine.counters().retries;
        assert!((least..=most).contains(&made), "{made} repeats");
    }
}
