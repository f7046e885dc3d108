//! Serving HTTP on a connection, and whole responses.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

/// Type of a body in plain text.
pub const TEXT_CONTENT_TYPE: &str = "text/plain";
/// Type of a body in JSON.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// A response whose body is there.
pub type FullResponse = Response<Full<Bytes>>;

/// Answers the requests of a connection until it ends.
///
/// The head of a request may take `head_time`, and the connection may be idle
/// as long.
pub async fn serve_http<F: Future<Output = FullResponse>>(
    stream: TcpStream,
    head_time: Duration,
    answer: impl Fn(Request<Incoming>) -> F,
) {
    let service = service_fn(|request| {
        let answer = answer(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_time)
        .serve_connection(TokioIo::new(stream), service);
    // Whoever sends what is no request harms only itself.
    let _ = connection.await;
}

/// Returns a response with a body of a type.
pub fn typed_response(
    status: StatusCode,
    kind: &'static str,
    body: impl Into<Bytes>,
) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Says in a response when to come back.
pub fn set_retry_after(response: &mut FullResponse, after: Duration) {
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
}
