//! HTTP/1.1 and HTTP/2 handlers of the callers thread. They validate requests,
//! pass them to the entry thread and return its outcome. Submissions with an
//! idempotency key claim the key in the control group first.

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
use crate::process::fence::{execution_result, ClaimRejection, FenceClient};
use crate::process::ready::ReadyFlag;
use crate::request::call::{make_call, CallError, CallRequest};
use crate::request::respond::{respond_outcome, respond_problem, respond_stored_answer};
use crate::ring::RingSender;

/// Maximum size of a request body, in bytes.
pub const MAX_REQUEST_BYTES: usize = 1024 * 1024;
/// Maximum number of concurrent requests whose bodies have been received.
const MAX_REQUESTS: usize = 2048;
/// Maximum length of an idempotency key or fetch key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Maximum deadline that a caller may set, in milliseconds; longer ones are
/// shortened to it.
const MAX_DEADLINE_MS: u64 = 600_000;

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub struct CallerState {
    /// The ring to the entry thread.
    pub entry: RingSender<EntryMessage>,
    /// Tells whether the instance accepts new requests; false once the instance
    /// leaves.
    pub ready: ReadyFlag,
    /// The client that claims idempotency keys; `None` without a cluster.
    pub fence: Option<FenceClient>,
}

/// Returns the HTTP routes for callers. Requests over the concurrency limit get
/// status 503.
pub fn caller_router(state: CallerState) -> Router {
    Router::new()
        .route("/v1/query/{service}", post(handle_query))
        .route("/v1/fetch/{service}/{key}", get(handle_fetch))
        .route("/v1/submit/{service}", post(handle_submit))
        .route("/ready", get(handle_ready))
        .fallback(unknown_path)
        .layer(
            ServiceBuilder::new()
                .layer(HandleErrorLayer::new(|_: BoxError| async {
                    respond_busy()
                }))
                .load_shed()
                .concurrency_limit(MAX_REQUESTS),
        )
        .layer(from_fn_with_state(state.clone(), close_when_leaving))
        .with_state(state)
}

/// Adds `connection: close` to HTTP/1 responses of a leaving instance, so that
/// clients connect to another one for their next request.
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

async fn handle_ready(State(state): State<CallerState>) -> StatusCode {
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

async fn handle_query(
    State(state): State<CallerState>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let request = read_json(body)
        .await
        .and_then(|payload| build_call(&service, RequestKind::Query, None, payload, &headers));
    run_call(&state, &service, request).await
}

async fn handle_fetch(
    State(state): State<CallerState>,
    Path((service, key)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    let request = check_key(&key).and_then(|()| {
        let payload = Box::from(&b"null"[..]);
        build_call(&service, RequestKind::Fetch, Some(key), payload, &headers)
    });
    run_call(&state, &service, request).await
}

async fn handle_submit(
    State(state): State<CallerState>,
    Path(service): Path<String>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    let payload = read_json(body).await;
    let request = payload.and_then(|payload| {
        let key = read_idempotency_key(&headers)?;
        build_call(&service, RequestKind::NonRepeatable, key, payload, &headers)
    });
    match (&state.fence, request) {
        (Some(fence), Ok(request)) if request.body.key.is_some() => {
            // The task is spawned so that the result of the claim is recorded
            // even if the caller disconnects.
            let run = run_fenced(state.clone(), fence.clone(), service, request);
            match tokio::spawn(run).await {
                Ok(response) => response,
                Err(_) => respond_call_error(CallError::Ended),
            }
        }
        (_, request) => run_call(&state, &service, request).await,
    }
}

/// Runs a submission whose idempotency key is claimed in the control group
/// first. The result is recorded there, and later submissions with the same key
/// get the recorded result.
async fn run_fenced(
    state: CallerState,
    fence: FenceClient,
    service: String,
    request: CallRequest,
) -> Response {
    let claim = match fence.claim(&service, &request.body).await {
        Ok(claim) => claim,
        Err(ClaimRejection::AlreadyRan(body)) => return respond_stored_answer(body),
        Err(ClaimRejection::Problem(problem)) => return respond_problem(&problem),
    };
    let outcome = match make_call(&state.entry, request).await {
        Ok(outcome) => outcome,
        Err(error) => {
            let is_unsent = error == CallError::Busy;
            let end = (!is_unsent).then_some(ExecutionResult::Unknown);
            fence.record_result(claim, end).await;
            return respond_call_error(error);
        }
    };
    fence
        .record_result(claim, execution_result(&service, &outcome))
        .await;
    respond_outcome(&service, outcome)
}

/// Passes a valid request to the entry thread and responds with its outcome.
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

/// Responds that the entry thread is overloaded; nothing was run.
fn respond_busy() -> Response {
    let mut problem = ProblemBody::before_admission(503, "busy", "the instance has too much to do");
    problem.retry_after_ms = Some(1000);
    respond_problem(&problem)
}

/// Responds to a request that got no outcome from the entry thread.
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

fn build_call(
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

/// Reads a request body that was received, and checks that it is exactly one JSON value.
async fn read_json(body: Body) -> Result<Box<[u8]>, Box<ProblemBody>> {
    let bytes = to_bytes(body, MAX_REQUEST_BYTES).await.map_err(|_| {
        early_problem(
            413,
            "body-unreadable",
            format!("the body broke off or is over {MAX_REQUEST_BYTES} bytes"),
        )
    })?;
    if let Err(error) = serde_json::from_slice::<&RawValue>(&bytes) {
        let detail = format!("the body is not JSON: {error}");
        return Err(early_problem(400, "malformed-json", detail));
    }
    Ok(Vec::from(bytes).into_boxed_slice())
}

/// Reads the remaining time of a request from its headers; `None` if the caller
/// sets none.
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
        return Err(early_problem(400, "malformed-deadline", detail));
    };
    if millis <= 0 {
        let detail = "the deadline had passed on arrival";
        return Err(early_problem(504, "deadline-passed", detail));
    }
    let millis = (millis as u64).min(MAX_DEADLINE_MS);
    Ok(Some(Duration::from_millis(millis)))
}

/// Reads and checks the idempotency key; `None` if the caller sends none.
fn read_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Box<ProblemBody>> {
    let Some(value) = headers.get(IDEMPOTENCY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().unwrap_or_default().to_string();
    check_key(&key)?;
    Ok(Some(key))
}

/// Returns the problem of a request that was refused before it ran.
fn early_problem(status: u16, kind: &str, detail: impl Into<String>) -> Box<ProblemBody> {
    Box::new(ProblemBody::before_admission(status, kind, detail))
}

fn check_key(key: &str) -> Result<(), Box<ProblemBody>> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let detail = format!("a key is 1 to {MAX_KEY_BYTES} visible characters");
        return Err(early_problem(400, "malformed-key", detail));
    }
    Ok(())
}
