//! Test support: child processes that end with the test, and an HTTP client that
//! sends raw text, so that a test can send malformed requests.

#![allow(dead_code, unreachable_pub)]

pub mod entry;
pub mod flood;
pub mod guarded;
pub mod order;
pub mod spoilt;

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Sends a raw HTTP request on a new connection and returns the response's status
/// and body. A response without a valid status yields status 0.
pub async fn send_http_request(address: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The server may answer and close before it has read the whole request.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string());
    (status.unwrap_or(0), body.unwrap_or_default())
}

/// Returns the text of a POST request. Each line of `headers` ends with `\r\n`.
pub fn post_request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Runs an asynchronous test on one thread, in a [`LocalSet`] so that the test can
/// spawn tasks that are not `Send`.
pub fn run_local_test(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("build runtime");
    LocalSet::new().block_on(&runtime, test);
}
