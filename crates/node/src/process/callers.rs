//! The callers thread: HTTP/1.1 and HTTP/2 towards callers.

use std::time::Duration;

use axum::body::{to_bytes, Body};
use axum::error_handling::HandleErrorLayer;
use axum::extract::{Path, State};
use axum::http::header::CONNECTION;
use axum::http::{HeaderMap, HeaderValue, StatusCode, Version};
use axum::middleware::{from_fn_with_state, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{BoxError, Router};
use serde_json::value::RawValue;
use tower::ServiceBuilder;
use wheelmast_core::prelude::{RequestBody, RequestKind};
use wheelmast_core::process::control::fence::ExecutionResult;
use wheelmast_wire::caller::{DEADLINE_HEADER, IDEMPOTENCY_HEADER};
use wheelmast_wire::prelude::ProblemBody;

use crate::process::entry::EntryMessage;
use crate::process::fence::{claim_end, FenceDesk, FenceStop};
use crate::process::ready::ReadyFlag;
use crate::request::call::{make_call, CallError, CallRequest};
use crate::request::respond::{respond_kept, respond_outcome, respond_problem};
use crate::ring::RingSender;

/// Largest body of a request, in bytes.
pub const REQUEST_BYTES: usize = 1024 * 1024;
/// Most requests held at a time, those whose bodies still come in among them;
/// together with [`REQUEST_BYTES`] this bounds the memory of bodies.
const REQUESTS: usize = 2048;
/// Time a caller may take to send its body.
const BODY_TIME: Duration = Duration::from_secs(5);
/// Longest idempotency key or fetch key, in bytes.
const KEY_LENGTH: usize = 256;
/// Longest deadline a caller may name, in milliseconds.
const LONGEST_DEADLINE_MS: u64 = 600_000;

/// What the handlers share.
#[derive(Debug, Clone)]
pub struct CallerState {
    /// The entry thread.
    pub entry: RingSender<EntryMessage>,
    /// Whether new requests are wanted; false once the instance leaves.
    pub ready: ReadyFlag,
    /// Claims idempotency keys, if the instance is not alone.
    pub fence: Option<FenceDesk>,
}

/// Returns the routes towards callers.
pub fn caller_router(state: CallerState) -> Router {
    Router::new()
        .route("/v1/query/{service}", post(query))
        .route("/v1/fetch/{service}/{key}", get(fetch))
        .route("/v1/submit/{service}", post(submit))
        .route("/ready", get(ready))
        .fallback(unknown_path)
        .layer(
            ServiceBuilder::new()
                .layer(HandleErrorLayer::new(|_: BoxError| async {
                    respond_busy()
                }))
                .load_shed()
                .concurrency_limit(REQUESTS),
        )
        .layer(from_fn_with_state(state.clone(), close_when_leaving))
        .with_state(state)
}

/// Asks clients of a leaving instance to connect elsewhere next time.
async fn close_when_leaving(
    State(state): State<CallerState>,
    request: axum::extract::Request,
    next: Next,
) -> Response {
    let is_http1 = request.version() <= Version::HTTP_11;
    let mut response = next.run(request).await;
    if is_http1 && state.ready.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

async fn ready(State(state): State<CallerState>) -> StatusCode {
    if state.ready.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn unknown_path() -> Response {
    respond_problem(&ProblemBody::before_admission(
        404,
        "unknown-path",
        "see POST /v1/query/{service}, GET /v1/fetch/{service}/{key}, POST /v1/submit/{service}",
    ))
}

async fn query(
    State(state): State<CallerState>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = read_json(body)
        .await
        .and_then(|payload| call_request(&service, RequestKind::Query, None, payload, &headers));
    run_call(&state, &service, request).await
}

async fn fetch(
    State(state): State<CallerState>,
    Path((service, key)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let request = check_key(&key).and_then(|()| {
        let payload = Box::from(&b"null"[..]);
        call_request(&service, RequestKind::Fetch, Some(key), payload, &headers)
    });
    run_call(&state, &service, request).await
}

async fn submit(
    State(state): State<CallerState>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let payload = read_json(body).await;
    let request = payload.and_then(|payload| {
        let key = idempotency_key(&headers)?;
        call_request(&service, RequestKind::NonRepeatable, key, payload, &headers)
    });
    match (&state.fence, request) {
        (Some(fence), Ok(request)) if request.body.key.is_some() => {
            // In a task of its own: if the caller leaves, the end of its claim
            // is recorded all the same.
            let run = run_fenced(state.clone(), fence.clone(), service, request);
            match tokio::spawn(run).await {
                Ok(response) => response,
                Err(_) => respond_call_error(CallError::Ended),
            }
        }
        (_, request) => run_call(&state, &service, request).await,
    }
}

/// Runs a submission behind the fence: its key is claimed first, and what
/// becomes of it is kept for whoever comes with the same key.
async fn run_fenced(
    state: CallerState,
    fence: FenceDesk,
    service: String,
    request: CallRequest,
) -> Response {
    let claim = match fence.claim(&service, &request.body).await {
        Ok(claim) => claim,
        Err(FenceStop::Ended(body)) => return respond_kept(body),
        Err(FenceStop::Problem(problem)) => return respond_problem(&problem),
    };
    let outcome = match make_call(&state.entry, request).await {
        Ok(outcome) => outcome,
        Err(error) => {
            let is_unsent = error == CallError::Busy;
            let end = (!is_unsent).then_some(ExecutionResult::Unknown);
            fence.end(claim, end).await;
            return respond_call_error(error);
        }
    };
    fence.end(claim, claim_end(&service, &outcome)).await;
    respond_outcome(&service, outcome)
}

async fn run_call(
    state: &CallerState,
    service: &str,
    request: Result<CallRequest, Box<ProblemBody>>,
) -> Response {
    let request = match request {
        Ok(request) => request,
        Err(problem) => return respond_problem(&problem),
    };
    match make_call(&state.entry, request).await {
        Ok(outcome) => respond_outcome(service, outcome),
        Err(error) => respond_call_error(error),
    }
}

fn respond_busy() -> Response {
    let mut problem = ProblemBody::before_admission(503, "busy", "the instance has too much to do");
    problem.retry_after_ms = Some(1000);
    respond_problem(&problem)
}

fn respond_call_error(error: CallError) -> Response {
    match error {
        CallError::Busy => respond_busy(),
        CallError::Ended => {
            let mut problem = ProblemBody::before_admission(502, "ended", "the instance ended");
            problem.outcome = wheelmast_wire::caller::OUTCOME_UNKNOWN.to_string();
            respond_problem(&problem).into_response()
        }
    }
}

fn call_request(
    service: &str,
    kind: RequestKind,
    key: Option<String>,
    payload: Box<[u8]>,
    headers: &HeaderMap,
) -> Result<CallRequest, Box<ProblemBody>> {
    Ok(CallRequest {
        service: service.into(),
        deadline: read_deadline(headers)?,
        body: RequestBody {
            kind,
            key: key.map(String::into_boxed_str),
            payload,
        },
    })
}

/// Reads a body that must be one JSON value.
async fn read_json(body: Body) -> Result<Box<[u8]>, Box<ProblemBody>> {
    let read = tokio::time::timeout(BODY_TIME, to_bytes(body, REQUEST_BYTES)).await;
    let Ok(read) = read else {
        return Err(before_admission(
            408,
            "slow-body",
            "the body did not come within 5 s",
        ));
    };
    let bytes = read.map_err(|_| {
        before_admission(
            413,
            "body-unreadable",
            format!("the body broke off or is over {REQUEST_BYTES} bytes"),
        )
    })?;
    if let Err(error) = serde_json::from_slice::<&RawValue>(&bytes) {
        let detail = format!("the body is not JSON: {error}");
        return Err(before_admission(400, "malformed-json", detail));
    }
    Ok(bytes.to_vec().into_boxed_slice())
}

fn read_deadline(headers: &HeaderMap) -> Result<Option<Duration>, Box<ProblemBody>> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let millis = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<i64>().ok());
    let Some(millis) = millis else {
        let detail = format!("{DEADLINE_HEADER} is the time left in whole milliseconds");
        return Err(before_admission(400, "malformed-deadline", detail));
    };
    if millis <= 0 {
        let detail = "the deadline had passed on arrival";
        return Err(before_admission(504, "deadline-passed", detail));
    }
    let millis = (millis as u64).min(LONGEST_DEADLINE_MS);
    Ok(Some(Duration::from_millis(millis)))
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Box<ProblemBody>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().to_string();
    check_key(&key)?;
    Ok(Some(key))
}

fn before_admission(status: u16, word: &str, detail: impl Into<String>) -> Box<ProblemBody> {
    Box::new(ProblemBody::before_admission(status, word, detail))
}

fn check_key(key: &str) -> Result<(), Box<ProblemBody>> {
    if key.is_empty() || key.len() > KEY_LENGTH {
        let detail = format!("a key is 1 to {KEY_LENGTH} visible characters");
        return Err(before_admission(400, "malformed-key", detail));
    }
    Ok(())
}
