//! Tests of roll-outs: duplicated and reordered changes in the registry, decisions of
//! the evaluator, and the bound on canary requests.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wheelmast_core::process::control::rollout::{
    RolloutChange, RolloutOutcome, RolloutRecord, RolloutRegistry, RolloutState,
};
use wheelmast_core::process::rollout::judge::{RolloutAge, RolloutEvaluator};
use wheelmast_core::process::rollout::share::{CanaryBound, CanarySampler};
use wheelmast_core::process::rollout::VersionOutcomes;

use RolloutOutcome::{Busy, Passed, Stands};
use RolloutState::{Completed, Moving, RolledBack, Trying};

fn start(target: &str, at_ms: u64) -> RolloutChange {
    RolloutChange::Start {
        service: "desk".into(),
        target: target.into(),
        duration_ms: 10_000,
        at_ms,
    }
}

fn transition(order: u64, state: RolloutState, at_ms: u64) -> RolloutChange {
    RolloutChange::Turn {
        service: "desk".into(),
        order,
        state,
        at_ms,
    }
}

struct ChangeCase {
    name: &'static str,
    changes: Vec<RolloutChange>,
    last_outcome: RolloutOutcome,
    state: RolloutState,
}

#[test]
fn an_order_is_applied_once_and_a_service_has_one_open_roll_out() {
    let cases = [
        ChangeCase {
            name: "once",
            changes: vec![start("v2", 0)],
            last_outcome: Stands(1),
            state: Trying,
        },
        ChangeCase {
            name: "resent",
            changes: vec![start("v2", 0), start("v2", 900)],
            last_outcome: Stands(1),
            state: Trying,
        },
        ChangeCase {
            name: "another version during the roll-out",
            changes: vec![start("v2", 0), start("v3", 900)],
            last_outcome: Busy("v2".into()),
            state: Trying,
        },
        ChangeCase {
            name: "resent after the roll-back",
            changes: vec![
                start("v2", 0),
                transition(1, RolledBack, 3000),
                start("v2", 9000),
            ],
            last_outcome: Stands(1),
            state: RolledBack,
        },
        ChangeCase {
            name: "a later order of the same version",
            changes: vec![
                start("v2", 0),
                transition(1, RolledBack, 3000),
                start("v2", 90_000),
            ],
            last_outcome: Stands(3),
            state: Trying,
        },
        ChangeCase {
            name: "a later version",
            changes: vec![
                start("v2", 0),
                transition(1, RolledBack, 3000),
                start("v3", 4000),
            ],
            last_outcome: Stands(3),
            state: Trying,
        },
        ChangeCase {
            name: "moved and completed",
            changes: vec![
                start("v2", 0),
                transition(1, Moving, 1),
                transition(1, Completed, 2),
            ],
            last_outcome: Stands(1),
            state: Completed,
        },
        ChangeCase {
            name: "completed by a former leader, then rolled back by it",
            changes: vec![
                start("v2", 0),
                transition(1, Moving, 1),
                transition(1, Completed, 2),
                transition(1, RolledBack, 3),
            ],
            last_outcome: Passed,
            state: Completed,
        },
        ChangeCase {
            name: "a transition of an earlier roll-out",
            changes: vec![
                start("v2", 0),
                transition(1, RolledBack, 3000),
                start("v3", 4000),
                transition(1, Moving, 5000),
            ],
            last_outcome: Passed,
            state: Trying,
        },
        ChangeCase {
            name: "completed without the moving phase",
            changes: vec![start("v2", 0), transition(1, Completed, 1)],
            last_outcome: Passed,
            state: Trying,
        },
    ];
    for case in cases {
        let mut registry = RolloutRegistry::default();
        let outcomes: Vec<_> = case
            .changes
            .iter()
            .map(|change| registry.apply(change))
            .collect();
        assert_eq!(outcomes.last(), Some(&case.last_outcome), "{}", case.name);
        let record = registry.get("desk").expect("the service has a roll-out");
        assert_eq!(record.state, case.state, "{}", case.name);
    }
}

/// Returns a version's fraction of bad answers on a route, at an elapsed fraction of
/// the roll-out's duration.
type BadFraction = fn(route: usize, elapsed_fraction: f64) -> f64;

