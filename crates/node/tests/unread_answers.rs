//! A client that asks for large answers over HTTP/2 and reads none of them.

use std::time::Duration;

use axum::routing::get;
use axum::Router;
use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::watch;
use wheelmast_node::connection::client_memory::ClientMemory;
use wheelmast_node::connection::listener::BoundListener;
use wheelmast_node::process::request_bounds::{bound_request, RequestBounds};

/// Size of an answer, in bytes.
const ANSWER_BYTES: usize = 1024 * 1024;
/// Limit of the memory, of which two thirds are for answers: two of them fit.
const MEMORY_BYTES: usize = 4 * ANSWER_BYTES;
/// Number of answers that the client asks for.
const UNREAD_ANSWERS: usize = 20;
/// Longest wait for anything.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Opens a connection that may receive `window` bytes of each answer. Returns the sender of
/// requests, and a task that ends with the connection.
async fn connect(
    address: std::net::SocketAddr,
    window: u32,
) -> (h2::client::SendRequest<Bytes>, tokio::task::JoinHandle<()>) {
    let stream = TcpStream::connect(address).await.expect("connected");
    let mut builder = h2::client::Builder::new();
    builder
        .initial_window_size(window)
        .initial_connection_window_size(1 << 24);
    let (sender, connection) = builder.handshake(stream).await.expect("HTTP/2");
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    (sender, task)
}

#[tokio::test]
async fn answers_that_are_not_read_give_way_to_others() {
    let listener = BoundListener::bind(([127, 0, 0, 1], 0).into(), 10).await;
    let listener = listener.expect("a listener");
    let address = listener.address().expect("an address");
    let bounds = RequestBounds {
        memory: ClientMemory::new(MEMORY_BYTES),
        max_body_bytes: 1024,
    };
    let router = Router::new().route("/x", get(|| async { vec![b'x'; ANSWER_BYTES] }));
    let router = router.layer(axum::middleware::from_fn_with_state(bounds, bound_request));
    let (_stop_sender, stop) = watch::channel(false);
    tokio::spawn(listener.serve(router, stop));
    let (sender, unread) = connect(address, 0).await;
    let mut answers = Vec::new();
    for _ in 0..UNREAD_ANSWERS {
        let Ok(mut sender) = sender.clone().ready().await else {
            break;
        };
        let request = hyper::Request::get(format!("http://{address}/x")).body(());
        let Ok((answer, _)) = sender.send_request(request.expect("a request"), true) else {
            break;
        };
        answers.push(answer);
    }
    let ended = tokio::time::timeout(TIMEOUT, unread).await;
    assert!(
        ended.is_ok(),
        "the connection with unread answers is still open"
    );
    let (sender, _connection) = connect(address, 1 << 20).await;
    let mut sender = sender.ready().await.expect("ready");
    let request = hyper::Request::get(format!("http://{address}/x")).body(());
    let (answer, _) = sender
        .send_request(request.expect("a request"), true)
        .expect("sent");
    let answer = tokio::time::timeout(TIMEOUT, answer)
        .await
        .expect("in time")
        .expect("an answer");
    let mut body = answer.into_body();
    let mut length = 0;
    while let Some(data) = body.data().await {
        length += data.expect("a part of the body").len();
    }
    assert_eq!(length, ANSWER_BYTES);
}
