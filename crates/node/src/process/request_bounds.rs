//! Bounds on what the clients of an HTTP listener make the process hold: requests and answers,
//! over HTTP/1.1 and HTTP/2.

use std::sync::Arc;
use std::time::Duration;

use axum::body::{to_bytes, Body, HttpBody};
use axum::extract::{Request, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderValue, Version};
use axum::middleware::Next;
use axum::response::Response;
use tokio::time::Instant;
use wheelmast_wire::prelude::ProblemBody;

use crate::connection::client::{ClientState, Eviction};
use crate::connection::client_memory::{ClientMemory, MemoryExhausted, MemoryUse};
use crate::connection::request_body::{read_before, read_body, BodyError};
use crate::request::respond::respond_problem;

/// Time within which a client must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Memory that a request with a body takes besides its head and its body, in bytes.
const REQUEST_BYTES: usize = 4 * 1024;

/// Bounds on the requests to a listener.
#[derive(Debug, Clone)]
pub struct RequestBounds {
    /// Memory that the listeners of the process share.
    pub memory: ClientMemory,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: usize,
}

/// Receives the body of a request, passes the complete request on, and counts its answer as held
/// until the client has read it.
pub async fn bound_request(
    State(bounds): State<RequestBounds>,
    mut request: Request,
    next: Next,
) -> Response {
    let client = request.extensions_mut().remove::<Arc<ClientState>>();
    let client = client.unwrap_or_default();
    // If memory is short, only this request is given up, not the others of its connection.
    let eviction = Arc::<Eviction>::default();
    let mut memory = None;
    if !request.body().is_end_stream() {
        let reservation = memory.insert(bounds.memory.hold(MemoryUse::Request, eviction.clone()));
        let other_bytes = REQUEST_BYTES + head_size(&request);
        let is_http1 = request.version() <= Version::HTTP_11;
        let (parts, mut body) = request.into_parts();
        let max_bytes = bounds.max_body_bytes;
        let reading = async {
            let resized = reservation.resize(other_bytes).await;
            resized.map_err(|MemoryExhausted| BodyError::MemoryExhausted)?;
            let bytes = read_body(&mut body, max_bytes, reservation, other_bytes).await?;
            // The HTTP library also ends a body at a reset of the stream without an error.
            match is_http1 || body.is_end_stream() {
                true => Ok(bytes),
                false => Err(BodyError::Unreadable),
            }
        };
        match read_before(Instant::now() + BODY_TIMEOUT, &eviction, reading).await {
            Ok(body) => request = Request::from_parts(parts, body.into()),
            Err(error) => return respond_body_error(error, max_bytes, is_http1),
        }
        reservation.end_wait();
    }
    let work = client.begin_work();
    let response = next.run(request).await;
    drop(work);
    drop(memory);
    hold_response(response, &bounds.memory, &client).await
}

/// Returns the size of a request's head, in bytes.
fn head_size(request: &Request) -> usize {
    let headers = request.headers().iter();
    let header_bytes = headers.map(|(name, value)| name.as_str().len() + value.len());
    request.uri().path().len() + header_bytes.sum::<usize>()
}

/// Responds to a request whose body was not read; nothing was run. An HTTP/1.1 client must close
/// the connection, on which the rest of the body may follow.
fn respond_body_error(error: BodyError, max_bytes: usize, is_http1: bool) -> Response {
    let problem =
        |status, kind, detail: String| ProblemBody::before_admission(status, kind, detail);
    let problem = match error {
        BodyError::TimedOut => {
            let detail = format!("the body did not come within {} s", BODY_TIMEOUT.as_secs());
            problem(408, "slow-body", detail)
        }
        BodyError::TooLarge | BodyError::Unreadable => {
            let detail = format!("the body broke off or is over {max_bytes} bytes");
            problem(413, "body-unreadable", detail)
        }
        BodyError::MemoryExhausted => {
            let detail = "too many requests are being received".to_string();
            let mut problem = problem(503, "busy", detail);
            problem.retry_after_ms = Some(1000);
            problem
        }
    };
    let mut response = respond_problem(&problem);
    if is_http1 {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Counts the body of a response as held for its client until it is written. A body of unknown
/// length is a stream, which holds little at a time.
async fn hold_response(
    response: Response,
    memory: &ClientMemory,
    client: &ClientState,
) -> Response {
    let Some(length) = response.body().size_hint().exact() else {
        return response;
    };
    let (parts, body) = response.into_parts();
    let held = match to_bytes(body, length as usize).await {
        Ok(body) => memory.hold_answer(body, &client.eviction).await.ok(),
        Err(_) => None,
    };
    match held {
        Some(body) => Response::from_parts(parts, Body::from(body)),
        None => {
            let detail = "no memory for the answer";
            let mut problem = ProblemBody::before_admission(502, "no-memory", detail);
            problem.outcome = wheelmast_wire::caller::OUTCOME_UNKNOWN.to_string();
            respond_problem(&problem)
        }
    }
}
