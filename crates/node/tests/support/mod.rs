//! Processes that end with the test, and a client that writes HTTP by hand, so
//! that it can write it wrong.

#![allow(dead_code, unreachable_pub)]

pub mod guarded;

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Sends bytes on a connection of their own and returns status and body.
pub async fn send_http_request(address: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    // The other end may answer and close before it has taken everything.
    let _ = stream.write_all(request.as_bytes()).await;
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    let body = text
        .split_once("\r\n\r\n")
        .map(|(_, body)| body.to_string());
    (status.unwrap_or(0), body.unwrap_or_default())
}

pub fn post_request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Plays a test on one thread, with tasks that stay on it.
pub fn run_local_test(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}
