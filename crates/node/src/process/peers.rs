//! The peers thread: takes messages of other instances.

use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::{HeaderMap, StatusCode};
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
use crate::process::gossip::GossipOrder;
use crate::ring::RingSender;

/// What the handler needs.
#[derive(Debug, Clone)]
pub struct PeerState {
    /// The control thread.
    pub control: RingSender<ControlMessage>,
    /// The gossip thread.
    pub gossip: RingSender<GossipOrder>,
    /// The cluster's key.
    pub key: Arc<str>,
}

/// Returns the routes towards other instances.
pub fn peer_router(state: PeerState) -> Router {
    Router::new()
        .route(PEER_PATH, post(take))
        .layer(DefaultBodyLimit::max(MAX_PEER_MESSAGE_BYTES))
        .with_state(state)
}

async fn take(State(state): State<PeerState>, headers: HeaderMap, body: Bytes) -> Response {
    if !has_key(&headers, KEY_HEADER, &state.key) {
        tracing::warn!("peer: a message with a wrong cluster key was turned away");
        return (StatusCode::FORBIDDEN, "wrong cluster key").into_response();
    }
    let Ok(request) = decode(&body) else {
        return (StatusCode::BAD_REQUEST, "not a message of this version").into_response();
    };
    if let PeerRequest::Gossip(message) = request {
        // A full ring loses it, as the network may.
        let input = Box::new(GossipInput::Message(*message));
        let _ = state.gossip.offer(GossipOrder::Input(input));
        return respond(&PeerReply::Taken);
    }
    let (reply, answer) = oneshot::channel();
    state
        .control
        .put(ControlMessage::Peer { request, reply })
        .await;
    match answer.await {
        Ok(answer) => respond(&answer),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

fn respond(reply: &PeerReply) -> Response {
    match encode(reply) {
        Ok(bytes) => bytes.into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

/// Tells whether a header holds a key, in time that does not depend on how
/// much of it is right.
pub fn has_key(headers: &HeaderMap, name: &str, key: &str) -> bool {
    let given = headers.get(name).map(|value| value.as_bytes());
    given.is_some_and(|given| given.ct_eq(key.as_bytes()).into())
}
