//! The control instance's side towards servers and operators.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use tokio::net::TcpListener;
use wheelmast_core::process::control::evacuation::EvacuationOutcome;
use wheelmast_core::process::control::rollout::RolloutOutcome;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, RouteOutcome};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::version::route_table::RouteTable;
use wheelmast_wire::dialect::{ControlCall, ForwardDialect};
use wheelmast_wire::group::LeaderReply;
use wheelmast_wire::pack::{pack, unpack};

use crate::connection::accept::next_stream;
use crate::connection::http::{
    say_retry_after, serve_http, typed_response, FullResponse, JSON_TYPE, PLAIN_TYPE,
};
use crate::process::group::node::GroupNode;

/// Largest body of a call.
const BODY_BYTES: usize = 4 * 1024 * 1024;
/// Longest time for the head of a call; connections may be idle as long.
const HEAD_TIME: Duration = Duration::from_secs(15);
/// When a caller that was refused should come back.
const COME_BACK: Duration = Duration::from_millis(200);
/// Body of an acknowledgement.
const TAKEN: &str = "{}";

/// Answers servers and operators until the instance ends.
pub async fn accept_calls<D: ForwardDialect>(node: Rc<GroupNode>, listener: TcpListener) {
    loop {
        let stream = next_stream(&listener).await;
        let node = node.clone();
        tokio::task::spawn_local(async move {
            let answer = |request| answer::<D>(node.clone(), request);
            serve_http(stream, HEAD_TIME, answer).await;
        });
    }
}

async fn answer<D: ForwardDialect>(
    node: Rc<GroupNode>,
    request: Request<Incoming>,
) -> FullResponse {
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
        ControlCall::Announce(id) => match D::read_announcement(&id, &body) {
            Ok(notice) => announce::<D>(&node, notice).await,
            Err(findings) => refuse(&node, &id, findings.to_string()),
        },
        ControlCall::Withdraw(id) => match D::read_withdrawal(&id, &body) {
            Ok(notice) => announce::<D>(&node, notice).await,
            Err(findings) => refuse(&node, &id, findings.to_string()),
        },
        ControlCall::PutTable => put_table::<D>(&node, body).await,
        ControlCall::GetTable => get_table(&node).await,
        ControlCall::Evacuate(domain) => evacuate(&node, &domain, true).await,
        ControlCall::EndEvacuation(domain) => evacuate(&node, &domain, false).await,
        ControlCall::ListEvacuations => list_evacuations(&node).await,
        ControlCall::StartRollout => start_rollout::<D>(&node, &body).await,
        ControlCall::GetRollout(service) => get_rollout::<D>(&node, &service).await,
        ControlCall::Ready => text_response(StatusCode::OK, TAKEN.to_string()),
    }
}

/// Refuses what is no announcement of a server.
fn refuse(node: &GroupNode, id: &str, reason: String) -> FullResponse {
    node.refuse_announcement(id, &reason);
    text_response(StatusCode::BAD_REQUEST, reason)
}

async fn announce<D: ForwardDialect>(
    node: &Rc<GroupNode>,
    notice: ServerAnnouncement,
) -> FullResponse {
    if let Some(reason) = node.doubt_announcement(&notice) {
        return refuse(node, &notice.id, reason.to_string());
    }
    let domain = notice.domain.clone();
    if !node.take_announcement(notice).await {
        return unavailable("not held by a quorum yet");
    }
    typed_response(
        StatusCode::OK,
        JSON_TYPE,
        D::write_announce_reply(node.next_place(&domain)),
    )
}

async fn put_table<D: ForwardDialect>(node: &Rc<GroupNode>, body: Bytes) -> FullResponse {
    let table = match D::read_table(&body).and_then(RouteTable::check) {
        Ok(table) => table,
        Err(findings) => {
            tracing::warn!(target: "group", "table: refused, {findings}");
            return text_response(StatusCode::BAD_REQUEST, findings.to_string());
        }
    };
    let Ok(packed) = pack(&body) else {
        return unavailable("could not be packed");
    };
    let command = ControlCommand::Route {
        version: table.version(),
        base: None,
        text: packed,
    };
    let told = node.propose(command).await;
    tracing::info!(target: "group", table_version = table.version(), ?told, "table: change asked for");
    match told {
        LeaderReply::Done(CommandOutcome::Route(RouteOutcome::Conflict(version))) => {
            text_response(StatusCode::CONFLICT, format!("version {version} stands"))
        }
        LeaderReply::Done(_) => taken(),
        _ => unavailable("no quorum answered"),
    }
}

