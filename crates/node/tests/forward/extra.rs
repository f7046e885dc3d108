//! A server that answers once more, late.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{ask, route_table, until, Deployment};

/// A server that counts its connections and, once asked again on one with the
/// same id, answers the first request a second time.
async fn start_server(connections: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut last = String::new();
                let mut bytes = vec![0; 4096];
                while let Ok(count) = stream.read(&mut bytes).await {
                    let head = String::from_utf8_lossy(&bytes[..count]).to_string();
                    let line = head
                        .lines()
                        .find(|line| line.starts_with("wheelmast-request"));
                    let Some(line) = line else {
                        return;
                    };
                    let body = if last == line { "extra" } else { "right" };
                    last = line.to_string();
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\n{line}\r\nwheelmast-stamp: s\r\ncontent-length: 5\r\n\r\n{body}"
                    );
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_comes_again_never_meets_the_late_answer_to_itself() {
    let deployment = Deployment::start(32);
    let connections = Arc::new(AtomicUsize::new(0));
    let address = start_server(connections.clone()).await;
    deployment.put_first_table(&route_table(1));
    let body = format!(
        r#"{{"service":"desk","address":"{address}","failure_domain":"here","slots":4,"draining":false,"sequence":1}}"#
    );
    until(
        "announced",
        || ask(deployment.front(0), "PUT", "/v1/servers/desk-1", "", &body),
        |reply| reply.status == 200,
    );
    until(
        "served",
        || deployment.query(3, "/d/x", "other"),
        |reply| reply.status == 200,
    );
    let first = connections.load(Ordering::Relaxed);
    for _ in 0..4 {
        let reply = deployment.query(3, "/d/x", "same").expect("an answer");
        assert_eq!(reply.status, 200);
        assert_eq!(reply.body, b"right", "the answer to another run");
    }
    let later = deployment.query(3, "/d/x", "next").expect("an answer");
    assert_eq!(later.body, b"right");
    let opened = connections.load(Ordering::Relaxed) - first;
    assert_eq!(opened, 3, "only what must not share one opens one");
}
