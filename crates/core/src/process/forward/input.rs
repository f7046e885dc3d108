//! What comes into the forward machine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::directory::ServerNotice;
use crate::process::forward::suspect::record::SuspectRecord;
use crate::process::input::CallTag;
use crate::process::rollout::RolloutView;
use crate::request::mark::RequestFingerprint;
use crate::version::route_table::RouteTable;
use crate::version::workspace::KeyDigest;

/// A caller's request, as far as decisions need it.
#[derive(Debug, Clone)]
pub struct ForwardCall {
    /// The driver's name for it.
    pub tag: CallTag,
    /// Host it asks for.
    pub host: Box<str>,
    /// Path it asks for, without the query.
    pub path: Box<str>,
    /// What it asks for, and who asks.
    pub mark: RequestFingerprint,
    /// Digest of the key it came with, if any.
    pub key: Option<KeyDigest>,
    /// When it may have come at the earliest, since the process started. Its time
    /// runs from there.
    pub arrived: Duration,
    /// Time the caller gave, if it says so.
    pub time_left: Option<Duration>,
    /// What another entry asks for, if one passed it on.
    pub relayed: Option<RelayOrder>,
}

/// What an entry asks of another that stands nearer to some shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayOrder {
    /// Version of the table in force at the asking entry.
    pub version: u64,
    /// Until when an answer is of use, since this process started.
    pub answer_by: Duration,
    /// Servers of each shard that it may run on, until it is told of more.
    pub attempts: u32,
    /// Whether the request counts for repeats there. Not if other entries were
    /// asked for these parts before: it may count with them.
    pub earns: bool,
    /// Whether it may divide them among the entries of its own domain.
    pub divides: bool,
    /// The workspace that asks, as the asking entry found it by its key.
    pub workspace: Option<Arc<str>>,
    /// The services that hold the shards.
    pub shards: Vec<Arc<str>>,
}

/// Parts that another entry has gathered and merged.
#[derive(Debug, Clone)]
pub struct BundleAnswer {
    /// Services and stamps of the parts that are in.
    pub parts: Vec<(Box<str>, Box<str>)>,
    /// Their merged records.
    pub body: Bytes,
}

/// Another entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryPeer {
    /// Its name.
    pub instance: Box<str>,
    /// A number drawn at its start.
    pub lifetime: u64,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
}

impl EntryPeer {
    /// Returns the identity of this lifetime.
    pub fn id(&self) -> Box<str> {
        format!("{}#{:x}", self.instance, self.lifetime).into()
    }
}

/// A server's own report of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests it can work on at once.
    pub slots: u32,
    /// How long its work takes at this moment, in hundredths of the usual, if it
    /// says so.
    pub pace: Option<u32>,
}

/// A server's whole answer.
#[derive(Debug, Clone)]
pub struct ServerAnswer {
    /// HTTP status.
    pub status: u16,
    /// Proof of the server that it made the answer.
    pub stamp: Option<Box<str>>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Its load, if it says so.
    pub load: Option<LoadReport>,
    /// Header lines to pass on; empty for a part of a gathered answer.
    pub headers: Vec<(Box<str>, Box<[u8]>)>,
    /// The body.
    pub body: Bytes,
}

/// What became of an attempt.
#[derive(Debug, Clone)]
pub enum AttemptEnd {
    /// A whole answer that belongs to the request.
    Answer(ServerAnswer),
    /// Parts that another entry gathered.
    Bundle(BundleAnswer),
    /// Nothing of the request was written: it has not run.
    Unsent,
    /// Nothing of it was written, as its time was over by then or nobody waited
    /// for it: it has not run, and that says nothing of the server.
    Withdrawn,
    /// Another entry keeps it from its servers, as servers ended under it.
    Barred(SuspectRecord),
    /// Anything else: it may have run.
    Broken,
}

/// One input of the machine.
#[derive(Debug, Clone)]
pub enum ForwardInput {
    /// A table came in force.
    Table(Arc<RouteTable>),
    /// A server announced something.
    Notice(ServerNotice),
    /// A server is silent at the control group, or no longer.
    Silent(Box<str>, bool),
    /// The failure domains that are out of use, all of them.
    Evacuated(Vec<Box<str>>),
    /// The last roll-outs of the services, all of them.
    Rollouts(Vec<RolloutView>),
    /// The control group said that it is there.
    Heard,
    /// Number of entries that share the servers' limits.
    Entries(u32),
    /// The entries that take requests, this one among them.
    Peers(Vec<EntryPeer>),
    /// What others know of requests under which servers ended.
    Suspects(Vec<SuspectRecord>),
    /// A caller's request.
    Call(ForwardCall),
    /// Another entry is at work on what it was asked for.
    Alive(SlotKey),
    /// The entry that asks allows so many servers of each shard from now on.
    Granted(CallTag, u32),
    /// A caller left before its answer.
    CallerLeft(CallTag),
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: SlotKey,
        /// What became of it.
        end: AttemptEnd,
    },
    /// A connection to a server was made.
    Connected {
        /// The server.
        server: ServerKey,
        /// Time it took.
        took: Duration,
    },
    /// Idle connections to a server.
    Idle {
        /// The server.
        server: ServerKey,
        /// Number of them.
        idle: u32,
    },
    /// A timer may be due.
    Wake,
}
