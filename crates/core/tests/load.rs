//! Tests of the shortage level of a service, and of the board on which a control instance
//! merges the levels that entries report.

use std::time::Duration;

use wheelmast_core::process::load::board::LoadBoard;
use wheelmast_core::process::load::share::ShareWeights;
use wheelmast_core::process::load::shortage::{ShortageEvidence, ShortageTracker, UseWindow};
use wheelmast_core::process::load::{LoadReport, ServiceShortage, WorkspaceWork};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A period with one sample each 50 ms, and the level at its end.
struct LevelStep {
    name: &'static str,
    until_ms: u64,
    /// Pressure of the samples; `None` for no samples.
    pressure: Option<f64>,
    level: u8,
}

/// Guards against levels that follow a single stall, that flap, or that stay after the
/// shortage.
#[test]
fn a_level_rises_by_steps_and_falls_after_a_quiet_second() {
    let step = |name, until_ms, pressure, level| LevelStep {
        name,
        until_ms,
        pressure,
        level,
    };
    let steps = [
        step("no pressure", 1000, Some(0.0), 0),
        step("one long wait", 1050, Some(1.0), 0),
        step("short waits after it", 1500, Some(0.05), 0),
        step("long waits", 1650, Some(1.0), 1),
        step("less than 200 ms after the first raise", 1800, Some(1.0), 1),
        step("200 ms after it", 1900, Some(1.0), 2),
        step("no higher than all ranks but one", 3000, Some(1.0), 2),
        step("neither long nor short waits", 6000, Some(0.17), 2),
        step("short waits, less than a second", 6900, Some(0.02), 2),
        step("short waits for a second", 7400, Some(0.02), 1),
        step("no samples for a second", 8400, None, 0),
        step("high pressure again", 8600, Some(1.0), 1),
    ];
    let mut tracker = ShortageTracker::default();
    let mut now = ms(0);
    for step in steps {
        while now < ms(step.until_ms) {
            now += ms(50);
            if let Some(pressure) = step.pressure {
                tracker.record(pressure, 2, now);
            }
        }
        assert_eq!(tracker.level_at(now), step.level, "{}", step.name);
    }
}

#[test]
fn the_greatest_evidence_decides() {
    let cases = [
        ("wait", ms(20), false, 0.0, 0.25),
        ("longer than the objective", ms(200), false, 0.0, 1.0),
        ("refused", ms(0), true, 0.0, 1.0),
        ("without capacity", ms(8), false, 0.4, 0.4),
    ];
    for (name, wait, was_refused, shortage_rate, expected) in cases {
        let evidence = ShortageEvidence {
            wait,
            was_refused,
            shortage_rate,
        };
        assert_eq!(evidence.pressure(ms(80)), expected, "{name}");
    }
}

#[test]
fn uses_of_the_last_second_are_counted() {
    let mut window = UseWindow::default();
    for at in [3100, 3200, 4100] {
        window.add(ms(at));
    }
    assert_eq!(window.count(ms(4100)), 3);
    assert_eq!(window.count(ms(4900)), 2);
    assert_eq!(window.count(ms(5500)), 1);
    assert_eq!(window.count(ms(6100)), 0);
}

fn report(level: u8, uses: u16) -> LoadReport {
    LoadReport {
        services: vec![ServiceShortage {
            service: "s".into(),
            level,
            uses,
        }],
        ..LoadReport::default()
    }
}

/// Records reports of the service `s` by the entries e0, e1 and so on.
fn record_all(board: &mut LoadBoard, reports: &[(u8, u16)], now: Duration) {
    for (index, (level, uses)) in reports.iter().enumerate() {
        let report = report(*level, *uses);
        board.record_report(&format!("e{index}"), report, |name| name == "s", now);
    }
}

/// Returns the merged level of the service `s`, or `None` if it is not listed.
fn merged_level(board: &mut LoadBoard) -> Option<u8> {
    let (summary, _) = board.build_summary(None, ms(0))?;
    let mut services = summary.services.iter();
    services
        .find(|row| &*row.service == "s")
        .map(|row| row.level)
}

struct MergeCase {
    name: &'static str,
    /// Level and uses that each entry reports.
    reports: &'static [(u8, u16)],
    level: Option<u8>,
}