struct EvidenceCase {
    name: &'static str,
    /// Requests per second, over all entries.
    requests_per_second: f64,
    old_bad_fraction: f64,
    new_bad_fraction: BadFraction,
    final_state: RolloutState,
    /// Minimum fraction of the runs that must end in `final_state`.
    min_run_fraction: f64,
    /// Maximum bad answers of the new version per run, on average.
    max_bad_answers: f64,
}

/// Simulated roll-outs per case.
const RUNS: u64 = 300;
/// Time within which a roll-out should end.
const DURATION: Duration = Duration::from_secs(12);
/// Simulated time between two reports of all entries.
const STEP: Duration = Duration::from_millis(200);
const BOUND: CanaryBound = CanaryBound {
    share: 0.1,
    slack: 50.0,
};

/// Simulates a roll-out of a service with two routes. Returns the final state, the
/// elapsed fraction of the duration, and the new version's bad answers.
fn simulate_rollout(case: &EvidenceCase, seed: u64) -> (RolloutState, f64, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut evaluator = RolloutEvaluator::default();
    let mut registry = RolloutRegistry::default();
    registry.apply(&RolloutChange::Start {
        service: "desk".into(),
        target: "v2".into(),
        duration_ms: DURATION.as_millis() as u64,
        at_ms: 0,
    });
    let entries = 65;
    let mut samplers: Vec<CanarySampler> = (0..entries)
        .map(|_| CanarySampler::new(BOUND, entries as u32, &mut rng))
        .collect();
    let (mut state_since, mut bad_answers) = (Duration::ZERO, 0);
    let mut now = Duration::ZERO;
    while now < DURATION * 2 {
        now += STEP;
        let record: RolloutRecord = registry
            .get("desk")
            .expect("the service has a roll-out")
            .clone();
        let elapsed_fraction = now.as_secs_f64() / DURATION.as_secs_f64();
        let count = (case.requests_per_second * STEP.as_secs_f64() + rng.random::<f64>()) as usize;
        let mut batches = Vec::new();
        for _ in 0..count {
            let route = rng.random_range(0..2);
            let entry = rng.random_range(0..entries);
            let is_target = match record.state {
                Trying => samplers[entry].should_try_new_version(&mut rng),
                state => state != RolledBack,
            };
            let bad_probability = if is_target {
                (case.new_bad_fraction)(route, elapsed_fraction)
            } else {
                case.old_bad_fraction
            };
            let is_bad = rng.random::<f64>() < bad_probability;
            bad_answers += u32::from(is_bad && is_target);
            batches.push(VersionOutcomes {
                order: record.order,
                service: "desk".into(),
                route: format!("r{route}").into(),
                is_target,
                answers: 1,
                bad: u32::from(is_bad),
            });
        }
        evaluator.record_outcomes(&batches);
        let age = RolloutAge {
            since_order: now,
            in_state: now - state_since,
        };
        if let Some(next) = evaluator.decide_transition("desk", &record, age) {
            registry.apply(&transition(record.order, next, now.as_millis() as u64));
            state_since = now;
            if !next.is_open() {
                return (next, elapsed_fraction, bad_answers);
            }
        }
    }
    (Trying, 2.0, bad_answers)
}

