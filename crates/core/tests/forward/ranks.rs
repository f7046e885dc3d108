//! Tests of the decisions by rank while services are short of capacity: admission, hedges,
//! retries, and the load report of an entry.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{
    AttemptResult, ForwardInput, LoadReport, RelayOrder, ServerAnswer,
};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::rank::RankCounts;
use wheelmast_core::process::load::{LoadSummary, ServiceLevel, ServiceShortage};
use wheelmast_core::version::route_table::{
    CallerLimits, RouteDraft, RouteRule, RouteTable, RouteTarget, ServiceRule,
};
use wheelmast_core::version::workspace::{CallerKey, WorkspaceRule};

use crate::harness::{answer, route, shards, table, Harness, LOCAL_DOMAIN};

const SHARDS: usize = 4;

/// Returns routes `high` (rank 0) and `low` over the same shards, and `desk` (rank 0) and
/// `counter` over one service.
fn ranked_routes(lowest: u32) -> Vec<RouteRule> {
    let ranked = |name, target, rank| RouteRule {
        rank,
        ..route(name, target)
    };
    let desk = RouteTarget::Service("d".into());
    vec![
        ranked("high", shards(SHARDS), 0),
        ranked("low", shards(SHARDS), lowest),
        ranked("desk", desk.clone(), 0),
        ranked("counter", desk, lowest),
    ]
}

/// Returns an entry without a table that lets ranks decide at admission, or not.
fn harness_with(extra: ExtraBound, rank_admission: bool) -> Harness {
    Harness::with_options(ForwardOptions {
        domain: LOCAL_DOMAIN.into(),
        extra,
        rank_admission,
        ..ForwardOptions::default()
    })
}

/// Returns a budget for extra load that no test spends.
fn ample_budget() -> ExtraBound {
    ExtraBound {
        ratio: 0.2,
        slack: 1000.0,
        window: Duration::from_secs(10),
    }
}

/// Returns an entry with [`ranked_routes`] and two servers of each service.
fn entry_with(lowest: u32, extra: ExtraBound) -> Harness {
    let mut harness = harness_with(extra, true);
    harness.set_table(table(1, ranked_routes(lowest)));
    for shard in 0..SHARDS {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness.add_servers("d", 2);
    harness
}

fn entry(lowest: u32) -> Harness {
    entry_with(lowest, ample_budget())
}

/// Passes a summary with this level of the services, once a second for `seconds`.
fn summarize(harness: &mut Harness, services: &[&str], level: u8, seconds: u64) {
    for _ in 0..seconds {
        harness.advance(1000);
        let rows = services.iter().map(|service| ServiceLevel {
            service: (*service).into(),
            level,
        });
        harness.step(ForwardInput::LoadSummary(LoadSummary {
            services: rows.collect(),
            workspaces: Vec::new(),
        }));
    }
}

const ALL_SHARDS: &[&str] = &["s0", "s1", "s2", "s3"];

/// Answers the attempts from number `first` on, with `waiting` requests at the servers.
fn answer_from(harness: &mut Harness, first: usize, waiting: u32) {
    for send in first..harness.sends.len() {
        let stamp = harness.sends[send].instance.clone();
        let load = Some(LoadReport {
            running: 2,
            waiting,
            slots: 2,
            pace: None,
        });
        let end = ServerAnswer {
            load,
            ..answer(200, &stamp, b"")
        };
        harness.end(send, AttemptResult::Answer(end));
    }
}

/// Sends requests of the highest rank whose answers report `waiting` requests, for
/// `millis` ms.
fn load_servers(harness: &mut Harness, waiting: u32, millis: u64) {
    for _ in 0..millis / 50 {
        let first = harness.sends.len();
        harness.call("high");
        harness.advance(2);
        answer_from(harness, first, waiting);
        harness.advance(48);
    }
}

/// Sends requests until one is admitted. The credit of a restricted rank, which starts at
/// random, does not admit the next one.
fn spend_credit(harness: &mut Harness, route: &str, key: Option<&str>) {
    for _ in 0..5 {
        let first = harness.sends.len();
        let call = harness.call_with_key(route, key, None);
        answer_from(harness, first, 0);
        if harness.failure_of(call).is_none() {
            return;
        }
    }
    panic!("no request was admitted");
}

fn counts(harness: &Harness, rank: u32) -> RankCounts {
    let mut counts = harness.machine.rank_counts();
    counts
        .find(|(other, _)| *other == rank)
        .map_or(RankCounts::default(), |(_, counts)| counts)
}

struct AdmitCase {
    name: &'static str,
    /// Services that the control group reports as short.
    short: &'static [&'static str],
    /// Rank of the routes `low` and `counter`.
    lowest: u32,
    route: &'static str,
    /// Attempts that the request sends, or 0 if it is refused.
    sends: usize,
}

