//! Requests that end each server which begins to run them, played on the core in
//! virtual time: how many servers end, what callers of harmless requests get,
//! and what the ways to be careful cost on a calm day.

use std::time::Duration;

use wheelmast_core::process::forward::canary::CanaryStrategy;
use wheelmast_fake::model::play;
use wheelmast_fake::model::spec::{
    CutSpec, DeadlySpec, FaultSpec, PauseSpec, PlaySpec, ServerEffect,
};
use wheelmast_fake::model::tally::PlayTally;

use crate::support::{mean, play_all, shares};

/// Pauses of a deployment of today.
const PAUSES: PauseSpec = PauseSpec {
    every: Duration::from_secs(6),
    length: Duration::from_millis(250),
};
/// Sends of one request that may still be made once all should know it.
const MOST_LATE: u32 = 3;

struct CrashCase {
    name: &'static str,
    spec: fn() -> PlaySpec,
    /// Most servers that end, as the mean of the seeds.
    most_ends: f64,
    /// Least part of the worth owed for harmless requests that is earned.
    least_share: f64,
    /// Most harmless requests that are kept back, as the mean of the seeds.
    most_mistaken: f64,
    /// Servers that ended, and what was earned, before such requests were
    /// known: printed beside what is now.
    before: [f64; 2],
}

fn seconds(times: &[u64]) -> Vec<Duration> {
    times.iter().map(|at| Duration::from_secs(*at)).collect()
}

fn deadly() -> DeadlySpec {
    DeadlySpec {
        kind: 0,
        at: seconds(&[1, 3, 5, 7, 9]),
        count: 1,
        entries: 1,
        muted: None,
        callers: 1,
        after: Duration::from_millis(20),
        down: Duration::from_secs(2),
    }
}

fn play_of(deadly: DeadlySpec) -> PlaySpec {
    PlaySpec {
        deadly: Some(deadly),
        ..PlaySpec::of_today()
    }
}

const CASES: &[CrashCase] = &[
    CrashCase {
        name: "one, five times",
        spec: || play_of(deadly()),
        most_ends: 8.0,
        least_share: 0.96,
        most_mistaken: 0.5,
        before: [127.5, 0.366],
    },
    CrashCase {
        name: "one, at four entries at once",
        spec: || {
            play_of(DeadlySpec {
                entries: 4,
                ..deadly()
            })
        },
        most_ends: 14.0,
        least_share: 0.93,
        most_mistaken: 0.5,
        before: [156.8, 0.275],
    },
    CrashCase {
        name: "five, each once",
        spec: || {
            play_of(DeadlySpec {
                count: 5,
                ..deadly()
            })
        },
        most_ends: 40.0,
        least_share: 0.92,
        most_mistaken: 3.0,
        before: [127.5, 0.366],
    },
    CrashCase {
        name: "one content, a caller each time",
        spec: || {
            play_of(DeadlySpec {
                callers: 5,
                ..deadly()
            })
        },
        most_ends: 9.0,
        least_share: 0.96,
        most_mistaken: 0.5,
        before: [127.5, 0.366],
    },
    CrashCase {
        name: "slow to end its servers",
        spec: || {
            play_of(DeadlySpec {
                after: Duration::from_millis(150),
                ..deadly()
            })
        },
        most_ends: 8.0,
        least_share: 0.96,
        most_mistaken: 0.5,
        before: [120.0, 0.475],
    },
    CrashCase {
        name: "while an entry is cut off",
        spec: || PlaySpec {
            cuts: vec![CutSpec {
                entries: 0..2,
                from: Duration::from_millis(900),
                until: Duration::from_secs(4),
            }],
            ..play_of(deadly())
        },
        most_ends: 9.0,
        least_share: 0.96,
        most_mistaken: 0.5,
        before: [123.8, 0.402],
    },
    CrashCase {
        name: "beside harmless ones of which many are alike",
        spec: || PlaySpec {
            variety: 20,
            ..play_of(deadly())
        },
        most_ends: 9.0,
        least_share: 0.95,
        most_mistaken: 0.5,
        before: [125.0, 0.402],
    },
    CrashCase {
        name: "many entries that ask each other",
        spec: || PlaySpec {
            deadly: Some(DeadlySpec {
                at: seconds(&[1, 3]),
                entries: 3,
                ..deadly()
            }),
            length: Duration::from_secs(5),
            ..PlaySpec::of_many_entries()
        },
        most_ends: 22.0,
        least_share: 0.96,
        most_mistaken: 0.5,
        before: [248.0, 0.300],
    },
];

