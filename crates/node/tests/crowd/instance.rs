//! Crowds at an instance that answers queries from snapshots: at its listeners for callers,
//! operators and upstream servers, over HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::pin::Pin;
use std::process::{Command, Stdio};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tempfile::TempDir;
use wheelmast_fake::announcer::AnnounceTarget;
use wheelmast_fake::deployment::kivela;
use wheelmast_fake::world::FakeWorld;

use crate::crowd::{
    gather, run_alone, short_body, short_chunks, short_head, ProcessBounds, CROWD, LOW_LIMITS,
    ORDINARY_ATTEMPTS,
};
use crate::guarded::GuardedChild;
use crate::harness::{send_request, wait_until};

/// Size of a large legal body of a caller, in bytes.
const BODY_BYTES: usize = 1024 * 1024;
/// Number of concurrent requests on each of a few HTTP/2 connections.
const STREAMS: usize = 50;
/// Number of HTTP/2 connections.
const CONNECTIONS: usize = 4;

/// A running instance with low limits, and upstream servers.
struct Stage {
    child: GuardedChild,
    callers: SocketAddr,
    operators: SocketAddr,
    upstreams: SocketAddr,
    _world: FakeWorld,
    _folder: TempDir,
}

impl Stage {
    async fn start() -> Stage {
        let folder = TempDir::new().expect("a folder");
        let table = folder.path().join("table.csv");
        std::fs::write(&table, include_str!("../../../../examples/kivela.csv")).expect("written");
        let settings = folder.path().join("settings.jsonc");
        let text = format!(
            r#"{{{LOW_LIMITS} "instance": "crowded", "failure_domain": "oulu", "table": {table:?},
            "drain_notice_ms": 100, "log": {{"decisions": false}},
            "listen": {{"callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
                       "upstreams": "127.0.0.1:0"}}}}"#
        );
        std::fs::write(&settings, text).expect("written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wheelmastd"));
        command.arg("--settings").arg(&settings);
        command.stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = GuardedChild::spawn(&mut command).expect("wheelmastd starts");
        let mut lines = BufReader::new(child.take_stderr().expect("piped")).lines();
        let mut started = lines.by_ref().map_while(Result::ok);
        let line = started
            .find(|line| line.contains("listens"))
            .expect("the addresses");
        std::thread::spawn(move || lines.for_each(drop));
        let words = line.split([' ', ',']);
        let addresses: Vec<SocketAddr> = words.filter_map(|word| word.parse().ok()).collect();
        let [callers, operators, upstreams] = addresses[..] else {
            panic!("{line}");
        };
        let world = FakeWorld::start(kivela()).await.expect("servers start");
        let target = AnnounceTarget {
            address: upstreams,
            source: callers.ip(),
        };
        world.announce_at(target, "oulu");
        let stage = Stage {
            child,
            callers,
            operators,
            upstreams,
            _world: world,
            _folder: folder,
        };
        wait_until(
            "a query is answered in calm",
            || stage.query(),
            |reply| reply.status == 200,
        );
        stage
    }

    fn query(&self) -> Option<crate::harness::Reply> {
        let body = "{\"term\":\"hot\"}";
        send_request(self.callers, "POST", "/v1/query/kiln-watch", "", body)
    }

    /// Checks that an ordinary caller and an ordinary operator are answered.
    fn check_ordinary(&self, name: &str) {
        let mut attempts = (0..ORDINARY_ATTEMPTS).map(|_| self.query());
        let is_answered = attempts.any(|reply| reply.is_some_and(|reply| reply.status == 200));
        assert!(is_answered, "{name}: no query was answered");
        let ask = |_| send_request(self.operators, "GET", "/v1/status", "", "");
        let mut attempts = (0..ORDINARY_ATTEMPTS).map(ask);
        let is_answered = attempts.any(|reply| reply.is_some_and(|reply| reply.status == 200));
        assert!(is_answered, "{name}: no operator was answered");
    }
}

