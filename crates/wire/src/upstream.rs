//! JSON bodies that an instance exchanges with upstream servers: subqueries and their
//! replies, and the announcements of servers. Invalid input is refused, never guessed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use wheelmast_core::prelude::{
    AttemptId, HeldSnapshot, ReplyBody, ReplyStatus, RequestId, RequestKind, ScoredHit, SendOrder,
    ServerPhase, SnapshotId, UpstreamAnnouncement,
};

/// HTTP path at an upstream server to which subqueries are sent.
pub const SEARCH_PATH: &str = "/v1/search";
/// HTTP path at an instance to which servers send announcements.
pub const ANNOUNCE_PATH: &str = "/v1/announce";
/// Maximum number of hits in a reply; a reply with more is treated as failed.
pub const MAX_REPLY_HITS: usize = 10_000;
/// Maximum lease that an announcement may request, in milliseconds.
pub const MAX_LEASE_MS: u64 = 60_000;

/// Subquery: one shard's part of a request, sent to an upstream server.
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchRequest {
    /// Attempt id, which the reply must repeat.
    pub attempt: String,
    /// Request id, which the reply must repeat.
    pub request: String,
    /// Kind of request: `query`, `fetch` or `non-repeatable`.
    pub kind: String,
    /// Number of the shard to search.
    pub shard: u32,
    /// Partitioning epoch of the snapshot to search.
    pub epoch: u32,
    /// Index version of the snapshot to search.
    pub version: u64,
    /// Time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Key of the document to fetch, or idempotency key of a submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// JSON that the caller sent. It must remain the last field, see [`encode_search_start`].
    pub payload: Box<RawValue>,
}

/// Reply to a [`SearchRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct SearchReply {
    /// Id of the attempt that the reply belongs to.
    pub attempt: String,
    /// Id of the request that the reply belongs to.
    pub request: String,
    /// Number of the shard that was searched.
    pub shard: u32,
    /// Partitioning epoch of the snapshot that was searched.
    pub epoch: u32,
    /// Index version of the snapshot that was searched.
    pub version: u64,
    /// Hits found in the shard.
    pub hits: Vec<UpstreamHit>,
}

/// One hit of a [`SearchReply`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UpstreamHit {
    /// Score; higher is better.
    #[serde(default)]
    pub score: f64,
    /// JSON document of the hit, forwarded to the caller without being parsed.
    pub document: Box<RawValue>,
}

/// Body of a server's refusal, with status 503 (load shed) or 410 (snapshot not held).
#[derive(Debug, Serialize, Deserialize)]
pub struct NotRunBody {
    /// Whether the server ran the subquery. The refusal counts as not run only if this is
    /// `false`; otherwise it counts as a failure.
    pub ran: bool,
    /// Time after which to retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// With status 410: snapshots that the server holds now.
    #[serde(default)]
    pub held: Vec<HeldSnapshotBody>,
}

/// One shard of a snapshot that a server holds.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct HeldSnapshotBody {
    /// Partitioning epoch.
    pub epoch: u32,
    /// Index version.
    pub version: u64,
    /// Number of the shard, starting from 0.
    pub shard: u32,
    /// Number of shards in this epoch.
    pub shards: u32,
}

/// Announcement by which a server registers with an instance and renews its lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnouncementBody {
    /// Server name.
    pub server: String,
    /// Name of the upstream that the server belongs to.
    pub upstream: String,
    /// Failure domain of the server.
    pub domain: String,
    /// Address where the server accepts subqueries.
    pub address: SocketAddr,
    /// Incarnation of the server, which increases with each start.
    pub incarnation: u64,
    /// Sequence number, which increases with each announcement.
    pub sequence: u64,
    /// Phase of the server: `starting`, `serving`, `draining` or `left`.
    pub phase: String,
    /// Snapshots that the server holds.
    pub held: Vec<HeldSnapshotBody>,
    /// Number of subqueries that the server processes concurrently.
    pub slots: u32,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
    /// Load of the server, as a multiple of its slots.
    #[serde(default)]
    pub load: f32,
    /// Lease in milliseconds: the server gets no new requests if it sends no further
    /// announcement within this time.
    pub lease_ms: u64,
}

/// Reason why a message could not be encoded, decoded or accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageError(pub String);

impl std::fmt::Display for MessageError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for MessageError {}

/// Returns the name of a request kind, as used in [`SearchRequest::kind`].
pub fn request_kind_label(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Query => "query",
        RequestKind::Fetch => "fetch",
        RequestKind::NonRepeatable => "non-repeatable",
    }
}

/// Text that follows the caller's payload in the encoding of a subquery.
pub const SEARCH_REQUEST_END: &[u8] = b"}";
/// JSON that stands for the payload while the text before it is encoded.
const NO_PAYLOAD: &str = "null";

/// Encodes the subquery of a send order, up to the caller's payload. The payload follows as it
/// is, and then [`SEARCH_REQUEST_END`]. `now` is the time of sending, from which the remaining
/// time is computed.
///
/// # Errors
///
/// Fails if the order cannot be encoded.
pub fn encode_search_start(order: &SendOrder, now: Duration) -> Result<Vec<u8>, MessageError> {
    let to_message_error = |error: serde_json::Error| MessageError(error.to_string());
    let request = SearchRequest {
        attempt: order.id.to_string(),
        request: order.request.to_string(),
        kind: request_kind_label(order.body.kind).to_string(),
        shard: order.shard,
        epoch: order.snapshot.epoch,
        version: order.snapshot.version,
        remaining_ms: order.deadline.saturating_sub(now).as_millis() as u64,
        key: order.body.key.as_deref().map(str::to_string),
        payload: RawValue::from_string(NO_PAYLOAD.to_string()).map_err(to_message_error)?,
    };
    let mut text = serde_json::to_vec(&request).map_err(to_message_error)?;
    // The payload is the last field.
    text.truncate(text.len() - NO_PAYLOAD.len() - SEARCH_REQUEST_END.len());
    Ok(text)
}

/// Decodes the reply of an upstream server with the given HTTP status. A reply that
/// cannot be decoded counts as failed.
pub fn decode_reply(status: u16, body: &[u8]) -> ReplyStatus {
    match status {
        200 => decode_hits(body).map_or(ReplyStatus::Failed, ReplyStatus::Body),
        410 | 503 => decode_not_run(status, body),
        _ => ReplyStatus::Failed,
    }
}

/// Decodes the body of a successful reply. Returns `None` if it is invalid or has more
/// than [`MAX_REPLY_HITS`] hits.
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

/// Decodes the body of a refusal. Returns a failure unless the body states explicitly
/// that the subquery did not run.
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

/// Validates an announcement and converts it for the entry machine.
///
/// # Errors
///
/// Names the first invalid field.
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
