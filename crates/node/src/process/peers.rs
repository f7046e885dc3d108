//! HTTP handler of the peers thread: receives messages of other instances, and
//! passes them to the gossip or the control thread.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Request, State};
use axum::http::{HeaderMap, StatusCode};
use axum::middleware::{from_fn_with_state, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::Router;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;
use wheelmast_core::process::gossip::machine::GossipInput;
use wheelmast_wire::peer::{
    decode, encode, PeerReply, PeerRequest, KEY_HEADER, MAX_PEER_MESSAGE_BYTES, PEER_PATH,
};

use crate::process::control::ControlMessage;
use crate::process::gossip::GossipCommand;
use crate::ring::RingSender;

/// State of the handler.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// The ring to the control thread.
    pub control: RingSender<ControlMessage>,
    /// The ring to the gossip thread.
    pub gossip: RingSender<GossipCommand>,
    /// The key that authenticates messages within the cluster.
    pub key: Arc<str>,
}

/// Returns the HTTP routes for other instances.
pub fn peer_router(state: PeerState) -> Router {
    Router::new()
        .route(PEER_PATH, post(handle_message))
        .layer(DefaultBodyLimit::max(MAX_PEER_MESSAGE_BYTES))
        .layer(from_fn_with_state(state.clone(), check_key))
        .with_state(state)
}

/// Checks the cluster key of a message before its body is received.
async fn check_key(State(state): State<PeerState>, request: Request, next: Next) -> Response {
    if !has_key(request.headers(), KEY_HEADER, &state.key) {
        tracing::warn!("peer: a message with a wrong cluster key was rejected");
        return (StatusCode::FORBIDDEN, "wrong cluster key").into_response();
    }
    next.run(request).await
}

/// Handles a message of another instance.
async fn handle_message(State(state): State<PeerState>, body: Bytes) -> Response {
    let Ok(request) = decode(&body) else {
        return (StatusCode::BAD_REQUEST, "not a message of this version").into_response();
    };
    if let PeerRequest::Gossip(message) = request {
        // If the ring is full, the message is lost, as on a lossy network;
        // gossip tolerates this.
        let input = Box::new(GossipInput::Message(*message));
        let _ = state.gossip.offer(GossipCommand::Input(input));
        return encode_reply(&PeerReply::Taken);
    }
    let (reply, reply_receiver) = oneshot::channel();
    state
        .control
        .put(ControlMessage::Peer { request, reply })
        .await;
    match reply_receiver.await {
        Ok(reply) => encode_reply(&reply),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Responds with the encoded reply.
fn encode_reply(reply: &PeerReply) -> Response {
    match encode(reply) {
        Ok(bytes) => bytes.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Tells whether a header contains a key. The comparison takes constant time,
/// so that it does not reveal how much of the key is right.
pub fn has_key(headers: &HeaderMap, name: &str, key: &str) -> bool {
    let given = headers.get(name).map(|value| value.as_bytes());
    given.is_some_and(|given| given.ct_eq(key.as_bytes()).into())
}
