//! HTTP/2 streams that are reset with `NO_ERROR` before their end.
//!
//! The HTTP library ends a body at such a reset as if it was complete. Guards against requests
//! that run with a part of their body, and against parts of replies that pass for whole ones.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::routing::post;
use axum::Router;
use bytes::Bytes;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use wheelmast_node::connection::client_memory::ClientMemory;
use wheelmast_node::connection::listener::BoundListener;
use wheelmast_node::connection::peer::PeerLink;
use wheelmast_node::process::request_bounds::{bound_request, RequestBounds};
use wheelmast_wire::peer::{encode, PeerReply, PeerRequest};

/// How a body ends, and whether it is complete.
#[derive(Debug, Clone, Copy)]
struct EndCase {
    name: &'static str,
    end: fn(&mut h2::SendStream<Bytes>),
    is_complete: bool,
}

const CASES: [EndCase; 3] = [
    EndCase {
        name: "end of the stream",
        end: |stream| stream.send_data(Bytes::new(), true).expect("sent"),
        is_complete: true,
    },
    EndCase {
        name: "reset without an error",
        end: |stream| stream.send_reset(h2::Reason::NO_ERROR),
        is_complete: false,
    },
    EndCase {
        name: "cancelled",
        end: |stream| stream.send_reset(h2::Reason::CANCEL),
        is_complete: false,
    },
];
/// Time in which the bytes that were sent are read.
const READ_TIME: Duration = Duration::from_millis(200);

#[tokio::test]
async fn a_request_that_is_reset_does_not_run() {
    for case in CASES {
        let listener = BoundListener::bind(([127, 0, 0, 1], 0).into(), 10).await;
        let listener = listener.expect("a listener");
        let address = listener.address().expect("an address");
        let runs: Arc<Mutex<Vec<Bytes>>> = Arc::default();
        let seen = runs.clone();
        let bounds = RequestBounds {
            memory: ClientMemory::default(),
            max_body_bytes: 1024,
        };
        let run = move |body: Bytes| async move {
            seen.lock().expect("not poisoned").push(body);
        };
        let router = Router::new().route("/x", post(run));
        let router = router.layer(axum::middleware::from_fn_with_state(bounds, bound_request));
        let (_stop_sender, stop) = watch::channel(false);
        tokio::spawn(listener.serve(router, stop));
        let stream = TcpStream::connect(address).await.expect("connected");
        let (client, connection) = h2::client::handshake(stream).await.expect("HTTP/2");
        tokio::spawn(connection);
        let mut client = client.ready().await.expect("ready");
        let request = hyper::Request::post(format!("http://{address}/x"));
        let request = request.body(()).expect("a request");
        let (_response, mut body) = client.send_request(request, false).expect("sent");
        body.send_data(Bytes::from_static(b"1"), false)
            .expect("sent");
        tokio::time::sleep(READ_TIME).await;
        (case.end)(&mut body);
        tokio::time::sleep(READ_TIME).await;
        let count = runs.lock().expect("not poisoned").len();
        assert_eq!(count, usize::from(case.is_complete), "{}", case.name);
    }
}

#[tokio::test]
async fn a_reply_that_is_reset_is_no_reply() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut connection = h2::server::handshake(stream).await.expect("HTTP/2");
            let (_request, mut respond) = connection
                .accept()
                .await
                .expect("a request")
                .expect("valid");
            tokio::spawn(async move {
                let response = hyper::Response::new(());
                let mut body = respond.send_response(response, false).expect("sent");
                let reply = encode(&PeerReply::Taken).expect("encoded");
                body.send_data(reply.into(), false).expect("sent");
                tokio::time::sleep(READ_TIME).await;
                (case.end)(&mut body);
                tokio::time::sleep(READ_TIME).await;
            });
            while connection.accept().await.is_some() {}
        });
        let (link, _queue) = PeerLink::new("other", address, None, "a key of the cluster".into());
        let reply = link.ask(PeerRequest::AskTable { have: 1 }).await;
        assert_eq!(reply.is_ok(), case.is_complete, "{}: {reply:?}", case.name);
    }
}
