//! Weighted max-min fairness, and the list of workspaces over their share.

use std::sync::Arc;

use proptest::prelude::*;
use wheelmast_core::finding::FindingList;
use wheelmast_core::process::load::share::{
    compute_fair_level, list_over_share, ShareDemand, ShareWeights, MAX_LIMITED_WORKSPACES,
};
use wheelmast_core::process::load::usage::UsageTotals;
use wheelmast_core::version::workspace::{UsageCap, WorkspaceRegistry, WorkspaceRule};

fn share_of(demand: &ShareDemand, level: f64) -> f64 {
    demand.work.min(level * demand.weight)
}

fn any_demands() -> impl Strategy<Value = Vec<ShareDemand>> {
    let demand = (0.0f64..1e5, 1e-3f64..1e3);
    let demand = demand.prop_map(|(work, weight)| ShareDemand { work, weight });
    proptest::collection::vec(demand, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against capacity that is left unused while somebody lacks it, or that is
    /// given twice.
    #[test]
    fn shares_add_up_to_the_capacity_or_the_demand(demands in any_demands(), fraction in 0.0f64..1.5) {
        let total: f64 = demands.iter().map(|demand| demand.work).sum();
        let level = compute_fair_level(&demands, total * fraction);
        let shared: f64 = demands.iter().map(|demand| share_of(demand, level)).sum();
        let expected = total * fraction.min(1.0);
        prop_assert!((shared - expected).abs() <= 1e-6 * total.max(1.0), "{shared}, not {expected}");
    }

    /// Guards against a share that could be raised at the cost of a larger one only.
    #[test]
    fn nobody_gets_more_for_its_weight_than_one_that_lacks(demands in any_demands(), fraction in 0.0f64..1.0) {
        let total: f64 = demands.iter().map(|demand| demand.work).sum();
        let level = compute_fair_level(&demands, total * fraction);
        for lacking in demands.iter().filter(|demand| share_of(demand, level) < demand.work) {
            let lowest = share_of(lacking, level) / lacking.weight;
            for other in &demands {
                prop_assert!(share_of(other, level) / other.weight <= lowest * (1.0 + 1e-9));
            }
        }
    }

    /// Guards against a share that shrinks when there is more to divide.
    #[test]
    fn more_capacity_lowers_no_share(demands in any_demands(), fraction in 0.0f64..1.0, more in 0.0f64..0.5) {
        let total: f64 = demands.iter().map(|demand| demand.work).sum();
        let level = compute_fair_level(&demands, total * fraction);
        let higher = compute_fair_level(&demands, total * (fraction + more));
        prop_assert!(higher >= level * (1.0 - 1e-9));
    }
}

fn usage(workspaces: &[(&str, f64)], total_ms: f64, served_ms: f64) -> UsageTotals {
    let workspaces = workspaces
        .iter()
        .map(|(name, work)| (Arc::from(*name), *work));
    UsageTotals {
        workspaces: workspaces.collect(),
        total_ms,
        served_ms,
    }
}

fn registry(caps: &[(&str, Option<f64>)]) -> WorkspaceRegistry {
    let rules = caps.iter().map(|(name, cap)| WorkspaceRule {
        name: name.to_string(),
        keys: Vec::new(),
        rank: None,
        cap: cap.map(|per_s| UsageCap { per_s, burst: 1.0 }),
        homes: Vec::new(),
    });
    WorkspaceRegistry::check(rules.collect(), &mut FindingList::default())
}

struct ListCase {
    name: &'static str,
    caps: &'static [(&'static str, Option<f64>)],
    works: &'static [(&'static str, f64)],
    total_ms: f64,
    served_ms: f64,
    /// Listed workspaces with the admitted fraction of each.
    listed: &'static [(&'static str, f64)],
}

