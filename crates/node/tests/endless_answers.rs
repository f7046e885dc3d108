//! Servers that send bytes without end, at each place of an answer.
//!
//! Guards against a task that ends with a panic, an attempt that lasts until its deadline, and
//! memory that grows with what a server sends: the size of a chunk could overflow, and neither
//! the extensions of chunks nor interim heads and trailers were limited.

mod support;

use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use wheelmast_node::connection::exchange::{exchange, ExchangeFailure};

use crate::support::entry::{read_request_id, request_from, LocalEntry};
use crate::support::flood::{FloodServer, FLOOD_PLACES};
use crate::support::run_local_test;

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
/// Longest time until an answer without end is given up, and until a caller is answered by
/// another server. Requests have twice that time.
const MAX_TIME: Duration = Duration::from_secs(2);
/// Most bytes that a server can send until its answer is given up.
const MAX_SENT: u64 = 128 * 1024 * 1024;
/// Most memory that the process of the test may need beyond what it needed before. Some of it
/// is that of the test's own servers.
const MAX_GROWTH_KB: u64 = 150 * 1024;
/// `page` goes to one of two servers, `sweep` to one of two servers of each shard.
const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 100},
      {"name": "s0", "connections": 100}, {"name": "s1", "connections": 100}],
    "routes": [
      {"name": "page", "host": "h", "prefix": "/page/", "idempotent": true, "rank": 0,
       "time_limit_ms": 4000, "objective_ms": 500, "attempts": 2, "target": {"service": "desk"}},
      {"name": "sweep", "host": "h", "prefix": "/sweep/", "idempotent": true, "rank": 0,
       "time_limit_ms": 4000, "objective_ms": 500, "attempts": 2, "top": 4,
       "least_coverage": 1.0, "target": {"gather": ["s0", "s1"]}}]}"#;
const SERVICES: [&str; 3] = ["desk", "s0", "s1"];

#[tokio::test]
async fn an_answer_without_end_is_given_up_early() {
    for place in FLOOD_PLACES {
        let server = FloodServer::start(*place);
        let mut stream = TcpStream::connect(server.address).await.expect("connected");
        let mut buffer = BytesMut::new();
        let begin = Instant::now();
        let exchange = exchange(&mut stream, &mut buffer, REQUEST);
        let answer = tokio::time::timeout(MAX_TIME, exchange).await;
        let failure = answer.expect(place.name).err();
        let is_failed = matches!(
            failure,
            Some(ExchangeFailure::Broken | ExchangeFailure::Unsent)
        );
        assert!(is_failed, "{}", place.name);
        drop(stream);
        assert!(server.sent() < MAX_SENT, "{}", place.name);
        println!(
            "{}: {:?}, {} bytes",
            place.name,
            begin.elapsed(),
            server.sent()
        );
    }
}

/// Starts a server that answers each request with a record.
async fn start_good_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                while let Some(id) = read_request_id(&mut stream).await {
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nwheelmast-request: {id}\r\nwheelmast-stamp: {id}\r\n\
                         content-length: 16\r\n\r\nrecord of 16 b.."
                    );
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Sends requests on both routes at the same time. Returns the statuses of the responses and
/// the longest time until one.
async fn send_requests(entry: &LocalEntry, label: &str, count: usize) -> (Vec<u16>, Duration) {
    let begin = Instant::now();
    let requests = (0..count).map(|number| {
        let route = ["page", "sweep"][number % 2];
        let path = format!("/{route}/{}/{number}", label.replace(' ', "-"));
        let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
        let to = entry.address;
        tokio::task::spawn_local(async move { request_from([127, 0, 0, 1], to, &request).await.0 })
    });
    let requests: Vec<_> = requests.collect();
    let mut statuses = Vec::new();
    for request in requests {
        statuses.push(request.await.expect("the request ends"));
    }
    (statuses, begin.elapsed())
}

/// Returns a value of the memory of this process, in KB: `VmRSS` for now, `VmHWM` for the peak.
fn memory_kb(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the process's status");
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
    let number = line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
    number.expect("the memory")
}

/// Lets the peak of the memory begin at the memory used now.
fn reset_peak_memory() {
    std::fs::write("/proc/self/clear_refs", "5").expect("the peak memory is reset");
}

#[test]
fn callers_are_served_by_other_servers_beside_one_that_sends_without_end() {
    run_local_test(async {
        for place in FLOOD_PLACES {
            let entry = LocalEntry::start(TABLE).await;
            let mut floods = Vec::new();
            for service in SERVICES {
                let (flood, good) = (FloodServer::start(*place), start_good_server().await);
                entry.add_server(&format!("{service}-bad"), service, flood.address);
                entry.add_server(&format!("{service}-good"), service, good);
                floods.push(flood);
            }
            let (statuses, took) = send_requests(&entry, place.name, 24).await;
            assert_eq!(statuses, [200; 24], "{}", place.name);
            assert!(took < MAX_TIME, "{}: {took:?}", place.name);
            // Attempts that the answers were not waited for are cancelled after some time.
            tokio::time::sleep(Duration::from_millis(600)).await;
            let count_sent = || floods.iter().map(FloodServer::sent).sum::<u64>();
            let sent = count_sent();
            tokio::time::sleep(Duration::from_millis(100)).await;
            assert_eq!(count_sent(), sent, "{}: still sending", place.name);
            assert!(sent > 0, "{}: nothing was sent", place.name);
        }
    });
}

#[test]
fn memory_stays_bounded_while_all_servers_send_without_end() {
    run_local_test(async {
        for place in FLOOD_PLACES {
            let entry = LocalEntry::start(TABLE).await;
            for service in SERVICES {
                for number in 0..2 {
                    let flood = FloodServer::start(*place);
                    entry.add_server(&format!("{service}-{number}"), service, flood.address);
                }
            }
            reset_peak_memory();
            let before_kb = memory_kb("VmRSS");
            let (statuses, took) = send_requests(&entry, place.name, 100).await;
            let are_failures = statuses.iter().all(|status| (502..=504).contains(status));
            assert!(are_failures, "{}: {statuses:?}", place.name);
            assert!(took < MAX_TIME * 3, "{}: {took:?}", place.name);
            let grown_kb = memory_kb("VmHWM").saturating_sub(before_kb);
            assert!(grown_kb < MAX_GROWTH_KB, "{}: {grown_kb} KB", place.name);
            println!("{}: {took:?}, {grown_kb} KB more", place.name);
        }
    });
}
