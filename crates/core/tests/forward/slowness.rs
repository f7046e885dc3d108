//! Tests of the estimated slowness of a server: its service time relative to that
//! of its peers.

use std::time::Duration;

use wheelmast_core::arena::{KeyArena, UpstreamKey};
use wheelmast_core::process::forward::server::ServerState;
use wheelmast_core::process::forward::slowness::{
    ServerSlowness, SlownessEstimate, SlownessStrategy,
};

/// Usual service time of the servers.
const TYPICAL: Duration = Duration::from_millis(40);

/// Returns a server after responses that took the given multiples of the usual
/// service time, a tenth of a second apart, and the time of the last response.
fn server_after(ratios: &[f64]) -> (ServerState, Duration) {
    let address = ([127, 0, 0, 1], 1).into();
    let upstream = KeyArena::<UpstreamKey, ()>::default().push(());
    let mut server = ServerState::new("server".into(), upstream, address);
    let mut now = Duration::from_secs(10);
    for ratio in ratios {
        now += Duration::from_millis(100);
        server.record_answer(TYPICAL.mul_f64(*ratio), TYPICAL, now);
    }
    (server, now)
}

struct SlownessCase {
    name: &'static str,
    /// Response times as multiples of the usual service time.
    ratios: &'static [f64],
    /// Seconds without a response afterwards.
    idle_s: u64,
    /// Minimum expected slowness.
    min: f64,
    /// Maximum expected slowness.
    max: f64,
}

const CASES: &[SlownessCase] = &[
    SlownessCase {
        name: "a single very slow answer has little effect",
        ratios: &[1.0, 1.0, 1.0, 15.0],
        idle_s: 0,
        min: 1.5,
        max: 3.0,
    },
    SlownessCase {
        name: "three slow answers in a row make the server slow",
        ratios: &[1.0, 10.0, 10.0, 10.0],
        idle_s: 0,
        min: 4.0,
        max: 10.0,
    },
    SlownessCase {
        name: "a few answers in the usual time make the server usual again",
        ratios: &[10.0, 10.0, 10.0, 10.0, 1.0, 1.0, 1.0, 1.0],
        idle_s: 0,
        min: 0.9,
        max: 2.0,
    },
    SlownessCase {
        name: "slowness decays without responses",
        ratios: &[10.0, 10.0, 10.0, 10.0, 10.0],
        idle_s: 12,
        min: 1.0,
        max: 1.3,
    },
];

#[test]
fn slowness_follows_the_response_times_and_decays() {
    for case in CASES {
        let (server, now) = server_after(case.ratios);
        let slowness = server.slowness(now + Duration::from_secs(case.idle_s));
        let range = case.min..=case.max;
        assert!(range.contains(&slowness), "{}: {slowness}", case.name);
    }
}

/// The slowness that a server reports with a response, in hundredths, and the
/// response time as a multiple of the usual service time.
type ReportedResponse = (Option<u32>, f64);

struct ReportCase {
    name: &'static str,
    responses: &'static [ReportedResponse],
    /// Milliseconds without a response afterwards.
    idle_ms: u64,
    /// Expected slowness from reports and response times.
    reported: std::ops::RangeInclusive<f64>,
    /// Expected slowness from response times alone.
    observed: std::ops::RangeInclusive<f64>,
}

const REPORT_CASES: &[ReportCase] = &[
    ReportCase {
        name: "the first slow answer with a report takes effect at once",
        responses: &[(Some(100), 1.0), (Some(100), 1.0), (Some(650), 6.5)],
        idle_ms: 0,
        reported: 6.0..=7.0,
        observed: 1.5..=2.0,
    },
    ReportCase {
        name: "the first usual answer with a report takes effect at once",
        responses: &[
            (Some(650), 6.5),
            (Some(650), 6.5),
            (Some(650), 6.5),
            (Some(100), 1.0),
        ],
        idle_ms: 0,
        reported: 0.9..=1.1,
        observed: 2.0..=3.0,
    },
    ReportCase {
        name: "a server that is slower than it reports at all times",
        responses: &[
            (Some(100), 1.5),
            (Some(100), 1.5),
            (Some(100), 1.5),
            (Some(400), 6.0),
        ],
        idle_ms: 0,
        reported: 4.8..=6.0,
        observed: 1.5..=2.5,
    },
    ReportCase {
        name: "slowness decays without responses",
        responses: &[(Some(650), 6.5)],
        idle_ms: 4000,
        reported: 1.0..=1.2,
        observed: 1.0..=1.4,
    },
    ReportCase {
        name: "without reports from servers both strategies are equal",
        responses: &[(None, 6.5), (None, 6.5), (None, 6.5)],
        idle_ms: 0,
        reported: 3.0..=4.0,
        observed: 3.0..=4.0,
    },
];

#[test]
fn a_reported_slowness_takes_effect_at_once_and_decays_quickly() {
    for case in REPORT_CASES {
        let strategies = [
            (SlownessStrategy::Reported, &case.reported),
            (SlownessStrategy::Observed, &case.observed),
        ];
        for (strategy, range) in strategies {
            let mut estimate = ServerSlowness::new(strategy);
            let mut now = Duration::from_secs(10);
            for (report, ratio) in case.responses {
                now += Duration::from_millis(60);
                if let Some(report) = report {
                    estimate.record_report(*report, now);
                }
                estimate.record_ratio(*ratio, now);
            }
            let slowness = estimate.slowness(now + Duration::from_millis(case.idle_ms));
            assert!(
                range.contains(&slowness),
                "{}, {strategy:?}: {slowness}",
                case.name
            );
        }
    }
}
