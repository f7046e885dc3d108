//! Tests the time left that a subquery states to the server, if the subquery is written
//! some time after the decision to send it.
//!
//! Guards against servers that work for callers whose deadline has passed. This happened
//! when the deciding thread computed the time left and another thread wrote it later,
//! once it had a connection. `held_up/` tests the same for forwarded requests.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wheelmast_core::prelude::*;
use wheelmast_node::connection::attempt::run_attempt;
use wheelmast_node::connection::pool::ConnectionPool;
use wheelmast_node::process::clock::ProcessClock;

use crate::support::order::build_order;

/// Time left when the decision to send is made.
const TIME_LEFT: Duration = Duration::from_millis(1500);

/// Starts a server that records the requests and answers each with status 500. Returns its
/// address and the requests.
fn start_server() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let requests = Arc::new(Mutex::new(Vec::new()));
    let recorded = requests.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut bytes = vec![0; 4096];
            let count = stream.read(&mut bytes).unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
            recorded.lock().expect("not poisoned").push(text);
            let _ = stream.write_all(b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n");
        }
    });
    (address, requests)
}

/// A time between decision and write, and whether the subquery is expected to be sent.
struct WaitCase {
    name: &'static str,
    waited: Duration,
    is_sent: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_subquery_states_the_time_left_at_its_write() {
    let cases = [
        WaitCase {
            name: "some time left",
            waited: Duration::from_millis(600),
            is_sent: true,
        },
        WaitCase {
            name: "no time left",
            waited: TIME_LEFT,
            is_sent: false,
        },
    ];
    for case in cases {
        let (address, requests) = start_server();
        let clock = ProcessClock::start();
        let decided_at = Instant::now();
        let order = build_order(address, clock.elapsed() + TIME_LEFT);
        std::thread::sleep(case.waited);
        let waited_ms = decided_at.elapsed().as_millis() as u64;
        let reply = run_attempt(ConnectionPool::default(), None, clock, order).await;
        let requests = requests.lock().expect("not poisoned").clone();
        assert_eq!(requests.len(), usize::from(case.is_sent), "{}", case.name);
        if !case.is_sent {
            assert!(
                matches!(reply.status, ReplyStatus::NeverSent),
                "{}: {:?}",
                case.name,
                reply.status
            );
        }
        for text in requests {
            let (_, rest) = text.split_once("\"remaining_ms\":").expect("a time");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            let remaining_ms: u64 = digits.parse().expect("a number");
            let time_left_ms = TIME_LEFT.as_millis() as u64;
            assert!(
                remaining_ms + waited_ms <= time_left_ms,
                "{}: {remaining_ms} {waited_ms}",
                case.name
            );
        }
    }
}
