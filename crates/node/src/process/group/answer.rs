//! HTTP interface of a control instance: servers announce themselves here, and
//! operators change the route table, evacuate failure domains and roll out services.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio::time::Instant;
use wheelmast_core::process::control::evacuation::EvacuationOutcome;
use wheelmast_core::process::control::rollout::RolloutOutcome;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, RouteOutcome};
use wheelmast_core::process::forward::directory::ServerAnnouncement;
use wheelmast_core::version::route_table::RouteTable;
use wheelmast_wire::dialect::{ControlCall, ForwardDialect};
use wheelmast_wire::group::LeaderReply;
use wheelmast_wire::pack::{pack, unpack};

use crate::connection::accept::accept_connection;
use crate::connection::client::{fit_descriptors, ClientState, ClientTimeouts, ConnectionLimiter};
use crate::connection::client_memory::MemoryUse;
use crate::connection::http::{
    body_error_response, serve_http, set_retry_after, typed_response, FullResponse, ListenerLimits,
    JSON_CONTENT_TYPE, TEXT_CONTENT_TYPE,
};
use crate::connection::request_body::{read_before, read_body};
use crate::process::group::node::GroupNode;
use crate::process::group::order::OrderDeadline;

/// Largest body of a call, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Time limits for a client.
const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    head: Duration::from_secs(15),
    idle: Duration::from_secs(15),
};
/// Part of the process's descriptors that connections of servers and operators may take.
const CLIENT_DESCRIPTOR_FRACTION: f64 = 0.5;
/// Longest time to receive the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a caller that got status 503 should retry.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Body of a response that only acknowledges a call.
const EMPTY_JSON_BODY: &str = "{}";

/// Accepts connections of servers and operators and answers their calls, until the
/// instance ends.
pub async fn serve_calls<D: ForwardDialect>(node: Rc<GroupNode>, listener: TcpListener) {
    let limits = ListenerLimits {
        connections: ConnectionLimiter::new(fit_descriptors(
            node.settings.clients.connections,
            CLIENT_DESCRIPTOR_FRACTION,
        )),
        memory: node.client_memory.clone(),
        timeouts: TIMEOUTS,
    };
    loop {
        let stream = accept_connection(&listener).await;
        let Some(client) = limits.connections.admit().await else {
            continue;
        };
        let (node, limits) = (node.clone(), limits.clone());
        let deadline = OrderDeadline::of_connection(node.loop_delay.earliest_opening());
        tokio::task::spawn_local(async move {
            let handle_call = |request, client: Arc<ClientState>| {
                handle_call::<D>(node.clone(), request, client, deadline)
            };
            serve_http(stream, client, limits, handle_call).await;
        });
    }
}

/// Handles a call. `deadline` is that of an order on the call's connection.
async fn handle_call<D: ForwardDialect>(
    node: Rc<GroupNode>,
    request: Request<Incoming>,
    client: Arc<ClientState>,
    deadline: OrderDeadline,
) -> FullResponse {
    let call = D::call(request.method().as_str(), request.uri().path());
    let Some(call) = call else {
        return text_response(StatusCode::NOT_FOUND, "no such call".to_string());
    };
    let eviction = &client.eviction;
    let mut memory = node
        .client_memory
        .hold(MemoryUse::Request, eviction.clone());
    let reading = read_body(request.into_body(), MAX_BODY_BYTES, &mut memory, 0);
    let body = match read_before(Instant::now() + BODY_TIMEOUT, eviction, reading).await {
        Ok(body) => body,
        Err(error) => return body_error_response(error, MAX_BODY_BYTES),
    };
    memory.end_wait();
    let _work = client.begin_work();
    let is_unversioned_order = matches!(
        call,
        ControlCall::Evacuate(_) | ControlCall::EndEvacuation(_) | ControlCall::StartRollout
    );
    let is_late = deadline.time_left(node.now()).is_none();
    if is_late && is_unversioned_order {
        return refuse_late_order(&call);
    }
    match call {
        ControlCall::Announce(id) => match D::read_announcement(&id, &body) {
            Ok(announcement) => handle_announcement::<D>(&node, announcement).await,
            Err(findings) => refuse_call(&node, &id, findings.to_string()),
        },
        ControlCall::Withdraw(ref id) => match D::read_withdrawal(id, &body) {
            Ok(announcement) if is_late && node.lacks_start_time(&announcement) => {
                refuse_late_order(&call)
            }
            Ok(announcement) => handle_announcement::<D>(&node, announcement).await,
            Err(findings) => refuse_call(&node, id, findings.to_string()),
        },
        ControlCall::PutTable => put_table::<D>(&node, body).await,
        ControlCall::GetTable => get_table(&node).await,
        ControlCall::Evacuate(domain) => evacuate(&node, &domain, true, deadline).await,
        ControlCall::EndEvacuation(domain) => evacuate(&node, &domain, false, deadline).await,
        ControlCall::ListEvacuations => list_evacuations(&node).await,
        ControlCall::StartRollout => start_rollout::<D>(&node, &body, deadline).await,
        ControlCall::GetRollout(service) => get_rollout::<D>(&node, &service).await,
        ControlCall::Ready => text_response(StatusCode::OK, EMPTY_JSON_BODY.to_string()),
    }
}

