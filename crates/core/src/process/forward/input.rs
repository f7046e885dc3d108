//! Inputs of the forward machine: callers' requests, results of attempts, and
//! updates about tables, servers and other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::directory::ServerAnnouncement;
use crate::process::forward::suspect::record::SuspectRecord;
use crate::process::input::CallTag;
use crate::process::load::LoadSummary;
use crate::process::rollout::RolloutView;
use crate::request::mark::RequestFingerprint;
use crate::request::records::RECORD_BYTES;
use crate::version::route_table::RouteTable;
use crate::version::workspace::KeyDigest;

/// Incoming request, reduced to the fields that decisions depend on.
#[derive(Debug, Clone)]
pub struct ForwardCall {
    /// Identifier that the driver (the code around the state machine) gave the
    /// request.
    pub tag: CallTag,
    /// Requested host.
    pub host: Box<str>,
    /// Requested path, without the query string.
    pub path: Box<str>,
    /// Fingerprint of the request's content and of its caller.
    pub mark: RequestFingerprint,
    /// Digest of the caller's key, if the request had one.
    pub key: Option<KeyDigest>,
    /// Earliest time at which the request may have arrived, since the process
    /// started. The request's deadlines are counted from this time.
    pub arrived_at: Duration,
    /// Time that the caller allows for the answer, if the request states one.
    pub time_left: Option<Duration>,
    /// Order of the sending entry, if another entry relayed the request.
    pub relayed: Option<RelayOrder>,
}

/// Order of one entry to another to query some shards of a request (a relay).
///
/// An entry relays shards if another entry is nearer to them, or to divide the work
/// of a request with many shards among the entries of its failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayOrder {
    /// Version of the route table with which the sending entry admitted the
    /// request.
    pub version: u64,
    /// Latest time at which the answer is still useful, since this process started.
    pub answer_by: Duration,
    /// Attempt allowance: maximum number of servers to try for each shard. The
    /// sending entry may raise the allowance later.
    pub attempts: u32,
    /// Whether the shards raise the receiving entry's budgets for extra load
    /// (retries and hedges). False if the shards were sent elsewhere before, where
    /// they may have been counted already.
    pub credits_budget: bool,
    /// Whether the receiving entry may send shards on to the other entries of its
    /// failure domain.
    pub may_divide: bool,
    /// Workspace (customer) that the sending entry identified by the caller's key.
    pub workspace: Option<Arc<str>>,
    /// Maximum number of records in the merged answer, by the sending entry's route.
    /// The receiving entry may have a newer table with another route for the request.
    /// `None` if the sending entry runs a version that does not state it.
    pub top: Option<usize>,
    /// Regions in which the sending entry's table allows the request; empty allows all.
    /// Those that the receiving entry's table does not allow are not used either.
    pub homes: Vec<String>,
    /// Names of the services that hold the shards.
    pub shards: Vec<Arc<str>>,
}

/// Answer of another entry to a [`RelayOrder`]: several parts of a request in one
/// message, with their records merged.
#[derive(Debug, Clone)]
pub struct BundleAnswer {
    /// Service and server stamp of each answered part.
    pub parts: Vec<(Box<str>, Box<str>)>,
    /// Maximum number of records for which the parts were merged. `None` if the
    /// answering entry runs a version that does not state it.
    pub top: Option<usize>,
    /// Merged records of these parts.
    pub body: Bytes,
}

impl BundleAnswer {
    /// Returns whether the body holds all of the greatest `top` records of its parts. An
    /// answer that does not state for how many records it was merged does so for certain
    /// only if it has as many.
    pub fn covers(&self, top: usize) -> bool {
        let merged = self.top.unwrap_or(self.body.len() / RECORD_BYTES);
        merged >= top
    }
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPeer {
    /// Name of the instance.
    pub instance: Box<str>,
    /// Number drawn at random when the process starts. It tells incarnations of
    /// the same instance apart.
    #[serde(rename = "lifetime")]
    pub incarnation: u64,
    /// Failure domain (zone) of the instance.
    pub domain: Box<str>,
    /// Address on which the instance accepts requests.
    pub address: SocketAddr,
}

impl EntryPeer {
    /// Returns the identity of this incarnation, `instance#incarnation`.
    pub fn id(&self) -> Box<str> {
        format!("{}#{:x}", self.instance, self.incarnation).into()
    }
}

/// Load of a server, as reported by the server with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that the server is processing.
    pub running: u32,
    /// Number of requests that wait in the server's queue.
    pub waiting: u32,
    /// Number of requests that the server can process at once.
    pub slots: u32,
    /// Slowness of the server: its current service time per request in percent of
    /// the usual one, if reported.
    pub pace: Option<u32>,
}