/// A listener of an instance, and what the clients of crowds send to it.
struct ListenerCase {
    address: fn(&Stage) -> SocketAddr,
    crowds: Vec<(&'static str, Vec<u8>)>,
}

fn listener_cases() -> Vec<ListenerCase> {
    let json = "host: x\r\ncontent-type: application/json\r\n";
    let query = format!("POST /v1/query/kiln-watch HTTP/1.1\r\n{json}");
    let change = format!("POST /v1/table HTTP/1.1\r\n{json}");
    let announce = format!("POST /v1/announce HTTP/1.1\r\n{json}");
    vec![
        ListenerCase {
            address: |stage| stage.callers,
            crowds: vec![
                (
                    "a body without its last byte",
                    short_body(&query, BODY_BYTES),
                ),
                (
                    "small chunks without a last one",
                    short_chunks(&query, 1, 40_000),
                ),
                (
                    "large chunks without a last one",
                    short_chunks(&query, 65_000, 15),
                ),
                (
                    "a head without its last byte",
                    short_head(&query, 16 * 1024),
                ),
                ("no byte at all", Vec::new()),
            ],
        },
        ListenerCase {
            address: |stage| stage.operators,
            crowds: vec![
                (
                    "a change without its last byte",
                    short_body(&change, BODY_BYTES),
                ),
                ("no byte at all, operators", Vec::new()),
            ],
        },
        ListenerCase {
            address: |stage| stage.upstreams,
            crowds: vec![
                (
                    "an announcement without its end",
                    short_body(&announce, 60_000),
                ),
                ("no byte at all, upstreams", Vec::new()),
            ],
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_bounds_what_unfinished_requests_hold() {
    let _alone = run_alone().await;
    for listener in listener_cases() {
        let stage = Stage::start().await;
        let bounds = ProcessBounds::measure(stage.child.id());
        for (name, bytes) in listener.crowds {
            let crowd = gather((listener.address)(&stage), CROWD, &bytes);
            stage.check_ordinary(name);
            bounds.check(name);
            drop(crowd);
        }
    }
}

/// The bound is that of the process, so it holds also when crowds come to one listener after the
/// other.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "known to fail, see KNOWN-RED.txt"]
async fn an_instance_bounds_what_crowds_at_all_listeners_hold() {
    let _alone = run_alone().await;
    let stage = Stage::start().await;
    let bounds = ProcessBounds::measure(stage.child.id());
    for listener in listener_cases() {
        for (name, bytes) in listener.crowds {
            let crowd = gather((listener.address)(&stage), CROWD, &bytes);
            stage.check_ordinary(name);
            bounds.check(name);
            drop(crowd);
        }
    }
}

/// A body of which all but the last byte is sent.
struct UnfinishedBody {
    left: usize,
}

impl Body for UnfinishedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let length = self.left.min(16 * 1024);
        if length == 0 {
            return Poll::Pending;
        }
        self.left -= length;
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b' '; length])))))
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_bounds_what_unfinished_http2_requests_hold() {
    let _alone = run_alone().await;
    let stage = Stage::start().await;
    let name = "HTTP/2 bodies without their last byte";
    let bounds = ProcessBounds::measure(stage.child.id());
    let mut senders = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = tokio::net::TcpStream::connect(stage.callers).await;
        let stream = TokioIo::new(stream.expect("connected"));
        let connecting = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream);
        let (mut sender, connection) = connecting.await.expect("HTTP/2");
        tokio::spawn(connection);
        for _ in 0..STREAMS {
            let body = UnfinishedBody {
                left: BODY_BYTES - 1,
            };
            let url = format!("http://{}/v1/query/kiln-watch", stage.callers);
            let request = hyper::Request::post(url).body(body).expect("a request");
            sender.ready().await.expect("a stream");
            tokio::spawn(sender.send_request(request));
        }
        senders.push(sender);
    }
    // The bodies are on their way meanwhile.
    tokio::time::sleep(Duration::from_secs(2)).await;
    stage.check_ordinary(name);
    bounds.check(name);
}
