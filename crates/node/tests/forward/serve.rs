//! Runs a deployment through its usual events: a route table is applied, queries are
//! gathered, a server drains, replicas are killed and lose a disk, an entry shuts
//! down, and all instances are killed at once.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{route_table, send_request, wait_until, Deployment, Reply, TEST_TIMEOUT};

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_serves_through_changes_losses_and_restarts() {
    let mut deployment = Deployment::start(7);
    let deployed = &deployment;
    let table = route_table(5);
    deployed.put_first_table(&table);

    // The servers of s0 and s1 are in the failure domain `here`; those of s2 and s3
    // are in `there`, as is the second entry.
    let mut shards = Vec::new();
    for (number, letter) in [b'a', b'c', b'b', b'd'].into_iter().enumerate() {
        let domain = if number < 2 { "here" } else { "there" };
        let shard = FakeShard::start(&format!("s{number}"), domain, letter).await;
        shards.push(shard.expect("a shard"));
    }
    let desks = [
        FakeShard::start("desk", "here", b'x')
            .await
            .expect("a desk"),
        FakeShard::start("desk", "here", b'x')
            .await
            .expect("a desk"),
    ];
    deployed.announce_all(shards.iter().chain(&desks));
    // The response to an announcement refers the server to the control instance of
    // its own failure domain.
    let referral = format!(r#""next":"{}""#, deployed.front_address(2));
    let cases = [
        (&shards[2], 0, referral.as_str()),
        (&shards[2], 2, r#""next":null"#),
        (&shards[0], 0, r#""next":null"#),
    ];
    for (shard, to, next) in cases {
        wait_until(
            next,
            || deployed.announce(shard, to, false),
            |reply| String::from_utf8_lossy(&reply.body).contains(next),
        );
    }
    for entry in [3, 4] {
        wait_until(
            "the entry is ready",
            || send_request(deployed.balancer_address(entry), "GET", "/ready", "", ""),
            |reply| reply.status == 200,
        );
    }

    let gathered = wait_until(
        "a response from all shards",
        || deployed.query(3, "/q/x?y=1", "r1"),
        |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
    );
    let letters: Vec<u8> = gathered.body.chunks(16).map(|record| record[0]).collect();
    assert_eq!(
        letters, b"dddc",
        "the four greatest records, in descending order"
    );
    for shard in &shards {
        assert!(shard.seen().contains(&"r1".to_string()), "{}", shard.id);
    }

    // A table of a lower version changes nothing. An invalid table is refused with the
    // errors that were found. The current table is returned as it was sent.
    let lower_reply = deployed.put_table(2, &route_table(4)).expect("an answer");
    assert_eq!(lower_reply.status, 200);
    let invalid_table = route_table(9).replace("\"service\": \"desk\"", "\"service\": \"dusk\"");
    let invalid_reply = deployed.put_table(2, &invalid_table).expect("an answer");
    assert_eq!(invalid_reply.status, 400);
    assert!(String::from_utf8_lossy(&invalid_reply.body).contains("did you mean \"desk\""));
    let reply = wait_until(
        "the table is read",
        || deployed.get_table(2),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&reply.body), table);

    // A draining server gets no more requests.
    wait_until(
        "the server is draining",
        || deployed.announce(&desks[0], 1, true),
        |reply| reply.status == 200,
    );
    std::thread::sleep(Duration::from_millis(300));
    let requests_before = desks[0].seen().len();
    for number in 0..10 {
        let reply = deployed
            .query(3, "/d/x", &format!("d{number}"))
            .expect("an answer");
        assert_eq!(reply.status, 200);
    }
    assert_eq!(desks[0].seen().len(), requests_before);
    assert_eq!(desks[1].seen().len(), 10);

    // The log of the first entry goes to a pipe that nobody reads and that holds 64 KB.
    // Requests must be served although the log cannot be written.
    let begin = Instant::now();
    for number in 0..300 {
        let reply = deployed.query(3, "/q/x", &format!("flood{number}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert!(
        begin.elapsed() < Duration::from_secs(10),
        "{:?}",
        begin.elapsed()
    );

    // The table survives when one replica is killed and another loses its disk.
    deployment.daemons[0].kill();
    let newer_table = route_table(8);
    wait_until(
        "a change without n0 is accepted",
        || deployment.put_table(1, &newer_table),
        |reply| reply.status == 200,
    );
    deployment.daemons[0].start();
    wait_until(
        "n0 is back and returns the table",
        || deployment.get_table(0),
        |reply| reply.status == 200,
    );
    std::thread::sleep(Duration::from_millis(500));
    deployment.daemons[1].kill();
    std::fs::remove_dir_all(deployment.data_folder(1)).expect("the data folder is removed");
    deployment.write_settings(1, false);
    deployment.daemons[1].start();
    let reply = wait_until(
        "n1 returns the table after the loss of its disk",
        || deployment.get_table(1),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&reply.body), newer_table);
    std::thread::sleep(Duration::from_millis(1500));
    deployment.daemons[2].kill();
    let reply = wait_until(
        "n1 returns the table without n2",
        || deployment.get_table(1),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&reply.body), newer_table);

    // An entry that shuts down reports that it is not ready, serves for a grace period
    // and then exits.
    deployment.daemons[4].terminate();
    wait_until(
        "the entry is not ready",
        || send_request(deployment.balancer_address(4), "GET", "/ready", "", ""),
        |reply| reply.status == 503,
    );
    let last_reply = deployment.query(4, "/q/x", "last").expect("an answer");
    assert_eq!(last_reply.status, 200);
    assert!(last_reply.head.contains("connection: close"));
    let mut child = deployment.daemons[4]
        .child
        .take()
        .expect("the process runs");
    let begin = Instant::now();
    while child
        .try_wait()
        .expect("the state of the process")
        .is_none()
    {
        assert!(
            begin.elapsed() < TEST_TIMEOUT,
            "{} did not exit in time",
            deployment.daemons[4].name
        );
        std::thread::sleep(Duration::from_millis(50));
    }

    // The other entry sends to the servers of all shards itself.
    let reply = wait_until(
        "all shards are served by the other entry",
        || deployment.query(3, "/q/x", "after"),
        |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
    );
    assert_eq!(reply.body.len(), 64);
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_are_known_after_a_restart_before_they_announce_themselves() {
    let mut deployment = Deployment::start(8);
    let deployed = &deployment;
    let table = route_table(5);
    deployed.put_first_table(&table);
    let mut shards = Vec::new();
    for number in 0..4 {
        let shard = FakeShard::start(&format!("s{number}"), "here", b'a').await;
        shards.push(shard.expect("a shard"));
    }
    deployed.announce_all(shards.iter());
    let is_complete = |reply: &Reply| reply.status == 200 && reply.head.contains("missing: 0");
    wait_until(
        "all shards answer",
        || deployed.query(3, "/q/x", "before"),
        is_complete,
    );
    wait_until(
        "all control instances have stored the servers",
        || {
            let mut folders = (0..3).map(|number| deployed.data_folder(number).join("servers"));
            let are_stored =
                folders.all(|file| std::fs::metadata(file).is_ok_and(|file| file.len() > 100));
            are_stored.then(|| send_request(deployed.front_address(0), "GET", "/ready", "", ""))?
        },
        |reply| reply.status == 200,
    );
    for number in 0..5 {
        deployment.daemons[number].kill();
        deployment.write_settings(number, false);
    }
    for daemon in &mut deployment.daemons {
        daemon.start();
    }
    let deployed = &deployment;
    wait_until(
        "all shards answer after the restart",
        || deployed.query(3, "/q/x", "after"),
        is_complete,
    );
}
