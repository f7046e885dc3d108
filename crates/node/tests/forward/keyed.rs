//! Checks that the key with which a caller proves its workspace stays in the entry:
//! the key reaches neither servers nor logs.

use std::time::Duration;

use wheelmast_fake::shard::FakeShard;

use crate::harness::{route_table, send_request, wait_until, Deployment, Reply};

/// Key of the workspace `north`.
const KEY: &str = "a-key-that-nobody-else-may-see";

/// Returns the table of [`route_table`] with a workspace `north` that has this key.
fn keyed_table(version: u64, key: &str) -> String {
    let table = route_table(version);
    let open_table = table.trim_end().trim_end_matches('}');
    format!(r#"{open_table}, "workspaces": [{{"name": "north", "keys": ["{key}"]}}]}}"#)
}

/// Sends a request with these header lines to an entry.
fn query(deployment: &Deployment, entry: usize, lines: &str, id: &str) -> Option<Reply> {
    let lines = format!("wheelmast-request: {id}\r\nwheelmast-time-left-ms: 2000\r\n{lines}");
    send_request(deployment.front_address(entry), "GET", "/q/x", &lines, "")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reaches_no_server_or_log_and_is_refused_once_removed() {
    let deployment = Deployment::start(41);
    deployment.put_first_table(&keyed_table(1, KEY));
    let mut shards = Vec::new();
    for number in 0..4 {
        let shard = FakeShard::start(&format!("s{number}"), "here", b'a').await;
        shards.push(shard.expect("a shard"));
    }
    deployment.announce_all(shards.iter());
    let key_line = format!("Wheelmast-Key: {KEY}\r\n");
    wait_until(
        "served with the key",
        || query(&deployment, 3, &key_line, "first"),
        |reply| reply.status == 200 && reply.head.contains("missing: 0"),
    );
    let cases = [
        ("no key", String::new(), 401),
        ("an unknown key", "wheelmast-key: another\r\n".to_string(), 401),
        ("the key twice", format!("{key_line}{key_line}"), 401),
        ("a name without a key", "wheelmast-workspace: north\r\n".to_string(), 401),
        (
            "names of others",
            format!("{key_line}wheelmast-workspace: south\r\nWHEELMAST_WORKSPACE: south\r\nwheelmast_key: {KEY}\r\n"),
            200,
        ),
    ];
    for (name, lines, status) in cases {
        let id = name.replace(' ', "-");
        let reply = query(&deployment, 3, &lines, &id).expect(name);
        assert_eq!(reply.status, status, "{name}");
        let reached_a_server = shards.iter().any(|shard| shard.seen().contains(&id));
        assert_eq!(reached_a_server, status == 200, "{name}");
    }
    for head in shards.iter().flat_map(FakeShard::heads) {
        assert!(!head.contains(KEY), "{head}");
        let workspace_lines: Vec<&str> = head
            .lines()
            .filter(|line| line.contains("workspace"))
            .collect();
        assert_eq!(workspace_lines, ["wheelmast-workspace: north"], "{head}");
    }
    wait_until(
        "the key is removed",
        || {
            let table = keyed_table(2, "another-key");
            send_request(deployment.front_address(0), "PUT", "/v1/routes", "", &table)
        },
        |reply| reply.status == 200,
    );
    for entry in [3, 4] {
        wait_until(
            "the removed key is refused",
            || query(&deployment, entry, &key_line, "last"),
            |reply| reply.status == 401,
        );
    }
    std::thread::sleep(Duration::from_millis(300));
    for number in [0, 1, 2, 4] {
        assert!(!deployment.log(number).contains(KEY), "log of n{number}");
    }
}
