//! Keys of callers, on processes: a key goes no further than the entry.

use std::time::Duration;

use wheelmast_fake::shard::FakeShard;

use crate::harness::{ask, route_table, until, Deployment, Reply};

const KEY: &str = "a-key-that-nobody-else-may-see";

/// The table of [`route_table`] with a workspace that holds this key.
fn keyed_table(version: u64, key: &str) -> String {
    let plain = route_table(version);
    let plain = plain.trim_end().trim_end_matches('}');
    format!(r#"{plain}, "workspaces": [{{"name": "north", "keys": ["{key}"]}}]}}"#)
}

fn query(deployment: &Deployment, entry: usize, lines: &str, id: &str) -> Option<Reply> {
    let lines = format!("wheelmast-request: {id}\r\nwheelmast-time-left-ms: 2000\r\n{lines}");
    ask(deployment.front(entry), "GET", "/q/x", &lines, "")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_reaches_no_server_and_no_log_and_one_taken_away_opens_nothing() {
    let deployment = Deployment::start(41);
    deployment.put_first_table(&keyed_table(1, KEY));
    let mut shards = Vec::new();
    for number in 0..4 {
        let shard = FakeShard::start(&format!("s{number}"), "here", b'a').await;
        shards.push(shard.expect("a shard"));
    }
    deployment.announce_all(shards.iter());
    let good = format!("Wheelmast-Key: {KEY}\r\n");
    until(
        "served with the key",
        || query(&deployment, 3, &good, "first"),
        |reply| reply.status == 200 && reply.head.contains("missing: 0"),
    );
    let cases = [
        ("no key", String::new(), 401),
        ("an unknown key", "wheelmast-key: another\r\n".to_string(), 401),
        ("the key twice", format!("{good}{good}"), 401),
        ("a name without a key", "wheelmast-workspace: north\r\n".to_string(), 401),
        (
            "names of others",
            format!("{good}wheelmast-workspace: south\r\nWHEELMAST_WORKSPACE: south\r\nwheelmast_key: {KEY}\r\n"),
            200,
        ),
    ];
    for (name, lines, status) in cases {
        let id = name.replace(' ', "-");
        let reply = query(&deployment, 3, &lines, &id).expect(name);
        assert_eq!(reply.status, status, "{name}");
        let has_run = shards.iter().any(|shard| shard.seen().contains(&id));
        assert_eq!(has_run, status == 200, "{name}");
    }
    for head in shards.iter().flat_map(FakeShard::heads) {
        assert!(!head.contains(KEY), "{head}");
        let told: Vec<&str> = head
            .lines()
            .filter(|line| line.contains("workspace"))
            .collect();
        assert_eq!(told, ["wheelmast-workspace: north"], "{head}");
    }
    until(
        "taken away",
        || {
            let table = keyed_table(2, "another-key");
            ask(deployment.front(0), "PUT", "/v1/routes", "", &table)
        },
        |reply| reply.status == 200,
    );
    for entry in [3, 4] {
        until(
            "refused",
            || query(&deployment, entry, &good, "last"),
            |reply| reply.status == 401,
        );
    }
    std::thread::sleep(Duration::from_millis(300));
    for number in [0, 1, 2, 4] {
        assert!(!deployment.log(number).contains(KEY), "log of n{number}");
    }
}
