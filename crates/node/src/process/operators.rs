//! HTTP handlers of the operators thread: status, metrics, decisions, members,
//! and the service table with its changes.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::{Body, Bytes};
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Deserialize;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::oneshot;
use wheelmast_core::prelude::RequestId;
use wheelmast_wire::caller::OUTCOME_UNKNOWN;
use wheelmast_wire::prelude::{
    DecisionLine, InstanceStatus, ProblemBody, TableChange, TableHistoryEntry, TableStatus,
};

use crate::process::change::{ChangeResult, ControlClient};
use crate::process::entry::{add_identity, request_report, EntryMessage};
use crate::process::gossip::GossipCommand;
use crate::process::journal::DecisionHistory;
use crate::process::measures::InstanceMetrics;
use crate::process::peers::has_key;
use crate::process::ready::ReadyFlag;
use crate::request::respond::respond_problem;
use crate::ring::RingSender;

/// Number of decisions returned if the query names none.
const DEFAULT_DECISIONS: usize = 200;

/// State shared by the handlers.
#[derive(Debug, Clone)]
pub struct OperatorState {
    /// Name of this instance.
    pub instance: Arc<str>,
    /// Failure domain of this instance.
    pub domain: Arc<str>,
    /// The client of the control group; `None` without a cluster.
    pub control_client: Option<ControlClient>,
    /// The ring to the gossip thread; `None` without a cluster.
    pub gossip: Option<RingSender<GossipCommand>>,
    /// The token that operators must send with changes; `None` if none is
    /// required.
    pub token: Option<Arc<str>>,
    /// The ring to the entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The latest decisions of this instance.
    pub decisions: DecisionHistory,
    /// The metrics of this instance.
    pub metrics: Arc<InstanceMetrics>,
    /// Tells whether the instance accepts new requests.
    pub ready: ReadyFlag,
}

/// Returns the HTTP routes for operators.
pub fn operator_router(state: OperatorState) -> Router {
    Router::new()
        .route("/metrics", get(get_metrics))
        .route("/ready", get(get_ready))
        .route("/v1/status", get(get_status))
        .route("/v1/decisions", get(get_decisions))
        .route("/v1/decisions/stream", get(stream_decisions))
        .route("/v1/explain/{request}", get(explain_request))
        .route("/v1/members", get(get_members))
        .route("/v1/table", get(get_table).post(post_change))
        .route("/v1/table/history", get(get_history))
        .with_state(state)
}

