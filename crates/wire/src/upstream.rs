//! Messages between an instance and the upstream servers, as JSON.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use wheelmast_core::prelude::{
    AttemptId, HeldSnapshot, ReplyBody, ReplyStatus, RequestId, RequestKind, ScoredHit, SendOrder,
    ServerPhase, SnapshotId, UpstreamAnnouncement,
};

/// Path of a subquery at an upstream server.
pub const SEARCH_PATH: &str = "/v1/search";
/// Path of an announcement at an instance.
pub const ANNOUNCE_PATH: &str = "/v1/announce";
/// Most hits taken from one reply.
pub const MAX_REPLY_HITS: usize = 10_000;
/// Longest lease an announcement may ask for, in milliseconds.
pub const MAX_LEASE_MS: u64 = 60_000;

/// A subquery.
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Identity of the attempt, to be given back.
    pub attempt: String,
    /// Identity of the request, to be given back.
    pub request: String,
    /// `query`, `fetch` or `non-repeatable`.
    pub kind: String,
    /// Shard to search.
    pub shard: u32,
    /// Partitioning epoch of the snapshot to search.
    pub epoch: u32,
    /// Index version of the snapshot to search.
    pub version: u64,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Key of a fetch, or idempotency key of a submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// The caller's JSON.
    pub payload: Box<RawValue>,
}

/// A reply to a subquery.
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchReply {
    /// Attempt answered.
    pub attempt: String,
    /// Request answered.
    pub request: String,
    /// Shard searched.
    pub shard: u32,
    /// Partitioning epoch of the snapshot searched.
    pub epoch: u32,
    /// Index version of the snapshot searched.
    pub version: u64,
    /// The hits.
    pub hits: Vec<UpstreamHit>,
}

/// One hit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpstreamHit {
    /// Score; greater is better.
    #[serde(default)]
    pub score: f64,
    /// The hit itself, passed on unread.
    pub document: Box<RawValue>,
}

/// Body of a refusal with status 503 (shed) or 410 (snapshot gone).
#[derive(Debug, Serialize, Deserialize)]
pub struct NotRunBody {
    /// Whether the server ran the subquery. Only `false` counts.
    pub ran: bool,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// With status 410: the snapshots held now.
    #[serde(default)]
    pub held: Vec<HeldSnapshotBody>,
}

/// A snapshot that a server holds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct HeldSnapshotBody {
    /// Partitioning epoch.
    pub epoch: u32,
    /// Index version.
    pub version: u64,
    /// Shard held, from 0.
    pub shard: u32,
    /// Number of shards in this epoch.
    pub shards: u32,
}

/// A server's announcement of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Name of the server.
    pub server: String,
    /// Name of the upstream it serves.
    pub upstream: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Where it takes subqueries.
    pub address: SocketAddr,
    /// Greater with each start.
    pub incarnation: u64,
    /// Greater with each announcement.
    pub sequence: u64,
    /// `starting`, `serving`, `draining` or `left`.
    pub phase: String,
    /// Snapshots it holds.
    pub held: Vec<HeldSnapshotBody>,
    /// Subqueries it works on at a time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Its load as a multiple of its slots.
    #[serde(default)]
    pub load: f32,
    /// Time without renewal after which it gets no new work, in milliseconds.
    pub lease_ms: u64,
}

/// Why a message was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError(pub String);

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for MessageError {}

/// Returns the word for a kind of request.
pub fn request_kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Query => "query",
        RequestKind::Fetch => "fetch",
        RequestKind::NonRepeatable => "non-repeatable",
    }
}

/// Encodes the subquery of an order as it is written at `now`.
///
/// # Errors
///
/// Fails if the caller's payload is not JSON.
pub fn encode_search_request(order: &SendOrder, now: Duration) -> Result<Vec<u8>, MessageError> {
    let payload: &RawValue = serde_json::from_slice(&order.body.payload)
        .map_err(|error| MessageError(error.to_string()))?;
    let request = SearchRequest {
        attempt: order.id.to_string(),
        request: order.request.to_string(),
        kind: request_kind_label(order.body.kind).to_string(),
        shard: order.shard,
        epoch: order.snapshot.epoch,
        version: order.snapshot.version,
        remaining_ms: order.deadline.saturating_sub(now).as_millis() as u64,
        key: order.body.key.as_deref().map(str::to_string),
        payload: payload.to_owned(),
    };
    serde_json::to_vec(&request).map_err(|error| MessageError(error.to_string()))
}

