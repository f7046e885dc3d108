//! Keys of callers: who may ask, and what servers and other entries are told.

use std::sync::Arc;
use std::time::Duration;

use wheelmast_core::process::forward::answer::ForwardFailure;
use wheelmast_core::process::forward::input::{AttemptResult, RelayOrder};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::version::route_table::{RouteDraft, RouteRule, RouteTable, RouteTarget};
use wheelmast_core::version::workspace::{CallerKey, WorkspaceRule};

use crate::harness::{route, shards, table, Harness, LOCAL_DOMAIN};

const KEY: &str = "key-of-north";

/// A table whose workspaces hold these keys each.
fn keyed(version: u64, routes: Vec<RouteRule>, holders: &[(&str, &str)]) -> Arc<RouteTable> {
    let plain = table(version, routes);
    let workspaces = holders.iter().map(|(name, key)| WorkspaceRule {
        name: (*name).to_string(),
        keys: vec![CallerKey::new(*key)],
        rank: None,
        cap: None,
        allowed_regions: if *name == "tied" {
            vec!["east".to_string()]
        } else {
            Vec::new()
        },
    });
    let draft = RouteDraft {
        version,
        routes: plain.routes().to_vec(),
        services: plain.services().to_vec(),
        limits: plain.limits(),
        workspaces: Some(workspaces.collect()),
    };
    Arc::new(RouteTable::check(draft).expect("a good table"))
}

fn order(harness: &Harness, workspace: Option<&str>) -> RelayOrder {
    RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(80),
        attempts: 1,
        credits_budget: true,
        may_divide: false,
        workspace: workspace.map(Into::into),
        shards: vec!["s0".into()],
    }
}

fn world(holders: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new();
    let open = RouteRule {
        public: true,
        ..route("open", RouteTarget::Service("desk".into()))
    };
    let unsafe_rule = RouteRule {
        idempotent: false,
        ..route("once", RouteTarget::Service("desk".into()))
    };
    let routes = vec![route("q", shards(2)), open, unsafe_rule];
    harness.set_table(keyed(3, routes, holders));
    for service in ["s0", "s1", "desk"] {
        harness.add_servers(service, 2);
    }
    harness
}

struct AccessCase {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    /// The workspace that servers are told, or why nothing is sent.
    found: Result<Option<&'static str>, ForwardFailure>,
}

const CASES: &[AccessCase] = &[
    AccessCase {
        name: "a key that is held",
        route: "q",
        key: Some(KEY),
        found: Ok(Some("north")),
    },
    AccessCase {
        name: "no key",
        route: "q",
        key: None,
        found: Err(ForwardFailure::NoKey),
    },
    AccessCase {
        name: "a key that nobody holds",
        route: "q",
        key: Some("key-of-nobody"),
        found: Err(ForwardFailure::NoKey),
    },
    AccessCase {
        name: "a public route without a key",
        route: "open",
        key: None,
        found: Ok(None),
    },
    AccessCase {
        name: "a public route with a key",
        route: "open",
        key: Some(KEY),
        found: Ok(Some("north")),
    },
    AccessCase {
        name: "a public route with a key that nobody holds",
        route: "open",
        key: Some("key-of-nobody"),
        found: Ok(None),
    },
];

#[test]
fn only_a_held_key_runs_and_every_send_tells_its_workspace() {
    for case in CASES {
        let mut harness = world(&[("north", KEY)]);
        let tag = harness.call_with_key(case.route, case.key, None);
        match case.found {
            Ok(workspace) => {
                assert!(!harness.sends.is_empty(), "{}", case.name);
                harness.end(0, AttemptResult::Broken);
                harness.advance(60);
                assert!(harness.sends.len() > 1, "{}: repeated", case.name);
                for send in &harness.sends {
                    assert_eq!(send.workspace.as_deref(), workspace, "{}", case.name);
                }
            }
            Err(failure) => {
                assert_eq!(harness.failure_of(tag), Some(failure), "{}", case.name);
                assert!(harness.sends.is_empty(), "{}", case.name);
            }
        }
    }
}

#[test]
fn a_request_passed_on_runs_for_a_workspace_that_is_known_here() {
    let cases = [
        (Some("north"), None),
        (Some("south"), Some(ForwardFailure::NoTable)),
        (None, Some(ForwardFailure::NoTable)),
    ];
    for (workspace, failure) in cases {
        let mut harness = world(&[("north", KEY)]);
        let asked = order(&harness, workspace);
        let tag = harness.call_with_key("q", None, Some(asked));
        assert_eq!(harness.failure_of(tag), failure, "{workspace:?}");
        let told = harness.sends.iter().map(|send| send.workspace.as_deref());
        assert!(
            told.eq(failure.map_or(Some(workspace), |_| None)),
            "{workspace:?}"
        );
    }
}