async fn get_ready(State(state): State<OperatorState>) -> StatusCode {
    if state.ready.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Name of the header that carries the operators' token.
const TOKEN_HEADER: &str = "wheelmast-token";

/// Responds that the instance has no cluster.
fn respond_no_control_group() -> Response {
    let detail = "the instance is alone: its table comes from its settings";
    respond_problem(&ProblemBody::before_admission(
        404,
        "no-control-group",
        detail,
    ))
}

async fn get_table(State(state): State<OperatorState>) -> Response {
    let Some(control_client) = &state.control_client else {
        return respond_no_control_group();
    };
    let table = control_client.fetch_table().await;
    Json(TableStatus {
        version: table.as_ref().map_or(0, |table| table.version),
        csv: table.map(|table| table.csv).unwrap_or_default(),
    })
    .into_response()
}

async fn get_members(State(state): State<OperatorState>) -> Response {
    let Some(gossip) = &state.gossip else {
        return respond_no_control_group();
    };
    let (reply, reply_receiver) = oneshot::channel();
    gossip.put(GossipCommand::Members(reply)).await;
    match reply_receiver.await {
        Ok(members) => Json(members).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn get_history(State(state): State<OperatorState>) -> Response {
    let Some(control_client) = &state.control_client else {
        return respond_no_control_group();
    };
    let versions = control_client
        .fetch_history()
        .await
        .into_iter()
        .map(|table| TableHistoryEntry {
            version: table.version,
            change: table.change,
            note: table.note,
        });
    Json(versions.collect::<Vec<_>>()).into_response()
}

async fn post_change(
    State(state): State<OperatorState>,
    headers: HeaderMap,
    Json(change): Json<TableChange>,
) -> Response {
    if let Some(token) = &state.token {
        if !has_key(&headers, TOKEN_HEADER, token) {
            tracing::warn!("table: a change with a wrong token was rejected");
            let detail = format!("{TOKEN_HEADER} does not hold the operators' token");
            return respond_problem(&ProblemBody::before_admission(403, "wrong-token", detail));
        }
    }
    let Some(control_client) = &state.control_client else {
        return respond_no_control_group();
    };
    match control_client.apply_change(change).await {
        ChangeResult::Decided(body) => Json(body).into_response(),
        ChangeResult::NoLeader => {
            let detail = "no leader of the control group is in reach; nothing was changed";
            let mut problem = ProblemBody::before_admission(503, "no-leader", detail);
            problem.retry_after_ms = Some(1000);
            respond_problem(&problem)
        }
        ChangeResult::Unknown => {
            let detail = "not known whether it is accepted; resend it with the same change id";
            let mut problem = ProblemBody::before_admission(504, "outcome-unknown", detail);
            problem.outcome = OUTCOME_UNKNOWN.to_string();
            problem.retry_after_ms = Some(1000);
            respond_problem(&problem)
        }
    }
}

async fn get_metrics(State(state): State<OperatorState>) -> Response {
    match request_report(&state.entry).await {
        Some(report) => state
            .metrics
            .render(&report, state.decisions.dropped())
            .into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn get_status(State(state): State<OperatorState>) -> Response {
    let Some(report) = request_report(&state.entry).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let status = add_identity(report, &state.instance, &state.domain);
    let status = InstanceStatus {
        ready: state.ready.is_ready(),
        decisions_dropped: state.decisions.dropped(),
        ..status
    };
    Json(status).into_response()
}

/// Query parameters of `/v1/decisions`.
#[derive(Debug, Deserialize)]
struct DecisionQuery {
    count: Option<usize>,
}

async fn get_decisions(
    State(state): State<OperatorState>,
    Query(query): Query<DecisionQuery>,
) -> Json<Vec<DecisionLine>> {
    Json(
        state
            .decisions
            .list_latest(query.count.unwrap_or(DEFAULT_DECISIONS)),
    )
}

async fn explain_request(
    State(state): State<OperatorState>,
    Path(request): Path<String>,
) -> Response {
    let Ok(request) = request.parse::<RequestId>() else {
        let problem = ProblemBody::before_admission(
            400,
            "malformed-request-id",
            "a request's identity is two hexadecimal numbers with a hyphen between",
        );
        return respond_problem(&problem);
    };
    let lines = state.decisions.explain(request);
    if lines.is_empty() {
        let problem = ProblemBody::before_admission(
            404,
            "unknown-request",
            "not a request of this instance, not sampled, or no longer kept",
        );
        return respond_problem(&problem);
    }
    Json(lines).into_response()
}

/// Streams future decisions, one JSON object per line. A client that reads too
/// slowly misses some; the request path never waits for it.
async fn stream_decisions(State(state): State<OperatorState>) -> Response {
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(64);
    let mut watch = state.decisions.subscribe();
    tokio::spawn(async move {
        loop {
            let line = match watch.recv().await {
                Ok(line) => line,
                Err(RecvError::Lagged(_)) => continue,
                Err(RecvError::Closed) => return,
            };
            let mut text = serde_json::to_vec(&*line).unwrap_or_default();
            text.push(b'\n');
            if sender.send(Bytes::from(text)).await.is_err() {
                return;
            }
        }
    });
    Body::new(StreamBody::new(FrameStream { receiver })).into_response()
}

/// A stream of body frames that reads from a channel.
struct FrameStream {
    receiver: tokio::sync::mpsc::Receiver<Bytes>,
}

impl futures_core::Stream for FrameStream {
    type Item = Result<Frame<Bytes>, Infallible>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        let next = self.receiver.poll_recv(context);
        next.map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
    }
}
