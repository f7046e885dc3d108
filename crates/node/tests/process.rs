//! `wheelmastd` as a process of its own, against fake upstream servers.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::guarded::GuardedChild;
use support::{exchange, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_fake::announcer::AnnounceTarget;
use wheelmast_fake::deployment::kivela;
use wheelmast_fake::world::FakeWorld;
use wheelmast_wire::prelude::{AnnouncementBody, AnswerBody, HeldSnapshotBody, ProblemBody};

/// A running `wheelmastd`; killed if the test ends early.
struct Daemon {
    child: GuardedChild,
    callers: SocketAddr,
    upstreams: SocketAddr,
    folder: std::path::PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Daemon {
    fn start(name: &str, extra: &str) -> Daemon {
        let folder = std::env::temp_dir().join(format!("wheelmast-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        let table = folder.join("table.csv");
        std::fs::write(&table, include_str!("../../../examples/kivela.csv")).expect("written");
        let settings = folder.join("settings.jsonc");
        let text = format!(
            r#"{{"instance": "{name}", "failure_domain": "oulu", "table": {table:?}, {extra}
            "drain_notice_ms": 100, "log": {{"decisions": false}},
            "listen": {{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                       "upstreams": "127.0.0.1:0"}}}}"#
        );
        std::fs::write(&settings, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelmastd"));
        command
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut child = GuardedChild::spawn(&mut command).expect("wheelmastd starts");
        let mut lines = BufReader::new(child.take_stderr().expect("piped")).lines();
        let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
        let mut daemon = Daemon {
            child,
            callers: nowhere,
            upstreams: nowhere,
            folder,
        };
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("listens"));
        let line = line.expect("it says where it listens");
        std::thread::spawn(move || lines.for_each(drop));
        let addresses: Vec<SocketAddr> = line
            .split([' ', ','])
            .filter_map(|word| word.parse().ok())
            .collect();
        assert_eq!(addresses.len(), 3, "{line}");
        daemon.callers = addresses[0];
        daemon.upstreams = addresses[2];
        daemon
    }

    fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }
}

async fn wait_ready(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    let request = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    while exchange(address, request).await.0 != 200 {
        assert!(Instant::now() < until, "the instance did not become ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn world_at(daemon: &Daemon) -> FakeWorld {
    let world = FakeWorld::start(kivela()).await.expect("fakes start");
    let target = AnnounceTarget {
        address: daemon.upstreams,
        source: daemon.callers.ip(),
    };
    world.announce_at(target, "oulu");
    wait_ready(daemon.callers).await;
    world
}

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_served_and_a_leave_cuts_nothing_off() {
    let mut daemon = Daemon::start("whole", "");
    let world = world_at(&daemon).await;
    let query = post("/v1/query/kiln-watch", "", "{\"term\":\"hot\"}");
    let (status, body) = exchange(daemon.callers, &query).await;
    assert_eq!(status, 200, "{body}");
    let answer: AnswerBody = serde_json::from_str(&body).expect("an answer");
    assert_eq!(answer.coverage.answered, 20);
    assert_eq!(answer.hits.len(), 20);

    for server in world.upstream("work-orders") {
        server.behave(|behaviour| behaviour.slowness = 100.0);
    }
    let order = post("/v1/submit/work-orders", "", "{\"term\":\"order-1\"}");
    let callers = daemon.callers;
    let slow = tokio::spawn(async move { exchange(callers, &order).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    daemon.terminate();
    let (status, body) = slow.await.expect("the caller ends");
    assert_eq!(status, 200, "{body}");
    assert_eq!(world.ledger.runs("order-1"), 1);
    assert!(daemon.child.wait().expect("it ends").success());
}

struct InputCase {
    name: &'static str,
    request: String,
    status: u16,
    kind: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error_and_harms_nothing() {
    let daemon = Daemon::start("input", "");
    let _world = world_at(&daemon).await;
    let query = "/v1/query/kiln-watch";
    let case = |name, request, status, kind| InputCase {
        name,
        request,
        status,
        kind,
    };
    let cases = [
        case(
            "malformed JSON",
            post(query, "", "{"),
            400,
            "malformed-json",
        ),
        case("empty body", post(query, "", ""), 400, "malformed-json"),
        case(
            "over-long body",
            post(query, "", &format!("\"{}\"", "x".repeat(1024 * 1024))),
            413,
            "body-unreadable",
        ),
        case(
            "over-long header",
            post(query, &format!("x: {}\r\n", "y".repeat(64 * 1024)), "{}"),
            431,
            "",
        ),
        case(
            "unknown service",
            post("/v1/query/kiln", "", "{}"),
            404,
            "unknown-service",
        ),
        case(
            "unknown path",
            post("/v2/query/kiln", "", "{}"),
            404,
            "unknown-path",
        ),
        case(
            "wrong kind",
            post("/v1/query/work-orders", "", "{}"),
            405,
            "wrong-kind",
        ),
        case(
            "deadline passed",
            post(query, "wheelmast-deadline-ms: -5\r\n", "{}"),
            504,
            "deadline-passed",
        ),
        case(
            "malformed deadline",
            post(query, "wheelmast-deadline-ms: soon\r\n", "{}"),
            400,
            "malformed-deadline",
        ),
        case(
            "empty key",
            post("/v1/submit/work-orders", "idempotency-key: \r\n", "{}"),
            400,
            "malformed-key",
        ),
        case(
            "no HTTP at all",
            "\u{1}\u{2}\u{3}\r\n\r\n".to_string(),
            400,
            "",
        ),
    ];
    for case in cases {
        let (status, body) = exchange(daemon.callers, &case.request).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        if !case.kind.is_empty() {
            let problem: ProblemBody = serde_json::from_str(&body).expect(case.name);
            assert_eq!(problem.kind, format!("urn:wheelmast:problem:{}", case.kind));
            assert_eq!(problem.outcome, "not-run", "{}", case.name);
        }
    }
    let (status, _) = exchange(daemon.callers, &post(query, "", "{\"term\":\"a\"}")).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_and_half_open_connections_are_shed() {
    let daemon = Daemon::start("idle", "\"connections\": 32,");
    let _world = world_at(&daemon).await;
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(daemon.callers)
            .await
            .expect("it listens");
        let _ = stream
            .write_all(b"POST /v1/query/kiln-watch HTTP/1.1\r\nx: ")
            .await;
        idle.push(stream);
    }
    // The head must come within 5 s; then the places are free again.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let query = post("/v1/query/kiln-watch", "", "{\"term\":\"a\"}");
    let (status, body) = exchange(daemon.callers, &query).await;
    assert_eq!(status, 200, "{body}");
}

/// Listens like an upstream server, and answers every request with the same
/// bytes.
async fn canned_upstream(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = bytes.clone();
            tokio::spawn(async move {
                let mut request = [0; 4096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(&bytes).await;
            });
        }
    });
    address
}

struct UpstreamCase {
    name: &'static str,
    bytes: Vec<u8>,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_upstream_reply_never_reaches_a_caller() {
    let reply = |body: &str| {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        (head + body).into_bytes()
    };
    let foreign = r#"{"attempt":"1-1","request":"1-1","shard":0,"epoch":1,"version":1,"hits":[]}"#;
    let endless = b"HTTP/1.1 200 OK\r\n\r\n".iter().copied();
    let cases = [
        UpstreamCase {
            name: "garbage",
            bytes: b"\x00\x01 not HTTP".to_vec(),
        },
        UpstreamCase {
            name: "not JSON",
            bytes: reply("<html>"),
        },
        UpstreamCase {
            name: "cut off",
            bytes: b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n{".to_vec(),
        },
        UpstreamCase {
            name: "endless",
            bytes: endless.chain(std::iter::repeat_n(b' ', 8 << 20)).collect(),
        },
        UpstreamCase {
            name: "another request's answer",
            bytes: reply(foreign),
        },
    ];
    for (number, case) in cases.into_iter().enumerate() {
        let daemon = Daemon::start(&format!("bad-{number}"), "");
        let address = canned_upstream(case.bytes).await;
        let announcement = AnnouncementBody {
            server: "bad".into(),
            upstream: "crew-roster".into(),
            domain: "oulu".into(),
            address,
            incarnation: 1,
            sequence: 1,
            phase: "serving".into(),
            held: vec![HeldSnapshotBody {
                epoch: 1,
                version: 1,
                shard: 0,
                shards: 1,
            }],
            slots: 2,
            connections: 8,
            load: 0.0,
            lease_ms: 30_000,
        };
        let body = serde_json::to_string(&announcement).expect("it encodes");
        let headers = "content-type: application/json\r\n";
        let (status, _) = exchange(daemon.upstreams, &post("/v1/announce", headers, &body)).await;
        assert_eq!(status, 204, "{}", case.name);
        let fetch = "GET /v1/fetch/crew-roster/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let (status, body) = exchange(daemon.callers, fetch).await;
        assert_eq!(status, 503, "{}: {body}", case.name);
        let problem: ProblemBody = serde_json::from_str(&body).expect("a problem");
        assert_eq!(problem.outcome, "unknown", "{}", case.name);
    }
}

/// Variable that makes a test start a process and wait to be killed.
const VICTIM_VARIABLE: &str = "WHEELMAST_TEST_VICTIM";

#[test]
fn a_test_that_is_killed_leaves_no_process() {
    if std::env::var_os(VICTIM_VARIABLE).is_some() {
        let child = GuardedChild::spawn(Command::new("sleep").arg("60")).expect("it starts");
        println!("started {}", child.id());
        std::thread::sleep(Duration::from_secs(60));
        return;
    }
    let mut victim = Command::new(std::env::current_exe().expect("this test's program"))
        .args(["--exact", "--nocapture"])
        .arg("a_test_that_is_killed_leaves_no_process")
        .env(VICTIM_VARIABLE, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("it starts");
    let lines = BufReader::new(victim.stdout.take().expect("piped")).lines();
    let mut ids = lines.map_while(Result::ok).filter_map(|line| {
        let (_, id) = line.rsplit_once("started ")?;
        id.parse::<u32>().ok()
    });
    let id = ids.next().expect("it says what it started");
    victim.kill().expect("it is killed");
    victim.wait().expect("it ends");
    let until = Instant::now() + Duration::from_secs(5);
    while runs(id) {
        assert!(Instant::now() < until, "process {id} was left behind");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Tells whether a process runs; one that has ended and that nobody has waited
/// for does not.
fn runs(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"));
    status.is_ok_and(|status| !status.contains("State:\tZ"))
}