/// Complete answer of a server.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Stamp by which the server proves that the answer is its own.
    pub stamp: Option<Box<str>>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Load of the server, if reported.
    pub load: Option<LoadReport>,
    /// Headers to return to the caller; empty for a part of a merged answer.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// Body of the answer.
    pub body: Bytes,
}

/// Result of an attempt.
#[derive(Debug, Clone)]
pub enum AttemptResult {
    /// A complete answer to the request.
    Answer(ServerAnswer),
    /// A bundle of parts from another entry.
    Bundle(BundleAnswer),
    /// The request has not run: the server could not be reached, or another entry
    /// refused the relay before it sent any shard to a server.
    Unsent,
    /// Nothing was written to the connection, because the request had timed out or
    /// was no longer needed: the request has not run. The result is no evidence
    /// against the server.
    Withdrawn,
    /// Another entry refused the request as suspect, because servers crashed under
    /// it; with that entry's record of the crashes.
    RefusedAsSuspect(SuspectRecord),
    /// Any other failure, such as a connection closed before the answer: the
    /// request may have run.
    Broken,
}

/// Reason why no connection could be opened for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionLimit {
    /// The server reset the new connection: it has as many as it accepts now.
    Server,
    /// This entry has as many connections to the server as it may have.
    Entry,
}

/// Input of the forward machine.
#[derive(Debug, Clone)]
pub enum ForwardInput {
    /// A new route table.
    Table(Arc<RouteTable>),
    /// An announcement that a server made about itself, or the control group about
    /// a server.
    Announcement(ServerAnnouncement),
    /// Whether the control group considers the lease of the server with this id
    /// expired, because the server has not announced itself.
    LeaseExpiry(Box<str>, bool),
    /// Complete list of the failure domains that an operator evacuated.
    EvacuatedDomains(Vec<Box<str>>),
    /// Complete list of the services' latest roll-outs.
    Rollouts(Vec<RolloutView>),
    /// A message of the control group arrived, so the entry is in contact with it.
    ControlContact,
    /// Number of entries that share the servers' connection limits.
    EntryCount(u32),
    /// Entries that accept requests, including this one.
    Peers(Vec<EntryPeer>),
    /// Other instances' records of suspect requests, under which servers crashed.
    Suspects(Vec<SuspectRecord>),
    /// A request from a caller or another entry.
    Call(ForwardCall),
    /// Another entry acknowledged a relayed attempt.
    RelayAcknowledged(SlotKey),
    /// The entry that relayed this request raised the attempt allowance to this
    /// number of servers for each shard.
    AllowanceRaised(CallTag, u32),
    /// A caller closed its connection before the answer.
    CallerLeft(CallTag),
    /// An attempt has a result.
    AttemptEnded {
        /// The attempt.
        attempt: SlotKey,
        /// The result.
        end: AttemptResult,
    },
    /// A connection to a server was established.
    Connected {
        /// The server.
        server: ServerKey,
        /// Time to establish the connection.
        took: Duration,
    },
    /// A server's host refused a connection.
    ConnectionRefused {
        /// The server.
        server: ServerKey,
        /// Time until the refusal.
        took: Duration,
    },
    /// The number of connections to a server changed.
    Connections {
        /// The server.
        server: ServerKey,
        /// Number of idle connections.
        idle: u32,
        /// Number of all connections: idle, in use, and being opened.
        open: u32,
    },
    /// No connection could be opened for an attempt because of a limit. Its result,
    /// [`AttemptResult::Unsent`], follows.
    ConnectionLimitReached {
        /// The attempt.
        attempt: SlotKey,
        /// Which limit was reached.
        limit: ConnectionLimit,
    },
    /// Shortage levels and workspace shares, as merged by the control group.
    LoadSummary(LoadSummary),
    /// No event; only the timers that are due are to run.
    Wake,
}
