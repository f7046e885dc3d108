//! Checks that an evacuated failure domain gets no requests until it is restored,
//! also when all instances restart and a disk is lost.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{route_table, send_request, wait_until, Deployment, Reply};

/// Time within which every entry should follow an evacuation order; the test allows
/// five times as long.
const ORDER_TIME: Duration = Duration::from_secs(2);

/// A deployment with one server of the service `desk` in each failure domain.
struct EvacuationCluster {
    deployment: Deployment,
    shards: Vec<FakeShard>,
}

impl EvacuationCluster {
    /// Starts the deployment and both servers, and announces the servers.
    async fn start(address_block: u8) -> EvacuationCluster {
        let deployment = Deployment::start(address_block);
        let mut shards = Vec::new();
        for (domain, letter) in [("here", b'h'), ("there", b't')] {
            let shard = FakeShard::start("desk", domain, letter).await;
            shards.push(shard.expect("a shard"));
        }
        deployment.put_first_table(&route_table(1));
        deployment.announce_all(shards.iter());
        EvacuationCluster { deployment, shards }
    }

    /// Sends an evacuation order (`POST`) or its withdrawal (`DELETE`) to a control
    /// instance.
    fn send_order(&self, to: usize, method: &str, domain: &str) -> Option<Reply> {
        let path = format!("/v1/evacuations/{domain}");
        send_request(self.deployment.front_address(to), method, &path, "", "")
    }

    /// Sends an order to a control instance until it is accepted.
    fn order_until_accepted(&self, to: usize, method: &str, domain: &str) {
        wait_until(
            method,
            || self.send_order(to, method, domain),
            |reply| reply.status == 200,
        );
    }

    /// Returns the list of evacuated failure domains of a control instance.
    fn evacuation_list(&self, from: usize) -> String {
        let front = self.deployment.front_address(from);
        let reply = wait_until(
            "list",
            || send_request(front, "GET", "/v1/evacuations", "", ""),
            |reply| reply.status == 200,
        );
        String::from_utf8(reply.body).expect("text")
    }

    /// Sends requests to both entries until 12 responses in a row come from the server
    /// of this letter, or are refusals if there is no letter.
    async fn wait_until_order_followed(&self, letter: Option<u8>, label: &str) {
        let begin = Instant::now();
        let mut expected_in_a_row = 0;
        let mut number = 0;
        let mut last = None;
        while expected_in_a_row < 12 {
            assert!(begin.elapsed() < ORDER_TIME * 5, "{label}: last {last:?}");
            number += 1;
            for entry in 3..5 {
                let id = format!("{label}-{number}-{entry}").replace(' ', "-");
                let reply = self.deployment.query(entry, "/d/x", &id);
                let is_expected = reply.as_ref().is_some_and(|reply| match letter {
                    Some(letter) => reply.status == 200 && reply.body.contains(&letter),
                    None => reply.status == 503,
                });
                expected_in_a_row = if is_expected {
                    expected_in_a_row + 1
                } else {
                    0
                };
                last = reply;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Announces both servers.
    async fn announce(&self) {
        self.deployment.announce_all(self.shards.iter());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_failure_domain_gets_no_requests_until_it_is_restored() {
    let mut cluster = EvacuationCluster::start(31).await;
    cluster.order_until_accepted(0, "POST", "here");
    cluster.order_until_accepted(1, "POST", "here");
    cluster
        .wait_until_order_followed(Some(b't'), "one out")
        .await;
    assert_eq!(cluster.evacuation_list(2), r#"{"evacuated":["here"]}"#);
    // All instances are killed at once, and one control instance loses its disk.
    for daemon in &mut cluster.deployment.daemons {
        daemon.kill();
    }
    std::fs::remove_dir_all(cluster.deployment.data_folder(1)).expect("the data folder is removed");
    for number in 0..5 {
        cluster.deployment.write_settings(number, false);
        cluster.deployment.daemons[number].start();
    }
    assert_eq!(cluster.evacuation_list(0), r#"{"evacuated":["here"]}"#);
    cluster.announce().await;
    cluster
        .wait_until_order_followed(Some(b't'), "after a loss")
        .await;
    cluster.order_until_accepted(2, "POST", "there");
    cluster.wait_until_order_followed(None, "both out").await;
    cluster.order_until_accepted(1, "DELETE", "there");
    cluster.order_until_accepted(0, "DELETE", "there");
    cluster
        .wait_until_order_followed(Some(b't'), "one back")
        .await;
    cluster.order_until_accepted(0, "DELETE", "here");
    assert_eq!(cluster.evacuation_list(0), r#"{"evacuated":[]}"#);
}
