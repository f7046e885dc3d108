//! The operators thread: state, metrics and decisions over HTTP.

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

use crate::process::change::{ChangeDesk, ChangeResult};
use crate::process::entry::{complete_status, inspect, EntryMessage};
use crate::process::gossip::GossipOrder;
use crate::process::journal::JournalBook;
use crate::process::measures::MeasureBook;
use crate::process::peers::has_key;
use crate::process::ready::ReadyFlag;
use crate::request::respond::respond_problem;
use crate::ring::RingSender;

/// Decisions returned if no number is asked for.
const DEFAULT_DECISIONS: usize = 200;

/// What the handlers share.
#[derive(Debug, Clone)]
pub struct OperatorState {
    /// Name of the instance.
    pub instance: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Reaches the control group, if the instance is not alone.
    pub desk: Option<ChangeDesk>,
    /// The gossip thread, if the instance is not alone.
    pub gossip: Option<RingSender<GossipOrder>>,
    /// Token that operators must show for changes, if any.
    pub token: Option<Arc<str>>,
    /// The entry thread.
    pub entry: RingSender<EntryMessage>,
    /// The decisions.
    pub book: JournalBook,
    /// The metrics.
    pub measures: Arc<MeasureBook>,
    /// Whether new requests are wanted.
    pub ready: ReadyFlag,
}

/// Returns the routes towards operators.
pub fn operator_router(state: OperatorState) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/ready", get(ready))
        .route("/v1/status", get(status))
        .route("/v1/decisions", get(decisions))
        .route("/v1/decisions/stream", get(stream))
        .route("/v1/explain/{request}", get(explain))
        .route("/v1/members", get(members))
        .route("/v1/table", get(table).post(change))
        .route("/v1/table/history", get(history))
        .with_state(state)
}

async fn ready(State(state): State<OperatorState>) -> StatusCode {
    if state.ready.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Header with the operators' token.
const TOKEN_HEADER: &str = "wheelmast-token";

fn alone() -> Response {
    let detail = "the instance is alone: its table comes from its settings";
    respond_problem(&ProblemBody::before_admission(
        404,
        "no-control-group",
        detail,
    ))
}

async fn table(State(state): State<OperatorState>) -> Response {
    let Some(desk) = &state.desk else {
        return alone();
    };
    let table = desk.table().await;
    Json(TableStatus {
        version: table.as_ref().map_or(0, |table| table.version),
        csv: table.map(|table| table.csv).unwrap_or_default(),
    })
    .into_response()
}

async fn members(State(state): State<OperatorState>) -> Response {
    let Some(gossip) = &state.gossip else {
        return alone();
    };
    let (reply, answer) = oneshot::channel();
    gossip.put(GossipOrder::Members(reply)).await;
    match answer.await {
        Ok(members) => Json(members).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn history(State(state): State<OperatorState>) -> Response {
    let Some(desk) = &state.desk else {
        return alone();
    };
    let versions = desk
        .history()
        .await
        .into_iter()
        .map(|table| TableHistoryEntry {
            version: table.version,
            change: table.change,
            note: table.note,
        });
    Json(versions.collect::<Vec<_>>()).into_response()
}

async fn change(
    State(state): State<OperatorState>,
    headers: HeaderMap,
    Json(change): Json<TableChange>,
) -> Response {
    if let Some(token) = &state.token {
        if !has_key(&headers, TOKEN_HEADER, token) {
            tracing::warn!("table: a change with a wrong token was turned away");
            let detail = format!("{TOKEN_HEADER} does not hold the operators' token");
            return respond_problem(&ProblemBody::before_admission(403, "wrong-token", detail));
        }
    }
    let Some(desk) = &state.desk else {
        return alone();
    };
    match desk.apply(change).await {
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

async fn metrics(State(state): State<OperatorState>) -> Response {
    match inspect(&state.entry).await {
        Some(report) => state
            .measures
            .render(&report, state.book.dropped())
            .into_response(),
        None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn status(State(state): State<OperatorState>) -> Response {
    let Some(report) = inspect(&state.entry).await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let status = complete_status(report, &state.instance, &state.domain);
    let status = InstanceStatus {
        ready: state.ready.is_ready(),
        decisions_dropped: state.book.dropped(),
        ..status
    };
    Json(status).into_response()
}

/// Query of `/v1/decisions`.
#[derive(Debug, Deserialize)]
struct DecisionQuery {
    count: Option<usize>,
}

async fn decisions(
    State(state): State<OperatorState>,
    Query(query): Query<DecisionQuery>,
) -> Json<Vec<DecisionLine>> {
    Json(state.book.last(query.count.unwrap_or(DEFAULT_DECISIONS)))
}

async fn explain(State(state): State<OperatorState>, Path(request): Path<String>) -> Response {
    let Ok(request) = request.parse::<RequestId>() else {
        let problem = ProblemBody::before_admission(
            400,
            "malformed-request-id",
            "a request's identity is two hexadecimal numbers with a hyphen between",
        );
        return respond_problem(&problem);
    };
    let lines = state.book.explain(request);
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

/// Streams decisions as they are made, a JSON object a line. A watcher that
/// is too slow misses some; the request path never waits for it.
async fn stream(State(state): State<OperatorState>) -> Response {
    let (sender, receiver) = tokio::sync::mpsc::channel::<Bytes>(64);
    let mut watch = state.book.watch();
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

/// A stream of body frames out of a channel.
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
