//! Tests of the workspaces of a route table: invalid definitions yield findings, keys
//! find their workspaces, and no text or debug output reveals a key.

use wheelmast_core::version::route_table::{CallerLimits, RouteDraft, RouteTable};
use wheelmast_core::version::workspace::{
    CallerKey, KeyDigest, UsageCap, WorkspaceRule, MAX_KEY_BYTES,
};

/// Returns a workspace with these keys, without rank, cap or allowed regions.
fn workspace(name: &str, keys: &[&str]) -> WorkspaceRule {
    WorkspaceRule {
        name: name.to_string(),
        keys: keys.iter().map(|key| CallerKey::new(*key)).collect(),
        rank: None,
        cap: None,
        homes: Vec::new(),
    }
}

/// Returns a route table draft with nothing but these workspaces.
fn draft(workspaces: Vec<WorkspaceRule>) -> RouteDraft {
    RouteDraft {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        workspaces: Some(workspaces),
    }
}

/// Invalid workspaces with the expected finding.
struct InvalidCase {
    name: &'static str,
    workspaces: Vec<WorkspaceRule>,
    finding: &'static str,
}

fn invalid_cases() -> Vec<InvalidCase> {
    let case = |name, workspaces, finding| InvalidCase {
        name,
        workspaces,
        finding,
    };
    let overlong_key = "k".repeat(MAX_KEY_BYTES + 1);
    let negative_cap = WorkspaceRule {
        cap: Some(UsageCap {
            per_s: -1.0,
            burst: 0.0,
        }),
        ..workspace("north", &[])
    };
    vec![
        case(
            "a shared key",
            vec![
                workspace("north", &["secret"]),
                workspace("south", &["secret"]),
            ],
            "row 2, workspaces.keys: north and south share a key",
        ),
        case(
            "a key twice",
            vec![workspace("north", &["secret", "secret"])],
            "row 1, workspaces.keys: north has a key twice",
        ),
        case(
            "an empty key",
            vec![workspace("north", &["", ""])],
            "row 1, workspaces.keys: a key must not be empty (workspace north)",
        ),
        case(
            "an overlong key",
            vec![workspace("north", &[&overlong_key])],
            "row 1, workspaces.keys: a key must have at most 512 bytes (workspace north)",
        ),
        case(
            "a key beyond ASCII",
            vec![workspace("north", &["secrét"])],
            "row 1, workspaces.keys: a key must be of visible ASCII characters (workspace north)",
        ),
        case(
            "a name twice",
            vec![workspace("north", &["a"]), workspace("north", &["b"])],
            "row 2, workspaces.name: there is another workspace north",
        ),
        case(
            "a name with a line break",
            vec![workspace("north\r\nx: y", &["a"])],
            "row 1, workspaces.name: must be of 1 to 256 visible ASCII characters",
        ),
        case(
            "a negative cap",
            vec![negative_cap],
            "row 1, workspaces.cap: must not be negative",
        ),
    ]
}

#[test]
fn invalid_workspaces_yield_one_finding_without_any_key() {
    for case in invalid_cases() {
        let findings = RouteTable::check(draft(case.workspaces)).expect_err(case.name);
        let text = findings.to_string();
        assert_eq!(text.trim(), case.finding, "{}", case.name);
        assert!(!text.contains("secret"), "{}: {text}", case.name);
    }
}

#[test]
fn a_key_finds_its_workspace_and_is_not_in_debug_output() {
    let draft = draft(vec![
        workspace("north", &["first-secret", "second-secret"]),
        workspace("south", &["third-secret"]),
    ]);
    assert!(!format!("{draft:?}").contains("secret"));
    let table = RouteTable::check(draft).expect("the draft is valid");
    assert!(!format!("{table:?}").contains("secret"));
    let registry = table.workspaces().expect("the table has workspaces");
    let cases = [
        ("first-secret", Some("north")),
        ("second-secret", Some("north")),
        ("third-secret", Some("south")),
        ("first-secre", None),
        ("first-secret ", None),
        ("", None),
    ];
    for (key, name) in cases {
        let caller_workspace = registry.caller_workspace(KeyDigest::of(key.as_bytes()));
        let caller_workspace =
            caller_workspace.map(|caller_workspace| &*registry.rule(caller_workspace).name);
        assert_eq!(caller_workspace, name, "{key}");
    }
}

#[test]
fn a_table_accepts_ten_thousand_workspaces() {
    let workspaces = (0..10_000).map(|number| {
        let name = format!("w{number}");
        workspace(&name, &[&format!("a{number}"), &format!("b{number}")])
    });
    let table = RouteTable::check(draft(workspaces.collect())).expect("the draft is valid");
    let registry = table.workspaces().expect("the table has workspaces");
    let caller_workspace = registry
        .caller_workspace(KeyDigest::of(b"b9999"))
        .expect("the key is held by a workspace");
    assert_eq!(registry.rule(caller_workspace).name, "w9999");
}