async fn get_table(node: &Rc<GroupNode>) -> FullResponse {
    let LeaderReply::Mark(mark) = node.read().await else {
        return unavailable("no quorum answered");
    };
    if mark.version == 0 || !node.wait_published(mark).await {
        return unavailable("no table is in force here");
    }
    let packed = node.state.borrow().published.packed.clone();
    match unpack(&packed) {
        Ok(text) => typed_response(StatusCode::OK, JSON_TYPE, text),
        Err(error) => {
            tracing::error!(target: "group", "table: could not be read, {error}");
            unavailable("could not be unpacked")
        }
    }
}

/// Takes a failure domain out of use, or back into use.
async fn evacuate(node: &Rc<GroupNode>, domain: &str, evacuated: bool) -> FullResponse {
    if !node.settings.regions.is_known(domain) {
        tracing::warn!(target: "group", domain, "evacuation: refused, no such failure domain");
        let text = format!("no failure domain {domain}");
        return text_response(StatusCode::NOT_FOUND, text);
    }
    let outcome = node.evacuate(domain, evacuated).await;
    tracing::info!(target: "group", domain, evacuated, ?outcome, "evacuation: change asked for");
    match outcome {
        Some(EvacuationOutcome::Stands(_)) => taken(),
        Some(EvacuationOutcome::Full) => text_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many failure domains are remembered".to_string(),
        ),
        Some(EvacuationOutcome::Conflict(_)) => unavailable("other orders came between"),
        None => unavailable("no quorum answered"),
    }
}

/// Rolls a service out to a new version.
async fn start_rollout<D: ForwardDialect>(node: &Rc<GroupNode>, body: &[u8]) -> FullResponse {
    let order = match D::read_rollout(body) {
        Ok(order) => order,
        Err(findings) => return text_response(StatusCode::BAD_REQUEST, findings.to_string()),
    };
    if order.target.is_empty() || order.duration.is_zero() {
        let text = "a roll-out needs a version and a time above 0".to_string();
        return text_response(StatusCode::BAD_REQUEST, text);
    }
    if !node.knows_service(&order.service) {
        if node.state.borrow().published.version == 0 {
            return unavailable("no table is in force here");
        }
        let text = format!("no service {}", order.service);
        return text_response(StatusCode::NOT_FOUND, text);
    }
    let outcome = node.start_rollout(&order).await;
    tracing::info!(target: "group", service = order.service, version = order.target, ?outcome, "rollout: asked for");
    match outcome {
        Some(RolloutOutcome::Stands(_)) => taken(),
        Some(RolloutOutcome::Busy(target)) => {
            let text = format!("a roll-out of {} to {target} is going on", order.service);
            text_response(StatusCode::CONFLICT, text)
        }
        Some(RolloutOutcome::Full) => text_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many roll-outs are remembered".to_string(),
        ),
        Some(RolloutOutcome::Passed) | None => unavailable("no quorum answered"),
    }
}

/// Tells how far the last roll-out of a service is.
async fn get_rollout<D: ForwardDialect>(node: &Rc<GroupNode>, service: &str) -> FullResponse {
    if let Some(refusal) = refuse_unconfirmed(node).await {
        return refusal;
    }
    let state = node.state.borrow();
    let mut views = state.rollouts.views.iter();
    let Some(view) = views.find(|view| *view.service == *service) else {
        let text = format!("no roll-out of {service}");
        return text_response(StatusCode::NOT_FOUND, text);
    };
    let text = D::rollout(&view.target, view.state);
    typed_response(StatusCode::OK, JSON_TYPE, text)
}

/// Tells which failure domains are out of use.
async fn list_evacuations(node: &Rc<GroupNode>) -> FullResponse {
    if let Some(refusal) = refuse_unconfirmed(node).await {
        return refusal;
    }
    let domains = node.state.borrow().evacuations.domains.clone();
    let text = serde_json::json!({ "evacuated": domains }).to_string();
    typed_response(StatusCode::OK, JSON_TYPE, text)
}

/// Waits until what a quorum has confirmed is in force here. Returns the refusal
/// of a question about it, if that can't be had now.
async fn refuse_unconfirmed(node: &Rc<GroupNode>) -> Option<FullResponse> {
    let LeaderReply::Mark(mark) = node.read().await else {
        return Some(unavailable("no quorum answered"));
    };
    let is_here = node.wait_published(mark).await;
    (!is_here).then(|| unavailable("not in force here yet"))
}

fn unavailable(text: &'static str) -> FullResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = typed_response(status, PLAIN_TYPE, text);
    say_retry_after(&mut response, COME_BACK);
    response
}

fn taken() -> FullResponse {
    typed_response(StatusCode::OK, JSON_TYPE, TAKEN)
}

fn text_response(status: StatusCode, text: String) -> FullResponse {
    typed_response(status, PLAIN_TYPE, text)
}
