//! Soak test of an entry beside crowds: a random plan opens crowds of all kinds that overlap,
//! kills and restarts the entry, and changes the limits on requests, while ordinary clients keep
//! using their connections. After each step an ordinary client is answered and the bounds hold.
//!
//! `WHEELMAST_CROWD_SOAK=SEED,STEPS` runs another plan or a longer one.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::crowd::{gather, gather_unreading, run_alone, ProcessBounds, CROWD};
use crate::entry::{unfinished_requests, waiting_request, Stage, ENTRY, TABLE, UNREAD_REQUEST};
use crate::harness::{send_request, wait_until};

/// Environment variable with another seed and number of steps.
const PLAN_VARIABLE: &str = "WHEELMAST_CROWD_SOAK";
/// Seed and number of steps without the environment variable, as in CI.
const DEFAULT_PLAN: (u64, usize) = (5, 12);
/// Most crowds that are open at the same time.
const MAX_CROWDS: usize = 3;
/// Number of ordinary clients that keep their connection.
const KEPT_CLIENTS: usize = 4;
/// Longest wait of an ordinary client for a part of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Version of the first table of the stage.
const FIRST_VERSION: u64 = 5;

/// The connections of a crowd.
#[derive(Debug)]
enum Crowd {
    Unfinished(#[allow(dead_code)] Vec<TcpStream>),
    Unreading(#[allow(dead_code)] Vec<tokio::net::TcpStream>),
}

/// An ordinary client that uses its connection until it ends.
#[derive(Debug, Default)]
struct KeptClient {
    stream: Option<TcpStream>,
}

impl KeptClient {
    /// Sends a request, on a new connection if the last one has ended. Returns what is wrong with
    /// the response, if anything is. A connection that ends without a response is allowed.
    fn send(&mut self, to: SocketAddr) -> Option<String> {
        let stream = match self.stream.take() {
            Some(stream) => stream,
            None => TcpStream::connect_timeout(&to, READ_TIMEOUT).ok()?,
        };
        let response = read_response(&stream)?;
        let Some((head, body)) = response.split_once("\r\n\r\n") else {
            return (!response.is_empty()).then(|| format!("a part of a head: {response}"));
        };
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: Option<usize> = length.and_then(|length| length.parse().ok());
        if length != Some(body.len()) {
            return Some(format!("a body of {} bytes: {response}", body.len()));
        }
        if !head.contains("connection: close") {
            self.stream = Some(stream);
        }
        let status = head.split(' ').nth(1).unwrap_or_default();
        let is_allowed = ["200", "503", "504", "502"].contains(&status);
        (!is_allowed).then(|| format!("status {status}"))
    }
}

/// Sends an ordinary request and reads the response, or what came of it until the connection
/// ended. Returns `None` if the request was not sent.
fn read_response(mut stream: &TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream
        .write_all(b"GET /d/kept HTTP/1.1\r\nhost: shop\r\n\r\n")
        .ok()?;
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if length.is_some_and(|length| length.parse() == Ok(body.len())) {
                return Some(text);
            }
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return Some(text),
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// State of the soak.
struct Soak {
    stage: Stage,
    random: SmallRng,
    crowds: VecDeque<Crowd>,
    kept_clients: Vec<KeptClient>,
    version: u64,
    bounds: ProcessBounds,
}

impl Soak {
    /// Opens a crowd of a random kind and size.
    async fn open_crowd(&mut self) -> &'static str {
        let count = self.random.random_range(1..=2) * CROWD / 2;
        let address = self.stage.address();
        let mut cases = unfinished_requests();
        let kind = self.random.random_range(0..cases.len() + 2);
        let (name, crowd) = if kind < cases.len() {
            let case = cases.swap_remove(kind);
            (
                case.name,
                Crowd::Unfinished(gather(address, count, &case.bytes)),
            )
        } else if kind == cases.len() {
            let request = waiting_request();
            (
                "complete bodies",
                Crowd::Unfinished(gather(address, count, &request)),
            )
        } else {
            let crowd = gather_unreading(address, count, UNREAD_REQUEST).await;
            ("unread answers", Crowd::Unreading(crowd))
        };
        self.crowds.push_back(crowd);
        if self.crowds.len() > MAX_CROWDS {
            self.crowds.pop_front();
        }
        name
    }

    /// Ends the entry, by a signal or by force, and starts it again beside the crowds.
    fn restart(&mut self) -> &'static str {
        let is_killed = self.random.random_bool(0.5);
        let daemon = &mut self.stage.deployment.daemons[ENTRY];
        if is_killed {
            daemon.kill();
        } else {
            daemon.terminate();
            let child = daemon.child.as_mut();
            child
                .expect("the entry runs")
                .wait()
                .expect("the entry ends");
        }
        self.stage.deployment.restart_instance(ENTRY);
        let address = self.stage.deployment.balancer_address(ENTRY);
        wait_until(
            "the entry is ready",
            || send_request(address, "GET", "/ready", "", ""),
            |reply| reply.status == 200,
        );
        self.bounds = self.stage.measure();
        if is_killed {
            "killed"
        } else {
            "restarted"
        }
    }

    /// Changes the limits on requests.
    fn change_limits(&mut self) -> &'static str {
        self.version += 1;
        let body_bytes = [65_536, 262_144][self.random.random_range(0..2)];
        let head_bytes = [16_384, 32_768][self.random.random_range(0..2)];
        let limits = format!(
            r#""version": {}, "limits": {{"head_bytes": {head_bytes}, "body_bytes": {body_bytes},
            "head_ms": 3000, "idle_ms": 15000}},"#,
            self.version
        );
        let table = TABLE.replace(&format!(r#""version": {FIRST_VERSION},"#), &limits);
        wait_until(
            "the table is accepted",
            || self.stage.deployment.put_table(0, &table),
            |reply| reply.status == 200,
        );
        "limits changed"
    }

    /// Takes a random step and checks what must hold after it.
    async fn step(&mut self, number: usize) {
        let name = match self.random.random_range(0..10) {
            0 => self.restart(),
            1 => self.change_limits(),
            _ => self.open_crowd().await,
        };
        let name = format!("step {number}, {name}");
        let address = self.stage.address();
        for client in &mut self.kept_clients {
            let fault = client.send(address);
            assert!(fault.is_none(), "{name}: a kept client got {fault:?}");
        }
        self.stage.check_ordinary(&name);
        self.bounds.check(&name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_serves_beside_crowds_restarts_and_changes() {
    let _alone = run_alone().await;
    let plan = std::env::var(PLAN_VARIABLE).ok();
    let plan = plan.as_deref().and_then(|plan| plan.split_once(','));
    let (seed, steps) = plan.map_or(DEFAULT_PLAN, |(seed, steps)| {
        (
            seed.parse().expect("a seed"),
            steps.parse().expect("a number"),
        )
    });
    println!("seed {seed}, {steps} steps");
    let stage = Stage::start(37).await;
    let mut soak = Soak {
        bounds: stage.measure(),
        stage,
        random: SmallRng::seed_from_u64(seed),
        crowds: VecDeque::new(),
        kept_clients: (0..KEPT_CLIENTS).map(|_| KeptClient::default()).collect(),
        version: FIRST_VERSION,
    };
    for number in 0..steps {
        soak.step(number).await;
    }
}
