//! What a server is told of the time left for a subquery that was decided on
//! some time before it is written.
//!
//! What callers saw: the same as with forwarded requests (`held_up/`), servers
//! at work for callers whose time was over. The time was worked out by the
//! thread that decides, and written by another once it had a connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use wheelmast_core::arena::{KeyArena, ServerKey, SlotArena};
use wheelmast_core::prelude::*;
use wheelmast_core::process::input::RequestBody;
use wheelmast_core::request::identity::{AttemptId, RequestId};
use wheelmast_core::version::snapshot::SnapshotId;
use wheelmast_node::connection::attempt::run_attempt;
use wheelmast_node::connection::pool::ConnectionPool;
use wheelmast_node::process::clock::ProcessClock;

/// Time that is left at the decision.
const LEFT: Duration = Duration::from_millis(1500);

/// Starts a server that keeps what it is asked and answers nothing of use.
fn start_server() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let asked = Arc::new(Mutex::new(Vec::new()));
    let keep = asked.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut bytes = vec![0; 4096];
            let count = stream.read(&mut bytes).unwrap_or(0);
            let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
            keep.lock().expect("kept").push(text);
            let _ = stream.write_all(b"HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n");
        }
    });
    (address, asked)
}

fn order(address: SocketAddr, deadline: Duration) -> SendOrder {
    let identity = RequestId {
        incarnation: 1,
        sequence: 1,
    };
    SendOrder {
        attempt: SlotArena::<()>::default().insert(()),
        id: AttemptId {
            incarnation: 1,
            sequence: 1,
        },
        request: identity,
        server: KeyArena::<ServerKey, ()>::default().push(()),
        address,
        shard: 1,
        snapshot: SnapshotId {
            epoch: 1,
            version: 1,
        },
        deadline,
        body: Arc::new(RequestBody {
            kind: RequestKind::Query,
            key: None,
            payload: b"{}".to_vec().into_boxed_slice(),
        }),
    }
}

struct WaitCase {
    name: &'static str,
    waited: Duration,
    is_asked: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_is_told_what_is_left_when_it_is_written_to() {
    let cases = [
        WaitCase {
            name: "some of it",
            waited: Duration::from_millis(600),
            is_asked: true,
        },
        WaitCase {
            name: "nothing",
            waited: LEFT,
            is_asked: false,
        },
    ];
    for case in cases {
        let (address, asked) = start_server();
        let clock = ProcessClock::start();
        let begun = Instant::now();
        let order = order(address, clock.elapsed() + LEFT);
        std::thread::sleep(case.waited);
        let waited = begun.elapsed().as_millis() as u64;
        let reply = run_attempt(ConnectionPool::default(), None, clock, order).await;
        let asked = asked.lock().expect("kept").clone();
        assert_eq!(asked.len(), usize::from(case.is_asked), "{}", case.name);
        if !case.is_asked {
            assert!(
                matches!(reply.status, ReplyStatus::NeverSent),
                "{}: {:?}",
                case.name,
                reply.status
            );
        }
        for text in asked {
            let (_, rest) = text.split_once("\"remaining_ms\":").expect("a time");
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            let told: u64 = digits.parse().expect("a number");
            let left = LEFT.as_millis() as u64;
            assert!(told + waited <= left, "{}: {told} {waited}", case.name);
        }
    }
}