/// Counts the refused announcement and returns a response with status 400 and the
/// reason.
fn refuse_call(node: &GroupNode, id: &str, reason: String) -> FullResponse {
    node.record_refusal(id, &reason);
    text_response(StatusCode::BAD_REQUEST, reason)
}

async fn handle_announcement<D: ForwardDialect>(
    node: &Rc<GroupNode>,
    announcement: ServerAnnouncement,
) -> FullResponse {
    if let Some(reason) = node.find_conflict(&announcement) {
        return refuse_call(node, &announcement.id, reason.to_string());
    }
    let domain = announcement.domain.clone();
    if !node.handle_announcement(announcement).await {
        return unavailable_response("not held by a quorum yet");
    }
    typed_response(
        StatusCode::OK,
        JSON_CONTENT_TYPE,
        D::write_announce_reply(node.next_announce_address(&domain)),
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
        return unavailable_response("could not be packed");
    };
    let command = ControlCommand::Route {
        version: table.version(),
        base: None,
        text: packed,
    };
    let reply = node.propose(command).await;
    tracing::info!(target: "group", table_version = table.version(), told = ?reply, "table: change asked for");
    match reply {
        LeaderReply::Done(CommandOutcome::Route(RouteOutcome::Conflict(version))) => {
            text_response(StatusCode::CONFLICT, format!("version {version} stands"))
        }
        LeaderReply::Done(_) => ok_response(),
        _ => unavailable_response("no quorum answered"),
    }
}

async fn get_table(node: &Rc<GroupNode>) -> FullResponse {
    let LeaderReply::Mark(mark) = node.read_confirmed().await else {
        return unavailable_response("no quorum answered");
    };
    if mark.version == 0 || !node.wait_published(mark).await {
        return unavailable_response("no table is in force here");
    }
    let packed = node.state.borrow().published_table.packed.clone();
    match unpack(&packed) {
        Ok(text) => typed_response(StatusCode::OK, JSON_CONTENT_TYPE, text),
        Err(error) => {
            tracing::error!(target: "group", "table: could not be read, {error}");
            unavailable_response("could not be unpacked")
        }
    }
}

/// Takes a failure domain out of use if `evacuated` is set, else puts it back into use.
async fn evacuate(
    node: &Rc<GroupNode>,
    domain: &str,
    evacuated: bool,
    deadline: OrderDeadline,
) -> FullResponse {
    if !node.settings.regions.is_known(domain) {
        tracing::warn!(target: "group", domain, "evacuation: refused, no such failure domain");
        let text = format!("no failure domain {domain}");
        return text_response(StatusCode::NOT_FOUND, text);
    }
    let outcome = node.evacuate(domain, evacuated, deadline).await;
    tracing::info!(target: "group", domain, evacuated, ?outcome, "evacuation: change asked for");
    match outcome {
        Some(EvacuationOutcome::Stands(_)) => ok_response(),
        Some(EvacuationOutcome::Full) => text_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many failure domains are remembered".to_string(),
        ),
        Some(EvacuationOutcome::Conflict(_)) => unavailable_response("other orders came between"),
        None => unavailable_response("no quorum answered"),
    }
}

