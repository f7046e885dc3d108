//! The control instance's side towards servers and operators.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, RouteOutcome};
use wheelmast_core::process::forward::directory::ServerNotice;
use wheelmast_core::version::route_table::RouteTable;
use wheelmast_wire::dialect::{ControlCall, ForwardDialect};
use wheelmast_wire::group::GroupTell;

use crate::connection::accept::next_stream;
use crate::process::group::node::GroupNode;

/// Largest body of a call.
const BODY_BYTES: usize = 1024 * 1024;
/// Longest time for the head of a call; connections may be idle as long.
const HEAD_TIME: Duration = Duration::from_secs(15);
/// When a caller that was refused should come back, in seconds.
const COME_BACK: &str = "0.2";
/// Body of an acknowledgement.
const TAKEN: &str = "{}";

type CallResponse = Response<Full<Bytes>>;

/// Answers servers and operators until the instance ends.
pub async fn accept_calls<D: ForwardDialect>(node: Rc<GroupNode>, listener: TcpListener) {
    loop {
        let stream = next_stream(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let node = node.clone();
                async move { Ok::<_, Infallible>(answer::<D>(node, request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIME)
                .serve_connection(TokioIo::new(stream), service);
            // A caller that sends what is no request harms only itself.
            let _ = connection.await;
        });
    }
}

async fn answer<D: ForwardDialect>(
    node: Rc<GroupNode>,
    request: Request<Incoming>,
) -> CallResponse {
    let call = D::call(request.method().as_str(), request.uri().path());
    let Some(call) = call else {
        return text_response(StatusCode::NOT_FOUND, "no such call".to_string());
    };
    let body = Limited::new(request.into_body(), BODY_BYTES)
        .collect()
        .await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let text = format!("body is over {BODY_BYTES} bytes");
            return text_response(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match call {
        ControlCall::Announce(id) => match D::read_notice(&id, &body) {
            Ok(notice) => announce(&node, notice).await,
            Err(findings) => text_response(StatusCode::BAD_REQUEST, findings.to_string()),
        },
        ControlCall::Withdraw(id) => announce(&node, ServerNotice::gone(&id)).await,
        ControlCall::PutTable => put_table::<D>(&node, body).await,
        ControlCall::GetTable => get_table(&node).await,
        ControlCall::Ready => text_response(StatusCode::OK, TAKEN.to_string()),
    }
}

async fn announce(node: &Rc<GroupNode>, notice: ServerNotice) -> CallResponse {
    if node.take_announcement(notice).await {
        return json_response(Bytes::from_static(TAKEN.as_bytes()));
    }
    unavailable("not held by a quorum yet")
}

async fn put_table<D: ForwardDialect>(node: &Rc<GroupNode>, body: Bytes) -> CallResponse {
    let table = match D::read_table(&body).and_then(RouteTable::check) {
        Ok(table) => table,
        Err(findings) => {
            tracing::warn!(target: "group", "table: refused, {findings}");
            return text_response(StatusCode::BAD_REQUEST, findings.to_string());
        }
    };
    let command = ControlCommand::Route {
        version: table.version(),
        base: None,
        text: body.to_vec(),
    };
    let told = node.propose(command).await;
    tracing::info!(target: "group", table_version = table.version(), ?told, "table: change asked for");
    match told {
        GroupTell::Done(CommandOutcome::Route(RouteOutcome::Conflict(version))) => {
            text_response(StatusCode::CONFLICT, format!("version {version} stands"))
        }
        GroupTell::Done(_) => json_response(Bytes::from_static(TAKEN.as_bytes())),
        _ => unavailable("no quorum answered"),
    }
}

async fn get_table(node: &Rc<GroupNode>) -> CallResponse {
    let GroupTell::Version(version) = node.read().await else {
        return unavailable("no quorum answered");
    };
    if version == 0 || !node.wait_published(version).await {
        return unavailable("no table is in force here");
    }
    let text = node.state.borrow().published.text.to_vec();
    json_response(Bytes::from(text))
}

fn unavailable(text: &'static str) -> CallResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text.to_string());
    let come_back = HeaderValue::from_static(COME_BACK);
    response.headers_mut().insert(RETRY_AFTER, come_back);
    response
}

fn json_response(body: Bytes) -> CallResponse {
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text_response(status: StatusCode, text: String) -> CallResponse {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}
