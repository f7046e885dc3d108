//! How a fake server handles a subquery.

use std::net::IpAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use serde_json::value::RawValue;
use wheelmast_core::prelude::{HeldSnapshot, SnapshotId};
use wheelmast_wire::prelude::{
    HeldSnapshotBody, NotRunBody, SearchReply, SearchRequest, UpstreamHit,
};

use crate::ledger::SearchedShard;
use crate::server::{FakeBehaviour, FakeServer};

/// Subqueries that wait at a server beyond its slots before it sheds.
const QUEUE_LENGTH: u32 = 24;
/// Hits in a reply.
const HITS: u32 = 3;
/// Spread of the time a subquery takes (sigma of the logarithm).
const SPREAD: f64 = 0.35;
/// Factor on the time while a server is cold.
const COLD_FACTOR: f64 = 5.0;
/// Round trip between failure domains.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(1);
/// When a server that sheds asks to be tried again.
const SHED_RETRY_MS: u64 = 50;

type FakeResponse = Response<Full<Bytes>>;

/// Counts a subquery as pending for as long as it lives, and as cancelled if
/// it is dropped before its end.
struct PendingGuard<'a> {
    server: &'a FakeServer,
    finished: bool,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.server.pending.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.server.ledger.cancelled();
        }
    }
}

/// Handles one subquery.
pub async fn handle(
    server: &Arc<FakeServer>,
    peer: IpAddr,
    request: Request<Incoming>,
) -> FakeResponse {
    let arrived = Instant::now();
    let Ok(body) = request.into_body().collect().await else {
        return plain(StatusCode::BAD_REQUEST, "body cut off");
    };
    let Ok(search) = serde_json::from_slice::<SearchRequest>(&body.to_bytes()) else {
        return plain(StatusCode::BAD_REQUEST, "not a subquery");
    };
    server.network.wait_healed(peer, server.shape.domain).await;
    let behaviour = server.state().behaviour.clone();
    if behaviour.frozen {
        std::future::pending::<()>().await;
    }
    let leaving_since = server.state().leaving_since;
    server
        .ledger
        .arrived(leaving_since.map(|since| since.elapsed()));
    let before = server.pending.fetch_add(1, Ordering::Relaxed);
    let mut guard = PendingGuard {
        server,
        finished: false,
    };
    let response = if let Some(refusal) = refuse(server, &behaviour, &search, before) {
        refusal
    } else {
        run(server, &behaviour, search, arrived, peer).await
    };
    server.network.wait_healed(peer, server.shape.domain).await;
    guard.finished = true;
    response
}

/// Refuses a subquery that is not to be run, with the word that it was not.
fn refuse(
    server: &FakeServer,
    behaviour: &FakeBehaviour,
    search: &SearchRequest,
    before: u32,
) -> Option<FakeResponse> {
    let state = server.state();
    let full = before >= server.shape.slots + QUEUE_LENGTH;
    if full || !state.phase.takes_work() || chance(behaviour.shed) {
        return Some(not_run(StatusCode::SERVICE_UNAVAILABLE, &[]));
    }
    let asked = SnapshotId {
        epoch: search.epoch,
        version: search.version,
    };
    let holds = |held: &HeldSnapshot| held.snapshot == asked && held.shard == search.shard;
    if !state.held.iter().any(holds) {
        return Some(not_run(StatusCode::GONE, &state.held));
    }
    None
}

async fn run(
    server: &Arc<FakeServer>,
    behaviour: &FakeBehaviour,
    search: SearchRequest,
    arrived: Instant,
    peer: IpAddr,
) -> FakeResponse {
    let Ok(_slot) = server.slots.acquire().await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &[]);
    };
    if arrived.elapsed() >= Duration::from_millis(search.remaining_ms) {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &[]);
    }
    let term = term_of(&search);
    server.ledger.began(&term);
    tokio::time::sleep(duration_of(server, behaviour, peer)).await;
    if chance(behaviour.broken) {
        return plain(StatusCode::INTERNAL_SERVER_ERROR, "broken off");
    }
    let searched = searched_by(server, behaviour, &search);
    server.ledger.searched(&search.request, searched);
    let reply = reply_of(server, &search, searched, &term);
    let reply = if chance(behaviour.crossed) {
        server.state().kept.replace(reply)
    } else {
        Some(reply)
    };
    match reply {
        Some(reply) => json(StatusCode::OK, &reply),
        None => plain(StatusCode::INTERNAL_SERVER_ERROR, "nothing to cross with"),
    }
}