/// Guards against restrictions of the wrong requests, and of any request where all have
/// the same rank.
#[test]
fn a_restricted_rank_leaves_short_shards_to_the_others() {
    let case = |name, short, lowest, route, sends| AdmitCase {
        name,
        short,
        lowest,
        route,
        sends,
    };
    let cases = [
        case("nothing is short", &[], 1, "low", 4),
        case("highest rank", ALL_SHARDS, 1, "high", 4),
        case("coverage lacks the shards", ALL_SHARDS, 1, "low", 0),
        case("coverage without the shard", &["s1"], 1, "low", 3),
        case("equal ranks", ALL_SHARDS, 0, "low", 4),
        case("single service, highest rank", &["d"], 1, "desk", 1),
        case("single service", &["d"], 1, "counter", 0),
        case("single service, equal ranks", &["d"], 0, "counter", 1),
        case("another service is short", &["d"], 1, "low", 4),
    ];
    for case in cases {
        let mut harness = entry(case.lowest);
        summarize(&mut harness, case.short, 1, 8);
        spend_credit(&mut harness, case.route, None);
        let first = harness.sends.len();
        let call = harness.call(case.route);
        assert_eq!(harness.sends.len() - first, case.sends, "{}", case.name);
        let refused = (case.sends == 0).then_some(ForwardFailure::Overload);
        assert_eq!(harness.failure_of(call), refused, "{}", case.name);
    }
}

/// Guards against starvation, and against a floor that takes the capacity of the others.
#[test]
fn the_floor_admits_a_part_of_a_restricted_rank() {
    let mut harness = entry(1);
    summarize(&mut harness, ALL_SHARDS, 1, 8);
    let mut served = 0;
    for _ in 0..100 {
        harness.advance(20);
        for route in ["high", "low"] {
            let first = harness.sends.len();
            let call = harness.call(route);
            answer_from(&mut harness, first, 0);
            let is_refused = harness.failure_of(call).is_some();
            assert!(route == "low" || !is_refused);
            served += usize::from(route == "low" && !is_refused);
        }
        if harness.now.subsec_millis() < 20 {
            summarize(&mut harness, ALL_SHARDS, 1, 1);
        }
    }
    // The mean is near 0.6, of which a quarter is 15 requests.
    assert!((15..45).contains(&served), "{served}");
    let low = counts(&harness, 1);
    assert_eq!(low.refused, 100 - served as u64);
    assert_eq!(counts(&harness, 0).refused, 0);
}

/// Guards against levels that the entry keeps although nobody reports them any more.
#[test]
fn a_summary_counts_for_three_seconds_and_the_own_level_without_it() {
    let mut harness = entry(1);
    summarize(&mut harness, ALL_SHARDS, 1, 8);
    let level = |harness: &Harness| {
        let now = harness.now;
        let mut levels = harness.machine.shortage_levels(now);
        levels.find(|(name, _)| *name == "s0").map(|row| row.1)
    };
    harness.advance(2900);
    assert_eq!(level(&harness), Some(1));
    harness.advance(100);
    assert_eq!(level(&harness), Some(0));
    load_servers(&mut harness, 40, 400);
    assert_eq!(level(&harness), Some(1), "by the own evidence");
    summarize(&mut harness, ALL_SHARDS, 0, 1);
    load_servers(&mut harness, 0, 2500);
    assert_eq!(level(&harness), Some(0));
}

/// Returns the order of another entry for all shards.
fn relay_order(harness: &Harness) -> RelayOrder {
    RelayOrder {
        version: 1,
        answer_by: harness.now + Duration::from_millis(90),
        attempts: 2,
        credits_budget: true,
        may_divide: false,
        workspace: None,
        top: Some(3),
        homes: Vec::new(),
        shards: ALL_SHARDS.iter().map(|name| Arc::from(*name)).collect(),
    }
}

/// Guards against a request that two entries refuse in turn, and against hedges of a
/// restricted rank, also in the name of another entry.
#[test]
fn a_relayed_request_is_admitted_but_not_hedged() {
    let mut harness = entry(1);
    summarize(&mut harness, ALL_SHARDS, 1, 8);
    for (route, hedges) in [("high", true), ("low", false)] {
        let first = harness.sends.len();
        let order = relay_order(&harness);
        harness.call_with(route, None, Some(order));
        assert_eq!(harness.sends.len() - first, SHARDS, "{route}");
        harness.advance(85);
        let extra = harness.sends.len() - first - SHARDS;
        assert_eq!(extra > 0, hedges, "{route}: {extra} hedges");
        harness.advance(2000);
        summarize(&mut harness, ALL_SHARDS, 1, 1);
    }
    assert!(counts(&harness, 1).hedges_withheld > 0);
}

