//! Entries that fall silent while others count on them, played on the core in
//! virtual time: what callers of the entries that are left get.

use std::time::Duration;

use wheelmast_fake::model::spec::{CutSpec, PlaySpec};
use wheelmast_fake::model::tally::PlayTally;

use crate::support::{check_shares, play_all, shares};

/// Entries of the deployment that ask servers; those after them have none near.
const INNER: usize = 48;
/// All entries.
const ENTRIES: usize = 60;

struct SilentCase {
    name: &'static str,
    /// How many of the entries fall silent.
    cut: usize,
    /// Least part of the worth owed that is earned: of all, of sweeps, of
    /// lookups.
    least: [f64; 3],
    /// What was earned before silent entries were asked around, as the mean of
    /// the same seeds: printed beside what is earned now.
    before: [f64; 3],
}

const CASES: &[SilentCase] = &[
    SilentCase {
        name: "calm",
        cut: 0,
        least: [0.995, 0.995, 0.995],
        before: [1.000, 1.000, 1.000],
    },
    SilentCase {
        name: "a tenth of the entries",
        cut: 6,
        least: [0.980, 0.980, 0.980],
        before: [0.865, 0.861, 0.889],
    },
    SilentCase {
        name: "a third of the entries",
        cut: 20,
        least: [0.850, 0.840, 0.920],
        before: [0.620, 0.606, 0.705],
    },
];

/// Cuts `count` entries off, spread over all domains, from second 2 to 6.
fn cuts(count: usize) -> Vec<CutSpec> {
    let step = ENTRIES / count.max(1);
    let cut = |number: usize| CutSpec {
        entries: number * step..number * step + 1,
        from: Duration::from_secs(2),
        until: Duration::from_secs(6),
    };
    (0..count).map(cut).collect()
}

fn play_case(case: &SilentCase) -> Vec<PlayTally> {
    let spec = PlaySpec {
        cuts: cuts(case.cut),
        length: Duration::from_secs(6),
        ..PlaySpec::of_many_entries()
    };
    assert_eq!(spec.entries * 2 + spec.outlying, ENTRIES);
    assert_eq!(spec.entries * 2, INNER);
    play_all(&spec)
}

#[test]
fn callers_of_other_entries_are_served_in_time() {
    for case in CASES {
        let shares = shares(&play_case(case));
        println!("{}: {shares:.3?}, before {:?}", case.name, case.before);
        check_shares(case.name, shares, case.least);
    }
}

#[test]
fn a_part_runs_no_more_often_than_its_route_allows() {
    for case in CASES {
        for tally in play_case(case) {
            assert_eq!(tally.over_attempts, 0, "{}", case.name);
            assert_eq!(tally.false_refusals, 0, "{}", case.name);
            assert_eq!(tally.left, 0, "{}: every request ends", case.name);
        }
    }
}