#[test]
fn parts_for_another_entry_name_the_workspace() {
    let mut harness = Harness::new();
    harness.set_table(keyed(3, vec![route("q", shards(6))], &[("north", KEY)]));
    for number in 0..6 {
        harness.add_server_in(&format!("s{number}"), "far");
    }
    harness.add_entries(&["far"]);
    harness.call_with_key("q", Some(KEY), None);
    let relay = harness.sends[0]
        .relay
        .as_ref()
        .expect("another entry is asked");
    assert_eq!(relay.workspace.as_deref(), Some("north"));
    assert_eq!(harness.sends[0].workspace.as_deref(), Some("north"));
}

#[test]
fn requests_whose_key_is_taken_away_end_at_once_and_are_sent_no_more() {
    let holders: [(&str, &[(&str, &str)]); 2] = [
        ("nobody has it", &[("north", "key-two")]),
        ("another has it", &[("north", "key-two"), ("south", KEY)]),
    ];
    for (name, holders) in holders {
        let mut harness = world(&[("north", KEY)]);
        let gathered = harness.call_with_key("q", Some(KEY), None);
        let sent = harness.sends.len();
        let once = harness.call_with_key("once", Some(KEY), None);
        let routes = harness.machine.table().expect("a table").routes().to_vec();
        harness.set_table(keyed(4, routes, holders));
        assert_eq!(
            harness.failure_of(gathered),
            Some(ForwardFailure::KeyRevoked),
            "{name}"
        );
        // It may have run: its caller gets the server's answer, if that comes.
        assert_eq!(harness.failure_of(once), None, "{name}");
        harness.answer_ok(sent, b"done");
        assert!(harness.answer_to(once).is_some(), "{name}");
        let count = harness.sends.len();
        harness.advance(900);
        assert_eq!(harness.sends.len(), count, "{name}: nothing more is sent");
    }
}

#[test]
fn what_was_not_sent_is_refused_as_not_run() {
    let mut harness = Harness::new();
    let routes = vec![route("q", RouteTarget::Service("desk".into()))];
    harness.set_table(keyed(3, routes.clone(), &[("north", KEY)]));
    harness.add_servers("desk", 1);
    // The server's connections are all taken: the last ones wait.
    let tags: Vec<CallTag> = (0..40)
        .map(|_| harness.call_with_key("q", Some(KEY), None))
        .collect();
    let waiting = *tags.last().expect("one");
    assert!(harness.sends.len() < tags.len(), "some wait");
    harness.set_table(keyed(4, routes, &[]));
    assert_eq!(harness.failure_of(waiting), Some(ForwardFailure::NoKey));
    harness.answer_ok(0, b"done");
    harness.advance(900);
    assert!(harness.sends.len() < tags.len());
}

#[test]
fn a_workspace_binds_its_requests_to_its_homes_beside_the_routes() {
    let regions = [(LOCAL_DOMAIN, "west"), ("far", "east")];
    let regions = regions.map(|(domain, region)| (domain.into(), region.into()));
    let cases: [(&str, &[&str], Option<&str>); 3] = [
        ("tied", &[], Some("far")),
        ("tied", &["west"], None),
        ("free", &["west"], Some(LOCAL_DOMAIN)),
    ];
    for (workspace, allowed_regions, asked) in cases {
        let mut harness = Harness::with_options(ForwardOptions {
            domain: LOCAL_DOMAIN.into(),
            regions: RegionMap::new(regions.clone()),
            ..ForwardOptions::default()
        });
        let rule = RouteRule {
            allowed_regions: allowed_regions.iter().map(ToString::to_string).collect(),
            ..route("q", RouteTarget::Service("desk".into()))
        };
        harness.set_table(keyed(3, vec![rule], &[(workspace, KEY)]));
        harness.add_server_in("desk", LOCAL_DOMAIN);
        harness.add_server_in("desk", "far");
        harness.call_with_key("q", Some(KEY), None);
        let sent = harness.sends.first().map(|send| send.instance.to_string());
        assert_eq!(
            sent,
            asked.map(|domain| format!("desk-{domain}")),
            "{workspace} {allowed_regions:?}"
        );
    }
}
