//! Checks roll-outs of a server version: which orders are accepted, which version
//! serves requests, and that a roll-out goes on when a control instance is killed.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{route_table, send_request, wait_until, Deployment, Reply};

/// Duration in milliseconds that each order allows for its roll-out.
const DURATION_MS: u64 = 5000;

/// A deployment with two servers of the service `desk`: `old` announces version `v1`,
/// `new` version `v2`.
struct RolloutCluster {
    deployment: Deployment,
    old: FakeShard,
    new: FakeShard,
}

impl RolloutCluster {
    async fn start(address_block: u8) -> RolloutCluster {
        let deployment = Deployment::start(address_block);
        let old = FakeShard::start("desk", "here", b'o').await;
        let new = FakeShard::start("desk", "here", b'n').await;
        let cluster = RolloutCluster {
            deployment,
            old: old.expect("a shard"),
            new: new.expect("a shard"),
        };
        cluster.deployment.put_first_table(&route_table(1));
        cluster.announce();
        cluster
    }

    /// Announces both servers with their versions, each to the first control instance
    /// that responds.
    fn announce(&self) {
        for (shard, version) in [(&self.old, "v1"), (&self.new, "v2")] {
            let (path, body) = shard.announcement(false);
            let body = body.replacen('{', &format!("{{\"version\":\"{version}\","), 1);
            let send = || {
                (0..3).find_map(|to| {
                    send_request(self.deployment.front_address(to), "PUT", &path, "", &body)
                })
            };
            wait_until("the announcement is accepted", send, |reply| {
                reply.status == 200
            });
        }
    }

    /// Sends the order to roll out a version to a control instance.
    fn send_order(&self, to: usize, service: &str, version: &str) -> Option<Reply> {
        let body = format!(
            r#"{{"service":"{service}","version":"{version}","duration_ms":{DURATION_MS}}}"#
        );
        send_request(
            self.deployment.front_address(to),
            "POST",
            "/v1/rollouts",
            "",
            &body,
        )
    }

    /// Sends the order for the service `desk` to a control instance until it is
    /// accepted.
    fn order_until_accepted(&self, to: usize, version: &str) {
        let order = || self.send_order(to, "desk", version);
        wait_until("the order is accepted", order, |reply| reply.status == 200);
    }

    /// Sends requests until a control instance reports that the roll-out has completed
    /// or was rolled back, and returns that report. Panics if a request is not served.
    async fn send_requests_until_over(&self, from: usize) -> String {
        let begin = Instant::now();
        let mut number = 0;
        loop {
            assert!(
                begin.elapsed() < Duration::from_millis(DURATION_MS * 3),
                "the roll-out is not over"
            );
            for _ in 0..10 {
                number += 1;
                let id = format!("r{number}");
                let reply = self.deployment.query(3 + number % 2, "/d/x", &id);
                let status = reply.map(|reply| reply.status);
                assert_eq!(status, Some(200), "request {number}");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            self.announce();
            let path = "/v1/rollouts/desk";
            let reply = send_request(self.deployment.front_address(from), "GET", path, "", "");
            let text = reply.filter(|reply| reply.status == 200);
            let text = text.map(|reply| String::from_utf8_lossy(&reply.body).to_string());
            if let Some(text) =
                text.filter(|text| text.contains("completed") || text.contains("rolled_back"))
            {
                return text;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_is_completed_although_a_control_instance_is_killed() {
    let mut cluster = RolloutCluster::start(42).await;
    wait_until(
        "a request is served",
        || cluster.deployment.query(3, "/d/x", "first"),
        |reply| reply.status == 200,
    );
    cluster.order_until_accepted(0, "v2");
    cluster.order_until_accepted(1, "v2");
    let cases = [
        ("another version during a roll-out", "desk", "v3", 409),
        ("an unknown service", "nothing", "v2", 404),
        ("no version", "desk", "", 400),
    ];
    for (name, service, version, status) in cases {
        let reply = cluster.send_order(2, service, version).expect(name);
        assert_eq!(reply.status, status, "{name}");
    }
    cluster.deployment.daemons[0].kill();
    let final_report = cluster.send_requests_until_over(1).await;
    assert_eq!(final_report, r#"{"state":"completed","version":"v2"}"#);
    // Entries send nothing more to the old server, so that it could stop now.
    let old_requests = cluster.old.seen().len();
    for number in 0..20 {
        let id = format!("after-{number}");
        let reply = cluster.deployment.query(3 + number % 2, "/d/x", &id);
        assert_eq!(reply.map(|reply| reply.status), Some(200));
    }
    assert_eq!(cluster.old.seen().len(), old_requests);
    // The result of the roll-out is still known after all instances were killed at
    // once and restarted.
    for daemon in &mut cluster.deployment.daemons {
        daemon.kill();
    }
    for number in 0..5 {
        cluster.deployment.restart_instance(number);
    }
    let get_report = || {
        send_request(
            cluster.deployment.front_address(2),
            "GET",
            "/v1/rollouts/desk",
            "",
            "",
        )
    };
    let reply = wait_until(
        "the result is reported after the restart",
        get_report,
        |reply| reply.status == 200,
    );
    assert!(String::from_utf8_lossy(&reply.body).contains("completed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_not_ordered_gets_requests_and_a_rolled_back_one_none() {
    let cluster = RolloutCluster::start(43).await;
    // An entry that has just started refuses requests until it knows the servers.
    for entry in [3, 4] {
        wait_until(
            "the entry is ready",
            || {
                send_request(
                    cluster.deployment.balancer_address(entry),
                    "GET",
                    "/ready",
                    "",
                    "",
                )
            },
            |reply| reply.status == 200,
        );
    }
    cluster.order_until_accepted(1, "v9");
    // No server has version v9: the roll-out is rolled back in time, and the servers
    // of the other versions serve meanwhile.
    let final_report = cluster.send_requests_until_over(2).await;
    assert_eq!(final_report, r#"{"state":"rolled_back","version":"v9"}"#);
    assert!(!cluster.old.seen().is_empty() && !cluster.new.seen().is_empty());
}
