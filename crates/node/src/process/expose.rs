//! An HTTP listener that serves metrics in the Prometheus text format.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::connection::accept::accept_connection;
use crate::connection::http::{serve_http, typed_response};

/// Content type of the rendered metrics.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Time within which a client must send the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves metrics until the process ends.
///
/// If the address cannot be bound, the error is logged and the instance runs
/// without metrics.
pub async fn expose_metrics(address: SocketAddr, render: impl Fn() -> String + 'static) {
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            tracing::error!(%address, "metrics: could not listen, {error}");
            return;
        }
    };
    let render = Rc::new(render);
    loop {
        let stream = accept_connection(&listener).await;
        let render = render.clone();
        tokio::task::spawn_local(async move {
            let answer = |_| {
                let response = typed_response(StatusCode::OK, METRICS_CONTENT_TYPE, render());
                async move { response }
            };
            serve_http(stream, HEAD_TIMEOUT, answer).await;
        });
    }
}
