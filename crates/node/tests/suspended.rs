//! An entry whose machine is suspended for some time.
//!
//! The steady clock of the system stands still meanwhile, and so did all that an
//! entry timed by it: a caller that had left was still worked for, with more
//! time than it had ever given; a connection that the server had closed long ago
//! still counted as open; a control instance that had not been heard for
//! seconds counted as heard. The clock of the process counts the suspension.

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
use wheelmast_node::process::forward::entry::EntryDuty;
use wheelmast_node::process::forward::feed::GroupFeed;
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::native::NativeDialect;

use crate::support::run_local_test;

/// How long the machine is suspended.
const SUSPENSION: Duration = Duration::from_secs(30);
/// Time within which an entry finds out that it was.
const NOTICE_TIME: Duration = Duration::from_secs(2);
/// Time that a caller gives.
const CALLER_TIME: Duration = Duration::from_secs(10);

const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 9}],
    "routes": [{"name": "d", "host": "h", "prefix": "/", "idempotent": false, "rank": 0,
      "time_limit_ms": 20000, "objective_ms": 500, "attempts": 2,
      "target": {"service": "desk"}}]}"#;

thread_local! {
    static BEGIN: Instant = Instant::now();
    static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn read_clock() -> Duration {
    BEGIN.with(Instant::elapsed) + SUSPENDED.get()
}

fn suspend() {
    SUSPENDED.set(SUSPENDED.get() + SUSPENSION);
}

type Entry = Rc<EntryDuty<NativeDialect>>;

fn entry_for(server: SocketAddr) -> Entry {
    let clock = ProcessClock::start_with(read_clock);
    let options = ForwardOptions::default();
    let entry = Rc::new(EntryDuty::with_clock(options, 1, clock));
    tokio::task::spawn_local(entry.clone().keep_time());
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

/// Asks the entry; a request of another name each time.
fn ask(entry: &Entry, id: &str) -> tokio::sync::oneshot::Receiver<ForwardAnswer> {
    let uri = "/x".parse().expect("a path");
    let headers = HeaderMap::new();
    let image = RequestImage::new::<NativeDialect>(&Method::GET, &uri, &headers, id, Bytes::new());
    let (tag, answer) = entry.admit(image);
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
        time_left: Some(CALLER_TIME),
        relayed: None,
    }));
    answer
}

#[test]
fn a_caller_whose_time_ran_out_meanwhile_is_answered_at_once() {
    run_local_test(async {
        // It takes connections and answers nothing.
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = entry_for(server.local_addr().expect("an address"));
        let answer = ask(&entry, "one");
        tokio::time::sleep(Duration::from_millis(50)).await;
        suspend();
        let answer = tokio::time::timeout(NOTICE_TIME, answer).await;
        let answer = answer.expect("answered in time").expect("an answer");
        let failure = match answer {
            ForwardAnswer::Failure { failure, .. } => failure,
            other => panic!("{other:?}"),
        };
        assert_eq!(failure, ForwardFailure::TimedOut);
    });
}

#[test]
fn a_connection_that_its_server_closed_meanwhile_is_not_used() {
    run_local_test(async {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = entry_for(server.local_addr().expect("an address"));
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
            ask(&entry, id).await.expect("an answer");
            assert_eq!(opened.get(), connections, "{id}");
        }
        suspend();
        ask(&entry, "three").await.expect("an answer");
        assert_eq!(
            opened.get(),
            2,
            "the server has closed the first one by now"
        );
    });
}

#[test]
fn a_control_instance_that_was_not_heard_meanwhile_is_asked_anew() {
    run_local_test(async {
        let control = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let entry = entry_for(([127, 0, 0, 1], 9).into());
        let peer = EntryPeer {
            instance: "entry".into(),
            incarnation: 1,
            domain: "here".into(),
            address: ([127, 0, 0, 1], 9).into(),
        };
        let feed = Rc::new(GroupFeed::new(entry, peer));
        feed.follow(control.local_addr().expect("an address"));
        let (_first, _) = control.accept().await.expect("a connection");
        tokio::time::sleep(Duration::from_millis(100)).await;
        suspend();
        let second = tokio::time::timeout(NOTICE_TIME, control.accept()).await;
        assert!(second.is_ok(), "it follows anew");
    });
}

#[test]
fn the_clock_of_a_process_goes_on_at_least_as_the_steady_one() {
    let clock = ProcessClock::start();
    let begin = Instant::now();
    std::thread::sleep(Duration::from_millis(30));
    let steady = begin.elapsed();
    assert!(clock.elapsed() >= steady);
    // What is due in a long time is looked for again and again until then.
    let far = clock.elapsed() + SUSPENSION;
    assert!(clock.sleep_until(far) < NOTICE_TIME);
}