/// Starts the roll-out of a service to a new version.
async fn start_rollout<D: ForwardDialect>(
    node: &Rc<GroupNode>,
    body: &[u8],
    deadline: OrderDeadline,
) -> FullResponse {
    let order = match D::read_rollout(body) {
        Ok(order) => order,
        Err(findings) => return text_response(StatusCode::BAD_REQUEST, findings.to_string()),
    };
    if order.target.is_empty() || order.duration.is_zero() {
        let text = "a roll-out needs a version and a time above 0".to_string();
        return text_response(StatusCode::BAD_REQUEST, text);
    }
    if !node.has_service(&order.service) {
        if node.state.borrow().published_table.version == 0 {
            return unavailable_response("no table is in force here");
        }
        let text = format!("no service {}", order.service);
        return text_response(StatusCode::NOT_FOUND, text);
    }
    let outcome = node.start_rollout(&order, deadline).await;
    tracing::info!(target: "group", service = order.service, version = order.target, ?outcome, "rollout: asked for");
    match outcome {
        Some(RolloutOutcome::Stands(_)) => ok_response(),
        Some(RolloutOutcome::Busy(target)) => {
            let text = format!("a roll-out of {} to {target} is going on", order.service);
            text_response(StatusCode::CONFLICT, text)
        }
        Some(RolloutOutcome::Full) => text_response(
            StatusCode::INSUFFICIENT_STORAGE,
            "too many roll-outs are remembered".to_string(),
        ),
        Some(RolloutOutcome::Passed) | None => unavailable_response("no quorum answered"),
    }
}

/// Returns the target version and the state of a service's last roll-out.
async fn get_rollout<D: ForwardDialect>(node: &Rc<GroupNode>, service: &str) -> FullResponse {
    if let Some(refusal) = wait_confirmed(node).await {
        return refusal;
    }
    let state = node.state.borrow();
    let mut views = state.rollouts.views.iter();
    let Some(view) = views.find(|view| *view.service == *service) else {
        let text = format!("no roll-out of {service}");
        return text_response(StatusCode::NOT_FOUND, text);
    };
    let text = D::rollout(&view.target, view.state);
    typed_response(StatusCode::OK, JSON_CONTENT_TYPE, text)
}

/// Returns the failure domains that are out of use.
async fn list_evacuations(node: &Rc<GroupNode>) -> FullResponse {
    if let Some(refusal) = wait_confirmed(node).await {
        return refusal;
    }
    let domains = node.state.borrow().evacuations.domains.clone();
    let text = serde_json::json!({ "evacuated": domains }).to_string();
    typed_response(StatusCode::OK, JSON_CONTENT_TYPE, text)
}

/// Waits until this instance has applied everything that the leader had committed when
/// the call came in, as confirmed by a quorum. Returns a response with status 503 if no
/// quorum answers, or if this instance does not catch up in time.
async fn wait_confirmed(node: &Rc<GroupNode>) -> Option<FullResponse> {
    let LeaderReply::Mark(mark) = node.read_confirmed().await else {
        return Some(unavailable_response("no quorum answered"));
    };
    let is_published = node.wait_published(mark).await;
    (!is_published).then(|| unavailable_response("not in force here yet"))
}

/// Logs an order that may be a late copy, and returns the response to it. A caller that
/// still waits for it sends it again on a new connection.
fn refuse_late_order(call: &ControlCall) -> FullResponse {
    tracing::warn!(target: "group", ?call, "order: refused, it may be late");
    let mut response = unavailable_response("send the order on a new connection");
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

fn unavailable_response(text: &'static str) -> FullResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let mut response = typed_response(status, TEXT_CONTENT_TYPE, text);
    set_retry_after(&mut response, RETRY_AFTER);
    response
}

fn ok_response() -> FullResponse {
    typed_response(StatusCode::OK, JSON_CONTENT_TYPE, EMPTY_JSON_BODY)
}

fn text_response(status: StatusCode, text: String) -> FullResponse {
    typed_response(status, TEXT_CONTENT_TYPE, text)
}
