//! Roll-outs on processes: orders, a control instance that ends meanwhile, and
//! which version answers.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{ask, route_table, until, Deployment, Reply};

/// Time that the roll-outs here may take.
const DURATION_MS: u64 = 5000;

struct World {
    deployment: Deployment,
    old: FakeShard,
    new: FakeShard,
}

impl World {
    async fn start(block: u8) -> World {
        let deployment = Deployment::start(block);
        let old = FakeShard::start("desk", "here", b'o').await;
        let new = FakeShard::start("desk", "here", b'n').await;
        let world = World {
            deployment,
            old: old.expect("a shard"),
            new: new.expect("a shard"),
        };
        world.deployment.put_first_table(&route_table(1));
        world.announce();
        world
    }

    /// Announces both servers, of a version each.
    fn announce(&self) {
        for (shard, version) in [(&self.old, "v1"), (&self.new, "v2")] {
            let (path, body) = shard.announcement(false);
            let body = body.replacen('{', &format!("{{\"version\":\"{version}\","), 1);
            let say =
                || (0..3).find_map(|to| ask(self.deployment.front(to), "PUT", &path, "", &body));
            until("announced", say, |reply| reply.status == 200);
        }
    }

    fn order(&self, to: usize, service: &str, version: &str) -> Option<Reply> {
        let body = format!(
            r#"{{"service":"{service}","version":"{version}","duration_ms":{DURATION_MS}}}"#
        );
        ask(self.deployment.front(to), "POST", "/v1/rollouts", "", &body)
    }

    fn order_until_taken(&self, to: usize, version: &str) {
        let order = || self.order(to, "desk", version);
        until("taken", order, |reply| reply.status == 200);
    }

    /// Makes requests until the roll-out is over as an instance tells it;
    /// returns its last word, and fails if a request is not served.
    async fn ask_until_over(&self, from: usize) -> String {
        let begin = Instant::now();
        let mut number = 0;
        loop {
            assert!(
                begin.elapsed() < Duration::from_millis(DURATION_MS * 3),
                "not over"
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
            let reply = ask(self.deployment.front(from), "GET", path, "", "");
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
async fn a_good_version_is_completed_although_a_control_instance_ends() {
    let mut world = World::start(42).await;
    until(
        "served",
        || world.deployment.query(3, "/d/x", "first"),
        |reply| reply.status == 200,
    );
    world.order_until_taken(0, "v2");
    world.order_until_taken(1, "v2");
    let cases = [
        ("another version meanwhile", "desk", "v3", 409),
        ("an unknown service", "nothing", "v2", 404),
        ("no version", "desk", "", 400),
    ];
    for (name, service, version, status) in cases {
        let reply = world.order(2, service, version).expect(name);
        assert_eq!(reply.status, status, "{name}");
    }
    world.deployment.daemons[0].kill();
    let over = world.ask_until_over(1).await;
    assert_eq!(over, r#"{"state":"completed","version":"v2"}"#);
    // The old servers may stop now: nothing more is sent to them.
    let before = world.old.seen().len();
    for number in 0..20 {
        let id = format!("after-{number}");
        let reply = world.deployment.query(3 + number % 2, "/d/x", &id);
        assert_eq!(reply.map(|reply| reply.status), Some(200));
    }
    assert_eq!(world.old.seen().len(), before);
    // All stop at once, and what came of it is known after that.
    for daemon in &mut world.deployment.daemons {
        daemon.kill();
    }
    for number in 0..5 {
        world.deployment.start_again(number);
    }
    let report = || {
        ask(
            world.deployment.front(2),
            "GET",
            "/v1/rollouts/desk",
            "",
            "",
        )
    };
    let reply = until("told again", report, |reply| reply.status == 200);
    assert!(String::from_utf8_lossy(&reply.body).contains("completed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_that_is_not_ordered_gets_requests_and_a_rolled_back_one_none() {
    let world = World::start(43).await;
    world.order_until_taken(1, "v9");
    // No server has that version: it is given up in time, and all others serve.
    let over = world.ask_until_over(2).await;
    assert_eq!(over, r#"{"state":"rolled_back","version":"v9"}"#);
    assert!(!world.old.seen().is_empty() && !world.new.seen().is_empty());
}
