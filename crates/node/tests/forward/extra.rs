//! Checks that a late second response to a request is never taken as the response
//! to another request with the same id.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::harness::{route_table, send_request, wait_until, Deployment};

/// Starts a server that counts its connections. When a connection carries the same
/// request id twice in a row, the server answers the second request with `extra`
/// instead of `right`, as if it answered the first request again.
async fn start_server(connections: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            connections.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut previous_line = String::new();
                let mut bytes = vec![0; 4096];
                while let Ok(count) = stream.read(&mut bytes).await {
                    let head = String::from_utf8_lossy(&bytes[..count]).to_string();
                    let line = head
                        .lines()
                        .find(|line| line.starts_with("wheelmast-request"));
                    let Some(line) = line else {
                        return;
                    };
                    let body = if previous_line == line {
                        "extra"
                    } else {
                        "right"
                    };
                    previous_line = line.to_string();
                    let response = format!(
                        "HTTP/1.1 200 OK\r\n{line}\r\nwheelmast-stamp: s\r\ncontent-length: 5\r\n\r\n{body}"
                    );
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_request_id_never_gets_a_late_response_to_an_earlier_run() {
    let deployment = Deployment::start(32);
    let connections = Arc::new(AtomicUsize::new(0));
    let address = start_server(connections.clone()).await;
    deployment.put_first_table(&route_table(1));
    let body = format!(
        r#"{{"service":"desk","address":"{address}","failure_domain":"here","slots":4,"draining":false,"sequence":1}}"#
    );
    wait_until(
        "the announcement is accepted",
        || {
            send_request(
                deployment.front_address(0),
                "PUT",
                "/v1/servers/desk-1",
                "",
                &body,
            )
        },
        |reply| reply.status == 200,
    );
    wait_until(
        "a request is served",
        || deployment.query(3, "/d/x", "other"),
        |reply| reply.status == 200,
    );
    let opened_before = connections.load(Ordering::Relaxed);
    for _ in 0..4 {
        let reply = deployment.query(3, "/d/x", "same").expect("an answer");
        assert_eq!(reply.status, 200);
        assert_eq!(reply.body, b"right", "the answer belongs to another run");
    }
    let later = deployment.query(3, "/d/x", "next").expect("an answer");
    assert_eq!(later.body, b"right");
    // A repeated id must not share a connection with the earlier request: three of
    // the four requests with the id `same` open one.
    let opened = connections.load(Ordering::Relaxed) - opened_before;
    assert_eq!(
        opened, 3,
        "only a request that must not share a connection opens one"
    );
}
