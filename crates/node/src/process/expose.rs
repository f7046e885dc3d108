//! A listener for metrics, in the format of Prometheus.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::net::TcpListener;

use crate::connection::accept::next_stream;
use crate::connection::http::{serve_http, typed_response};

/// Format of what is rendered.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Longest time that a reader may take for the head of its question.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers readers of metrics until the process ends.
///
/// An address that cannot be had is said in the log; the instance goes on
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
        let stream = next_stream(&listener).await;
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
