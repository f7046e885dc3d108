//! Split routes: the requests of all entries together follow the weights of the route.

use std::collections::HashMap;

use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::version::route_table::{RouteTarget, WeightedService};

use crate::harness::{route, table, Harness, LOCAL_DOMAIN};

/// Maximum difference between a service's share of the requests and its weight's share.
const MAX_DEVIATION: f64 = 0.1;

struct SplitCase {
    /// Earlier weights, under which each entry has already received ten requests.
    earlier_weights: &'static [f64],
    weights: &'static [f64],
    entries: u64,
    /// Number of requests that each entry receives under `weights`.
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

/// Returns a case without earlier weights.
const fn case(weights: &'static [f64], entries: u64, requests: usize) -> SplitCase {
    SplitCase {
        earlier_weights: &[],
        weights,
        entries,
        requests,
    }
}

/// Returns a case in which the weights change once.
const fn changed(earlier_weights: &'static [f64], weights: &'static [f64]) -> SplitCase {
    SplitCase {
        earlier_weights,
        ..case(weights, 294, 1)
    }
}

/// Applies a route table in which the route has these weights.
fn set_weights(entry: &mut Harness, version: u64, weights: &[f64]) {
    let services = weights.iter().enumerate();
    let services = services.map(|(index, weight)| WeightedService {
        service: format!("part{index}"),
        weight: *weight,
    });
    let target = RouteTarget::Split(services.collect());
    entry.set_table(table(version, vec![route("orders", target)]));
}

/// Runs one entry and returns the number of requests that it sent to each service.
fn run_entry(case: &SplitCase, seed: u64) -> HashMap<String, usize> {
    let mut entry = Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        seed,
        ..ForwardOptions::default()
    });
    for index in 0..case.weights.len() {
        entry.add_servers(&format!("part{index}"), 1);
    }
    let earlier = if case.earlier_weights.is_empty() {
        0
    } else {
        10
    };
    if earlier > 0 {
        set_weights(&mut entry, 1, case.earlier_weights);
    }
    for number in 0..earlier + case.requests {
        if number == earlier {
            set_weights(&mut entry, 2, case.weights);
        }
        entry.call("orders");
        entry.answer_ok(number, b"");
    }
    let mut counts = HashMap::new();
    for send in &entry.sends[earlier..] {
        let (service, _) = send
            .instance
            .split_once('-')
            .expect("a server named after its service");
        *counts.entry(service.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn a_split_route_keeps_its_weights_when_each_entry_receives_few_requests() {
    for case in &CASES {
        let mut counts: HashMap<String, usize> = HashMap::new();
        for seed in 0..case.entries {
            for (service, count) in run_entry(case, seed) {
                *counts.entry(service).or_default() += count;
            }
        }
        let all = case.entries as usize * case.requests;
        let sum: f64 = case.weights.iter().sum();
        for (index, weight) in case.weights.iter().enumerate() {
            let count = counts.get(&format!("part{index}")).copied();
            let share = count.unwrap_or_default() as f64 / all as f64;
            let deviation = (share - weight / sum).abs();
            assert!(
                deviation <= MAX_DEVIATION,
                "{:?} after {:?}, {} entries with {} requests each: part {index} gets {share:.3}",
                case.weights,
                case.earlier_weights,
                case.entries,
                case.requests
            );
        }
    }
}
