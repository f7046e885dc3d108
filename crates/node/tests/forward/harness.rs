//! Starts entries and a control group as separate `wheelmastd` processes, and
//! sends them HTTP requests with the headers and bodies of Wheelmast's own API.

use std::io::{Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::ops::Range;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use tempfile::TempDir;
use wheelmast_fake::shard::FakeShard;

use crate::guarded::GuardedChild;

/// Longest time that a test waits for any condition.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Metrics line of a control instance that is a voting member of its group.
const VOTING_METRIC_LINE: &str = "wheelmast_replica_votes 1";

/// A `wheelmastd` process of a test. Dropping the value kills the process, also
/// when the test fails early.
pub(crate) struct Daemon {
    pub(crate) name: String,
    pub(crate) child: Option<GuardedChild>,
    settings_path: PathBuf,
}

impl Daemon {
    pub(crate) fn start(&mut self) {
        let file =
            std::fs::File::create(self.settings_path.with_extension("log")).expect("the log file");
        // The log of the first entry goes to a pipe that nobody reads. This checks
        // that a full log pipe does not block requests.
        let output = if self.name == "n3" {
            Stdio::piped()
        } else {
            Stdio::from(file)
        };
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelmastd"));
        command
            .arg("--settings")
            .arg(&self.settings_path)
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

    /// Sends the process the signal of this name, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let id = self
            .child
            .as_ref()
            .expect("the process runs")
            .id()
            .to_string();
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

/// An HTTP response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// Sends a request on a new connection and returns the response.
///
/// Returns `None` if the connection fails or the response is malformed. Each of
/// the header `lines` ends with CRLF.
pub(crate) fn send_request(
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
    let body_start = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..body_start]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Reply {
        status,
        head,
        body: bytes[body_start..].to_vec(),
    })
}

/// Repeats a request every 50 ms until its response is the expected one.
///
/// Panics with `goal` and the last response after [`TEST_TIMEOUT`].
pub(crate) fn wait_until(
    goal: &str,
    mut send: impl FnMut() -> Option<Reply>,
    is_expected: impl Fn(&Reply) -> bool,
) -> Reply {
    let begin = Instant::now();
    let mut last = None;
    while begin.elapsed() < TEST_TIMEOUT {
        if let Some(reply) = send() {
            if is_expected(&reply) {
                return reply;
            }
            last = Some(reply);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("{goal}: last {last:?}");
}

/// A control group and entries that run on addresses of 127.0.0.0/8, with their
/// settings, data and logs in a temporary folder.
pub(crate) struct Deployment {
    folder: TempDir,
    pub(crate) daemons: Vec<Daemon>,
    /// Third byte of the addresses of all instances, chosen by the test.
    address_block: u8,
    /// First of the consecutive ports that each instance listens on.
    base_port: u16,
    /// Further settings of all instances: JSON fields, each followed by a comma.
    extra_settings: &'static str,
}

impl Deployment {
    /// Starts three control instances (`n0` to `n2`) and two entries (`n3` and
    /// `n4`), each at its own address.
    pub(crate) fn start(address_block: u8) -> Deployment {
        Deployment::start_with(address_block, "")
    }

    /// Starts a deployment whose instances have further settings: JSON fields, each followed
    /// by a comma.
    pub(crate) fn start_with(address_block: u8, extra_settings: &'static str) -> Deployment {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let base_port = probe.local_addr().expect("an address").port();
        let mut deployment = Deployment {
            folder: TempDir::new().expect("a folder"),
            daemons: Vec::new(),
            address_block,
            base_port,
            extra_settings,
        };
        for number in 0..5 {
            let settings_path = deployment.write_settings(number, true);
            let mut daemon = Daemon {
                name: format!("n{number}"),
                child: None,
                settings_path,
            };
            daemon.start();
            deployment.daemons.push(daemon);
        }
        deployment
    }

    fn address(&self, number: usize) -> IpAddr {
        IpAddr::from([127, 0, self.address_block, 10 + number as u8])
    }

    /// Returns the address at which a control instance serves servers and
    /// operators, or an entry serves callers.
    pub(crate) fn front_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.base_port)
    }

    /// Returns the address at which a control instance serves entries and other
    /// control instances.
    pub(crate) fn peer_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.base_port + 2)
    }

    /// Returns the address at which an entry answers readiness checks of the load
    /// balancer.
    pub(crate) fn balancer_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.base_port + 1)
    }

    /// Returns the address at which a control instance serves its metrics.
    pub(crate) fn metrics_address(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.address(number), self.base_port + 3)
    }

    /// Returns the log of an instance.
    pub(crate) fn log(&self, number: usize) -> String {
        let path = self.folder.path().join(format!("n{number}.log"));
        std::fs::read_to_string(path).expect("the log file")
    }

    pub(crate) fn data_folder(&self, number: usize) -> PathBuf {
        self.folder.path().join(format!("data{number}"))
    }

    /// Writes the settings file of an instance and returns its path.
    ///
    /// `is_first_start` is false for an instance that has run before.
    pub(crate) fn write_settings(&self, number: usize, is_first_start: bool) -> PathBuf {
        let address = self.address(number);
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}\"", self.front_address(seed)))
            .collect();
        let seeds = seeds.join(", ");
        let (front, balancer) = (self.front_address(number), self.balancer_address(number));
        let role = if number < 3 {
            let data = self.data_folder(number);
            let metrics = self.metrics_address(number);
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
        let peer_port = self.base_port + 2;
        let extra_settings = self.extra_settings;
        let text = format!(
            r#"{{{role} {extra_settings} "instance": "n{number}", "failure_domain": "{domain}", "address": "{address}",
            "peer_port": {peer_port}, "seeds": [{seeds}], "first_start": {is_first_start}, "tolerate": 1,
            "grace_ms": 1500, "log_plain_every": 1, "extra_load": {{"ratio": 0.2, "slack": 100}}}}"#
        );
        let path = self.folder.path().join(format!("n{number}.json"));
        std::fs::write(&path, text).expect("written");
        path
    }

    /// Deletes the data folder of a control instance that is not running, as if its
    /// disk was lost.
    pub(crate) fn delete_data_folder(&self, number: usize) {
        let folder = self.data_folder(number);
        std::fs::remove_dir_all(folder).expect("removed");
    }

    /// Starts a stopped instance again, with settings that say that the deployment
    /// has run before.
    pub(crate) fn restart_instance(&mut self, number: usize) {
        self.write_settings(number, false);
        self.daemons[number].start();
    }

    /// Kills the instances, deletes the data folder of instance `lost_disk`, and
    /// starts the instances again.
    pub(crate) fn kill_and_restart(&mut self, instances: Range<usize>, lost_disk: Option<usize>) {
        for number in instances.clone() {
            self.daemons[number].kill();
        }
        if let Some(number) = lost_disk {
            self.delete_data_folder(number);
        }
        for number in instances {
            self.restart_instance(number);
        }
    }

    /// Sends the first route table until the control group accepts it.
    pub(crate) fn put_first_table(&self, table: &str) {
        wait_until(
            "the first table is accepted",
            || self.put_table(1, table),
            |reply| reply.status == 200,
        );
    }

    /// Announces each server to the first control instance until the announcement
    /// is accepted.
    pub(crate) fn announce_all<'a>(&self, shards: impl Iterator<Item = &'a FakeShard>) {
        for shard in shards {
            wait_until(
                "the announcement is accepted",
                || self.announce(shard, 0, false),
                |reply| reply.status == 200,
            );
        }
    }

    /// Waits until the metrics of a control instance say that it is a voting member
    /// of its group.
    pub(crate) fn await_vote(&self, number: usize) {
        wait_until(
            &format!("n{number} has a vote"),
            || send_request(self.metrics_address(number), "GET", "/metrics", "", ""),
            |reply| {
                let text = String::from_utf8_lossy(&reply.body);
                text.lines().any(|line| line == VOTING_METRIC_LINE)
            },
        );
    }

    /// Sends a route table to a control instance.
    pub(crate) fn put_table(&self, to: usize, text: &str) -> Option<Reply> {
        send_request(self.front_address(to), "PUT", "/v1/routes", "", text)
    }

    /// Reads the route table from a control instance.
    pub(crate) fn get_table(&self, from: usize) -> Option<Reply> {
        send_request(self.front_address(from), "GET", "/v1/routes", "", "")
    }

    /// Announces a server to a control instance.
    pub(crate) fn announce(&self, shard: &FakeShard, to: usize, draining: bool) -> Option<Reply> {
        let (path, body) = shard.announcement(draining);
        send_request(self.front_address(to), "PUT", &path, "", &body)
    }

    /// Sends a request with the id `id` and 2,000 ms left to an entry.
    pub(crate) fn query(&self, entry: usize, path: &str, id: &str) -> Option<Reply> {
        let lines = format!("wheelmast-request: {id}\r\nwheelmast-time-left-ms: 2000\r\n");
        send_request(self.front_address(entry), "GET", path, &lines, "")
    }
}

/// Returns a route table with three routes: `q` gathers from four shards, `f` from
/// two, and `d` sends each request to one server of the service `desk`.
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
