//! Upstream servers of snapshot queries whose replies don't follow the grammar of HTTP/1.1.
//!
//! Guards against a reply that is damaged on its way and passes for a complete one.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheelmast_core::prelude::*;
use wheelmast_node::connection::attempt::run_attempt;
use wheelmast_node::connection::pool::ConnectionPool;
use wheelmast_node::process::clock::ProcessClock;
use wheelmast_wire::upstream::SearchReply;

use crate::support::order::build_order;
use crate::support::spoilt::{SpoiltAnswer, SPOILT_ANSWERS, UNUSUAL_ANSWERS};

/// Time limit of the subqueries.
const TIME_LEFT: Duration = Duration::from_secs(5);

/// Returns the body of a reply to the order.
fn reply_body() -> String {
    let order = build_order(([127, 0, 0, 1], 1).into(), TIME_LEFT);
    let reply = SearchReply {
        attempt: order.id.to_string(),
        request: order.request.to_string(),
        shard: order.shard,
        epoch: order.snapshot.epoch,
        version: order.snapshot.version,
        hits: Vec::new(),
    };
    serde_json::to_string(&reply).expect("JSON")
}

/// Returns an answer with the body of a reply in place of its own body, in one chunk or of the
/// stated length.
fn reply_text(answer: &SpoiltAnswer) -> String {
    let body = reply_body();
    let (head, rest) = answer.text.rsplit_once("ID").unwrap_or(("", answer.text));
    let (lines, rest) = rest.split_once("ok").unwrap_or((rest, ""));
    let (length, size) = (body.len().to_string(), format!("{:x}", body.len()));
    let lines = match lines.split_once("\r\n\r\n") {
        Some((lines, chunk)) => {
            let chunk = chunk.replace(['2', '1'], &size);
            format!("{}\r\n\r\n{chunk}", lines.replace('2', &length))
        }
        None => lines.replace('2', &length),
    };
    format!("{head}{lines}{body}{rest}")
}

/// Starts a server that writes `text` after it has read something, and closes the connection.
async fn start_server(text: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    address
}

/// Sends a subquery to a server that writes `answer` and returns the outcome.
async fn run_with(answer: &SpoiltAnswer) -> ReplyStatus {
    let address = start_server(reply_text(answer)).await;
    let clock = ProcessClock::start();
    let order = build_order(address, clock.elapsed() + TIME_LEFT);
    run_attempt(ConnectionPool::default(), None, clock, order)
        .await
        .status
}

#[tokio::test]
async fn a_spoilt_reply_is_no_reply() {
    let mut passed = Vec::new();
    for answer in SPOILT_ANSWERS {
        if !matches!(run_with(answer).await, ReplyStatus::Failed) {
            passed.push(answer.name);
        }
    }
    assert!(passed.is_empty(), "{} passed: {passed:#?}", passed.len());
}

#[tokio::test]
async fn an_unusual_reply_is_one() {
    for answer in UNUSUAL_ANSWERS {
        // Each of its chunks has a part of the body.
        if answer.name == "extensions of chunks" {
            continue;
        }
        let status = run_with(answer).await;
        assert!(
            matches!(status, ReplyStatus::Body(_)),
            "{}: {status:?}",
            answer.name
        );
    }
}