/// Decodes an upstream's reply of a given HTTP status. Whatever cannot be
/// read is a failure: nothing is guessed.
pub fn decode_reply(status: u16, body: &[u8]) -> ReplyStatus {
    match status {
        200 => decode_hits(body).map_or(ReplyStatus::Failed, ReplyStatus::Body),
        410 | 503 => decode_not_run(status, body),
        _ => ReplyStatus::Failed,
    }
}

fn decode_hits(body: &[u8]) -> Option<ReplyBody> {
    let reply: SearchReply = serde_json::from_slice(body).ok()?;
    if reply.hits.len() > MAX_REPLY_HITS {
        return None;
    }
    let attempt: AttemptId = reply.attempt.parse().ok()?;
    let request: RequestId = reply.request.parse().ok()?;
    let hits = reply.hits.into_iter().map(|hit| ScoredHit {
        score: hit.score,
        document: Box::<str>::from(hit.document),
    });
    Some(ReplyBody {
        attempt,
        request,
        shard: reply.shard,
        snapshot: SnapshotId {
            epoch: reply.epoch,
            version: reply.version,
        },
        hits: hits.collect(),
    })
}

fn decode_not_run(status: u16, body: &[u8]) -> ReplyStatus {
    let Ok(refusal) = serde_json::from_slice::<NotRunBody>(body) else {
        return ReplyStatus::Failed;
    };
    if refusal.ran {
        return ReplyStatus::Failed;
    }
    if status == 410 {
        return ReplyStatus::SnapshotNotHeld {
            held: refusal.held.into_iter().map(HeldSnapshot::from).collect(),
        };
    }
    ReplyStatus::Shed {
        retry_after: refusal.retry_after_ms.map(Duration::from_millis),
    }
}

impl From<HeldSnapshotBody> for HeldSnapshot {
    fn from(held: HeldSnapshotBody) -> HeldSnapshot {
        HeldSnapshot {
            snapshot: SnapshotId {
                epoch: held.epoch,
                version: held.version,
            },
            shard: held.shard,
            shards: held.shards,
        }
    }
}

impl From<HeldSnapshot> for HeldSnapshotBody {
    fn from(held: HeldSnapshot) -> HeldSnapshotBody {
        HeldSnapshotBody {
            epoch: held.snapshot.epoch,
            version: held.snapshot.version,
            shard: held.shard,
            shards: held.shards,
        }
    }
}

/// Reads an announcement.
///
/// # Errors
///
/// Names what cannot be taken.
pub fn read_announcement(body: AnnouncementBody) -> Result<UpstreamAnnouncement, MessageError> {
    let invalid = |text: &str| Err(MessageError(text.to_string()));
    if body.server.is_empty() || body.upstream.is_empty() {
        return invalid("server and upstream must be named");
    }
    if body.slots == 0 || body.connections == 0 {
        return invalid("slots and connections must be 1 or more");
    }
    if body.lease_ms == 0 || body.lease_ms > MAX_LEASE_MS {
        return invalid("lease_ms must be from 1 to 60000");
    }
    let phase = match body.phase.as_str() {
        "starting" => ServerPhase::Starting,
        "serving" => ServerPhase::Serving,
        "draining" => ServerPhase::Draining,
        "left" => ServerPhase::Left,
        _ => return invalid("phase must be starting, serving, draining or left"),
    };
    Ok(UpstreamAnnouncement {
        name: body.server.into(),
        upstream: body.upstream.into(),
        domain: body.domain.into(),
        address: body.address,
        incarnation: body.incarnation,
        sequence: body.sequence,
        phase,
        held: body.held.into_iter().map(HeldSnapshot::from).collect(),
        slots: body.slots,
        connections: body.connections,
        load: body.load,
        lease: Duration::from_millis(body.lease_ms),
    })
}
