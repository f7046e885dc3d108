//! Tests of an entry whose host machine is suspended for some time.
//!
//! The system's monotonic clock stops during a suspension. An entry that used this
//! clock went on with requests of callers that had left, and gave them more time than
//! the caller had allowed; reused connections that the server had closed long ago; and
//! took a control instance for responsive after seconds without a message. The
//! process clock counts the time of the suspension.

mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardCall, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_node::process::clock::ProcessClock;
use wheelmast_node::process::forward::entry::ForwardDriver;
use wheelmast_node::process::forward::feed::GroupFeed;
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::native::NativeDialect;

use crate::support::run_local_test;

/// Duration of the simulated suspension.
const SUSPENSION_TIME: Duration = Duration::from_secs(30);
/// Time within which an entry must react to the suspension.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the caller allows for the answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 9}],
    "routes": [{"name": "d", "host": "h", "prefix": "/", "idempotent": false, "rank": 0,
      "time_limit_ms": 20000, "objective_ms": 500, "attempts": 2,
      "target": {"service": "desk"}}]}"#;

thread_local! {
    static CLOCK_START: Instant = Instant::now();
    static SUSPENDED_TIME: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Returns the time of the simulated process clock.
fn read_clock() -> Duration {
    CLOCK_START.with(Instant::elapsed) + SUSPENDED_TIME.get()
}

/// Simulates a suspension by moving the process clock ahead.
fn suspend() {
    SUSPENDED_TIME.set(SUSPENDED_TIME.get() + SUSPENSION_TIME);
}

type Entry = Rc<ForwardDriver<NativeDialect>>;

/// Starts an entry that knows one server.
fn start_entry(server: SocketAddr) -> Entry {
    let clock = ProcessClock::start_with_source(read_clock);
    let options = ForwardOptions::default();
    let entry = Rc::new(ForwardDriver::with_clock(options, 1, clock));
    tokio::task::spawn_local(entry.clone().run_timers());
    let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
    let table = RouteTable::check(draft).expect("a table");
    entry.step(ForwardInput::Table(table.into()));
    entry.step(ForwardInput::Announcement(ServerAnnouncement {
        id: "desk-1".into(),
        service: "desk".into(),
        address: Some(server),
        domain: "here".into(),
        version: "".into(),
        slots: 4,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    }));
    entry
}

/// Sends the request `id` to the entry and returns the receiver of the answer. Each
/// call needs another id.
fn send_request(entry: &Entry, id: &str) -> tokio::sync::oneshot::Receiver<ForwardAnswer> {
    let uri = "/x".parse().expect("a path");
    let headers = HeaderMap::new();
    let image = RequestImage::new::<NativeDialect>(&Method::GET, &uri, &headers, id, Bytes::new());
    let (tag, answer) = entry.register_call(image);
    entry.step(ForwardInput::Call(ForwardCall {
        tag,
        host: "h".into(),
        path: "/x".into(),
        mark: RequestFingerprint {
            content: ContentFingerprint::of("GET", "h", id, &[]),
            caller: CallerFingerprint::of(b"caller"),
        },
        key: None,
        arrived_at: entry.clock.elapsed(),
        time_left: Some(CALLER_TIMEOUT),
        relayed: None,
    }));
    answer
}

#[test]
fn a_caller_that_timed_out_during_the_suspension_is_answered_at_once() {
    run_local_test(async {
        // The server accepts connections and never answers.
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = start_entry(server.local_addr().expect("an address"));
        let answer = send_request(&entry, "one");
        tokio::time::sleep(Duration::from_millis(50)).await;
        suspend();
        let answer = tokio::time::timeout(DETECTION_TIMEOUT, answer).await;
        let answer = answer.expect("answered in time").expect("an answer");
        let failure = match answer {
            ForwardAnswer::Failure { failure, .. } => failure,
            other => panic!("{other:?}"),
        };
        assert_eq!(failure, ForwardFailure::TimedOut);
    });
}

#[test]
fn a_connection_that_expired_during_the_suspension_is_not_reused() {
    run_local_test(async {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = start_entry(server.local_addr().expect("an address"));
        let opened = Rc::new(Cell::new(0));
        let count = opened.clone();
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = server.accept().await {
                count.set(count.get() + 1);
                tokio::task::spawn_local(async move {
                    let mut bytes = vec![0; 4096];
                    while let Ok(read) = stream.read(&mut bytes).await {
                        let head = String::from_utf8_lossy(&bytes[..read]).to_string();
                        let mut lines = head.lines();
                        let Some(line) = lines.find(|line| line.starts_with("wheelmast-request"))
                        else {
                            return;
                        };
                        let answer = format!("HTTP/1.1 200 OK\r\n{line}\r\nwheelmast-stamp: s\r\nkeep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n");
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        for (id, connections) in [("one", 1), ("two", 1)] {
            send_request(&entry, id).await.expect("an answer");
            assert_eq!(opened.get(), connections, "{id}");
        }
        suspend();
        send_request(&entry, "three").await.expect("an answer");
        assert_eq!(
            opened.get(),
            2,
            "the first connection has exceeded its keep-alive time"
        );
    });
}

#[test]
fn a_control_connection_without_contact_during_the_suspension_is_replaced() {
    run_local_test(async {
        let control = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = start_entry(([127, 0, 0, 1], 9).into());
        let peer = EntryPeer {
            instance: "entry".into(),
            incarnation: 1,
            domain: "here".into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        let feed = Rc::new(GroupFeed::new(entry, peer));
        feed.add_control_instance(control.local_addr().expect("an address"));
        let (_first, _) = control.accept().await.expect("a connection");
        tokio::time::sleep(Duration::from_millis(100)).await;
        suspend();
        let second = tokio::time::timeout(DETECTION_TIMEOUT, control.accept()).await;
        assert!(
            second.is_ok(),
            "the entry reconnects to the control instance"
        );
    });
}

#[test]
fn the_process_clock_runs_at_least_as_fast_as_the_monotonic_clock() {
    let clock = ProcessClock::start();
    let begin = Instant::now();
    std::thread::sleep(Duration::from_millis(30));
    let monotonic = begin.elapsed();
    assert!(clock.elapsed() >= monotonic);
    // A sleep until a distant time is split into short ones, so that a suspension is
    // noticed soon.
    let distant = clock.elapsed() + SUSPENSION_TIME;
    assert!(clock.sleep_time_until(distant) < DETECTION_TIMEOUT);
}
