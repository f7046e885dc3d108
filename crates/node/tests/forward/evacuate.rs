//! Taking a failure domain out of use and back, on processes.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{ask, route_table, until, Deployment, Reply};

/// Time within which every entry obeys.
const OBEY_TIME: Duration = Duration::from_secs(2);

struct World {
    deployment: Deployment,
    shards: Vec<FakeShard>,
}

impl World {
    /// Two servers of a service, in a failure domain each.
    async fn start(block: u8) -> World {
        let deployment = Deployment::start(block);
        let mut shards = Vec::new();
        for (domain, letter) in [("here", b'h'), ("there", b't')] {
            let shard = FakeShard::start("desk", domain, letter).await;
            shards.push(shard.expect("a shard"));
        }
        deployment.put_first_table(&route_table(1));
        deployment.announce_all(shards.iter());
        World { deployment, shards }
    }

    fn order(&self, to: usize, method: &str, domain: &str) -> Option<Reply> {
        let path = format!("/v1/evacuations/{domain}");
        ask(self.deployment.front(to), method, &path, "", "")
    }

    fn order_until_taken(&self, to: usize, method: &str, domain: &str) {
        until(
            method,
            || self.order(to, method, domain),
            |reply| reply.status == 200,
        );
    }

    fn listed(&self, from: usize) -> String {
        let front = self.deployment.front(from);
        let reply = until(
            "list",
            || ask(front, "GET", "/v1/evacuations", "", ""),
            |reply| reply.status == 200,
        );
        String::from_utf8(reply.body).expect("text")
    }

    /// Asks each entry until it is answered by this letter's server alone, or
    /// by none, for a while.
    async fn obeys(&self, letter: Option<u8>, what: &str) {
        let begin = Instant::now();
        let mut good = 0;
        let mut number = 0;
        let mut last = None;
        while good < 12 {
            assert!(begin.elapsed() < OBEY_TIME * 5, "{what}: last {last:?}");
            number += 1;
            for entry in 3..5 {
                let id = format!("{what}-{number}-{entry}").replace(' ', "-");
                let reply = self.deployment.query(entry, "/d/x", &id);
                let is_good = reply.as_ref().is_some_and(|reply| match letter {
                    Some(letter) => reply.status == 200 && reply.body.contains(&letter),
                    None => reply.status == 503,
                });
                good = if is_good { good + 1 } else { 0 };
                last = reply;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn announce(&self) {
        self.deployment.announce_all(self.shards.iter());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_domain_out_of_use_gets_nothing_until_it_is_back_whoever_is_asked() {
    let mut world = World::start(31).await;
    world.order_until_taken(0, "POST", "here");
    world.order_until_taken(1, "POST", "here");
    world.obeys(Some(b't'), "one out").await;
    assert_eq!(world.listed(2), r#"{"evacuated":["here"]}"#);
    // All stop at once, and one comes back without its disk.
    for daemon in &mut world.deployment.daemons {
        daemon.kill();
    }
    std::fs::remove_dir_all(world.deployment.data_folder(1)).expect("removed");
    for number in 0..5 {
        world.deployment.write_settings(number, false);
        world.deployment.daemons[number].start();
    }
    assert_eq!(world.listed(0), r#"{"evacuated":["here"]}"#);
    world.announce().await;
    world.obeys(Some(b't'), "after a loss").await;
    world.order_until_taken(2, "POST", "there");
    world.obeys(None, "both out").await;
    world.order_until_taken(1, "DELETE", "there");
    world.order_until_taken(0, "DELETE", "there");
    world.obeys(Some(b't'), "one back").await;
    world.order_until_taken(0, "DELETE", "here");
    assert_eq!(world.listed(0), r#"{"evacuated":[]}"#);
}
