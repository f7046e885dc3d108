//! Fair shares of workspaces at the admission of an entry. `tests/shares` tests the shares
//! themselves.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::{
    AttemptResult, ForwardInput, RelayOrder, ServerAnswer,
};
use wheelmast_core::process::load::share_gate::ShareChange;
use wheelmast_core::process::load::{LoadReport, LoadSummary, WorkspaceShare};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable, RouteTarget};
use wheelmast_core::version::workspace::{CallerKey, WorkspaceRule};

use crate::admit::answer_with_load;
use crate::harness::{answer, route, shards, table, Harness};

/// Returns an entry with a sweep over four shards, of which the minimum coverage needs
/// all, and a route to one service. The workspace `NAME` has the key `key-NAME`.
fn entry_with_workspaces(workspaces: &[&str]) -> Harness {
    let mut sweep = route("q", shards(4));
    sweep.least_coverage = 1.0;
    let single = route("one", RouteTarget::Service("one".to_string()));
    let plain = table(1, vec![sweep, single]);
    let rules = workspaces.iter().map(|name| WorkspaceRule {
        name: name.to_string(),
        keys: vec![CallerKey::new(format!("key-{name}"))],
        rank: None,
        cap: None,
        homes: Vec::new(),
    });
    let draft = RouteDraft {
        version: 1,
        routes: plain.routes().to_vec(),
        services: plain.services().to_vec(),
        limits: plain.limits(),
        workspaces: Some(rules.collect()),
    };
    let mut harness = Harness::new();
    harness.set_table(Arc::new(RouteTable::check(draft).expect("a good table")));
    for service in ["s0", "s1", "s2", "s3", "one"] {
        harness.add_servers(service, 1);
    }
    harness
}

/// Makes the shard `s0` short: its server reports a long queue, and further requests are
/// refused by admission.
fn make_short(harness: &mut Harness, key: &str) {
    harness.call_with_key("q", Some(key), None);
    for send in 0..4 {
        answer_with_load(harness, send, if send == 0 { 40 } else { 0 });
    }
    for _ in 0..12 {
        harness.call_with_key("q", Some(key), None);
    }
}

/// Gives the entry a summary that admits a quarter of the requests of `hot`.
fn limit_hot(harness: &mut Harness) {
    let workspaces = vec![WorkspaceShare {
        workspace: "hot".into(),
        fraction: 0.25,
    }];
    harness.step(ForwardInput::LoadSummary(LoadSummary {
        workspaces,
        ..LoadSummary::default()
    }));
}

/// Returns the number of `count` requests that are refused by their workspace's share.
fn count_refused(harness: &mut Harness, route: &str, key: &str, count: usize) -> usize {
    let calls: Vec<_> = (0..count)
        .map(|_| harness.call_with_key(route, Some(key), None))
        .collect();
    let failures = calls.iter().map(|call| harness.failure_of(*call));
    let refused = failures.filter(|failure| *failure == Some(ForwardFailure::OverShare));
    refused.count()
}

fn relay(harness: &Harness) -> RelayOrder {
    RelayOrder {
        version: 1,
        answer_by: harness.now + Duration::from_millis(80),
        attempts: 1,
        credits_budget: true,
        may_divide: false,
        workspace: Some("hot".into()),
        top: Some(3),
        homes: Vec::new(),
        shards: vec!["s0".into()],
    }
}

struct GateCase {
    name: &'static str,
    workspaces: &'static [&'static str],
    is_short: bool,
    has_summary: bool,
    route: &'static str,
    key: &'static str,
    /// Number of 8 requests that are refused by the share.
    refused: usize,
}

/// Guards against limits where nothing is short, on a service that is not short, for
/// others than the listed workspace, and where the table names one workspace.
#[test]
fn a_workspace_is_limited_only_while_a_service_that_it_needs_is_short() {
    let limited = GateCase {
        name: "limited",
        workspaces: &["hot", "small"],
        is_short: true,
        has_summary: true,
        route: "q",
        key: "key-hot",
        refused: 6,
    };
    let cases = [
        GateCase {
            name: "nothing is short",
            is_short: false,
            refused: 0,
            ..limited
        },
        GateCase {
            name: "no summary",
            has_summary: false,
            refused: 0,
            ..limited
        },
        GateCase {
            name: "another workspace",
            key: "key-small",
            refused: 0,
            ..limited
        },
        GateCase {
            name: "another service",
            route: "one",
            refused: 0,
            ..limited
        },
        GateCase {
            name: "one workspace",
            workspaces: &["hot"],
            refused: 0,
            ..limited
        },
        limited,
    ];
    for case in cases {
        let mut harness = entry_with_workspaces(case.workspaces);
        if case.is_short {
            make_short(&mut harness, "key-hot");
        }
        if case.has_summary {
            limit_hot(&mut harness);
        }
        // Without a summary the entry must not have seen enough of the workspace itself.
        harness.advance(if case.has_summary { 0 } else { 2500 });
        let refused = count_refused(&mut harness, case.route, case.key, 8);
        assert_eq!(refused, case.refused, "{}", case.name);
        assert_eq!(harness.machine.counters().over_share, refused as u64);
        let is_limited = harness.machine.limited_workspaces(harness.now) > 0;
        assert_eq!(is_limited, refused > 0, "{}", case.name);
        assert_eq!(
            harness.share_changes.len(),
            usize::from(refused > 0),
            "{}",
            case.name
        );
    }
}

