//! Caller keys: which requests are authorized, and which workspace is passed on to
//! servers and other entries.

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

/// Returns a route table with one workspace per pair of workspace name and caller key.
/// The workspace `tied` allows only the region `east`.
fn table_with_keys(
    version: u64,
    routes: Vec<RouteRule>,
    workspace_keys: &[(&str, &str)],
) -> Arc<RouteTable> {
    let plain = table(version, routes);
    let workspaces = workspace_keys.iter().map(|(name, key)| WorkspaceRule {
        name: (*name).to_string(),
        keys: vec![CallerKey::new(*key)],
        rank: None,
        cap: None,
        homes: if *name == "tied" {
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

/// Returns the order with which another entry relays shard `s0` for a workspace.
fn order(harness: &Harness, workspace: Option<&str>) -> RelayOrder {
    RelayOrder {
        version: 3,
        answer_by: harness.now + Duration::from_millis(80),
        attempts: 1,
        credits_budget: true,
        may_divide: false,
        workspace: workspace.map(Into::into),
        top: Some(3),
        homes: Vec::new(),
        shards: vec!["s0".into()],
    }
}

/// Returns a harness with a sharded route `q`, a public route `open`, a non-idempotent
/// route `once`, and servers for each of them.
fn new_harness(workspace_keys: &[(&str, &str)]) -> Harness {
    let mut harness = Harness::new();
    let public_rule = RouteRule {
        public: true,
        ..route("open", RouteTarget::Service("desk".into()))
    };
    let non_idempotent_rule = RouteRule {
        idempotent: false,
        ..route("once", RouteTarget::Service("desk".into()))
    };
    let routes = vec![route("q", shards(2)), public_rule, non_idempotent_rule];
    harness.set_table(table_with_keys(3, routes, workspace_keys));
    for service in ["s0", "s1", "desk"] {
        harness.add_servers(service, 2);
    }
    harness
}

struct AccessCase {
    name: &'static str,
    route: &'static str,
    key: Option<&'static str>,
    /// The workspace that is sent to servers, or the failure of the request.
    found: Result<Option<&'static str>, ForwardFailure>,
}

const CASES: &[AccessCase] = &[
    AccessCase {
        name: "a key that belongs to a workspace",
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
        name: "a key that belongs to no workspace",
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
        name: "a public route with a key that belongs to no workspace",
        route: "open",
        key: Some("key-of-nobody"),
        found: Ok(None),
    },
];

#[test]
fn only_a_valid_key_is_authorized_and_every_send_names_its_workspace() {
    for case in CASES {
        let mut harness = new_harness(&[("north", KEY)]);
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
fn a_relayed_request_runs_if_its_workspace_is_known() {
    let cases = [
        (Some("north"), None),
        (Some("south"), Some(ForwardFailure::NoTable)),
        (None, Some(ForwardFailure::NoTable)),
    ];
    for (workspace, failure) in cases {
        let mut harness = new_harness(&[("north", KEY)]);
        let relay_order = order(&harness, workspace);
        let tag = harness.call_with_key("q", None, Some(relay_order));
        assert_eq!(harness.failure_of(tag), failure, "{workspace:?}");
        let sent = harness.sends.iter().map(|send| send.workspace.as_deref());
        assert!(
            sent.eq(failure.map_or(Some(workspace), |_| None)),
            "{workspace:?}"
        );
    }
}

#[test]
fn a_relay_to_another_entry_names_the_workspace() {
    let mut harness = Harness::new();
    harness.set_table(table_with_keys(
        3,
        vec![route("q", shards(6))],
        &[("north", KEY)],
    ));
    for number in 0..6 {
        harness.add_server_in(&format!("s{number}"), "far");
    }
    harness.add_entries(&["far"]);
    harness.call_with_key("q", Some(KEY), None);
    let relay = harness.sends[0]
        .relay
        .as_ref()
        .expect("the shards are relayed to another entry");
    assert_eq!(relay.workspace.as_deref(), Some("north"));
    assert_eq!(harness.sends[0].workspace.as_deref(), Some("north"));
}

#[test]
fn requests_whose_key_is_revoked_end_immediately_without_further_sends() {
    let workspace_keys: [(&str, &[(&str, &str)]); 2] = [
        ("no workspace has the key", &[("north", "key-two")]),
        (
            "another workspace has the key",
            &[("north", "key-two"), ("south", KEY)],
        ),
    ];
    for (name, workspace_keys) in workspace_keys {
        let mut harness = new_harness(&[("north", KEY)]);
        let gathered = harness.call_with_key("q", Some(KEY), None);
        let sent = harness.sends.len();
        let once = harness.call_with_key("once", Some(KEY), None);
        let routes = harness.machine.table().expect("a table").routes().to_vec();
        harness.set_table(table_with_keys(4, routes, workspace_keys));
        assert_eq!(
            harness.failure_of(gathered),
            Some(ForwardFailure::KeyRevoked),
            "{name}"
        );
        // The non-idempotent request may have run, so its caller still gets the answer.
        assert_eq!(harness.failure_of(once), None, "{name}");
        harness.answer_ok(sent, b"done");
        assert!(harness.answer_to(once).is_some(), "{name}");
        let count = harness.sends.len();
        harness.advance(900);
        assert_eq!(harness.sends.len(), count, "{name}: nothing more is sent");
    }
}

#[test]
fn a_waiting_request_whose_key_is_revoked_is_refused_as_not_run() {
    let mut harness = Harness::new();
    let routes = vec![route("q", RouteTarget::Service("desk".into()))];
    harness.set_table(table_with_keys(3, routes.clone(), &[("north", KEY)]));
    harness.add_servers("desk", 1);
    // All connections to the server are in use, so the last requests wait.
    let tags: Vec<CallTag> = (0..40)
        .map(|_| harness.call_with_key("q", Some(KEY), None))
        .collect();
    let waiting = *tags.last().expect("one");
    assert!(harness.sends.len() < tags.len(), "some requests wait");
    harness.set_table(table_with_keys(4, routes, &[]));
    assert_eq!(harness.failure_of(waiting), Some(ForwardFailure::NoKey));
    harness.answer_ok(0, b"done");
    harness.advance(900);
    assert!(harness.sends.len() < tags.len());
}

#[test]
fn the_allowed_regions_of_a_workspace_apply_in_addition_to_those_of_the_route() {
    let regions = [(LOCAL_DOMAIN, "west"), ("far", "east")];
    let regions = regions.map(|(domain, region)| (domain.into(), region.into()));
    let cases: [(&str, &[&str], Option<&str>); 3] = [
        ("tied", &[], Some("far")),
        ("tied", &["west"], None),
        ("free", &["west"], Some(LOCAL_DOMAIN)),
    ];
    for (workspace, allowed_regions, expected) in cases {
        let mut harness = Harness::with_options(ForwardOptions {
            domain: LOCAL_DOMAIN.into(),
            regions: RegionMap::new(regions.clone()),
            ..ForwardOptions::default()
        });
        let rule = RouteRule {
            homes: allowed_regions.iter().map(ToString::to_string).collect(),
            ..route("q", RouteTarget::Service("desk".into()))
        };
        harness.set_table(table_with_keys(3, vec![rule], &[(workspace, KEY)]));
        harness.add_server_in("desk", LOCAL_DOMAIN);
        harness.add_server_in("desk", "far");
        harness.call_with_key("q", Some(KEY), None);
        let sent = harness.sends.first().map(|send| send.instance.to_string());
        assert_eq!(
            sent,
            expected.map(|domain| format!("desk-{domain}")),
            "{workspace} {allowed_regions:?}"
        );
    }
}
