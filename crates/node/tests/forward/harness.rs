//! Entries and a control group as processes of their own, and how they are
//! asked, in the product's own dialect.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use wheelmast_fake::shard::FakeShard;

use crate::guarded::GuardedChild;

/// Longest time that anything here may take.
pub(crate) const PATIENCE: Duration = Duration::from_secs(20);
/// Metric that says whether an instance has a vote.
const VOTES: &str = "wheelmast_replica_votes 1";

/// A running `wheelmastd`; killed if the test ends early.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) child: Option<GuardedChild>,
    settings: PathBuf,
}

impl Daemon {
    pub(crate) fn start(&mut self) {
        let file = std::fs::File::create(self.settings.with_extension("log")).expect("a log");
        // Nobody reads the log of the first entry: no request may wait for it.
        let output = if self.name == "n3" {
            Stdio::piped()
        } else {
            Stdio::from(file)
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelmastd"));
        command
            .arg("--settings")
            .arg(&self.settings)
            .stdout(output)
            .stderr(Stdio::inherit());
        let child = GuardedChild::spawn(&mut command);
        self.child = Some(child.expect("wheelmastd starts"));
    }

    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill();
        }
    }

    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Sends it a signal by name.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("it runs").id().to_string();
        let status = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
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
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

pub(crate) fn ask(
    to: SocketAddr,
    method: &str,
    path: &str,
    lines: &str,
    body: &str,
) -> Option<Reply> {
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
pub(crate) fn until(
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

pub(crate) struct Deployment {
    folder: TempDir,
    pub(crate) daemons: Vec<Daemon>,
    /// Third byte of its addresses; another one for each test.
    block: u8,
    ports: u16,
}

impl Deployment {
    /// Three control instances and two entries, at addresses of their own.
    pub(crate) fn start(block: u8) -> Deployment {
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
    pub(crate) fn front(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports)
    }

    /// Listener of a control instance for entries and other instances.
    pub(crate) fn peers(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports + 2)
    }

    /// Listener for the balancer.
    pub(crate) fn balancer(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports + 1)
    }

    /// Listener for the metrics of a control instance.
    pub(crate) fn metrics(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.ports + 3)
    }

    /// Returns what an instance has logged.
    pub(crate) fn log(&self, number: usize) -> String {
        let path = self.folder.path().join(format!("n{number}.log"));
        std::fs::read_to_string(path).expect("a log")
    }

    pub(crate) fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    pub(crate) fn write_settings(&self, number: usize, first: bool) -> PathBuf {
        let address = self.address(number);
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.front(seed)))
            .collect();
        let seeds = seeds.join(", ");
        let (front, balancer) = (self.front(number), self.balancer(number));
        let role = if number < 3 {
            let data = self.data_folder(number);
            let metrics = self.metrics(number);
            format!(
                r#""role": "control", "listen": {{"control": "{front}", "metrics": "{metrics}"}},
                "data_folder": {data:?},"#
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

    /// Takes the disk of a control instance that does not run.
    pub(crate) fn lose_disk(&self, number: usize) {
        let folder = self.data_folder(number);
        std::fs::remove_dir_all(folder).expect("removed");
    }

    /// Starts an instance once more, as one that was there before.
    pub(crate) fn start_again(&mut self, number: usize) {
        self.write_settings(number, false);
        self.daemons[number].start();
    }

    /// Kills instances together, takes the disk of one, and starts them again.
    pub(crate) fn restart(&mut self, instances: Range<usize>, lost: Option<usize>) {
        for number in instances.clone() {
            self.daemons[number].kill();
        }
        if let Some(number) = lost {
            self.lose_disk(number);
        }
        for number in instances {
            self.start_again(number);
        }
    }

    /// Puts the first table in force, once the group takes it.
    pub(crate) fn put_first_table(&self, table: &str) {
        until(
            "first table",
            || self.put_table(1, table),
            |reply| reply.status == 200,
        );
    }

    /// Announces servers until each is taken.
    pub(crate) fn announce_all<'a>(&self, shards: impl Iterator<Item = &'a FakeShard>) {
        for shard in shards {
            until(
                "announced",
                || self.announce(shard, 0, false),
                |reply| reply.status == 200,
            );
        }
    }

    /// Waits until a control instance says that it has a vote.
    pub(crate) fn await_vote(&self, number: usize) {
        until(
            &format!("a vote at n{number}"),
            || ask(self.metrics(number), "GET", "/metrics", "", ""),
            |reply| {
                let text = String::from_utf8_lossy(&reply.body);
                text.lines().any(|line| line == VOTES)
            },
        );
    }

    pub(crate) fn put_table(&self, to: usize, text: &str) -> Option<Reply> {
        ask(self.front(to), "PUT", "/v1/routes", "", text)
    }

    pub(crate) fn get_table(&self, from: usize) -> Option<Reply> {
        ask(self.front(from), "GET", "/v1/routes", "", "")
    }

    pub(crate) fn announce(&self, shard: &FakeShard, to: usize, draining: bool) -> Option<Reply> {
        let (path, body) = shard.announcement(draining);
        ask(self.front(to), "PUT", &path, "", &body)
    }

    pub(crate) fn query(&self, entry: usize, path: &str, id: &str) -> Option<Reply> {
        let lines = format!("wheelmast-request: {id}\r\nwheelmast-time-left-ms: 2000\r\n");
        ask(self.front(entry), "GET", path, &lines, "")
    }
}

pub(crate) fn route_table(version: u64) -> String {
    format!(
        r#"{{"version": {version}, "services": [
            {{"name": "s0", "connections": 20}}, {{"name": "s1", "connections": 20}},
            {{"name": "s2", "connections": 20}}, {{"name": "s3", "connections": 20}},
            {{"name": "f0", "connections": 20}}, {{"name": "f1", "connections": 20}},
            {{"name": "desk", "connections": 20}}],
          "routes": [
            {{"name": "q", "host": "shop", "prefix": "/q/", "idempotent": true, "rank": 0,
              "time_limit_ms": 2000, "objective_ms": 500, "attempts": 2, "top": 4,
              "least_coverage": 0.5, "target": {{"gather": ["s0", "s1", "s2", "s3"]}}}},
            {{"name": "f", "host": "shop", "prefix": "/f/", "idempotent": true, "rank": 0,
              "time_limit_ms": 2000, "objective_ms": 500, "attempts": 2, "top": 4,
              "least_coverage": 0.9, "target": {{"gather": ["f0", "f1"]}}}},
            {{"name": "d", "host": "shop", "prefix": "/d/", "idempotent": false, "rank": 0,
              "time_limit_ms": 2000, "objective_ms": 500, "attempts": 2,
              "target": {{"service": "desk"}}}}]}}"#
    )
}