/// Guards against wrong weights, a missing floor, and limits where everything is served.
#[test]
fn workspaces_over_their_share_are_listed() {
    let equal = &[("a", None), ("b", Some(90.0)), ("c", Some(1.0))];
    let capped = &[("a", Some(10.0)), ("b", Some(90.0)), ("c", Some(0.0))];
    let cases = [
        ListCase {
            name: "all work is served",
            caps: equal,
            works: &[("a", 900.0), ("b", 100.0)],
            total_ms: 1000.0,
            served_ms: 1000.0,
            listed: &[],
        },
        ListCase {
            name: "without a cap of each, weights are equal",
            caps: equal,
            works: &[("a", 900.0), ("b", 100.0)],
            total_ms: 1000.0,
            served_ms: 550.0,
            listed: &[("a", 0.5)],
        },
        ListCase {
            name: "with a cap of each, these are the weights",
            caps: capped,
            works: &[("a", 500.0), ("b", 900.0)],
            total_ms: 1400.0,
            served_ms: 1000.0,
            listed: &[("a", 0.2)],
        },
        ListCase {
            name: "the floor is a quarter of the fraction of all",
            caps: equal,
            works: &[("a", 980.0), ("b", 20.0)],
            total_ms: 1000.0,
            served_ms: 40.0,
            listed: &[("a", 20.0 / 980.0)],
        },
        ListCase {
            name: "a workspace whose cap is 0 keeps the floor",
            caps: capped,
            works: &[("b", 500.0), ("c", 500.0)],
            total_ms: 1000.0,
            served_ms: 500.0,
            listed: &[("c", 0.125)],
        },
        ListCase {
            name: "a workspace that the table does not name is not listed",
            caps: capped,
            works: &[("z", 900.0), ("b", 100.0)],
            total_ms: 1000.0,
            served_ms: 950.0,
            listed: &[],
        },
        ListCase {
            name: "a workspace a little over its share is not limited",
            caps: equal,
            works: &[("a", 530.0), ("b", 480.0)],
            total_ms: 1010.0,
            served_ms: 970.0,
            listed: &[],
        },
        ListCase {
            name: "much work over the share is limited at any ratio",
            caps: equal,
            works: &[("a", 600.0), ("b", 300.0)],
            total_ms: 900.0,
            served_ms: 800.0,
            listed: &[("a", 500.0 / 600.0)],
        },
        ListCase {
            name: "limited ones go without what others take beyond their share",
            caps: equal,
            works: &[("a", 1600.0), ("b", 310.0), ("c", 280.0)],
            total_ms: 2190.0,
            served_ms: 840.0,
            listed: &[("a", 250.0 / 1600.0)],
        },
        ListCase {
            name: "work that is not listed counts as that of small workspaces",
            caps: equal,
            works: &[("a", 600.0), ("b", 50.0)],
            total_ms: 1000.0,
            served_ms: 700.0,
            listed: &[("a", 0.5)],
        },
    ];
    for case in cases {
        let registry = registry(case.caps);
        let usage = usage(case.works, case.total_ms, case.served_ms);
        let over = list_over_share(&usage, ShareWeights::from_registry(&registry));
        let listed: Vec<(&str, f64)> = over
            .iter()
            .map(|over| (&*over.workspace, over.fraction))
            .collect();
        assert_eq!(listed.len(), case.listed.len(), "{}: {over:?}", case.name);
        for ((name, fraction), (expected_name, expected)) in listed.iter().zip(case.listed) {
            assert_eq!(name, expected_name, "{}", case.name);
            assert!(
                (fraction - expected).abs() < 1e-6,
                "{}: {fraction}",
                case.name
            );
        }
    }
}

/// Guards against a summary that grows with the number of workspaces.
#[test]
fn at_most_sixteen_are_listed_those_furthest_over_first() {
    let names: Vec<String> = (0..100).map(|index| format!("w{index}")).collect();
    let works = names.iter().enumerate();
    let works: Vec<(&str, f64)> = works
        .map(|(index, name)| (&**name, 100.0 + 100.0 * index as f64))
        .collect();
    let total: f64 = works.iter().map(|(_, work)| work).sum();
    let over = list_over_share(&usage(&works, total, total / 10.0), ShareWeights::equal());
    assert_eq!(over.len(), MAX_LIMITED_WORKSPACES);
    assert_eq!(&*over[0].workspace, "w99");
    assert_eq!(&*over[15].workspace, "w84");
}
