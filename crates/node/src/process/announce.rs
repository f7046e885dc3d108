//! The announcement thread: takes the upstream servers' announcements.

use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use wheelmast_core::prelude::EntryInput;
use wheelmast_core::process::gossip::machine::GossipInput;
use wheelmast_wire::prelude::{AnnouncementBody, ProblemBody};
use wheelmast_wire::upstream::{read_announcement, ANNOUNCE_PATH};

use crate::process::entry::EntryMessage;
use crate::process::gossip::GossipOrder;
use crate::request::respond::respond_problem;
use crate::ring::RingSender;

/// Largest announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Returns the routes towards upstream servers.
pub fn announce_router(state: AnnounceState) -> Router {
    Router::new()
        .route(ANNOUNCE_PATH, post(announce))
        .layer(DefaultBodyLimit::max(ANNOUNCEMENT_BYTES))
        .with_state(state)
}

/// Where announcements go.
#[derive(Debug, Clone)]
pub struct AnnounceState {
    /// The entry thread, for an instance that is alone.
    pub entry: RingSender<EntryMessage>,
    /// The gossip thread, which tells the other instances.
    pub gossip: Option<RingSender<GossipOrder>>,
}

async fn announce(
    State(state): State<AnnounceState>,
    Json(body): Json<AnnouncementBody>,
) -> Response {
    match read_announcement(body) {
        Ok(news) => {
            match &state.gossip {
                Some(gossip) => {
                    let input = Box::new(GossipInput::Announced(news));
                    gossip.put(GossipOrder::Input(input)).await;
                }
                None => {
                    let input = EntryInput::Announce(news);
                    state.entry.put(EntryMessage::Input(input)).await;
                }
            }
            StatusCode::NO_CONTENT.into_response()
        }
        Err(error) => {
            let problem =
                ProblemBody::before_admission(400, "malformed-announcement", error.to_string());
            respond_problem(&problem)
        }
    }
}
