//! HTTP handlers of the announce thread: upstream servers post announcements of
//! their state, which go to the gossip thread or, without a cluster, directly
//! to the entry thread.

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
use crate::process::gossip::GossipCommand;
use crate::request::respond::respond_problem;
use crate::ring::RingSender;

/// Maximum size of an announcement, in bytes.
pub const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;

/// Returns the HTTP routes for upstream servers.
pub fn announce_router(state: AnnounceState) -> Router {
    Router::new()
        .route(ANNOUNCE_PATH, post(handle_announcement))
        .layer(DefaultBodyLimit::max(MAX_ANNOUNCEMENT_BYTES))
        .with_state(state)
}

/// The rings that announcements are sent to.
#[derive(Debug, Clone)]
pub struct AnnounceState {
    /// The ring to the entry thread; used by an instance without a cluster.
    pub entry: RingSender<EntryMessage>,
    /// The ring to the gossip thread, which disseminates announcements to the
    /// other instances; `None` without a cluster.
    pub gossip: Option<RingSender<GossipCommand>>,
}

/// Parses an announcement and passes it on, or responds with status 400.
async fn handle_announcement(
    State(state): State<AnnounceState>,
    Json(body): Json<AnnouncementBody>,
) -> Response {
    match read_announcement(body) {
        Ok(announcement) => {
            match &state.gossip {
                Some(gossip) => {
                    let input = Box::new(GossipInput::Announced(announcement));
                    gossip.put(GossipCommand::Input(input)).await;
                }
                None => {
                    let input = EntryInput::Announce(announcement);
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
