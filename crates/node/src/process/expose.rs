//! A listener for metrics, in the format of Prometheus.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::connection::accept::next_stream;

/// Format of what is rendered.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";
/// Longest time that a reader may take for the head of its question.
const HEAD_TIME: Duration = Duration::from_secs(10);

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
            let service = service_fn(move |_: Request<Incoming>| {
                let mut response = Response::new(Full::new(Bytes::from(render())));
                let format = HeaderValue::from_static(TEXT_FORMAT);
                response.headers_mut().insert(CONTENT_TYPE, format);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .serve_connection(TokioIo::new(stream), service);
            // A reader that sends what is no request harms only itself.
            let _ = connection.await;
        });
    }
}
