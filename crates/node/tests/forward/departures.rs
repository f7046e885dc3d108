//! Checks that an acknowledged departure of a server outlives a kill of all instances.

use std::time::Duration;

use wheelmast_fake::shard::FakeShard;

use crate::harness::{route_table, send_request, wait_until, Deployment};

/// Number of requests sent to both entries after the restart.
const REQUESTS: usize = 60;
/// Time between two of these requests. All of them take longer than the leases of servers
/// that are remembered.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Guards against requests to a server that has left: its departure was acknowledged right
/// before all instances were killed, and they had it in memory only. The list of live servers
/// on disk still had the server.
#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_departures_outlive_a_kill_of_all_instances() {
    let mut deployment = Deployment::start(35);
    deployment.put_first_table(&route_table(1));
    let mut desks = Vec::new();
    for letter in [b'd', b'w', b's'] {
        let desk = FakeShard::start("desk", "here", letter).await;
        desks.push(desk.expect("a server"));
    }
    let [draining, withdrawn, staying] = &desks[..] else {
        panic!("three servers");
    };
    deployment.announce_all(desks.iter());
    let is_on_disk = |number: usize| {
        let file = std::fs::read(deployment.data_folder(number).join("servers"));
        let text = String::from_utf8_lossy(&file.unwrap_or_default()).to_string();
        desks.iter().all(|desk| text.contains(&*desk.id))
    };
    wait_until(
        "all control instances have the servers on disk",
        || {
            let are_on_disk = (0..3).all(is_on_disk);
            are_on_disk.then(|| deployment.query(3, "/d/x", "before"))?
        },
        |reply| reply.status == 200,
    );
    wait_until(
        "the server is draining",
        || deployment.announce(draining, 1, true),
        |reply| reply.status == 200,
    );
    let path = format!("/v1/servers/{}", withdrawn.id);
    wait_until(
        "the server is withdrawn",
        || send_request(deployment.front_address(1), "DELETE", &path, "", ""),
        |reply| reply.status == 200,
    );
    deployment.kill_and_restart(0..5, None);
    let counts = || (draining.seen().len(), withdrawn.seen().len());
    let before = counts();
    let mut served = 0;
    for number in 0..REQUESTS {
        let reply = deployment.query(3 + number % 2, "/d/x", &format!("after{number}"));
        served += usize::from(reply.is_some_and(|reply| reply.status == 200));
        if number % 10 == 0 {
            deployment.announce(staying, 0, false);
        }
        std::thread::sleep(REQUEST_INTERVAL);
    }
    assert_eq!(counts(), before, "requests at servers that have left");
    assert!(served > REQUESTS / 2, "{served} served");
}
