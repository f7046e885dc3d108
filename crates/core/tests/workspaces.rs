//! Workspaces of a route table: what is refused, and that keys stay secret.

use wheelmast_core::version::route_table::{CallerLimits, RouteDraft, RouteTable};
use wheelmast_core::version::workspace::{
    CallerKey, KeyDigest, UsageCap, WorkspaceRule, MAX_KEY_BYTES,
};

fn workspace(name: &str, keys: &[&str]) -> WorkspaceRule {
    WorkspaceRule {
        name: name.to_string(),
        keys: keys.iter().map(|key| CallerKey::new(*key)).collect(),
        rank: None,
        cap: None,
        allowed_regions: Vec::new(),
    }
}

fn draft(workspaces: Vec<WorkspaceRule>) -> RouteDraft {
    RouteDraft {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits::default(),
        workspaces: Some(workspaces),
    }
}

struct BadCase {
    name: &'static str,
    workspaces: Vec<WorkspaceRule>,
    finding: &'static str,
}

fn bad_cases() -> Vec<BadCase> {
    let case = |name, workspaces, finding| BadCase {
        name,
        workspaces,
        finding,
    };
    let long = "k".repeat(MAX_KEY_BYTES + 1);
    let negative = WorkspaceRule {
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
            vec![workspace("north", &[&long])],
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
            vec![negative],
            "row 1, workspaces.cap: must not be negative",
        ),
    ]
}

#[test]
fn bad_workspaces_are_refused_with_one_finding_that_names_no_key() {
    for case in bad_cases() {
        let refused = RouteTable::check(draft(case.workspaces)).expect_err(case.name);
        let text = refused.to_string();
        assert_eq!(text.trim(), case.finding, "{}", case.name);
        assert!(!text.contains("secret"), "{}: {text}", case.name);
    }
}

#[test]
fn a_key_finds_its_workspace_and_is_never_displayed() {
    let draft = draft(vec![
        workspace("north", &["first-secret", "second-secret"]),
        workspace("south", &["third-secret"]),
    ]);
    assert!(!format!("{draft:?}").contains("secret"));
    let table = RouteTable::check(draft).expect("it is good");
    assert!(!format!("{table:?}").contains("secret"));
    let book = table.workspaces().expect("it has workspaces");
    let cases = [
        ("first-secret", Some("north")),
        ("second-secret", Some("north")),
        ("third-secret", Some("south")),
        ("first-secre", None),
        ("first-secret ", None),
        ("", None),
    ];
    for (key, name) in cases {
        let caller_workspace = book.caller_workspace(KeyDigest::of(key.as_bytes()));
        let caller_workspace =
            caller_workspace.map(|caller_workspace| &*book.rule(caller_workspace).name);
        assert_eq!(caller_workspace, name, "{key}");
    }
}

#[test]
fn ten_thousand_workspaces_are_taken() {
    let many = (0..10_000).map(|number| {
        let name = format!("w{number}");
        workspace(&name, &[&format!("a{number}"), &format!("b{number}")])
    });
    let table = RouteTable::check(draft(many.collect())).expect("it is good");
    let book = table.workspaces().expect("it has workspaces");
    let caller_workspace = book
        .caller_workspace(KeyDigest::of(b"b9999"))
        .expect("it is held");
    assert_eq!(book.rule(caller_workspace).name, "w9999");
}
