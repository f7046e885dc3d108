//! Limits on callers' requests that change while connections are open.
//!
//! A client that keeps its connection sent a POST of 20,000 bytes 4.5 s after a table that allows
//! it was confirmed, and got 413, which ends the request for good: a connection kept the limits of
//! the table that was in force when it was accepted (the review's case 6).

mod support;

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use wheelmast_core::process::forward::input::ForwardInput;
use wheelmast_core::version::route_table::{RouteDraft, RouteTable};

use crate::support::entry::LocalEntry;
use crate::support::run_local_test;

/// Longest wait for a response, or for the end of a connection.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns a table without servers and with these limits.
fn table(version: u64, head_bytes: usize, body_bytes: usize) -> String {
    format!(
        r#"{{"version": {version}, "services": [{{"name": "desk", "connections": 10}}],
        "limits": {{"head_bytes": {head_bytes}, "body_bytes": {body_bytes}, "head_ms": 3000,
                    "idle_ms": 15000}},
        "routes": [{{"name": "d", "host": "h", "prefix": "/d/", "idempotent": true, "rank": 0,
          "time_limit_ms": 300, "objective_ms": 100, "attempts": 1,
          "target": {{"service": "desk"}}}}]}}"#
    )
}

/// Brings a table in force at an entry.
fn apply(entry: &LocalEntry, text: &str) {
    let draft: RouteDraft = serde_json::from_str(text).expect("a draft");
    let table = RouteTable::check(draft).expect("a table");
    entry.driver.step(ForwardInput::Table(table.into()));
}

/// Sends a POST and returns the status of the response, or `None` if the connection has ended.
async fn post(stream: &mut TcpStream, header_bytes: usize, body_bytes: usize) -> Option<u16> {
    let (filling, body) = ("x".repeat(header_bytes), "b".repeat(body_bytes));
    let request = format!(
        "POST /d/x HTTP/1.1\r\nhost: h\r\nfilling: {filling}\r\ncontent-length: {body_bytes}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    while !bytes.windows(4).any(|window| window == b"\r\n\r\n") {
        let read = tokio::time::timeout(TIMEOUT, stream.read_buf(&mut bytes)).await;
        if read.expect("a response").ok()? == 0 {
            return None;
        }
    }
    let head = String::from_utf8_lossy(&bytes);
    head.split(' ').nth(1)?.parse().ok()
}

#[test]
fn a_kept_connection_gets_a_raised_limit_on_bodies() {
    run_local_test(async {
        let entry = LocalEntry::start(&table(1, 16_384, 4096)).await;
        let mut stream = TcpStream::connect(entry.address).await.expect("connected");
        let status = post(&mut stream, 10, 100).await;
        assert_eq!(status, Some(503), "there is no server");
        let mut other = TcpStream::connect(entry.address).await.expect("connected");
        assert_eq!(post(&mut other, 10, 20_000).await, Some(413));
        apply(&entry, &table(2, 16_384, 262_144));
        assert_eq!(post(&mut stream, 10, 20_000).await, Some(503));
    });
}

#[test]
fn a_kept_connection_ends_when_the_limit_on_heads_is_raised() {
    run_local_test(async {
        let entry = LocalEntry::start(&table(1, 16_384, 4096)).await;
        let mut stream = TcpStream::connect(entry.address).await.expect("connected");
        assert_eq!(post(&mut stream, 10, 100).await, Some(503));
        apply(&entry, &table(2, 65_536, 4096));
        // What is left of the response comes before the end.
        let mut unread = Vec::new();
        let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut unread)).await;
        assert!(read.expect("the end of the connection").is_ok());
        let mut stream = TcpStream::connect(entry.address).await.expect("connected");
        assert_eq!(post(&mut stream, 30_000, 100).await, Some(503));
    });
}
