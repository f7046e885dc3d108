//! HTTP responses of an entry to its callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use wheelmast_core::process::forward::answer::{ForwardAnswer, ForwardFailure};
use wheelmast_core::process::forward::input::ServerAnswer;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::request::mark::RequestFingerprint;
use wheelmast_wire::dialect::ForwardDialect;

use crate::connection::client_memory::CountedBody;
use crate::connection::http::{set_retry_after, typed_response, FullResponse, TEXT_CONTENT_TYPE};
use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::image::{render_suspect, SHARDS_HEADER, SUSPECT_HEADER, TOP_HEADER};

/// Separator of the items of a list in a header.
const LIST_SEPARATOR: &str = ", ";

/// Converts an answer of the machine to an HTTP response.
pub(super) fn render_answer<D: ForwardDialect>(answer: ForwardAnswer, id: &str) -> FullResponse {
    match answer {
        ForwardAnswer::Server(answer) => server_response(*answer),
        ForwardAnswer::Gathered {
            stamps,
            shards,
            missing,
            top,
            body,
        } => {
            let mut response = Response::builder()
                .status(StatusCode::OK)
                .header(D::HEADERS.request, id)
                .header(D::HEADERS.parts, stamps.join(LIST_SEPARATOR))
                .header(D::HEADERS.missing, missing);
            if !shards.is_empty() {
                response = response
                    .header(SHARDS_HEADER, shards.join(LIST_SEPARATOR))
                    .header(TOP_HEADER, top);
            }
            let response = response.body(Full::new(Bytes::from(body)));
            response.unwrap_or_else(|_| failure_response(ForwardFailure::Failed, None))
        }
        ForwardAnswer::Failure {
            failure,
            retry_after,
        } => failure_response(failure, retry_after),
    }
}

/// Converts the answer of a single server to an HTTP response.
fn server_response(answer: ServerAnswer) -> FullResponse {
    let mut response = Response::builder().status(answer.status);
    for (name, value) in &answer.headers {
        response = response.header(&**name, &**value);
    }
    if let Some(mark) = CountedBody::of_answer(answer.body.len()) {
        response = response.extension(mark);
    }
    let response = response.body(Full::new(answer.body));
    response.unwrap_or_else(|_| failure_response(ForwardFailure::Failed, None))
}

/// Returns the HTTP status for a failure. Only a failure for which
/// [`ForwardFailure::is_known_unrun`] holds has status 429 or 503, because a caller repeats a
/// request after these even if the request must not run twice.
pub fn failure_status(failure: ForwardFailure) -> StatusCode {
    match failure {
        ForwardFailure::NoRoute => StatusCode::NOT_FOUND,
        ForwardFailure::NoKey | ForwardFailure::KeyRevoked => StatusCode::UNAUTHORIZED,
        ForwardFailure::CapReached => StatusCode::TOO_MANY_REQUESTS,
        ForwardFailure::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        ForwardFailure::Failed | ForwardFailure::ServersCrashed => StatusCode::BAD_GATEWAY,
        ForwardFailure::NoTable
        | ForwardFailure::NoServer
        | ForwardFailure::Overload
        | ForwardFailure::RejectedByServers
        | ForwardFailure::TimedOutUnrun
        | ForwardFailure::Quarantined
        | ForwardFailure::AwaitingCanary
        | ForwardFailure::CapUnknown
        | ForwardFailure::OverShare => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the response for a request that failed without a server's answer.
pub(super) fn failure_response(
    failure: ForwardFailure,
    retry_after: Option<Duration>,
) -> FullResponse {
    let status = failure_status(failure);
    let mut response = typed_response(status, TEXT_CONTENT_TYPE, failure.label());
    if let Some(after) = retry_after {
        set_retry_after(&mut response, after);
    }
    response
}

/// Returns the response to an entry whose relayed request was refused as suspect,
/// because servers crashed under it. The response carries the record of the crashes, so
/// that the other entry does not send the request to servers itself.
pub(super) fn suspect_refusal_response<D: ForwardDialect>(
    entry: &ForwardDriver<D>,
    failure: ForwardFailure,
    fingerprint: RequestFingerprint,
) -> FullResponse {
    let mut response = failure_response(failure, None);
    let record = entry.with_machine(|machine| machine.suspect_record(fingerprint).cloned());
    let record = record.unwrap_or_else(|| SuspectRecord::new(fingerprint));
    if let Some(value) = render_suspect(&record) {
        response.headers_mut().insert(SUSPECT_HEADER, value);
    }
    response
}
