//! Servers that pause at an interval, as long as an objective: what callers get
//! where pauses are noticed, and where they are foretold.

use std::time::Duration;

use wheelmast_core::process::forward::stall::StallStrategy;
use wheelmast_fake::model::spec::{KindSpec, PauseSpec, PlaySpec};
use wheelmast_fake::model::tally::PlayTally;

use crate::support::{mean, play_all};

fn millis(count: f64) -> Duration {
    Duration::from_secs_f64(count / 1000.0)
}

/// Twenty shards and two entries, each of which sees a server fifteen times a
/// second, as the holder of a share does; objectives of 100 ms.
fn spec(every_s: u64, length_ms: f64, way: StallStrategy) -> PlaySpec {
    let usual = PlaySpec::of_today();
    let sweep = KindSpec {
        rate: 30.0,
        work: millis(7.5),
        objective: millis(100.0),
        limit: millis(1000.0),
        least_coverage: 0.95,
        ..usual.kinds[0].clone()
    };
    PlaySpec {
        kinds: vec![sweep],
        entries: 1,
        pauses: Some(PauseSpec {
            every: Duration::from_secs(every_s),
            length: millis(length_ms),
        }),
        pause_way: way,
        length: Duration::from_secs(30),
        ..usual
    }
}

struct PauseCase {
    name: &'static str,
    every_s: u64,
    length_ms: f64,
    /// Least part of the worth owed that is earned where pauses are foretold.
    least: f64,
    /// Most extra arrivals then, as a part of those where they are noticed.
    extras: f64,
}

const CASES: &[PauseCase] = &[
    PauseCase {
        name: "120 ms in 3 s",
        every_s: 3,
        length_ms: 120.0,
        least: 0.9,
        extras: 0.9,
    },
    PauseCase {
        name: "250 ms in 6 s",
        every_s: 6,
        length_ms: 250.0,
        least: 0.9,
        extras: 0.95,
    },
];

#[test]
fn foretold_pauses_cost_fewer_repeats() {
    for case in CASES {
        let ways = [StallStrategy::Reactive, StallStrategy::Predictive];
        let [noticed, foretold] = ways.map(|way| {
            let spec = spec(case.every_s, case.length_ms, way);
            play_all(&spec)
        });
        let shares = [&noticed, &foretold].map(|plays| mean(plays, PlayTally::share));
        let extras = [&noticed, &foretold].map(|plays| mean(plays, |play| play.extras as f64));
        println!(
            "{}: worth {shares:.4?}, extra arrivals {extras:.0?}",
            case.name
        );
        assert!(
            shares[1] >= case.least && shares[1] >= shares[0] - 0.003,
            "{}",
            case.name
        );
        assert!(
            extras[1] <= extras[0] * case.extras,
            "{}: {extras:?}",
            case.name
        );
        for tally in noticed.iter().chain(&foretold) {
            assert!(tally.excess <= 0.0, "{}: {}", case.name, tally.excess);
            assert_eq!(tally.left, 0, "{}", case.name);
        }
    }
}