#[test]
fn good_versions_are_completed_in_time_and_bad_ones_rolled_back() {
    let cases = [
        EvidenceCase {
            name: "as good as the old one",
            requests_per_second: 40.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, _| 0.01,
            final_state: Completed,
            min_run_fraction: 0.98,
            max_bad_answers: 20.0,
        },
        EvidenceCase {
            name: "good with little traffic",
            requests_per_second: 3.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, _| 0.01,
            final_state: Completed,
            min_run_fraction: 0.95,
            max_bad_answers: 3.0,
        },
        EvidenceCase {
            name: "good, with faults in the old version",
            requests_per_second: 40.0,
            old_bad_fraction: 0.15,
            new_bad_fraction: |_, _| 0.12,
            final_state: Completed,
            min_run_fraction: 0.9,
            max_bad_answers: 60.0,
        },
        EvidenceCase {
            name: "bad from the start",
            requests_per_second: 40.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, _| 0.4,
            final_state: RolledBack,
            min_run_fraction: 0.999,
            max_bad_answers: 8.0,
        },
        EvidenceCase {
            name: "bad on one route",
            requests_per_second: 40.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |route, _| if route == 0 { 0.4 } else { 0.01 },
            final_state: RolledBack,
            min_run_fraction: 0.99,
            max_bad_answers: 8.0,
        },
        EvidenceCase {
            name: "bad later",
            requests_per_second: 40.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, elapsed_fraction| if elapsed_fraction > 0.3 { 0.5 } else { 0.01 },
            final_state: RolledBack,
            min_run_fraction: 0.98,
            max_bad_answers: 20.0,
        },
        EvidenceCase {
            name: "bad while all requests move",
            requests_per_second: 40.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, elapsed_fraction| if elapsed_fraction > 0.5 { 0.5 } else { 0.01 },
            final_state: RolledBack,
            min_run_fraction: 0.95,
            max_bad_answers: 50.0,
        },
        EvidenceCase {
            name: "bad with little traffic",
            requests_per_second: 3.0,
            old_bad_fraction: 0.01,
            new_bad_fraction: |_, _| 0.6,
            final_state: RolledBack,
            min_run_fraction: 0.9,
            max_bad_answers: 6.0,
        },
    ];

    for case in cases {
        let (mut matching_runs, mut bad, mut latest_end) = (0, 0, 0.0_f64);
        for seed in 0..RUNS {
            let (state, elapsed_fraction, bad_answers) = simulate_rollout(&case, seed);
            matching_runs += u32::from(state == case.final_state);
            bad += bad_answers;
            latest_end = latest_end.max(elapsed_fraction);
        }
        let matching_fraction = f64::from(matching_runs) / RUNS as f64;
        let mean_bad_answers = f64::from(bad) / RUNS as f64;
        assert!(
            matching_fraction >= case.min_run_fraction,
            "{}: only {matching_fraction} of the runs ended in {:?}",
            case.name,
            case.final_state
        );
        assert!(
            mean_bad_answers <= case.max_bad_answers,
            "{}: {mean_bad_answers} bad answers per run",
            case.name
        );
        assert!(
            latest_end <= 1.0,
            "{}: ended only after {latest_end} of the duration",
            case.name
        );
    }
}

#[test]
fn a_version_without_answers_is_rolled_back_in_time() {
    let case = EvidenceCase {
        name: "no answers",
        requests_per_second: 0.0,
        old_bad_fraction: 0.0,
        new_bad_fraction: |_, _| 0.0,
        final_state: RolledBack,
        min_run_fraction: 1.0,
        max_bad_answers: 0.0,
    };
    let (state, elapsed_fraction, _) = simulate_rollout(&case, 1);
    assert_eq!(state, RolledBack);
    assert!(
        elapsed_fraction < 1.0,
        "ended after {elapsed_fraction} of the duration"
    );
}

#[test]
fn canary_requests_of_all_entries_stay_within_the_bound() {
    for entries in [1_u32, 3, 65, 1000] {
        for requests in [0, 20, 100, 1000, 10_000] {
            for seed in 0..200 {
                let mut rng = SmallRng::seed_from_u64(seed);
                let mut samplers: Vec<CanarySampler> = (0..entries)
                    .map(|_| CanarySampler::new(BOUND, entries, &mut rng))
                    .collect();
                let canary_requests = (0..requests).filter(|_| {
                    let entry = rng.random_range(0..entries as usize);
                    samplers[entry].should_try_new_version(&mut rng)
                });
                let canary_requests = canary_requests.count() as f64;
                let max_requests = BOUND.share * f64::from(requests) + BOUND.slack;
                assert!(
                    canary_requests <= max_requests,
                    "{entries} entries, {requests} requests: {canary_requests} canaries, at most {max_requests} allowed"
                );
            }
        }
    }
}

#[test]
fn reports_on_an_earlier_roll_out_are_ignored() {
    let mut evaluator = RolloutEvaluator::default();
    let report = |order, bad| VersionOutcomes {
        order,
        service: "desk".into(),
        route: "r".into(),
        is_target: true,
        answers: 20,
        bad,
    };
    evaluator.record_outcomes(&[report(3, 0)]);
    evaluator.record_outcomes(&[report(1, 20)]);
    let mut registry = RolloutRegistry::default();
    for change in [start("v2", 0), transition(1, RolledBack, 1), start("v3", 2)] {
        registry.apply(&change);
    }
    let record = registry.get("desk").expect("the service has a roll-out");
    let age = RolloutAge {
        since_order: Duration::from_millis(500),
        in_state: Duration::from_millis(500),
    };
    assert_eq!(evaluator.decide_transition("desk", record, age), None);
}
