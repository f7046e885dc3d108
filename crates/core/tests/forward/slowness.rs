//! How slow a server is taken to be.

use std::time::Duration;

use wheelmast_core::arena::{KeyArena, UpstreamKey};
use wheelmast_core::process::forward::pace::{ServerSlowness, SlownessEstimate, SlownessStrategy};
use wheelmast_core::process::forward::server::ServerState;

const TYPICAL: Duration = Duration::from_millis(40);

/// Answers after so many times the typical time, a tenth of a second apart.
fn after(answers: &[f64]) -> (ServerState, Duration) {
    let address = ([127, 0, 0, 1], 1).into();
    let upstream = KeyArena::<UpstreamKey, ()>::default().push(());
    let mut server = ServerState::new("server".into(), upstream, address);
    let mut now = Duration::from_secs(10);
    for times in answers {
        now += Duration::from_millis(100);
        server.answered(TYPICAL.mul_f64(*times), TYPICAL, now);
    }
    (server, now)
}

struct SlownessCase {
    name: &'static str,
    answers: &'static [f64],
    /// Seconds without an answer after these.
    idle: u64,
    least: f64,
    most: f64,
}

const CASES: &[SlownessCase] = &[
    SlownessCase {
        name: "one answer of many times the usual says little",
        answers: &[1.0, 1.0, 1.0, 15.0],
        idle: 0,
        least: 1.5,
        most: 3.0,
    },
    SlownessCase {
        name: "three in a row say that it is slow",
        answers: &[1.0, 10.0, 10.0, 10.0],
        idle: 0,
        least: 4.0,
        most: 10.0,
    },
    SlownessCase {
        name: "a few good ones say that it is well again",
        answers: &[10.0, 10.0, 10.0, 10.0, 1.0, 1.0, 1.0, 1.0],
        idle: 0,
        least: 0.9,
        most: 2.0,
    },
    SlownessCase {
        name: "what is not asked is forgotten",
        answers: &[10.0, 10.0, 10.0, 10.0, 10.0],
        idle: 12,
        least: 1.0,
        most: 1.3,
    },
];

#[test]
fn slowness_follows_a_server_and_is_forgotten() {
    for case in CASES {
        let (server, now) = after(case.answers);
        let slowness = server.slowness(now + Duration::from_secs(case.idle));
        let range = case.least..=case.most;
        assert!(range.contains(&slowness), "{}: {slowness}", case.name);
    }
}

/// What a server says with an answer, and how many times the usual that took.
type ToldAnswer = (Option<u32>, f64);

struct PaceCase {
    name: &'static str,
    answers: &'static [ToldAnswer],
    /// Milliseconds without an answer after these.
    idle: u64,
    told: std::ops::RangeInclusive<f64>,
    learned: std::ops::RangeInclusive<f64>,
}

const PACE_CASES: &[PaceCase] = &[
    PaceCase {
        name: "the first slow answer says it at once",
        answers: &[(Some(100), 1.0), (Some(100), 1.0), (Some(650), 6.5)],
        idle: 0,
        told: 6.0..=7.0,
        learned: 1.5..=2.0,
    },
    PaceCase {
        name: "the first usual one says that it is well again",
        answers: &[
            (Some(650), 6.5),
            (Some(650), 6.5),
            (Some(650), 6.5),
            (Some(100), 1.0),
        ],
        idle: 0,
        told: 0.9..=1.1,
        learned: 2.0..=3.0,
    },
    PaceCase {
        name: "one that is slower at all times",
        answers: &[
            (Some(100), 1.5),
            (Some(100), 1.5),
            (Some(100), 1.5),
            (Some(400), 6.0),
        ],
        idle: 0,
        told: 4.8..=6.0,
        learned: 1.5..=2.5,
    },
    PaceCase {
        name: "what is not asked is forgotten",
        answers: &[(Some(650), 6.5)],
        idle: 4000,
        told: 1.0..=1.2,
        learned: 1.0..=1.4,
    },
    PaceCase {
        name: "where servers say nothing both are the same",
        answers: &[(None, 6.5), (None, 6.5), (None, 6.5)],
        idle: 0,
        told: 3.0..=4.0,
        learned: 3.0..=4.0,
    },
];

#[test]
fn a_server_s_own_word_is_believed_at_once_and_for_a_moment() {
    for case in PACE_CASES {
        let ways = [
            (SlownessStrategy::Reported, &case.told),
            (SlownessStrategy::Observed, &case.learned),
        ];
        for (way, range) in ways {
            let mut pace = ServerSlowness::new(way);
            let mut now = Duration::from_secs(10);
            for (told, ratio) in case.answers {
                now += Duration::from_millis(60);
                if let Some(told) = told {
                    pace.record_report(*told, now);
                }
                pace.answered(*ratio, now);
            }
            let slowness = pace.slowness(now + Duration::from_millis(case.idle));
            assert!(
                range.contains(&slowness),
                "{}, {way:?}: {slowness}",
                case.name
            );
        }
    }
}
