//! Checks that servers which close the connection in place of an answer are told apart
//! from servers that ended, with real connections.
//!
//! Each lost answer once counted as a crash of the server, so that harmless requests
//! became suspects and their lost parts were not sent to another server.

use std::time::Duration;

use wheelmast_fake::fragile::FragileShard;

use crate::fragile::announce_running_shards;
use crate::harness::{route_table, wait_until, Deployment};

/// Index of the entry whose log is read, and its failure domain.
const ENTRY: usize = 4;
const ENTRY_DOMAIN: &str = "there";
/// Requests of which each loses the answers of all servers in the entry's domain.
const REQUESTS: usize = 6;

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_are_sent_elsewhere_and_make_no_suspects() {
    let deployment = Deployment::start(46);
    deployment.put_first_table(&route_table(3));
    let mut servers = Vec::new();
    for number in 0..4 {
        for domain in ["here", ENTRY_DOMAIN] {
            let service = format!("s{number}");
            let server = FragileShard::start(&service, domain, "deadly", Duration::ZERO).await;
            let server = server.expect("a server");
            if domain == ENTRY_DOMAIN {
                server.lose_answers("lossy");
            }
            servers.push(server);
        }
    }
    let control = [0, 1, 2].map(|number| deployment.front_address(number));
    let query_all = |path: &str, id: &str| {
        announce_running_shards(&servers, &control);
        wait_until(
            path,
            || deployment.query(ENTRY, path, id),
            |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
        );
    };
    query_all("/q/plain", "plain");
    for number in 0..REQUESTS {
        query_all(&format!("/q/lossy-{number}"), &format!("lossy-{number}"));
    }
    // The log is written by a thread of its own.
    std::thread::sleep(Duration::from_millis(300));
    let log = deployment.log(ENTRY);
    let verdicts = log
        .lines()
        .filter(|line| line.contains("server_end: decided"));
    let verdicts: Vec<&str> = verdicts.collect();
    assert!(!verdicts.is_empty(), "servers lost answers");
    for line in verdicts {
        assert!(line.contains("\"alive\""), "{line}");
    }
    for number in 0..3 {
        let log = deployment.log(number);
        assert!(!log.contains("request: suspect"), "n{number}: {log}");
    }
}
