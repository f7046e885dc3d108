//! Dividing many near shards among the entries of a failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder, ServerAnswer};

use crate::harness::{answer, route, shards, table, Harness};

/// Number of shards of the route.
const SHARDS: usize = 60;
/// Number of entries of the local failure domain.
const ENTRIES: u16 = 6;

/// Creates the harness of one of the domain's entries, with a route over [`SHARDS`] near
/// shards.
fn new_harness(number: u16) -> Harness {
    let mut harness = Harness::in_local_domain(number);
    harness.set_table(table(3, vec![route("q", shards(SHARDS))]));
    for shard in 0..SHARDS {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness.add_local_entries(ENTRIES);
    harness
}

/// Returns the entry that queries each shard's server; this entry by the number
/// `local_number`.
fn shard_entries(harness: &Harness, local_number: u16) -> BTreeMap<String, String> {
    let mut shard_entries = BTreeMap::new();
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
                vec![(shard.to_string(), format!("home-{local_number}#7"))]
            }
        };
        for (shard, entry) in pairs {
            assert!(
                shard_entries.insert(shard, entry).is_none(),
                "each shard is sent once"
            );
        }
    }
    shard_entries
}

#[test]
fn all_entries_assign_the_same_shards_to_the_same_entry() {
    let mut first: Option<BTreeMap<String, String>> = None;
    for number in 0..ENTRIES {
        let mut harness = new_harness(number);
        harness.call("q");
        let bundles = harness.sends.iter().filter(|order| order.relay.is_some());
        assert!((2..=5).contains(&bundles.count()));
        let shard_entries = shard_entries(&harness, number);
        assert_eq!(shard_entries.len(), SHARDS);
        assert_eq!(*first.get_or_insert(shard_entries.clone()), shard_entries);
    }
}

#[test]
fn a_divided_bundle_is_not_divided_again() {
    for (may_divide, want) in [(false, false), (true, true)] {
        let mut harness = new_harness(0);
        let order = RelayOrder {
            version: 3,
            answer_by: harness.now + Duration::from_millis(60),
            attempts: 1,
            credits_budget: true,
            may_divide,
            workspace: None,
            top: Some(3),
            homes: Vec::new(),
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
fn a_refused_bundle_is_sent_and_retried_locally() {
    let mut harness = new_harness(0);
    harness.call("q");
    let mut orders = harness.sends.iter();
    let bundle = orders.position(|order| order.relay.is_some());
    let bundle = bundle.expect("a bundle");
    let before = harness.sends.len();
    let refused = harness.sends[bundle].relay.clone().expect("an order");
    harness.end(bundle, AttemptResult::Unsent);
    let direct = &harness.sends[before..];
    assert_eq!(direct.len(), refused.shards.len());
    // The budget here allows one retry per request. It is credited by the entry that
    // sends the shard to servers.
    let failed = before;
    harness.end(failed, AttemptResult::Broken);
    // The request may have crashed the server, so it is not retried yet.
    assert_eq!(harness.sends.len(), before + refused.shards.len());
    harness.answer_ok(failed + 1, b"");
    assert_eq!(harness.sends.len(), before + refused.shards.len() + 1);
}

#[test]
fn relayed_parts_credit_no_retries_locally() {
    let mut harness = new_harness(0);
    harness.call("q");
    let relayed = harness
        .sends
        .iter()
        .filter_map(|order| order.relay.as_ref());
    let relayed: Vec<Arc<str>> = relayed.flat_map(|relay| relay.shards.clone()).collect();
    let budgets = harness.machine.services(harness.now);
    let budgets: BTreeMap<String, f64> = budgets
        .map(|(name, _, _, budget)| (name.to_string(), budget))
        .collect();
    for shard in 0..SHARDS {
        let name = format!("s{shard}");
        let want = if relayed.contains(&name.as_str().into()) {
            0.0
        } else {
            1.0
        };
        assert_eq!(budgets[&name], want, "{name}");
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

/// Number of requests that credit the budget before another entry joins.
const CREDITED: usize = 40;
/// Number of requests afterwards, each of which earns one retry and needs three.
const REJECTED: usize = 10;

/// Guards against an entry that spends what its callers earned before they moved to an entry
/// that has joined: the requests of the same callers earn budget there again. As callers move
/// without notice, the same holds while no entry joins.
#[test]
fn retries_are_paid_by_new_requests_whether_or_not_an_entry_joins() {
    for joins in [false, true] {
        let mut harness = Harness::in_local_domain(0);
        harness.set_table(table(3, vec![route("q", shards(1))]));
        harness.add_servers("s0", 5);
        harness.add_local_entries(2);
        for _ in 0..CREDITED {
            harness.call("q");
            harness.answer_ok(harness.sends.len() - 1, b"");
        }
        if joins {
            harness.add_local_entries(3);
        }
        for _ in 0..REJECTED {
            harness.call("q");
            let mut last = harness.sends.len() - 1;
            for _ in 0..3 {
                let rejected = ServerAnswer {
                    not_run: true,
                    ..answer(503, "s", b"")
                };
                harness.end(last, AttemptResult::Answer(rejected));
                if harness.sends.len() == last + 1 {
                    break;
                }
                last += 1;
            }
            harness.answer_ok(last, b"");
        }
        let made = harness.machine.counters().retries;
        let most = REJECTED as u64 + 1;
        assert!((REJECTED as u64..=most).contains(&made), "{made} retries");
    }
}
