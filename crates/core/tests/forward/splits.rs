//! Routes that are split, over all entries together.

use std::collections::HashMap;

use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteTarget, WeightedService};

use crate::harness::{route, table, Harness, LOCAL_DOMAIN};

/// Most that a part's share of the requests may be off its weight's.
const MOST_OFF: f64 = 0.1;

struct SplitCase {
    /// Weights under which each entry has taken ten requests before.
    before: &'static [f64],
    weights: &'static [f64],
    entries: u64,
    /// Requests that each entry takes before it ends.
    requests: usize,
}

const CASES: [SplitCase; 11] = [
    case(&[75.0, 25.0], 294, 1),
    case(&[25.0, 75.0], 294, 1),
    case(&[75.0, 25.0], 294, 2),
    case(&[50.0, 50.0], 294, 1),
    case(&[70.0, 30.0], 983, 1),
    case(&[40.0, 30.0, 30.0], 294, 1),
    case(&[75.0, 25.0], 7, 60),
    case(&[75.0, 25.0], 2382, 3),
    changed(&[95.0, 5.0], &[50.0, 50.0]),
    changed(&[90.0, 10.0], &[25.0, 75.0]),
    changed(&[50.0, 50.0], &[40.0, 30.0, 30.0]),
];

const fn case(weights: &'static [f64], entries: u64, requests: usize) -> SplitCase {
    SplitCase {
        before: &[],
        weights,
        entries,
        requests,
    }
}

const fn changed(before: &'static [f64], weights: &'static [f64]) -> SplitCase {
    SplitCase {
        before,
        ..case(weights, 294, 1)
    }
}

/// Puts a table in force by which the route has these weights.
fn divide_by(entry: &mut Harness, version: u64, weights: &[f64]) {
    let parts = weights.iter().enumerate();
    let parts = parts.map(|(place, weight)| WeightedService {
        service: format!("part{place}"),
        weight: *weight,
    });
    let target = RouteTarget::Split(parts.collect());
    entry.set_table(table(version, vec![route("orders", target)]));
}

/// Returns how many requests each service gets of one entry.
fn play_entry(case: &SplitCase, seed: u64) -> HashMap<String, usize> {
    let mut entry = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        seed,
        ..ForwardOptions::default()
    });
    for place in 0..case.weights.len() {
        entry.add_servers(&format!("part{place}"), 1);
    }
    let earlier = if case.before.is_empty() { 0 } else { 10 };
    if earlier > 0 {
        divide_by(&mut entry, 1, case.before);
    }
    for number in 0..earlier + case.requests {
        if number == earlier {
            divide_by(&mut entry, 2, case.weights);
        }
        entry.call("orders");
        entry.answer_ok(number, b"");
    }
    let mut counts = HashMap::new();
    for send in &entry.sends[earlier..] {
        let (service, _) = send.instance.split_once('-').expect("named by service");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn a_split_route_keeps_its_weights_where_each_entry_sees_few_of_its_requests() {
    for case in &CASES {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for seed in 0..case.entries {
            for (service, count) in play_entry(case, seed) {
                *counts.entry(service).or_default() += count;
            }
        }
        let all = case.entries as usize * case.requests;
        let sum: f64 = case.weights.iter().sum();
        for (place, weight) in case.weights.iter().enumerate() {
            let count = counts.get(&format!("part{place}")).copied();
            let share = count.unwrap_or_default() as f64 / all as f64;
            let off = (share - weight / sum).abs();
            assert!(
                off <= MOST_OFF,
                "{:?} after {:?}, {} entries with {} requests each: part {place} gets {share:.3}",
                case.weights,
                case.before,
                case.entries,
                case.requests
            );
        }
    }
}
