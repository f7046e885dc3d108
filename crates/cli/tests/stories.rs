//! Tests the log of one request merged from several processes, and the differences between two route
//! tables that `wheelmast route plan` prints.

use std::path::Path;

use wheelmast_cli::cmd::route::describe_changes;
use wheelmast_cli::cmd::stories::read_request_log;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};

/// Log of the first process, which received the requests `r1` and `r2`.
const ENTRY: &str = r#"{"timestamp":"2026-01-01T00:00:01Z","level":"INFO","message":"route: admitted","request":"r1","route":"q","table_version":5,"target":"entry"}
{"timestamp":"2026-01-01T00:00:01Z","level":"INFO","message":"route: admitted","request":"r2","route":"q"}
{"timestamp":"2026-01-01T00:00:03Z","level":"INFO","message":"route: ended","request":"r1","outcome":"partial","missing":1}
"#;
/// Log of the second process, with a line that is not JSON.
const OTHER: &str = r#"{"timestamp":"2026-01-01T00:00:02Z","level":"INFO","message":"route: sent","request":"r1","cause":"first"}
not a line of a log r1
"#;

#[test]
fn the_log_of_a_request_is_merged_in_time_order() {
    let folder = tempfile::TempDir::new().expect("temporary folder");
    std::fs::write(folder.path().join("entry-1.log"), ENTRY).expect("write log");
    std::fs::write(folder.path().join("entry-2.log"), OTHER).expect("write log");
    let request_log = read_request_log("r1", folder.path()).expect("request log");
    let log_lines: Vec<(&str, &str)> = request_log
        .iter()
        .map(|line| (&*line.process, &*line.text))
        .collect();
    let expected = [
        ("entry-1", "route: admitted route=q table_version=5"),
        ("entry-2", "route: sent cause=first"),
        ("entry-1", "route: ended missing=1 outcome=partial"),
    ];
    assert_eq!(log_lines, expected);
    let error = read_request_log("r9", folder.path()).expect_err("no line for the request");
    assert!(error.to_string().contains("could not find request r9"));
    assert!(read_request_log("r1", Path::new("/nowhere")).is_err());
}

/// Returns a route table with this version and these routes, given as JSON.
fn table(version: u64, routes: &str) -> RouteTable {
    let text = format!(
        r#"{{"version": {version}, "services": [{{"name": "s", "connections": 1}}], "routes": [{routes}]}}"#
    );
    let draft: RouteDraft = serde_json::from_str(&text).expect("route draft");
    RouteTable::check(draft).expect("valid route table")
}

/// Returns the JSON of a route with this prefix and number of attempts.
fn route(prefix: &str, attempts: u32) -> String {
    format!(
        r#"{{"name": "r", "host": "h", "prefix": "{prefix}", "idempotent": true, "rank": 0,
          "time_limit_ms": 1, "objective_ms": 1, "attempts": {attempts},
          "target": {{"service": "s"}}}}"#
    )
}

#[test]
fn a_plan_lists_added_changed_and_removed_routes() {
    let old = table(
        1,
        &[route("/a/", 1), route("/b/", 1), route("/c/", 1)].join(","),
    );
    let new = table(
        2,
        &[route("/a/", 1), route("/b/", 2), route("/d/", 1)].join(","),
    );
    let marks: Vec<String> = describe_changes(&old, &new)
        .iter()
        .map(|line| line.chars().take(6).collect())
        .collect();
    assert_eq!(marks, ["~ h/b/", "+ h/d/", "- h/c/"]);
}