fn harmed(tallies: &[PlayTally]) -> (f64, f64, f64) {
    let ends = mean(tallies, |tally| f64::from(tally.ends));
    let mistaken = mean(tallies, |tally| f64::from(tally.mistaken));
    (ends, mistaken, mean(tallies, PlayTally::share))
}

#[test]
fn few_servers_end_and_harmless_requests_are_served() {
    for case in CASES {
        let tallies = play_all(&(case.spec)());
        let late = tallies.iter().map(|tally| tally.late_deadly).max();
        let (ends, mistaken, share) = harmed(&tallies);
        println!(
            "{}: {ends:.1} servers ended, {mistaken:.2} harmless requests kept back, \
             {share:.3} earned, {late:?} sends late; before {:?}",
            case.name, case.before
        );
        assert!(late <= Some(MOST_LATE), "{}: {late:?}", case.name);
        assert!(ends <= case.most_ends, "{}: {ends}", case.name);
        assert!(mistaken <= case.most_mistaken, "{}: {mistaken}", case.name);
        assert!(share >= case.least_share, "{}: {share}", case.name);
        for tally in &tallies {
            assert_eq!(tally.false_refusals, 0, "{}", case.name);
            assert_eq!(tally.left, 0, "{}: every request ends", case.name);
        }
    }
}

/// Both ways: to let one server try what has ended servers, and to let one try
/// every request.
#[test]
fn a_canary_for_every_request_spares_servers_and_costs_on_a_calm_day() {
    let ways = [
        CanaryStrategy::Suspects,
        CanaryStrategy::Alert,
        CanaryStrategy::All,
    ];
    let [after, alert, first] = ways.map(|canary| {
        let spec = PlaySpec {
            canary,
            ..play_of(deadly())
        };
        harmed(&play_all(&spec))
    });
    println!("deadly: after the first {after:.3?}, alert {alert:.3?}, before all {first:.3?}");
    assert!(first.0 < after.0, "it spares the first servers");
    for (name, pauses) in [("calm", None), ("with pauses", Some(PAUSES))] {
        let [after, alert, first] = ways.map(|canary| {
            let spec = PlaySpec {
                canary,
                pauses,
                ..PlaySpec::of_today()
            };
            shares(&play_all(&spec))
        });
        println!("{name}: {after:.4?}, alert {alert:.4?}, before all {first:.4?}");
        assert_eq!(
            after, alert,
            "{name}: nothing ends, and so it costs nothing"
        );
    }
}

/// The entry that met the request first is cut off from the others, and these
/// get it later than all should know it: they have seen servers end, and let one
/// try it first.
#[test]
fn entries_that_were_not_told_are_careful_while_servers_end() {
    let ways = [CanaryStrategy::Suspects, CanaryStrategy::Alert];
    let [careless, careful] = ways.map(|canary| {
        let spec = PlaySpec {
            canary,
            ..play_of(DeadlySpec {
                at: seconds(&[1, 6, 7, 8, 9]),
                muted: Some(0),
                ..deadly()
            })
        };
        let tallies: Vec<PlayTally> = (0..16).map(|seed| play(&spec, seed)).collect();
        let late: Vec<u32> = tallies.iter().map(|tally| tally.late_deadly).collect();
        println!("{canary:?}: {late:?} sends late, {:.3?}", harmed(&tallies));
        late.into_iter().max()
    });
    assert!(careless > Some(MOST_LATE), "else this shows nothing");
    assert!(careful <= Some(MOST_LATE), "{careful:?}");
}

/// Servers that end for other reasons speak against nobody.
#[test]
fn requests_whose_servers_fall_dark_or_shed_are_not_kept_back() {
    for effect in [ServerEffect::Dark, ServerEffect::Shed(0.6)] {
        let spec = PlaySpec {
            variety: 20,
            faults: vec![FaultSpec {
                shards: 0..10,
                server: 0,
                from: Duration::from_secs(2),
                until: Duration::from_secs(6),
                effect,
            }],
            ..PlaySpec::of_today()
        };
        for tally in play_all(&spec) {
            assert_eq!(tally.mistaken, 0, "{effect:?}");
        }
    }
}
