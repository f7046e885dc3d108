//! Servers in trouble whose answers don't follow the grammar of HTTP/1.1.
//!
//! The users saw such answers returned to callers as complete, with a body that was not the
//! server's: the head was spoilt where it tells the length of the body, or held a line that is
//! no field; others had the status 000, or a blank or a control byte in the name of a field.

mod support;

use std::net::SocketAddr;

use bytes::BytesMut;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use wheelmast_node::connection::answer_head::parse_head;
use wheelmast_node::connection::answer_reader::CompleteAnswer;
use wheelmast_node::connection::exchange::{exchange, ExchangeFailure};

use crate::support::entry::{read_request_id, request_from, LocalEntry};
use crate::support::run_local_test;
use crate::support::spoilt::{SpoiltAnswer, SPOILT_ANSWERS, UNUSUAL_ANSWERS};

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nhost: h\r\n\r\n";
/// `page` goes to one of two servers, `sweep` to one of two servers of the only shard.
const TABLE: &str = r#"{"version": 1, "services": [{"name": "desk", "connections": 100},
      {"name": "s0", "connections": 100}],
    "routes": [
      {"name": "page", "host": "h", "prefix": "/page/", "idempotent": true, "rank": 0,
       "time_limit_ms": 9000, "objective_ms": 4000, "attempts": 2, "target": {"service": "desk"}},
      {"name": "sweep", "host": "h", "prefix": "/sweep/", "idempotent": true, "rank": 0,
       "time_limit_ms": 9000, "objective_ms": 4000, "attempts": 2, "top": 4,
       "least_coverage": 1.0, "target": {"gather": ["s0"]}}]}"#;
/// Body of the answers of sound servers.
const GOOD_BODY: &str = "record of 16 b..";

/// Starts a server that answers one request on each connection and closes it.
async fn start_server(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let Some(id) = read_request_id(&mut stream).await else {
                    return;
                };
                let lines = format!("wheelmast-request: {id}\r\nwheelmast-stamp: {id}\r\n");
                let _ = stream
                    .write_all(answer.replace("ID", &lines).as_bytes())
                    .await;
            });
        }
    });
    address
}

/// Sends a request to a server that writes an answer without header lines for `ID`, and closes
/// the connection.
async fn exchange_with(answer: &SpoiltAnswer) -> Result<CompleteAnswer, ExchangeFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = answer.text.replace("ID", "");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    exchange(&mut stream, &mut BytesMut::new(), REQUEST).await
}

#[tokio::test]
async fn a_spoilt_answer_is_no_answer() {
    let mut passed = Vec::new();
    for answer in SPOILT_ANSWERS {
        if let Ok(read) = exchange_with(answer).await {
            passed.push((answer.name, read.status, read.body));
        }
    }
    assert!(passed.is_empty(), "{} passed: {passed:#?}", passed.len());
}

#[tokio::test]
async fn an_unusual_answer_is_one() {
    for answer in UNUSUAL_ANSWERS {
        let read = exchange_with(answer).await.expect(answer.name);
        assert_eq!(
            (read.status, &*read.body),
            (200, &b"ok"[..]),
            "{}",
            answer.name
        );
    }
}

#[test]
fn a_caller_gets_the_answer_of_another_server() {
    run_local_test(async {
        let good = "HTTP/1.1 200 OK\r\nIDcontent-length: 16\r\n\r\nrecord of 16 b..";
        for answer in SPOILT_ANSWERS {
            let entry = LocalEntry::start(TABLE).await;
            for service in ["desk", "s0"] {
                let bad = start_server(answer.text).await;
                entry.add_server(&format!("{service}-bad"), service, bad);
                let good = start_server(good).await;
                entry.add_server(&format!("{service}-good"), service, good);
            }
            for number in 0..6 {
                let route = ["page", "sweep"][number % 2];
                let path = format!("/{route}/{number}");
                let request =
                    format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
                let (status, text) = request_from([127, 0, 0, 1], entry.address, &request).await;
                let is_good = status == 200 && text.ends_with(GOOD_BODY);
                assert!(is_good, "{}, {path}: {text}", answer.name);
            }
        }
    });
}

#[test]
fn an_answer_to_a_head_request_has_no_body() {
    run_local_test(async {
        let head = "HTTP/1.1 200 OK\r\nIDcontent-length: 16\r\n\r\n";
        let entry = LocalEntry::start(TABLE).await;
        entry.add_server("desk-1", "desk", start_server(head).await);
        let request = "HEAD /page/1 HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";
        let (status, text) = request_from([127, 0, 0, 1], entry.address, request).await;
        assert_eq!(status, 200, "{text}");
    });
}

proptest! {
    /// A control byte anywhere in a head makes it invalid. CR and LF may end the head early, or
    /// leave it incomplete; then it does not have the fields that it had.
    #[test]
    fn a_control_byte_spoils_a_head(position in 0..64_usize, control in 0..32_u8) {
        let valid = b"HTTP/1.1 200 OK\r\nserver: some\r\ncontent-length: 12\r\nx-y: z z\r\n\r\n";
        prop_assume!(position < valid.len() && control != b'\t' && valid[position] != control);
        let mut spoilt = valid.to_vec();
        spoilt[position] = control;
        prop_assert!(!matches!(parse_head(&spoilt), Ok(Some(_))));
    }

    /// Whatever is read as a length is the decimal number that stands there.
    #[test]
    fn only_digits_are_a_length(text in "[-+0-9a-fx., ]{1,4}") {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {text}\r\n\r\n");
        let parsed = parse_head(head.as_bytes());
        let trimmed = text.trim_matches(' ');
        let is_number = !trimmed.is_empty() && trimmed.bytes().all(|byte| byte.is_ascii_digit());
        prop_assert_eq!(matches!(parsed, Ok(Some(_))), is_number);
    }
}
