//! Tests of the connections of an entry to a server that accepts few of them, with a small
//! fake server that resets the connections over its limit.
//!
//! Guards against more connections than the entry may have, and against requests that are
//! written to a connection that the server resets: they would count as possibly run.

mod support;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_core::process::forward::answer::ForwardAnswer;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{EntryPeer, ForwardCall, ForwardInput};
use wheelmast_core::process::forward::machine::ForwardOptions;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};
use wheelmast_node::process::forward::entry::ForwardDriver;
use wheelmast_node::process::forward::image::RequestImage;
use wheelmast_wire::native::NativeDialect;

use crate::support::run_local_test;

/// Requests may run at most once.
const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 54}],
    "routes": [{"name": "d", "host": "h", "prefix": "/", "idempotent": false, "rank": 0,
      "time_limit_ms": 8000, "objective_ms": 500, "attempts": 1,
      "target": {"service": "desk"}}]}"#;
/// Number of entries: more than the server accepts connections.
const ENTRIES: u16 = 63;
/// Slots of the server. The entry owns the server's shard and gets two places per slot.
const SLOTS: u32 = 2;
/// Connections that the entry may have.
const PLACES: u32 = 4;
/// Time that the server works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);

type Entry = Rc<ForwardDriver<NativeDialect>>;

/// What a fake server has seen.
#[derive(Debug, Default)]
struct ServerLog {
    open: Cell<u32>,
    most_open: Cell<u32>,
    accepted: Cell<u32>,
    resets: Cell<u32>,
    requests: RefCell<Vec<String>>,
}

/// Starts a server that resets connections if `limit` are open.
async fn start_server(limit: u32) -> (std::net::SocketAddr, Rc<ServerLog>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let log = Rc::new(ServerLog::default());
    let server_log = log.clone();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if server_log.open.get() >= limit {
                server_log.resets.set(server_log.resets.get() + 1);
                socket2::SockRef::from(&stream)
                    .set_linger(Some(Duration::ZERO))
                    .expect("linger");
                continue;
            }
            server_log.accepted.set(server_log.accepted.get() + 1);
            server_log.open.set(server_log.open.get() + 1);
            let most = server_log.most_open.get().max(server_log.open.get());
            server_log.most_open.set(most);
            let log = server_log.clone();
            tokio::task::spawn_local(async move {
                answer_requests(stream, &log).await;
                log.open.set(log.open.get() - 1);
            });
        }
    });
    (address, log)
}

/// Answers the requests on a connection until it is closed.
async fn answer_requests(mut stream: TcpStream, log: &ServerLog) {
    let mut bytes = vec![0; 4096];
    while let Ok(read) = stream.read(&mut bytes).await {
        let head = String::from_utf8_lossy(&bytes[..read]).to_string();
        let mut lines = head.lines();
        let Some(line) = lines.find(|line| line.starts_with("wheelmast-request")) else {
            return;
        };
        log.requests.borrow_mut().push(line.to_string());
        tokio::time::sleep(SERVICE_TIME).await;
        let answer = format!(
            "HTTP/1.1 200 OK\r\n{line}\r\nwheelmast-stamp: s\r\n\
             keep-alive: timeout=5\r\ncontent-length: 0\r\n\r\n"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Starts the only entry of its failure domain, which knows one server there. The other
/// entries are in another domain if connections are to be scarce.
fn start_entry(server: std::net::SocketAddr, entries: u16) -> Entry {
    let peer = |number: u16| EntryPeer {
        instance: format!("entry-{number}").into(),
        incarnation: 1,
        domain: if number == 0 { "here" } else { "there" }.into(),
        address: ([127, 0, 0, 1], 9).into(),
    };
    let options = ForwardOptions {
        domain: "here".into(),
        local_id: peer(0).id(),
        connection_subsets: true,
        ..ForwardOptions::default()
    };
    let entry = Rc::new(ForwardDriver::new(options, 1));
    tokio::task::spawn_local(entry.clone().run_timers());
    let draft: RouteDraft = serde_json::from_str(TABLE).expect("a draft");
    let table = RouteTable::check(draft).expect("a table");
    entry.step(ForwardInput::EntryCount(u32::from(entries)));
    entry.step(ForwardInput::Peers((0..entries).map(peer).collect()));
    entry.step(ForwardInput::Table(table.into()));
    entry.step(ForwardInput::Announcement(ServerAnnouncement {
        id: "desk-1".into(),
        service: "desk".into(),
        address: Some(server),
        domain: "here".into(),
        version: "".into(),
        slots: SLOTS,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    }));
    entry
}

/// Sends the request `id` to the entry and returns the receiver of the answer.
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
        time_left: None,
        relayed: None,
    }));
    answer
}

