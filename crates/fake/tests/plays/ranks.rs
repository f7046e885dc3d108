//! Ranks under shortage, played on the core in virtual time. The entries of a play have
//! no control group: each uses the shortage levels of its own alone.

use std::time::Duration;

use wheelmast_fake::model::spec::{FaultSpec, KindSpec, PlaySpec, ServerEffect};
use wheelmast_fake::model::tally::{KindTally, PlayTally};

use crate::support::{mean, play_all};

/// Work per second that the servers of a shard do, in seconds: two servers with two slots.
const SHARD_CAPACITY: f64 = 4.0;
/// Part of the work that urgent requests, of the rank 0, ask for.
const URGENT_WORK: f64 = 1.0 / 6.0;

/// Returns a kind of request that asks for `work` times what the servers can do.
fn kind(name: &'static str, work: f64, work_ms: u64, objective_ms: u64, rank: u32) -> KindSpec {
    KindSpec {
        name,
        rate: work * SHARD_CAPACITY * 1000.0 / work_ms as f64,
        work: Duration::from_millis(work_ms),
        objective: Duration::from_millis(objective_ms),
        limit: Duration::from_millis(1500),
        least_coverage: 0.9,
        rank,
        worth: 1.7,
        late_worth: 0.07,
    }
}

/// Returns a deployment whose servers are asked for `load` times as much work as they can
/// do, by urgent requests and by sweeps.
fn spec(load: f64, faults: Vec<FaultSpec>) -> PlaySpec {
    PlaySpec {
        kinds: vec![
            kind("urgent", load * URGENT_WORK, 5, 80, 0),
            kind("sweep", load * (1.0 - URGENT_WORK), 15, 200, 1),
        ],
        faults,
        far_way: Duration::from_millis(2),
        length: Duration::from_secs(8),
        rank_admission: true,
        ..PlaySpec::of_today()
    }
}

/// Returns faults that make all servers `factor` times as slow for four seconds.
fn all_slow(factor: f64) -> Vec<FaultSpec> {
    let fault = |server| FaultSpec {
        shards: 0..20,
        server,
        from: Duration::from_secs(2),
        until: Duration::from_secs(6),
        effect: ServerEffect::Slow(factor),
    };
    vec![fault(0), fault(1)]
}

/// Returns the fraction of the requests of a kind that were answered.
fn served(tallies: &[PlayTally], kind: usize) -> f64 {
    let answered = |tally: &KindTally| f64::from(tally.in_time + tally.late);
    mean(tallies, |tally| {
        answered(&tally.kinds[kind]) / f64::from(tally.kinds[kind].asked)
    })
}

/// Returns the fraction of all requests that were answered.
fn served_of_all(tallies: &[PlayTally]) -> f64 {
    mean(tallies, |tally| {
        let answered = tally.kinds.iter().map(|kind| kind.in_time + kind.late);
        let asked = tally.kinds.iter().map(|kind| kind.asked);
        f64::from(answered.sum::<u32>()) / f64::from(asked.sum::<u32>())
    })
}

struct RankCase {
    name: &'static str,
    spec: PlaySpec,
    /// Least fraction of the urgent requests that are answered; `None` if it must only not
    /// be less than that of the sweeps.
    least_urgent: Option<f64>,
    /// Least fraction of the sweeps that are answered, as a fraction of all requests'.
    least_sweeps: f64,
}

/// Guards against a shortage that hits the highest rank (without ranks, 0.07 of the urgent
/// requests are answered at twice the capacity), against starvation of the lowest, and
/// against restrictions where the servers keep up.
#[test]
fn the_highest_rank_is_served_and_the_lowest_does_not_starve() {
    let cases = [
        RankCase {
            name: "half the capacity",
            spec: spec(0.5, Vec::new()),
            least_urgent: Some(0.995),
            least_sweeps: 0.995,
        },
        RankCase {
            name: "twice the capacity",
            spec: spec(2.0, Vec::new()),
            least_urgent: Some(0.95),
            least_sweeps: 0.25,
        },
        RankCase {
            // The servers take 20 ms for an urgent request, a quarter of its objective.
            name: "all servers slow for a while",
            spec: spec(0.4, all_slow(4.0)),
            least_urgent: None,
            least_sweeps: 0.25,
        },
    ];
    for case in cases {
        let tallies = play_all(&case.spec);
        let (urgent, sweeps) = (served(&tallies, 0), served(&tallies, 1));
        let all = served_of_all(&tallies);
        let earned = mean(&tallies, PlayTally::share);
        println!("{}: {urgent:.3} {sweeps:.3}, earned {earned:.3}", case.name);
        let least_urgent = case.least_urgent.unwrap_or(sweeps);
        assert!(urgent >= least_urgent, "{}: {urgent}", case.name);
        assert!(
            sweeps >= case.least_sweeps * all,
            "{}: {sweeps} of {all}",
            case.name
        );
        for tally in &tallies {
            assert_eq!(tally.false_refusals, 0, "{}", case.name);
            assert_eq!(tally.left, 0, "{}: every request ends", case.name);
            assert!(tally.excess <= 0.0, "{}: {}", case.name, tally.excess);
        }
    }
}