/// Guards against a refusal that is sent on, held back or taken for one that ran: the
/// driver returns the token of a request that is known not to have run.
#[test]
fn a_refused_request_has_not_run_and_may_come_back() {
    let mut harness = entry_with_workspaces(&["hot", "small"]);
    make_short(&mut harness, "key-hot");
    limit_hot(&mut harness);
    let sends = harness.sends.len();
    let calls: Vec<_> = (0..4)
        .map(|_| harness.call_with_key("q", Some("key-hot"), None))
        .collect();
    assert_eq!(harness.sends.len(), sends);
    let is_over = |call: &&_| harness.failure_of(**call) == Some(ForwardFailure::OverShare);
    let refused = calls.iter().find(is_over).expect("a refused request");
    let answer = harness.answer_to(*refused);
    assert!(matches!(
        answer,
        Some(ForwardAnswer::Failure { failure, retry_after: Some(_) }) if failure.is_known_unrun()
    ));
    let change = &harness.share_changes[0];
    assert!(matches!(change, ShareChange::Limited { workspace, .. } if &**workspace == "hot"));
}

/// Guards against a request that is refused in part, by another entry than the one that
/// the caller asked, and against work that both entries count.
#[test]
fn a_relayed_request_is_neither_refused_nor_counted() {
    let mut harness = entry_with_workspaces(&["hot", "small"]);
    make_short(&mut harness, "key-hot");
    limit_hot(&mut harness);
    let mut before = LoadReport::default();
    harness
        .machine
        .fill_workspace_report(&mut before, harness.now);
    for _ in 0..8 {
        let order = relay(&harness);
        let call = harness.call_with_key("q", None, Some(order));
        assert_ne!(harness.failure_of(call), Some(ForwardFailure::OverShare));
    }
    let mut after = LoadReport::default();
    harness
        .machine
        .fill_workspace_report(&mut after, harness.now);
    assert_eq!(before, after);
    assert!(before.total_work_ms > 0);
}

/// Guards against work that counts as served although no server had capacity for it, and
/// against parts that are not counted.
#[test]
fn the_report_tells_the_work_that_was_asked_for_and_that_was_served() {
    let mut harness = entry_with_workspaces(&["hot", "small"]);
    harness.call_with_key("one", Some("key-small"), None);
    harness.answer_ok(0, b"");
    let mut report = LoadReport::default();
    harness
        .machine
        .fill_workspace_report(&mut report, harness.now);
    assert_eq!(report.served_work_ms, report.total_work_ms);
    let single_ms = report.total_work_ms;
    assert_eq!(report.workspaces[0].work_ms, single_ms);

    harness.call_with_key("q", Some("key-hot"), None);
    for send in 1..5 {
        answer_with_load(&mut harness, send, if send == 1 { 40 } else { 0 });
    }
    let refused = harness.call_with_key("q", Some("key-hot"), None);
    assert_eq!(harness.failure_of(refused), Some(ForwardFailure::Overload));
    harness
        .machine
        .fill_workspace_report(&mut report, harness.now);
    // The objectives of both routes are the same, and so is the time that is assumed for
    // a part; a sweep has four. Values are rounded.
    assert_eq!(&*report.workspaces[0].workspace, "hot");
    assert!(report.workspaces[0].work_ms.abs_diff(8 * single_ms) <= 8);
    assert!(report.total_work_ms.abs_diff(9 * single_ms) <= 9);
    assert!(report.served_work_ms.abs_diff(5 * single_ms) <= 5);

    // The only server of the service rejects a request.
    let rejected = harness.call_with_key("one", Some("key-small"), None);
    let rejection = ServerAnswer {
        not_run: true,
        ..answer(503, "one-0", b"")
    };
    harness.end(harness.sends.len() - 1, AttemptResult::Answer(rejection));
    let failure = harness.failure_of(rejected).expect("a failure");
    assert!(failure.is_known_unrun(), "{failure:?}");
    let mut after = LoadReport::default();
    harness
        .machine
        .fill_workspace_report(&mut after, harness.now);
    assert_eq!(after.served_work_ms, report.served_work_ms);
    assert!(after.total_work_ms > report.total_work_ms);
}

/// Guards against any effect of this component where the table names fewer than two
/// workspaces: nothing is counted, reported or limited.
#[test]
fn with_fewer_than_two_workspaces_nothing_is_counted() {
    let mut harness = entry_with_workspaces(&["hot"]);
    make_short(&mut harness, "key-hot");
    limit_hot(&mut harness);
    let mut report = LoadReport::default();
    harness
        .machine
        .fill_workspace_report(&mut report, harness.now);
    assert_eq!(report, LoadReport::default());
    assert!(!harness.machine.has_workspace_over_share(harness.now));
    harness.call_with_key("one", Some("key-hot"), None);
    harness.end(harness.sends.len() - 1, AttemptResult::Broken);
    harness
        .machine
        .fill_workspace_report(&mut report, harness.now);
    assert_eq!(report, LoadReport::default());
}
