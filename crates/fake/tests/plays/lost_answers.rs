//! Servers that run requests and close the connection in place of some answers.
//!
//! Guards against this failure: each lost answer counted as the end of a server. Requests
//! became suspects, and their lost parts were not sent again. Requests that do end servers
//! must still be recognised meanwhile.

use std::time::Duration;

use wheelmast_fake::model::spec::{DeadlySpec, FaultSpec, PlaySpec, ServerEffect};
use wheelmast_fake::model::tally::PlayTally;

use crate::support::{mean, play_all};

/// Fraction of the answers that are lost.
const LOST_FRACTION: f64 = 0.08;

struct LossCase {
    name: &'static str,
    spec: fn() -> PlaySpec,
    /// Least part of the worth owed for harmless requests that is earned.
    least_share: f64,
    /// Most servers that end, as the mean of the seeds.
    most_ends: f64,
}

/// Lets all servers lose answers for most of the play.
fn with_losses(spec: PlaySpec) -> PlaySpec {
    let fault = |server| FaultSpec {
        shards: 0..spec.shards,
        server,
        from: Duration::from_secs(1),
        until: spec.length - Duration::from_secs(1),
        effect: ServerEffect::Lose(LOST_FRACTION),
    };
    PlaySpec {
        faults: vec![fault(0), fault(1)],
        ..spec
    }
}

fn with_deadly(spec: PlaySpec) -> PlaySpec {
    let deadly = DeadlySpec {
        kind: 0,
        at: vec![Duration::from_secs(2), Duration::from_secs(4)],
        count: 1,
        entries: 1,
        muted: None,
        callers: 1,
        after: Duration::from_millis(20),
        down: Duration::from_secs(2),
    };
    PlaySpec {
        deadly: Some(deadly),
        ..spec
    }
}

fn many_entries() -> PlaySpec {
    PlaySpec {
        length: Duration::from_secs(6),
        ..PlaySpec::of_many_entries()
    }
}

const CASES: &[LossCase] = &[
    LossCase {
        name: "few entries",
        spec: || with_losses(PlaySpec::of_today()),
        least_share: 0.975,
        most_ends: 0.0,
    },
    LossCase {
        name: "many entries that ask each other",
        spec: || with_losses(many_entries()),
        least_share: 0.975,
        most_ends: 0.0,
    },
    LossCase {
        name: "few entries and a request that ends servers",
        spec: || with_deadly(with_losses(PlaySpec::of_today())),
        least_share: 0.94,
        most_ends: 14.0,
    },
    LossCase {
        name: "many entries and a request that ends servers",
        spec: || with_deadly(with_losses(many_entries())),
        least_share: 0.97,
        most_ends: 22.0,
    },
];

#[test]
fn lost_answers_make_no_suspects_and_hide_none() {
    for case in CASES {
        let tallies = play_all(&(case.spec)());
        let share = mean(&tallies, PlayTally::share);
        let ends = mean(&tallies, |tally| f64::from(tally.ends));
        let reports = mean(&tallies, |tally| f64::from(tally.suspect_reports));
        let mistaken = mean(&tallies, |tally| f64::from(tally.mistaken));
        let lost = mean(&tallies, |tally| tally.lost_answers as f64);
        let ended = mean(&tallies, |tally| tally.ended_breaks as f64);
        let excess = tallies
            .iter()
            .map(|tally| tally.excess)
            .fold(f64::MIN, f64::max);
        println!(
            "{}: {share:.3} earned, {lost:.0} breaks alive, {ended:.1} ended, {ends:.1} servers \
             ended, {reports:.1} suspect reports, {mistaken:.2} kept back, {excess:.1} over the bound",
            case.name
        );
        assert!(lost > 100.0, "{}: else this shows nothing", case.name);
        assert!(share >= case.least_share, "{}: {share}", case.name);
        assert!(ends <= case.most_ends, "{}: {ends}", case.name);
        for tally in &tallies {
            assert_eq!(tally.false_refusals, 0, "{}", case.name);
            assert_eq!(tally.left, 0, "{}: every request ends", case.name);
            assert_eq!(tally.over_attempts, 0, "{}", case.name);
            assert_eq!(tally.mistaken, 0, "{}", case.name);
            if case.most_ends == 0.0 {
                assert_eq!(tally.suspect_reports, 0, "{}", case.name);
                assert_eq!(tally.ended_breaks, 0, "{}", case.name);
            }
        }
    }
}