/// Returns the shard and snapshot that the server really searches.
fn searched_by(
    server: &FakeServer,
    behaviour: &FakeBehaviour,
    search: &SearchRequest,
) -> SearchedShard {
    let mut searched = SearchedShard {
        shard: search.shard,
        snapshot: SnapshotId {
            epoch: search.epoch,
            version: search.version,
        },
    };
    if chance(behaviour.wrong_shard) {
        searched.shard += 1;
    }
    if chance(behaviour.wrong_snapshot) {
        let state = server.state();
        let other = state
            .held
            .iter()
            .find(|held| held.snapshot != searched.snapshot);
        searched.snapshot = other.map_or(searched.snapshot, |held| held.snapshot);
        searched.snapshot.version += u64::from(other.is_none());
    }
    searched
}

fn reply_of(
    server: &FakeServer,
    search: &SearchRequest,
    searched: SearchedShard,
    term: &str,
) -> SearchReply {
    let document = serde_json::json!({
        "term": term,
        "server": server.shape.name,
        "shard": searched.shard,
        "epoch": searched.snapshot.epoch,
        "version": searched.snapshot.version,
    });
    let text = document.to_string();
    let hits = (0..HITS).filter_map(|_| {
        Some(UpstreamHit {
            score: rand::rng().random(),
            document: RawValue::from_string(text.clone()).ok()?,
        })
    });
    SearchReply {
        attempt: search.attempt.clone(),
        request: search.request.clone(),
        shard: searched.shard,
        epoch: searched.snapshot.epoch,
        version: searched.snapshot.version,
        hits: hits.collect(),
    }
}

fn duration_of(server: &FakeServer, behaviour: &FakeBehaviour, peer: IpAddr) -> Duration {
    let normal = standard_normal();
    let spread = (normal * SPREAD).exp();
    let cold = server.state().cold_until;
    let is_cold = cold.is_some_and(|until| Instant::now() < until);
    let cold = if is_cold { COLD_FACTOR } else { 1.0 };
    let far = if server.network.is_far(peer, server.shape.domain) {
        FAR_ROUND_TRIP
    } else {
        Duration::ZERO
    };
    server
        .shape
        .median
        .mul_f64(spread * cold * behaviour.slowness)
        + far
}

/// Draws from the normal distribution (Box and Muller 1958).
fn standard_normal() -> f64 {
    let mut rng = rand::rng();
    let first: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    let second: f64 = rng.random();
    (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
}

fn chance(part: f64) -> bool {
    part > 0.0 && rand::rng().random_bool(part.min(1.0))
}

/// Returns the caller's term, by which runs are counted.
fn term_of(search: &SearchRequest) -> String {
    if search.kind == "fetch" {
        return search.key.clone().unwrap_or_default();
    }
    let payload: serde_json::Value =
        serde_json::from_str(search.payload.get()).unwrap_or(serde_json::Value::Null);
    payload["term"].as_str().unwrap_or_default().to_string()
}

fn not_run(status: StatusCode, held: &[HeldSnapshot]) -> FakeResponse {
    let body = NotRunBody {
        ran: false,
        retry_after_ms: (status == StatusCode::SERVICE_UNAVAILABLE).then_some(SHED_RETRY_MS),
        held: held
            .iter()
            .map(|held| HeldSnapshotBody::from(*held))
            .collect(),
    };
    json(status, &body)
}

fn json<T: serde::Serialize>(status: StatusCode, body: &T) -> FakeResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(bytes)));
    *response.status_mut() = status;
    response
}

fn plain(status: StatusCode, text: &'static str) -> FakeResponse {
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