/// Guards against one entry that determines the level for all.
#[test]
fn the_merged_level_is_the_median_weighted_by_use() {
    let cases = [
        MergeCase {
            name: "one entry alone",
            reports: &[(2, 9)],
            level: Some(0),
        },
        MergeCase {
            name: "two entries agree",
            reports: &[(1, 2), (1, 9)],
            level: Some(1),
        },
        MergeCase {
            name: "most uses see no shortage",
            reports: &[(1, 2), (0, 5), (0, 5)],
            level: Some(0),
        },
        MergeCase {
            name: "most uses see a shortage",
            reports: &[(0, 2), (0, 2), (1, 5), (2, 5)],
            level: Some(1),
        },
        MergeCase {
            name: "nonsense of one entry",
            reports: &[(255, u16::MAX), (0, 3), (0, 2)],
            level: Some(0),
        },
        MergeCase {
            name: "nonsense of one entry against one other",
            reports: &[(255, u16::MAX), (0, 3)],
            level: Some(0),
        },
        MergeCase {
            name: "a level without use",
            reports: &[(3, 0), (3, 0)],
            level: None,
        },
        MergeCase {
            name: "no shortage",
            reports: &[(0, 4), (0, 4)],
            level: None,
        },
    ];
    for case in cases {
        let mut board = LoadBoard::default();
        record_all(&mut board, case.reports, ms(0));
        assert_eq!(merged_level(&mut board), case.level, "{}", case.name);
    }
}

/// Guards against a level that remains after its reporters are gone or frozen.
#[test]
fn reports_expire_after_three_seconds() {
    let mut board = LoadBoard::default();
    assert!(
        board.build_share(ms(0)).is_none(),
        "nothing was reported yet"
    );
    record_all(&mut board, &[(1, 4), (1, 4)], ms(0));
    board.drop_expired(ms(2900));
    assert_eq!(merged_level(&mut board), Some(1));
    assert!(board.build_share(ms(0)).is_some());
    board.drop_expired(ms(3000));
    let last = board.build_summary(None, ms(3000));
    let (summary, changes) = last.expect("a last, empty summary");
    assert!(summary.services.is_empty());
    assert_eq!((&*changes[0].service, changes[0].level), ("s", 0));
    assert_eq!(board.build_share(ms(3000)), Some(LoadReport::default()));
    assert!(board.build_summary(None, ms(3000)).is_none());
    assert!(board.build_share(ms(3000)).is_none());
}

/// Guards against control instances that merge the same reports to different levels, and
/// against one that remains without the others' reports after its restart.
#[test]
fn all_control_instances_merge_the_same_level() {
    let peers = [1, 2].map(|port| ([127, 0, 0, 1], port).into());
    let mut boards = [LoadBoard::default(), LoadBoard::default()];
    record_all(&mut boards[0], &[(1, 4), (1, 2), (0, 1)], ms(0));
    record_all(&mut boards[1], &[(0, 3), (1, 4)], ms(0));
    for round in 0..2 {
        if round == 1 {
            // The first instance restarts, and its entries report again.
            boards[0] = LoadBoard::default();
            record_all(&mut boards[0], &[(1, 4), (1, 2), (0, 1)], ms(1000));
        }
        let shares = [0, 1].map(|index| boards[index].build_share(ms(0)).expect("a share"));
        let [first, second] = shares;
        boards[0].record_share(peers[1], second, ms(1000));
        boards[1].record_share(peers[0], first, ms(1000));
        let levels = boards.each_mut().map(merged_level);
        assert_eq!(levels, [Some(1), Some(1)], "round {round}");
    }
}

#[test]
fn unknown_services_are_dropped_and_work_is_summed() {
    let mut board = LoadBoard::default();
    for entry in ["e0", "e1"] {
        let report = LoadReport {
            workspaces: vec![WorkspaceWork {
                workspace: "w".into(),
                work_ms: 30,
            }],
            total_work_ms: 50,
            served_work_ms: 40,
            ..report(1, 3)
        };
        board.record_report(entry, report, |_| false, ms(0));
    }
    let share = board.build_share(ms(0)).expect("a share");
    assert!(share.services.is_empty());
    assert_eq!((share.total_work_ms, share.served_work_ms), (100, 80));
    assert_eq!(share.workspaces[0].work_ms, 60);
}

/// Guards against shares that never reach the entries, and against a workspace that is
/// limited while no service is short.
#[test]
fn a_workspace_over_its_share_is_listed_only_while_a_service_is_short() {
    for (level, is_listed) in [(1, true), (0, false)] {
        let mut board = LoadBoard::default();
        let work = |workspace: &str, work_ms| WorkspaceWork {
            workspace: workspace.into(),
            work_ms,
        };
        for entry in ["e0", "e1"] {
            let report = LoadReport {
                workspaces: vec![work("hot", 800), work("usual", 100)],
                total_work_ms: 900,
                served_work_ms: 400,
                ..report(level, 4)
            };
            board.record_report(entry, report, |name| name == "s", ms(0));
        }
        let summary = board.build_summary(Some(ShareWeights::equal()), ms(0));
        let shares = summary.map_or(Vec::new(), |(summary, _)| summary.workspaces);
        let names: Vec<&str> = shares.iter().map(|share| &*share.workspace).collect();
        let expected: &[&str] = if is_listed { &["hot"] } else { &[] };
        assert_eq!(names, expected, "level {level}");
    }
}
