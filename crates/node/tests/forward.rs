//! Entries and a control group as processes of their own, in the product's own
//! dialect: a route applied, a query gathered, a server that leaves, replicas
//! that are killed and lose their disk, an entry that ends.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use wheelmast_fake::shard::FakeShard;

/// Longest time that anything here may take.
const PATIENCE: Duration = Duration::from_secs(20);

/// A running `wheelmastd`; killed if the test ends early.
struct Daemon {
    name: String,
    child: Option<Child>,
    settings: PathBuf,
}

impl Daemon {
    fn start(&mut self) {
        let file = std::fs::File::create(self.settings.with_extension("log")).expect("a log");
        // Nobody reads the log of the first entry: no request may wait for it.
        let output = if self.name == "n3" {
            Stdio::piped()
        } else {
            Stdio::from(file)
        };
        let child = Command::new(env!("CARGO_BIN_EXE_wheelmastd"))
            .arg("--settings")
            .arg(&self.settings)
            .stdout(output)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("wheelmastd starts");
        self.child = Some(child);
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn terminate(&self) {
        let id = self.child.as_ref().expect("it runs").id().to_string();
        let status = Command::new("kill").args(["-TERM", &id]).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An HTTP answer.
#[derive(Debug)]
struct Reply {
    status: u16,
    head: String,
    body: Vec<u8>,
}

fn ask(to: SocketAddr, method: &str, path: &str, lines: &str, body: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n{lines}content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Reply {
        status,
        head,
        body: bytes[end..].to_vec(),
    })
}

/// Asks until the answer is as it should be.
fn until(
    what: &str,
    mut ask: impl FnMut() -> Option<Reply>,
    good: impl Fn(&Reply) -> bool,
) -> Reply {
    let begin = Instant::now();
    let mut last = None;
    while begin.elapsed() < PATIENCE {
        if let Some(reply) = ask() {
            if good(&reply) {
                return reply;
            }
            last = Some(reply);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{what}: last {last:?}");
}

struct Deployment {
    folder: TempDir,
    daemons: Vec<Daemon>,
    /// Third byte of its addresses; another one for each test.
    block: u8,
    ports: u16,
}

impl Deployment {
    /// Three control instances and two entries, at addresses of their own.
    fn start(block: u8) -> Deployment {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let ports = probe.local_addr().expect("an address").port();
        let mut deployment = Deployment {
            folder: TempDir::new().expect("a folder"),
            daemons: Vec::new(),
            block,
            ports,
        };
        for number in 0..5 {
            let settings = deployment.write_settings(number, true);
            let mut daemon = Daemon {
                name: format!("n{number}"),
                child: None,
                settings,
            };
            daemon.start();
            deployment.daemons.push(daemon);
        }
        deployment
    }

    fn address(&self, number: usize) -> IpAddr {
        IpAddr::from([127, 0, self.block, 10 + number as u8])
    }

    /// Listener for servers and operators of a control instance, or for
    /// callers of an entry.
    fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports)
    }

    /// Listener for the balancer.
    fn balancer(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports + 1)
    }

    fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    fn write_settings(&self, number: usize, first: bool) -> PathBuf {
        let address = self.address(number);
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.front(seed)))
            .collect();
        let seeds = seeds.join(", ");
        let (front, balancer) = (self.front(number), self.balancer(number));
        let role = if number < 3 {
            let data = self.data_folder(number);
            format!(
                r#""role": "control", "listen": {{"control": "{front}"}}, "data_folder": {data:?},"#
            )
        } else {
            format!(
                r#""role": "entry", "listen": {{"callers": "{front}", "ready": "{balancer}"}},"#
            )
        };
        let domain = if [2, 4].contains(&number) {
            "there"
        } else {
            "here"
        };
        let peers = self.ports + 2;
        let text = format!(
            r#"{{{role} "instance": "n{number}", "failure_domain": "{domain}", "address": "{address}",
            "peer_port": {peers}, "seeds": [{seeds}], "first_start": {first}, "tolerate": 1,
            "grace_ms": 1500, "log_plain_every": 1, "extra_load": {{"ratio": 0.2, "slack": 100}}}}"#
        );
        let path = self.folder.path().join(format!("n{number}.json"));
        std::fs::write(&path, text).expect("written");
        path
    }

    fn put_table(&self, to: usize, text: &str) -> Option<Reply> {
        ask(self.front(to), "PUT", "/v1/routes", "", text)
    }

    fn get_table(&self, from: usize) -> Option<Reply> {
        ask(self.front(from), "GET", "/v1/routes", "", "")
    }

    fn announce(&self, shard: &FakeShard, to: usize, draining: bool) -> Option<Reply> {
        let (path, body) = shard.announcement(draining);
        ask(self.front(to), "PUT", &path, "", &body)
    }

    fn query(&self, entry: usize, path: &str, id: &str) -> Option<Reply> {
        let lines = format!("wheelmast-request: {id}\r\nwheelmast-time-left-ms: 2000\r\n");
        ask(self.front(entry), "GET", path, &lines, "")
    }
}

fn route_table(version: u64) -> String {
    format!(
        r#"{{"version": {version}, "services": [
            {{"name": "s0", "connections": 20}}, {{"name": "s1", "connections": 20}},
            {{"name": "s2", "connections": 20}}, {{"name": "s3", "connections": 20}},
            {{"name": "desk", "connections": 20}}],
          "routes": [
            {{"name": "q", "host": "shop", "prefix": "/q/", "idempotent": true, "rank": 0,
              "time_limit_ms": 2000, "objective_ms": 500, "attempts": 2, "top": 4,
              "least_coverage": 0.5, "target": {{"gather": ["s0", "s1", "s2", "s3"]}}}},
            {{"name": "d", "host": "shop", "prefix": "/d/", "idempotent": false, "rank": 0,
              "time_limit_ms": 2000, "objective_ms": 500, "attempts": 2,
              "target": {{"service": "desk"}}}}]}}"#
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn a_deployment_serves_through_changes_losses_and_restarts() {
    let mut deployment = Deployment::start(7);
    let deployed = &deployment;
    let table = route_table(5);
    until(
        "first table",
        || deployed.put_table(1, &table),
        |reply| reply.status == 200,
    );

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
    for shard in shards.iter().chain(&desks) {
        until(
            "announced",
            || deployed.announce(shard, 0, false),
            |reply| reply.status == 200,
        );
    }
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
    until(
        "first table",
        || deployed.put_table(1, &table),
        |reply| reply.status == 200,
    );
    let mut shards = Vec::new();
    for number in 0..4 {
        let shard = FakeShard::start(&format!("s{number}"), "here", b'a').await;
        shards.push(shard.expect("a shard"));
    }
    for shard in &shards {
        until(
            "announced",
            || deployed.announce(shard, 0, false),
            |reply| reply.status == 200,
        );
    }
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
