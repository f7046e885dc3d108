//! Converts query outcomes and problems to HTTP responses.

use axum::http::header::{CONTENT_TYPE, RETRY_AFTER};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use wheelmast_core::prelude::QueryOutcome;
use wheelmast_wire::caller::PROBLEM_TYPE;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

/// Returns the HTTP response for the outcome of a request to `service`.
pub fn respond_outcome(service: &str, outcome: QueryOutcome) -> Response {
    match outcome {
        QueryOutcome::Answer(answer) => {
            axum::Json(AnswerBody::new(service, answer)).into_response()
        }
        QueryOutcome::Refusal(refusal) => respond_problem(&ProblemBody::refusal(&refusal)),
    }
}

/// Returns the HTTP response for a repeated submission that already ran.
/// `answer` is the stored JSON text that the first caller received.
pub fn respond_stored_answer(answer: String) -> Response {
    let mut response = answer.into_response();
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Returns the HTTP response for a problem, with the problem's status code and,
/// if the caller may retry, the `retry-after` header.
pub fn respond_problem(problem: &ProblemBody) -> Response {
    let status = StatusCode::from_u16(problem.status);
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, axum::Json(problem)).into_response();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_TYPE));
    if let Some(seconds) = problem.retry_after() {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