/// Guards against a restricted rank that spends the whole extra-load budget.
#[test]
fn a_restricted_rank_spends_half_of_the_budget() {
    let extra = ExtraBound {
        ratio: 0.0,
        slack: 8.0 * 8.0,
        window: Duration::from_secs(10),
    };
    for (route, repeats) in [("low", 4), ("high", 8)] {
        let mut harness = entry_with(1, extra);
        summarize(&mut harness, ALL_SHARDS, 1, 8);
        let order = relay_order(&harness);
        // Relayed requests are admitted whatever their rank; each loses its part of s0.
        for _ in 0..12 {
            let first = harness.sends.len();
            harness.call_with(route, None, Some(order.clone()));
            let rejected = ServerAnswer {
                not_run: true,
                ..answer(503, "", b"")
            };
            harness.end(first, AttemptResult::Answer(rejected));
            answer_from(&mut harness, first, 0);
        }
        let retries = harness.machine.counters().retries;
        assert_eq!(retries, repeats, "{route}");
    }
}

/// Guards against reports while there is nothing to report, and against more than one a
/// second.
#[test]
fn an_entry_reports_what_it_uses_while_it_is_short() {
    let mut harness = entry(1);
    load_servers(&mut harness, 0, 1000);
    assert_eq!(harness.machine.take_load_report(harness.now), None);
    load_servers(&mut harness, 400, 400);
    let changes = harness.machine.take_level_changes();
    assert_eq!(changes.len(), SHARDS, "{changes:?}");
    assert!(changes.iter().all(|change| change.level == 1));
    let report = harness.machine.take_load_report(harness.now);
    let services = report.expect("a report").services;
    assert!(services.iter().all(|row| row.level == 1 && row.uses > 0));
    assert_eq!(services.len(), SHARDS);
    harness.advance(900);
    assert_eq!(harness.machine.take_load_report(harness.now), None);
}

/// Guards against a merged level of those entries alone that see a shortage.
#[test]
fn an_entry_reports_its_use_of_services_that_others_report_as_short() {
    let mut harness = entry(1);
    load_servers(&mut harness, 0, 1000);
    summarize(&mut harness, &["s2", "d"], 0, 1);
    load_servers(&mut harness, 0, 500);
    let report = harness.machine.take_load_report(harness.now);
    let expected = ServiceShortage {
        service: "s2".into(),
        level: 0,
        uses: 10,
    };
    // The entry has not used the service `d`.
    assert_eq!(report.expect("a report").services, [expected]);
}

/// Guards against any effect of shortages where all requests of a service have the same
/// rank.
#[test]
fn equal_ranks_have_no_levels_and_no_reports() {
    let mut harness = entry(0);
    load_servers(&mut harness, 40, 1000);
    summarize(&mut harness, ALL_SHARDS, 3, 2);
    assert_eq!(harness.machine.shortage_levels(harness.now).count(), 0);
    assert_eq!(harness.machine.take_load_report(harness.now), None);
    assert!(harness.machine.take_level_changes().is_empty());
    assert_eq!(harness.machine.rank_counts().count(), 0);
}

/// Guards against a route's rank that decides for a workspace with a rank of its own.
#[test]
fn the_rank_of_a_workspace_replaces_that_of_the_route() {
    let workspace = |name: &str, rank| WorkspaceRule {
        name: name.into(),
        keys: vec![CallerKey::new(name)],
        rank,
        cap: None,
        homes: Vec::new(),
    };
    let draft = RouteDraft {
        version: 1,
        routes: vec![route("desk", RouteTarget::Service("d".into()))],
        services: vec![ServiceRule {
            name: "d".into(),
            connections: 100,
            cold_per_s: 0.0,
        }],
        limits: CallerLimits::default(),
        workspaces: Some(vec![
            workspace("first", Some(0)),
            workspace("usual", None),
            workspace("last", Some(5)),
        ]),
    };
    let mut harness = harness_with(ample_budget(), true);
    harness.set_table(Arc::new(RouteTable::check(draft).expect("a valid table")));
    harness.add_servers("d", 2);
    for (level, refused) in [(1, [false, false, true]), (2, [false, true, true])] {
        summarize(&mut harness, &["d"], level, 8);
        for (name, is_refused) in ["first", "usual", "last"].into_iter().zip(refused) {
            spend_credit(&mut harness, "desk", Some(name));
            let call = harness.call_with_key("desk", Some(name), None);
            let failure = harness.failure_of(call);
            assert_eq!(failure.is_some(), is_refused, "{name} at level {level}");
        }
    }
}

/// Guards against refusals by rank where the operator has not asked for them: without the
/// setting, a request of a restricted rank is admitted to all shards.
#[test]
fn without_the_setting_ranks_do_not_decide_at_admission() {
    let mut harness = harness_with(ample_budget(), false);
    harness.set_table(table(1, ranked_routes(1)));
    for shard in 0..SHARDS {
        harness.add_servers(&format!("s{shard}"), 2);
    }
    harness.add_servers("d", 2);
    summarize(&mut harness, &["s0", "s1", "s2", "s3", "d"], 1, 3);
    for name in ["low", "counter"] {
        for _ in 0..20 {
            let call = harness.call(name);
            assert!(harness.failure_of(call).is_none(), "{name}");
        }
    }
}
