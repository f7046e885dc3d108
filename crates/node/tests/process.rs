//! Tests `wheelmastd` as a separate process, with fake upstream servers.

mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use support::guarded::GuardedChild;
use support::{post_request, send_http_request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_fake::announcer::AnnounceTarget;
use wheelmast_fake::deployment::kivela;
use wheelmast_fake::world::FakeWorld;
use wheelmast_wire::prelude::{AnnouncementBody, AnswerBody, HeldSnapshotBody, ProblemBody};

/// A running `wheelmastd` process. Dropping it kills the process, so that none
/// is left if a test fails.
struct DaemonProcess {
    child: GuardedChild,
    callers: SocketAddr,
    upstreams: SocketAddr,
    folder: std::path::PathBuf,
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        self.child.kill();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl DaemonProcess {
    /// Starts `wheelmastd` with `extra` settings, and reads its bound addresses
    /// from its log.
    fn start(name: &str, extra: &str) -> DaemonProcess {
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
        let mut daemon = DaemonProcess {
            child,
            callers: nowhere,
            upstreams: nowhere,
            folder,
        };
        let line = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("listens"));
        let line = line.expect("the log line with the addresses");
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

    /// Sends SIGTERM, which makes the instance shut down gracefully.
    fn terminate(&self) {
        let status = Command::new("kill")
            .args(["-TERM", &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }
}

/// Waits until the instance reports that it is ready.
async fn wait_ready(address: SocketAddr) {
    let until = Instant::now() + Duration::from_secs(10);
    let request = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    while send_http_request(address, request).await.0 != 200 {
        assert!(Instant::now() < until, "the instance did not become ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts the fake upstream servers, announces them to the instance, and waits
/// until it is ready.
async fn start_servers(daemon: &DaemonProcess) -> FakeWorld {
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
async fn a_query_is_served_and_a_shutdown_cuts_off_no_request() {
    let mut daemon = DaemonProcess::start("whole", "");
    let world = start_servers(&daemon).await;
    let query = post_request("/v1/query/kiln-watch", "", "{\"term\":\"hot\"}");
    let (status, body) = send_http_request(daemon.callers, &query).await;
    assert_eq!(status, 200, "{body}");
    let answer: AnswerBody = serde_json::from_str(&body).expect("an answer");
    assert_eq!(answer.coverage.answered, 20);
    assert_eq!(answer.hits.len(), 20);

    for server in world.upstream("work-orders") {
        server.behave(|behaviour| behaviour.slowness = 100.0);
    }
    let order = post_request("/v1/submit/work-orders", "", "{\"term\":\"order-1\"}");
    let callers = daemon.callers;
    let slow = tokio::spawn(async move { send_http_request(callers, &order).await });
    tokio::time::sleep(Duration::from_millis(150)).await;
    daemon.terminate();
    let (status, body) = slow.await.expect("the caller ends");
    assert_eq!(status, 200, "{body}");
    assert_eq!(world.ledger.runs("order-1"), 1);
    assert!(daemon.child.wait().expect("the process ends").success());
}

struct InputCase {
    name: &'static str,
    request: String,
    status: u16,
    kind: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_gets_a_clear_error_and_harms_nothing() {
    let daemon = DaemonProcess::start("input", "");
    let _world = start_servers(&daemon).await;
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
            post_request(query, "", "{"),
            400,
            "malformed-json",
        ),
        case(
            "empty body",
            post_request(query, "", ""),
            400,
            "malformed-json",
        ),
        case(
            "over-long body",
            post_request(query, "", &format!("\"{}\"", "x".repeat(1024 * 1024))),
            413,
            "body-unreadable",
        ),
        case(
            "over-long header",
            post_request(query, &format!("x: {}\r\n", "y".repeat(64 * 1024)), "{}"),
            431,
            "",
        ),
        case(
            "unknown service",
            post_request("/v1/query/kiln", "", "{}"),
            404,
            "unknown-service",
        ),
        case(
            "unknown path",
            post_request("/v2/query/kiln", "", "{}"),
            404,
            "unknown-path",
        ),
        case(
            "wrong kind",
            post_request("/v1/query/work-orders", "", "{}"),
            405,
            "wrong-kind",
        ),
        case(
            "deadline passed",
            post_request(query, "wheelmast-deadline-ms: -5\r\n", "{}"),
            504,
            "deadline-passed",
        ),
        case(
            "malformed deadline",
            post_request(query, "wheelmast-deadline-ms: soon\r\n", "{}"),
            400,
            "malformed-deadline",
        ),
        case(
            "empty key",
            post_request("/v1/submit/work-orders", "idempotency-key: \r\n", "{}"),
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
        let (status, body) = send_http_request(daemon.callers, &case.request).await;
        assert_eq!(status, case.status, "{}: {body}", case.name);
        if !case.kind.is_empty() {
            let problem: ProblemBody = serde_json::from_str(&body).expect(case.name);
            assert_eq!(problem.kind, format!("urn:wheelmast:problem:{}", case.kind));
            assert_eq!(problem.outcome, "not-run", "{}", case.name);
        }
    }
    let (status, _) =
        send_http_request(daemon.callers, &post_request(query, "", "{\"term\":\"a\"}")).await;
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_and_half_open_connections_are_closed() {
    let daemon = DaemonProcess::start("idle", "\"connections\": 32,");
    let _world = start_servers(&daemon).await;
    let mut idle = Vec::new();
    for _ in 0..200 {
        let mut stream = TcpStream::connect(daemon.callers)
            .await
            .expect("a connection to the instance");
        let _ = stream
            .write_all(b"POST /v1/query/kiln-watch HTTP/1.1\r\nx: ")
            .await;
        idle.push(stream);
    }
    // A connection is closed if it does not send a request head within 5 s, so
    // all places are free again.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let query = post_request("/v1/query/kiln-watch", "", "{\"term\":\"a\"}");
    let (status, body) = send_http_request(daemon.callers, &query).await;
    assert_eq!(status, 200, "{body}");
}

/// Starts a server that answers every request with the same bytes, like a
/// faulty upstream server.
async fn start_fixed_reply_server(bytes: Vec<u8>) -> SocketAddr {
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
        let daemon = DaemonProcess::start(&format!("bad-{number}"), "");
        let address = start_fixed_reply_server(case.bytes).await;
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
        let body = serde_json::to_string(&announcement).expect("the announcement encodes");
        let headers = "content-type: application/json\r\n";
        let (status, _) = send_http_request(
            daemon.upstreams,
            &post_request("/v1/announce", headers, &body),
        )
        .await;
        assert_eq!(status, 204, "{}", case.name);
        let fetch = "GET /v1/fetch/crew-roster/k HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let (status, body) = send_http_request(daemon.callers, fetch).await;
        assert_eq!(status, 503, "{}: {body}", case.name);
        let problem: ProblemBody = serde_json::from_str(&body).expect("a problem");
        assert_eq!(problem.outcome, "unknown", "{}", case.name);
    }
}

/// Environment variable that makes the test start a process and wait to be
/// killed.
const CHILD_MODE_VARIABLE: &str = "WHEELMAST_TEST_VICTIM";

#[test]
fn a_test_that_is_killed_leaves_no_process() {
    if std::env::var_os(CHILD_MODE_VARIABLE).is_some() {
        let child =
            GuardedChild::spawn(Command::new("sleep").arg("60")).expect("the process starts");
        println!("started {}", child.id());
        std::thread::sleep(Duration::from_secs(60));
        return;
    }
    let mut test_process = Command::new(std::env::current_exe().expect("this test's program"))
        .args(["--exact", "--nocapture"])
        .arg("a_test_that_is_killed_leaves_no_process")
        .env(CHILD_MODE_VARIABLE, "1")
        .stdout(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let lines = BufReader::new(test_process.stdout.take().expect("piped")).lines();
    let mut ids = lines.map_while(Result::ok).filter_map(|line| {
        let (_, id) = line.rsplit_once("started ")?;
        id.parse::<u32>().ok()
    });
    let id = ids.next().expect("the printed process id");
    test_process
        .kill()
        .expect("the child test process is killed");
    test_process.wait().expect("the process ends");
    let until = Instant::now() + Duration::from_secs(5);
    while is_running(id) {
        assert!(Instant::now() < until, "process {id} was left behind");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Tells whether a process is running; a zombie (ended, but not yet waited for)
/// is not.
fn is_running(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"));
    status.is_ok_and(|status| !status.contains("State:\tZ"))
}
