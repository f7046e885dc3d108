//! The sketch of the work by workspace at an entry, and the merging of reports at a
//! control instance.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::load::share::ShareWeights;
use wheelmast_core::process::load::usage::{WorkspaceUsage, MAX_REPORTED_WORKSPACES};
use wheelmast_core::process::load::usage_board::{ListChange, UsageBoard, MAX_MERGED_WORKSPACES};
use wheelmast_core::process::load::{LoadReport, WorkspaceWork};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a report of one workspace's work beside 100 ms of another.
fn report(workspace: &str, work_ms: u32, served_work_ms: u32) -> LoadReport {
    let work = |workspace: &str, work_ms| WorkspaceWork {
        workspace: workspace.into(),
        work_ms,
    };
    LoadReport {
        workspaces: vec![work(workspace, work_ms), work("small", 100)],
        total_work_ms: work_ms + 100,
        served_work_ms,
        ..LoadReport::default()
    }
}

/// Guards against requests counted by number: a sweep costs more than many lookups.
#[test]
fn sweeps_and_lookups_are_counted_by_work() {
    let mut usage = WorkspaceUsage::default();
    let (sweeps, lookups) = (Arc::from("sweeps"), Arc::from("lookups"));
    for step in 0..2000 {
        let now = ms(10 * step);
        if step % 100 == 0 {
            usage.record_request(Some(&sweeps), 90.0 * 15.0, now);
        }
        if step % 10 == 0 {
            usage.record_request(Some(&lookups), 5.0, now);
        }
    }
    let totals = usage.totals(16, ms(20_000));
    let (name, work) = &totals.workspaces[0];
    assert_eq!(&**name, "sweeps");
    assert!(
        (work - 1350.0).abs() < 300.0,
        "1350 ms per second, not {work}"
    );
    let (name, work) = &totals.workspaces[1];
    assert_eq!(&**name, "lookups");
    assert!((work - 50.0).abs() < 10.0, "50 ms per second, not {work}");
}

/// Guards against memory that grows with the number of workspaces, and against a large
/// workspace that is lost among them or charged with their work.
#[test]
fn the_state_of_an_entry_is_bounded_for_10_000_workspaces() {
    let mut usage = WorkspaceUsage::default();
    let large: Arc<str> = "large".into();
    for index in 0..20_000u64 {
        let now = ms(index);
        let small = Arc::from(format!("w{}", index % 10_000));
        usage.record_request(Some(&small), 1.0, now);
        if index % 10 == 0 {
            usage.record_request(Some(&large), 10.0, now);
        }
    }
    assert!(usage.counter_count() <= 64);
    let totals = usage.totals(MAX_REPORTED_WORKSPACES, ms(20_000));
    assert_eq!(totals.workspaces.len(), MAX_REPORTED_WORKSPACES);
    assert_eq!(&*totals.workspaces[0].0, "large");
    assert!((totals.workspaces[0].1 - 1000.0).abs() < 100.0);
    assert!((totals.total_ms - 2000.0).abs() < 100.0);
    assert!(totals.workspaces[1].1 < 30.0, "{:?}", totals.workspaces);
}

/// Guards against a board that grows with entries and workspaces.
#[test]
fn the_state_of_a_control_instance_is_bounded() {
    let mut board = UsageBoard::default();
    for entry in 0..2000 {
        let workspaces = (0..40).map(|index| WorkspaceWork {
            workspace: format!("w{}", (entry * 16 + index) % 10_000).into(),
            work_ms: 10,
        });
        let report = LoadReport {
            workspaces: workspaces.collect(),
            total_work_ms: 400,
            served_work_ms: 400,
            ..LoadReport::default()
        };
        board.record_entry(&format!("e{entry}"), &report, ms(0));
    }
    assert_eq!(board.report_count(), 1024);
    let mut share = LoadReport::default();
    board.fill_share(&mut share, ms(0));
    assert_eq!(share.workspaces.len(), MAX_MERGED_WORKSPACES);
    assert_eq!(share.total_work_ms, 1024 * 400);
}

/// Guards against one entry's report counted twice, and against reports without age.
#[test]
fn reports_are_replaced_and_age() {
    let mut board = UsageBoard::default();
    let weights = ShareWeights::equal();
    board.record_entry("e1", &report("hot", 900, 550), ms(0));
    board.record_entry("e1", &report("hot", 900, 550), ms(1000));
    board.record_instance("c2", &report("hot", 900, 550), ms(2000));
    let over = board.list_over_share(weights, ms(2500));
    assert_eq!(over.len(), 1);
    assert_eq!(over[0].work_ms, 1800.0);
    assert_eq!(over[0].share_ms, 900.0);
    assert_eq!(board.take_changes(), [ListChange::Added(over[0].clone())]);
    let over = board.list_over_share(weights, ms(4000));
    assert_eq!(over[0].work_ms, 900.0, "the entry's report is 3 s old");
    assert!(board.list_over_share(weights, ms(5000)).is_empty());
    assert_eq!(board.report_count(), 0);
    assert_eq!(board.take_changes(), [ListChange::Removed("hot".into())]);
    board.record_entry("e1", &report("hot", 900, 550), ms(6000));
    board.remove_entry("e1");
    assert_eq!(board.report_count(), 0);
}

/// Guards against a report whose values contradict each other.
#[test]
fn invalid_reports_are_limited() {
    let mut board = UsageBoard::default();
    let mut invalid = report("hot", u32::MAX - 100, u32::MAX);
    invalid.total_work_ms = 50;
    invalid.workspaces.push(WorkspaceWork {
        workspace: "x".repeat(300).into(),
        work_ms: 1,
    });
    board.record_entry("e1", &invalid, ms(0));
    let mut share = LoadReport::default();
    board.fill_share(&mut share, ms(0));
    assert_eq!(share.total_work_ms, 50);
    assert_eq!(share.served_work_ms, 50);
    assert!(share.workspaces.iter().all(|work| work.work_ms <= 50));
    assert_eq!(share.workspaces.len(), 2);
}
