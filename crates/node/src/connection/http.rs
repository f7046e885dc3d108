//! Serving HTTP/1 on an accepted connection, and building responses.

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

/// Content type of plain text.
pub const TEXT_CONTENT_TYPE: &str = "text/plain";
/// Content type of JSON.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// A response whose complete body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Answers the requests of a connection with `handle_request` until the connection ends.
///
/// Closes the connection if the head of the next request is not received within
/// `head_timeout`, which also limits the idle time between requests.
pub async fn serve_http<F: Future<Output = FullResponse>>(
    stream: TcpStream,
    head_timeout: Duration,
    handle_request: impl Fn(Request<Incoming>) -> F,
) {
    let service = service_fn(|request| {
        let response = handle_request(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .serve_connection(TokioIo::new(stream), service);
    // A protocol error of the client ends only its own connection.
    let _ = connection.await;
}

/// Returns a response with a status, a content type and a body.
pub fn typed_response(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> FullResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Sets the `Retry-After` header of a response, in seconds with three decimals.
pub fn set_retry_after(response: &mut FullResponse, after: Duration) {
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(seconds) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, seconds);
    }
}
