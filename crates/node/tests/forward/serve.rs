//! A route applied, a query gathered, a server that leaves, replicas that are
//! killed and lose their disk, an entry that ends, all ended at once.

use std::time::{Duration, Instant};

use wheelmast_fake::shard::FakeShard;

use crate::harness::{ask, route_table, until, Deployment, Reply, PATIENCE};

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_serves_through_changes_losses_and_restarts() {
    let mut deployment = Deployment::start(7);
    let deployed = &deployment;
    let table = route_table(5);
    deployed.put_first_table(&table);

    // Shards s0 and s1 stand here; s2 and s3 there, with the second entry.
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
    // A server is sent to the control instance of its own failure domain.
    let there = format!(r#""next":"{}""#, deployed.front(2));
    let cases = [
        (&shards[2], 0, there.as_str()),
        (&shards[2], 2, r#""next":null"#),
        (&shards[0], 0, r#""next":null"#),
    ];
    for (shard, to, next) in cases {
        until(
            next,
            || deployed.announce(shard, to, false),
            |reply| String::from_utf8_lossy(&reply.body).contains(next),
        );
    }
    for entry in [3, 4] {
        until(
            "ready",
            || ask(deployed.balancer(entry), "GET", "/ready", "", ""),
            |reply| reply.status == 200,
        );
    }

    let whole = until(
        "whole answer",
        || deployed.query(3, "/q/x?y=1", "r1"),
        |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
    );
    let letters: Vec<u8> = whole.body.chunks(16).map(|record| record[0]).collect();
    assert_eq!(letters, b"dddc", "the greatest four, greatest first");
    for shard in &shards {
        assert!(shard.seen().contains(&"r1".to_string()), "{}", shard.id);
    }

    // A lower version changes nothing; what is invalid is refused with its
    // findings; what is in force is read as it was sent.
    let lower = deployed.put_table(2, &route_table(4)).expect("an answer");
    assert_eq!(lower.status, 200);
    let bad = route_table(9).replace("\"service\": \"desk\"", "\"service\": \"dusk\"");
    let bad = deployed.put_table(2, &bad).expect("an answer");
    assert_eq!(bad.status, 400);
    assert!(String::from_utf8_lossy(&bad.body).contains("did you mean \"desk\""));
    let read = until(
        "read",
        || deployed.get_table(2),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&read.body), table);

    // A server that leaves gets nothing more.
    until(
        "drained",
        || deployed.announce(&desks[0], 1, true),
        |reply| reply.status == 200,
    );
    std::thread::sleep(Duration::from_millis(300));
    let before = desks[0].seen().len();
    for number in 0..10 {
        let reply = deployed
            .query(3, "/d/x", &format!("d{number}"))
            .expect("an answer");
        assert_eq!(reply.status, 200);
    }
    assert_eq!(desks[0].seen().len(), before);
    assert_eq!(desks[1].seen().len(), 10);

    // Its log holds 64 KB in a pipe and no more; requests go on all the same.
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

    // One replica is killed, another loses its disk: nothing is lost.
    deployment.daemons[0].kill();
    let newer = route_table(8);
    until(
        "change without one",
        || deployment.put_table(1, &newer),
        |reply| reply.status == 200,
    );
    deployment.daemons[0].start();
    until(
        "it is back",
        || deployment.get_table(0),
        |reply| reply.status == 200,
    );
    std::thread::sleep(Duration::from_millis(500));
    deployment.daemons[1].kill();
    std::fs::remove_dir_all(deployment.data_folder(1)).expect("removed");
    deployment.write_settings(1, false);
    deployment.daemons[1].start();
    let read = until(
        "read after a lost disk",
        || deployment.get_table(1),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&read.body), newer);
    std::thread::sleep(Duration::from_millis(1500));
    deployment.daemons[2].kill();
    let read = until(
        "read with the new one",
        || deployment.get_table(1),
        |reply| reply.status == 200,
    );
    assert_eq!(String::from_utf8_lossy(&read.body), newer);

    // An entry that ends is not ready, serves on for a while, and ends.
    deployment.daemons[4].terminate();
    until(
        "not ready",
        || ask(deployment.balancer(4), "GET", "/ready", "", ""),
        |reply| reply.status == 503,
    );
    let last = deployment.query(4, "/q/x", "last").expect("an answer");
    assert_eq!(last.status, 200);
    assert!(last.head.contains("connection: close"));
    let mut child = deployment.daemons[4].child.take().expect("it runs");
    let begin = Instant::now();
    while child.try_wait().expect("a child").is_none() {
        assert!(
            begin.elapsed() < PATIENCE,
            "{} ends",
            deployment.daemons[4].name
        );
        std::thread::sleep(Duration::from_millis(50));
    }

    // The other one asks all shards from here.
    let reply = until(
        "served by the other",
        || deployment.query(3, "/q/x", "after"),
        |reply| reply.status == 200 && reply.head.contains("wheelmast-missing: 0"),
    );
    assert_eq!(reply.body.len(), 64);
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_are_known_again_before_they_announce_themselves() {
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
    let is_whole = |reply: &Reply| reply.status == 200 && reply.head.contains("missing: 0");
    until("whole", || deployed.query(3, "/q/x", "before"), is_whole);
    until(
        "servers kept by all",
        || {
            let mut folders = (0..3).map(|number| deployed.data_folder(number).join("servers"));
            let kept =
                folders.all(|file| std::fs::metadata(file).is_ok_and(|file| file.len() > 100));
            kept.then(|| ask(deployed.front(0), "GET", "/ready", "", ""))?
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
    until(
        "whole again",
        || deployed.query(3, "/q/x", "after"),
        is_whole,
    );
}
