//! Serving HTTP/1 on accepted connections, and building responses.

use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use crate::connection::accept::accept_connection;
use crate::connection::client::{ClientConnection, ClientState, ClientTimeouts, ConnectionLimiter};
use crate::connection::client_memory::{ClientMemory, CountedBody, MemoryExhausted};
use crate::connection::client_stream::ClientStream;
use crate::connection::request_body::BodyError;
use crate::connection::short_reads::ShortReadStream;

/// Content type of plain text.
pub const TEXT_CONTENT_TYPE: &str = "text/plain";
/// Content type of JSON.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// Time after which a client should send a request again for which there was too little memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(250);

/// A response whose complete body is in memory.
pub type FullResponse = Response<Full<Bytes>>;

/// Time to write the refusal of a request whose body is not complete before its connection is
/// closed.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// Limits of a listener on its clients.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// Limits the number of connections.
    pub connections: ConnectionLimiter,
    /// Memory for requests and answers, which the listeners of a process share.
    pub memory: ClientMemory,
    /// Time limits.
    pub timeouts: ClientTimeouts,
}

/// Accepts connections on `listener` and answers their requests with `handle_request`, until
/// the returned future is dropped.
pub async fn serve_listener<H, F>(listener: TcpListener, limits: ListenerLimits, handle_request: H)
where
    H: Fn(Request<Incoming>, Arc<ClientState>) -> F + Clone + 'static,
    F: Future<Output = FullResponse> + 'static,
{
    loop {
        let stream = accept_connection(&listener).await;
        if let Some(client) = limits.connections.admit().await {
            let serving = serve_http(stream, client, limits.clone(), handle_request.clone());
            tokio::task::spawn_local(serving);
        }
    }
}

/// Answers the requests of a connection with `handle_request` until the connection ends, or its
/// client exceeds a limit.
pub async fn serve_http<F: Future<Output = FullResponse>>(
    stream: TcpStream,
    client: ClientConnection,
    limits: ListenerLimits,
    handle_request: impl Fn(Request<Incoming>, Arc<ClientState>) -> F,
) {
    let state = &client.state;
    let service = service_fn(|request| {
        state.begin_body();
        let response = handle_request(request, state.clone());
        let memory = &limits.memory;
        async move {
            let response = hold_response(response.await, memory, state).await;
            state.end_request();
            Ok::<_, Infallible>(response)
        }
    });
    let stream = ShortReadStream(stream);
    let stream = ClientStream::new(stream, state.clone(), limits.memory.clone());
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let connection = std::pin::pin!(connection);
    drive_connection(connection, state, state.wait_disconnect(|| limits.timeouts)).await;
}

/// Runs `connection` until it ends, or until `disconnect` is ready. A request whose body is not
/// complete then gets a short time for its refusal.
///
/// An error, such as a malformed request, affects only this connection.
pub async fn drive_connection<C: Future>(
    mut connection: Pin<&mut C>,
    client: &ClientState,
    disconnect: impl Future<Output = ()>,
) {
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = disconnect => {}
    }
    if client.is_receiving_body() {
        let _ = tokio::time::timeout(REFUSAL_GRACE, connection).await;
    }
}

/// Counts the body of a response as held for its client until it is written, unless it is a
/// [`CountedBody`].
pub async fn hold_response(
    response: FullResponse,
    memory: &ClientMemory,
    client: &ClientState,
) -> FullResponse {
    if response.extensions().get::<CountedBody>().is_some() {
        return response;
    }
    let (parts, body) = response.into_parts();
    let Ok(body) = body.collect().await;
    match memory.hold_answer(body.to_bytes(), &client.eviction).await {
        Ok(body) => Response::from_parts(parts, Full::new(body)),
        Err(MemoryExhausted) => {
            let text = "no memory for the answer";
            typed_response(StatusCode::BAD_GATEWAY, TEXT_CONTENT_TYPE, text)
        }
    }
}

/// Returns the response to a request whose body was not read, which is not carried out. The
/// client must close the connection, on which the rest of the body may follow.
pub fn body_error_response(error: BodyError, max_bytes: usize) -> FullResponse {
    let (status, text) = match error {
        BodyError::TooLarge => (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("body is over {max_bytes} bytes"),
        ),
        BodyError::Unreadable => (
            StatusCode::BAD_REQUEST,
            "body could not be read".to_string(),
        ),
        BodyError::TimedOut => (
            StatusCode::REQUEST_TIMEOUT,
            "body did not arrive in time".to_string(),
        ),
        BodyError::MemoryExhausted => (
            StatusCode::SERVICE_UNAVAILABLE,
            "too many requests are being received".to_string(),
        ),
    };
    let mut response = typed_response(status, TEXT_CONTENT_TYPE, text);
    if error == BodyError::MemoryExhausted {
        set_retry_after(&mut response, MEMORY_RETRY_AFTER);
    }
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
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
