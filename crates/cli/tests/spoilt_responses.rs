//! Instances whose responses don't follow the grammar of HTTP/1.1, or end early.

#[allow(dead_code, unreachable_pub)]
#[path = "../../node/tests/support/spoilt.rs"]
mod spoilt;

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use wheelmast_cli::client::HttpClient;

use crate::spoilt::{SpoiltAnswer, SPOILT_ANSWERS, UNUSUAL_ANSWERS};

/// Starts an instance that writes `answer` after it has read something, and closes the connection.
async fn start_instance(answer: &SpoiltAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let text = answer.text.replace("ID", "");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let _ = stream.read(&mut [0; 4096]).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    address
}

/// Reads a response as a stream. Returns `None` if it is not valid or not complete.
async fn read_stream(address: SocketAddr) -> Option<Vec<u8>> {
    let client = HttpClient::default();
    let mut answer = client.open_stream(address, "/x").await.ok()?;
    let mut body = Vec::new();
    while let Some(data) = answer.next_data().await.ok()? {
        body.extend_from_slice(&data);
    }
    Some(body)
}

#[tokio::test]
async fn a_spoilt_response_is_an_error() {
    let mut passed = Vec::new();
    for answer in SPOILT_ANSWERS {
        let response = HttpClient::default()
            .get(start_instance(answer).await, "/x")
            .await;
        if response.is_ok() {
            passed.push(answer.name);
        }
        let is_success = answer.text.starts_with("HTTP/1.1 200");
        if is_success && read_stream(start_instance(answer).await).await.is_some() {
            passed.push(answer.name);
        }
    }
    assert!(passed.is_empty(), "{} passed: {passed:#?}", passed.len());
}

#[tokio::test]
async fn an_unusual_response_is_read() {
    for answer in UNUSUAL_ANSWERS {
        let response = HttpClient::default()
            .get(start_instance(answer).await, "/x")
            .await;
        let response = response.expect(answer.name);
        assert_eq!(
            (response.status.as_u16(), &*response.body),
            (200, &b"ok"[..]),
            "{}",
            answer.name
        );
        let body = read_stream(start_instance(answer).await).await;
        assert_eq!(body.as_deref(), Some(&b"ok"[..]), "{}", answer.name);
    }
}
