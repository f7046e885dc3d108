//! Loads played on the core in virtual time: what callers get, by kind.

use std::time::Duration;

use wheelmast_fake::model::play;
use wheelmast_fake::model::spec::{CutSpec, FaultSpec, PlaySpec, ServerEffect};
use wheelmast_fake::model::tally::PlayTally;

use crate::support::{check_shares, play_all, shares, SEEDS};

/// Number of shards of the deployment.
const SHARDS: usize = 20;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

fn fault(shards: std::ops::Range<usize>, server: usize, effect: ServerEffect) -> FaultSpec {
    FaultSpec {
        shards,
        server,
        from: seconds(2.0),
        until: seconds(10.0),
        effect,
    }
}

struct LoadCase {
    name: &'static str,
    faults: fn() -> Vec<FaultSpec>,
    /// Least part of the worth owed that is earned: of all, of sweeps, of
    /// lookups.
    least: [f64; 3],
    /// What was earned before requests were weighed, as the mean of the same
    /// seeds: printed beside what is earned now.
    before: [f64; 3],
}

const CASES: &[LoadCase] = &[
    LoadCase {
        name: "calm",
        faults: Vec::new,
        least: [0.995, 0.995, 0.995],
        before: [1.000, 1.000, 1.000],
    },
    LoadCase {
        name: "four shards with one slow server left",
        faults: || {
            vec![
                fault(0..4, 0, ServerEffect::Slow(5.0)),
                fault(0..4, 1, ServerEffect::Dark),
            ]
        },
        least: [0.382, 0.320, 0.740],
        before: [0.374, 0.314, 0.725],
    },
    LoadCase {
        name: "one shard with one slow server left",
        faults: || {
            vec![
                fault(0..1, 0, ServerEffect::Slow(5.0)),
                fault(0..1, 1, ServerEffect::Dark),
            ]
        },
        least: [0.930, 0.930, 0.930],
        before: [0.934, 0.934, 0.936],
    },
    LoadCase {
        name: "one server of each shard sheds",
        faults: || vec![fault(0..SHARDS, 1, ServerEffect::Shed(0.6))],
        least: [0.975, 0.978, 0.960],
        before: [0.966, 0.968, 0.955],
    },
    LoadCase {
        name: "more work than time at all shards",
        faults: || {
            vec![
                fault(0..SHARDS, 0, ServerEffect::Slow(3.0)),
                fault(0..SHARDS, 1, ServerEffect::Slow(3.0)),
            ]
        },
        least: [0.400, 0.400, 0.390],
        before: [0.337, 0.332, 0.364],
    },
    LoadCase {
        name: "a third of the servers slow",
        faults: || vec![fault(0..13, 0, ServerEffect::Slow(8.0))],
        least: [0.930, 0.945, 0.830],
        before: [0.925, 0.935, 0.868],
    },
];

fn play_case(case: &LoadCase) -> Vec<PlayTally> {
    play_all(&PlaySpec {
        faults: (case.faults)(),
        ..PlaySpec::of_today()
    })
}

#[test]
fn callers_get_what_the_servers_can_give() {
    for case in CASES {
        let shares = shares(&play_case(case));
        println!("{}: {shares:.3?}, before {:?}", case.name, case.before);
        check_shares(case.name, shares, case.least);
    }
}

#[test]
fn promises_hold_under_every_load() {
    for case in CASES {
        let spec = PlaySpec::of_today();
        for tally in play_case(case) {
            assert_eq!(tally.false_refusals, 0, "{}", case.name);
            assert_eq!(tally.left, 0, "{}: every request ends", case.name);
            for kind in &tally.kinds {
                let ended = kind.in_time + kind.late + kind.refused + kind.failed;
                assert_eq!(ended, kind.asked, "{}: each ends once", case.name);
            }
            // Callers' own repeats are requests of their own.
            let asked: u32 = tally.kinds.iter().map(|kind| 2 * kind.asked).sum();
            assert!(tally.excess <= 0.0, "{}: {}", case.name, tally.excess);
            let windows = 3.0;
            let bound = spec.extra.ratio * f64::from(asked) + spec.extra.slack * windows;
            let extras = tally.extras as f64 / SHARDS as f64;
            assert!(extras <= bound, "{}: {extras} extra arrivals", case.name);
        }
    }
}

#[test]
fn a_play_repeats_by_its_seed() {
    let spec = PlaySpec {
        faults: (CASES[1].faults)(),
        length: seconds(4.0),
        ..PlaySpec::of_today()
    };
    assert_eq!(play(&spec, 3), play(&spec, 3));
    assert_ne!(play(&spec, 3), play(&spec, 4));
}

/// Half of the entries are away until a second before all servers begin to
/// reject requests: the others have earned by the requests of all, and those
/// that are back earn by theirs.
#[test]
fn the_bound_on_extra_load_holds_when_the_load_shifts() {
    let faults = [0, 1].map(|server| FaultSpec {
        from: seconds(14.0),
        until: seconds(24.0),
        ..fault(0..SHARDS, server, ServerEffect::Shed(0.4))
    });
    let cut = CutSpec {
        entries: 0..4,
        from: seconds(2.0),
        until: seconds(13.0),
    };
    let spec = PlaySpec {
        faults: faults.to_vec(),
        cuts: vec![cut],
        length: seconds(26.0),
        ..PlaySpec::of_today()
    };
    for seed in SEEDS {
        let excess = play(&spec, seed).excess;
        assert!(excess <= 0.0, "seed {seed}: {excess} arrivals too many");
    }
}
