//! The decision of one entry: by the summary, by its age, and without one.

use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;
use wheelmast_core::process::load::share::ShareWeights;
use wheelmast_core::process::load::share_gate::{ShareBasis, ShareChange, ShareGate, ShareLimit};
use wheelmast_core::process::load::WorkspaceShare;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn share(workspace: &str, fraction: f32) -> WorkspaceShare {
    WorkspaceShare {
        workspace: workspace.into(),
        fraction,
    }
}

fn limit(fraction: f64) -> ShareLimit {
    ShareLimit {
        fraction,
        basis: ShareBasis::Summary { age: ms(0) },
    }
}

/// Guards against requests of one kind that are all refused, and against bursts of
/// admitted requests: each route's requests are admitted at even intervals.
#[test]
fn the_fraction_of_each_route_is_admitted_evenly() {
    let mut gate = ShareGate::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let workspace = Arc::from("hot");
    for fraction in [0.25, 0.5, 0.9] {
        let mut admitted: [Vec<bool>; 2] = Default::default();
        for request in 0..200u64 {
            let route = request as usize % 2;
            let is_admitted = gate.admit(&workspace, route, limit(fraction), ms(request), &mut rng);
            admitted[route].push(is_admitted);
        }
        for route in admitted {
            for window in route.windows(20) {
                let count = window.iter().filter(|admitted| **admitted).count() as f64;
                assert!(
                    (count - 20.0 * fraction).abs() <= 1.0,
                    "{count} of 20 at {fraction}"
                );
            }
        }
    }
}

/// Guards against entries that all admit or all refuse their first request: at 63
/// entries that see one request each, the fraction must hold in total.
#[test]
fn the_fraction_holds_over_entries_that_see_one_request_each() {
    let mut rng = SmallRng::seed_from_u64(1);
    let workspace = Arc::from("hot");
    let admitted = (0..1000).filter(|_| {
        let mut gate = ShareGate::default();
        gate.admit(&workspace, 0, limit(0.3), ms(0), &mut rng)
    });
    let admitted = admitted.count();
    assert!((260..=340).contains(&admitted), "{admitted} of 1000");
}

struct SummaryCase {
    name: &'static str,
    fraction: f32,
    age: Duration,
    expected: Option<f64>,
}

/// Guards against old summaries, and against invalid fractions.
#[test]
fn a_summary_is_used_until_it_is_too_old() {
    let cases = [
        SummaryCase {
            name: "fresh",
            fraction: 0.6,
            age: ms(2999),
            expected: Some(0.6),
        },
        SummaryCase {
            name: "too old",
            fraction: 0.6,
            age: ms(3000),
            expected: None,
        },
        SummaryCase {
            name: "above 1",
            fraction: 7.0,
            age: ms(0),
            expected: Some(1.0),
        },
        // Half of the entry's work was served.
        SummaryCase {
            name: "below the floor",
            fraction: -1.0,
            age: ms(0),
            expected: Some(0.125),
        },
        SummaryCase {
            name: "no number",
            fraction: f32::NAN,
            age: ms(0),
            expected: None,
        },
    ];
    for case in cases {
        let mut gate = ShareGate::default();
        gate.record_request(Some(&Arc::from("other")), 100.0, ms(1000));
        gate.record_served(50.0, ms(1000));
        gate.apply_summary(&[share("hot", case.fraction)], ms(1000));
        let now = ms(1000) + case.age;
        let limit = gate.find_limit("hot", ShareWeights::equal(), now);
        let fraction = limit.map(|limit| limit.fraction);
        match (fraction, case.expected) {
            (Some(fraction), Some(expected)) => {
                assert!(
                    (fraction - expected).abs() < 1e-6,
                    "{}: {fraction}",
                    case.name
                )
            }
            (fraction, expected) => assert_eq!(fraction, expected, "{}", case.name),
        }
        assert_eq!(gate.find_limit("other", ShareWeights::equal(), now), None);
    }
}

/// Guards against a lost control group that leaves a busy entry without limits, and
/// against an entry that takes two requests for a rate.
#[test]
fn without_a_summary_the_entry_decides_by_its_own_work() {
    for (requests, is_limited) in [(40, true), (4, false)] {
        let mut gate = ShareGate::default();
        for index in 0..requests {
            gate.record_request(Some(&Arc::from("hot")), 10.0, ms(1000 + index));
        }
        gate.record_request(Some(&Arc::from("small")), 10.0, ms(1100));
        gate.record_served(5.0 * requests as f64, ms(1100));
        let limit = gate.find_limit("hot", ShareWeights::equal(), ms(1100));
        assert_eq!(limit.is_some(), is_limited, "{requests} requests");
        if let Some(limit) = limit {
            assert_eq!(limit.basis, ShareBasis::Local);
            assert!((0.4..0.5).contains(&limit.fraction), "{limit:?}");
        }
        assert_eq!(
            gate.find_limit("small", ShareWeights::equal(), ms(1100)),
            None
        );
        assert_eq!(
            gate.has_over_share(ShareWeights::equal(), ms(1100)),
            is_limited
        );
    }
}

/// Guards against limits that stay after their end, and against a log without figures.
#[test]
fn a_limited_workspace_is_reported_once_and_released() {
    let mut gate = ShareGate::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let workspace: Arc<str> = "hot".into();
    gate.apply_summary(&[share("hot", 0.5)], ms(0));
    for request in 0..20 {
        gate.admit(&workspace, 0, limit(0.5), ms(100 * request), &mut rng);
    }
    assert_eq!(gate.limited_count(ms(2000)), 1);
    let changes = gate.take_changes();
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(matches!(&changes[0], ShareChange::Limited { workspace, .. } if &**workspace == "hot"));
    gate.apply_summary(&[], ms(2500));
    assert!(
        gate.take_changes().is_empty(),
        "released after 3 s without a refusal"
    );
    gate.apply_summary(&[], ms(5000));
    let changes = gate.take_changes();
    assert!(
        matches!(
            &changes[..],
            [ShareChange::Released {
                admitted: 10,
                refused: 10,
                ..
            }]
        ),
        "{changes:?}"
    );
    assert_eq!(gate.limited_count(ms(5000)), 0);
}
