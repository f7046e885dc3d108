//! How slow a server is taken to be.

use std::time::Duration;

use wheelmast_core::arena::{KeyArena, UpstreamKey};
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