fn assert_served(answer: ForwardAnswer) {
    assert!(matches!(answer, ForwardAnswer::Server(_)), "{answer:?}");
}

#[test]
fn requests_on_reset_connections_are_sent_again_and_run_once() {
    run_local_test(async {
        let (address, log) = start_server(2).await;
        let entry = start_entry(address, ENTRIES);
        let answers: Vec<_> = (0..12)
            .map(|number| send_request(&entry, &format!("r{number}")))
            .collect();
        for answer in answers {
            let answer = tokio::time::timeout(Duration::from_secs(5), answer).await;
            assert_served(answer.expect("in time").expect("an answer"));
        }
        let mut requests = log.requests.borrow().clone();
        assert_eq!(requests.len(), 12, "{requests:?}");
        requests.sort();
        requests.dedup();
        assert_eq!(requests.len(), 12, "each runs once");
        // All places beyond the server's limit are tried at first and once more after the
        // back-off.
        let resets = log.resets.get();
        assert!((1..=4).contains(&resets), "{resets}");
        let counters = entry.with_machine(|machine| machine.counters());
        assert_eq!(counters.connection_resets, u64::from(resets));
        assert_eq!(counters.broken, 0);
    });
}

#[test]
fn no_more_connections_are_open_than_the_entry_has_places() {
    run_local_test(async {
        let (address, log) = start_server(1000).await;
        let entry = start_entry(address, ENTRIES);
        for round in 0..3 {
            let answers: Vec<_> = (0..16)
                .map(|number| send_request(&entry, &format!("r{round}-{number}")))
                .collect();
            for answer in answers {
                assert_served(answer.await.expect("an answer"));
            }
        }
        assert_eq!(log.most_open.get(), PLACES);
        assert_eq!(log.accepted.get(), PLACES, "connections are reused");
    });
}

#[test]
fn requests_with_the_same_id_replace_idle_connections_within_the_limit() {
    run_local_test(async {
        let (address, log) = start_server(1000).await;
        let entry = start_entry(address, ENTRIES);
        for _ in 0..8 {
            assert_served(send_request(&entry, "same").await.expect("an answer"));
        }
        assert_eq!(log.accepted.get(), 8, "no connection carries an id twice");
        // The server may see the new connection before it has closed the replaced one.
        let most_open = log.most_open.get();
        assert!(most_open <= PLACES + 1, "{most_open}");
        let metrics = entry.render_metrics();
        let open = format!("wheelmast_connections_open {PLACES}");
        assert!(metrics.contains(&open), "{metrics}");
    });
}

#[test]
fn idle_connections_of_a_lost_place_are_closed() {
    run_local_test(async {
        let (address, log) = start_server(1000).await;
        let entry = start_entry(address, ENTRIES);
        let answers: Vec<_> = (0..8)
            .map(|number| send_request(&entry, &format!("r{number}")))
            .collect();
        for answer in answers {
            assert_served(answer.await.expect("an answer"));
        }
        assert_eq!(log.open.get(), PLACES);
        // The entry moves out of the server's failure domain as far as the limit of the
        // table goes: at one connection per server only one entry has a place.
        let draft = TABLE
            .replace("\"version\": 1", "\"version\": 2")
            .replace("54", "1");
        let draft: RouteDraft = serde_json::from_str(&draft).expect("a draft");
        let table = RouteTable::check(draft).expect("a table");
        entry.step(ForwardInput::Table(table.into()));
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(log.open.get(), 0);
        assert_served(send_request(&entry, "last").await.expect("an answer"));
        assert_eq!(log.open.get(), 1);
    });
}

#[test]
fn where_connections_are_not_scarce_no_limit_and_no_settle_time_apply() {
    run_local_test(async {
        let (address, log) = start_server(1000).await;
        let entry = start_entry(address, 2);
        for _ in 0..8 {
            assert_served(send_request(&entry, "same").await.expect("an answer"));
        }
        assert_eq!(log.open.get(), 8, "each id needs a connection of its own");
        let metrics = entry.render_metrics();
        assert!(metrics.contains("wheelmast_connection_places 0"));
        assert!(metrics.contains("wheelmast_connection_resets_total 0"));
    });
}
