//! Outputs of the forward machine: actions for the driver (the code around the
//! state machine that does the input and output), answers to callers, and
//! decisions for the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::connection_views::PlaceTotals;
use crate::process::forward::input::{LoadReport, RelayOrder, ServerAnswer};
use crate::process::forward::place::DomainProximity;
use crate::process::forward::server_end::evidence::{EndEvidence, EndVerdict};
use crate::process::forward::suspect::record::SuspectRecord;
use crate::process::input::CallTag;
use crate::process::load::share_gate::{ShareChange, ShareLimit};
use crate::request::mark::RequestFingerprint;

/// Reason why a request failed without a server's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardFailure {
    /// This entry has no route table yet, or one by which it cannot process the
    /// request that another entry relayed.
    NoTable,
    /// No route matches the host and path.
    NoRoute,
    /// No server is available; the request has not run.
    NoServer,
    /// The entry or the servers are overloaded; the request has not run.
    Overload,
    /// Servers rejected the request; it has not run.
    RejectedByServers,
    /// The request timed out and has not run.
    TimedOutUnrun,
    /// The request timed out; it may have run.
    TimedOut,
    /// Servers failed; the request may have run.
    Failed,
    /// The request is quarantined, because servers crashed under it, here or at
    /// other entries; it was refused and has not run this time.
    Quarantined,
    /// Servers crashed under the request, and a canary attempt that shows whether
    /// the request is the cause is still running; the request was refused and has
    /// not run this time.
    AwaitingCanary,
    /// Servers crashed under the request while it was in flight, and it is now
    /// quarantined; it may have run.
    ServersCrashed,
    /// The route needs a key, and the request's key belongs to no workspace; the
    /// request has not run.
    NoKey,
    /// The workspace has reached its request cap; the request has not run.
    CapReached,
    /// The state of the workspace's request cap could not be determined; the
    /// request has not run.
    CapUnknown,
    /// The workspace is over its share of a service that is short; the request has not
    /// run.
    OverShare,
    /// The request's key was revoked while the request was in flight; it may have
    /// run.
    KeyRevoked,
}

impl ForwardFailure {
    /// Returns whether the request certainly has not run and will not.
    pub fn is_known_unrun(self) -> bool {
        match self {
            ForwardFailure::NoTable
            | ForwardFailure::NoRoute
            | ForwardFailure::NoServer
            | ForwardFailure::Overload
            | ForwardFailure::RejectedByServers
            | ForwardFailure::TimedOutUnrun
            | ForwardFailure::Quarantined
            | ForwardFailure::AwaitingCanary
            | ForwardFailure::NoKey
            | ForwardFailure::CapReached
            | ForwardFailure::CapUnknown
            | ForwardFailure::OverShare => true,
            ForwardFailure::TimedOut
            | ForwardFailure::Failed
            | ForwardFailure::ServersCrashed
            | ForwardFailure::KeyRevoked => false,
        }
    }

    /// Returns whether the request was refused as suspect. An entry that relayed
    /// the request must then not send it to servers itself.
    pub fn is_suspect_refusal(self) -> bool {
        matches!(
            self,
            ForwardFailure::Quarantined
                | ForwardFailure::AwaitingCanary
                | ForwardFailure::ServersCrashed
        )
    }

    /// Returns the label of the failure in logs, counters and answers.
    pub fn label(self) -> &'static str {
        match self {
            ForwardFailure::NoTable => "no_table",
            ForwardFailure::NoRoute => "no_route",
            ForwardFailure::NoServer => "no_server",
            ForwardFailure::Overload => "overload",
            ForwardFailure::RejectedByServers => "turned_away",
            ForwardFailure::TimedOutUnrun => "late_unrun",
            ForwardFailure::TimedOut => "late",
            ForwardFailure::Failed => "failed",
            ForwardFailure::Quarantined => "quarantined",
            ForwardFailure::AwaitingCanary => "doubted",
            ForwardFailure::ServersCrashed => "servers_ended",
            ForwardFailure::NoKey => "no_key",
            ForwardFailure::KeyRevoked => "key_gone",
            ForwardFailure::CapReached => "cap_reached",
            ForwardFailure::CapUnknown => "cap_unknown",
            ForwardFailure::OverShare => "over_share",
        }
    }
}

/// Final answer to a request.
#[derive(Debug, Clone)]
pub enum ForwardAnswer {
    /// Unchanged answer of one server.
    Server(Box<ServerAnswer>),
    /// Merged answers of the shards.
    Gathered {
        /// Server stamps of the answered parts.
        stamps: Vec<Box<str>>,
        /// Services of the answered parts, in the same order; empty unless the
        /// request came from another entry.
        shards: Vec<Arc<str>>,
        /// Number of shards omitted.
        missing: usize,
        /// Maximum number of records for which the parts were merged.
        top: usize,
        /// Merged records.
        body: Vec<u8>,
    },
    /// Failure without a server's answer.
    Failure {
        /// Reason of the failure.
        failure: ForwardFailure,
        /// Time after which to try again, if a retry can succeed.
        retry_after: Option<Duration>,
    },
}

/// Reason for sending an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptCause {
    /// First attempt for the part.
    First,
    /// An earlier attempt failed.
    Retry,
    /// An earlier attempt is slow and still outstanding.
    Hedge,
    /// Parts are relayed to another entry, which is nearer to the shards or takes a
    /// part of the work.
    Relay,
}

/// Order to the driver to send one attempt.
#[derive(Debug, Clone)]
pub struct AttemptOrder {
    /// Key of the attempt.
    pub attempt: SlotKey,
    /// Request that the attempt belongs to.
    pub call: CallTag,
    /// Server or entry to send to.
    pub server: ServerKey,
    /// Address of the server.
    pub address: SocketAddr,
    /// Id of the intended incarnation of the server.
    pub instance: Arc<str>,
    /// Maximum number of open connections to the server, if connections to its service are
    /// scarce.
    pub max_connections: Option<u32>,
    /// Deadline of the caller, since the process started, less a margin for the
    /// return. A point in time and not a remaining duration, because a connection
    /// may have to be opened before the request is written.
    pub until: Duration,
    /// Workspace (customer) of the request; sent to servers and other entries.
    pub workspace: Option<Arc<str>>,
    /// Whether the headers of the answer are returned to the caller.
    pub forward_headers: bool,
    /// The relay order, if the attempt goes to another entry.
    pub relay: Option<RelayOrder>,
}

/// A decision about a request, with its time, for the log.
#[derive(Debug, Clone)]
pub struct ForwardEvent {
    /// Time of the decision, since the process started.
    pub at: Duration,
    /// Request that the decision is about.
    pub call: CallTag,
    /// The decision.
    pub decision: ForwardDecision,
}

/// Decision about a request.
///
/// The fields named `service` and `instance` name the service and the server of
/// an attempt. For an attempt sent to another entry they name the group of
/// entries of its failure domain and the entry.
#[derive(Debug, Clone)]
pub enum ForwardDecision {
    /// The request was admitted.
    Admit {
        /// Route of the request.
        route: Arc<str>,
        /// Version of the route table.
        version: u64,
        /// Time left until the caller's deadline.
        time_left: Duration,
        /// Fingerprint of the request's content and of its caller.
        mark: RequestFingerprint,
        /// Whether another entry relayed the request here.
        relayed: bool,
    },
    /// An attempt was sent.
    Send {
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Reason for sending.
        cause: AttemptCause,
        /// Distance to the server's failure domain.
        place: DomainProximity,
        /// Expected response time.
        expected: Duration,
        /// Number of servers to choose from.
        candidates: usize,
        /// Number of other attempts of this entry outstanding at the server.
        outstanding: usize,
    },
    /// An attempt ended without a usable answer.
    Lost {
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Label of the attempt's outcome.
        reason: &'static str,
        /// Time since the attempt was sent.
        after: Duration,
    },
    /// A server's connection broke while the server had the request: the server
    /// may have crashed.
    ServerBrokeOff {
        /// Fingerprint of the request's content and of its caller.
        mark: RequestFingerprint,
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Time since the attempt was sent.
        after: Duration,
        /// Number of other attempts of this entry outstanding at the server.
        beside: usize,
    },
    /// It was decided whether a server whose connections broke had ended.
    BreakVerdict {
        /// Service of the server.
        service: Arc<str>,
        /// The server.
        instance: Arc<str>,
        /// The verdict.
        verdict: EndVerdict,
        /// The evidence for it.
        evidence: EndEvidence,
        /// Number of broken attempts that it decides.
        breaks: usize,
        /// Number of other connections of this entry to the server at the first break.
        others: u32,
        /// Time since the first break.
        after: Duration,
    },
    /// A server reset a new connection before a request was written: the server is at its
    /// limit, and no connection to it is opened for a while.
    ServerAtLimit {
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Number of connections of this entry to the server, including the reset one.
        open: u32,
        /// Time for which no connection is opened.
        backoff: Duration,
    },
    /// The places of this entry changed: the connections that it may have open to servers
    /// of services with scarce connections. Not about a single request.
    PlacesChanged {
        /// Number of all entries.
        entries: u32,
        /// Whether this entry is in contact with the control group.
        in_contact: bool,
        /// Places now.
        places: PlaceTotals,
        /// Places when this decision was last recorded.
        former: PlaceTotals,
    },
    /// A server's answer took much longer than is typical.
    Slow {
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Time since the attempt was sent.
        after: Duration,
        /// Load of the server, if the answer reported it.
        load: Option<LoadReport>,
    },
    /// The request ended while this attempt was still outstanding.
    Abandon {
        /// Service of the attempt.
        service: Arc<str>,
        /// Server of the attempt.
        instance: Arc<str>,
        /// Time since the attempt was sent.
        after: Duration,
        /// Time after which the connection is closed, unless the attempt has a
        /// result by then.
        closes_in: Duration,
    },
    /// Shards were omitted at admission, because they have no capacity for this
    /// request, or because it reaches its required coverage without them and
    /// other requests do not.
    OmitShards {
        /// Services of the omitted shards.
        services: Vec<Arc<str>>,
    },
    /// Services of the request are short of capacity, and its rank is restricted
    /// there.
    RankLimited {
        /// Label of the decision.
        outcome: &'static str,
        /// Rank of the request.
        rank: u32,
        /// Highest shortage level among these services.
        level: u8,
        /// Service with this level.
        service: Arc<str>,
        /// Number of parts whose services restrict the rank.
        parts: usize,
        /// Fraction of all recent requests for these services that were admitted.
        admitted_fraction: f64,
        /// Credit of the rank after this request: how many more may use these services.
        credit: f64,
    },
    /// Another entry did not acknowledge a relayed attempt in time; its parts are
    /// sent elsewhere.
    Reroute {
        /// Group of entries of the entry's failure domain.
        service: Arc<str>,
        /// The entry that did not acknowledge.
        instance: Arc<str>,
        /// Time since the attempt was sent.
        after: Duration,
        /// Number of parts of the attempt that are still unanswered.
        parts: usize,
    },
    /// A part was given up: its service has no server left to try.
    NoServer {
        /// Service of the part.
        service: Arc<str>,
        /// Number of the service's servers that accept requests; all of them were
        /// tried already or cannot be used.
        servers: usize,
    },
    /// The request is quarantined and is sent to one server, to find out whether it still
    /// crashes servers.
    Trial {
        /// Fingerprint of the request's content and of its caller.
        mark: RequestFingerprint,
        /// Number of earlier trials that crashed their server.
        failed_trials: u32,
    },
    /// A retry or hedge was not sent because the budget for extra load is spent.
    BudgetSpent {
        /// Service whose budget is spent.
        service: Arc<str>,
    },
    /// The request was refused, because its workspace is over its share of a service that
    /// is short.
    OverShare {
        /// Workspace of the request.
        workspace: Arc<str>,
        /// Admitted fraction of the workspace's requests, and its basis.
        limit: ShareLimit,
    },
    /// The request ended.
    End {
        /// Label of the outcome.
        outcome: &'static str,
        /// Number of parts in the answer.
        parts: usize,
        /// Number of shards omitted.
        missing: usize,
        /// Services of the shards omitted from a partial answer.
        left_out: Vec<Arc<str>>,
        /// Time since the request arrived.
        after: Duration,
        /// Number of attempts sent for the request.
        sends: u32,
        /// Whether the route's objective for the response time was missed.
        late: bool,
    },
}

/// Action for the driver.
#[derive(Debug, Clone)]
pub enum ForwardAction {
    /// Send an attempt to a server or another entry.
    Send(AttemptOrder),
    /// Tell another entry that it may now try this number of servers for each
    /// shard of the attempt.
    RaiseAllowance(SlotKey, u32),
    /// Cancel an attempt that is no longer needed by closing its connection.
    Cancel(SlotKey),
    /// Answer a request.
    Answer {
        /// The request to answer.
        call: CallTag,
        /// The answer.
        answer: ForwardAnswer,
    },
    /// Close the idle connections to a server.
    CloseIdle(ServerKey),
    /// Open a connection to a server in place of a broken one and keep it as an idle
    /// connection. Whether it is accepted shows whether the server is alive.
    OpenConnection {
        /// The server.
        server: ServerKey,
        /// Address of the server.
        address: SocketAddr,
    },
    /// Send the record of a suspect request, under which servers crashed, to the
    /// other instances.
    PublishSuspect(SuspectRecord),
    /// Write a decision to the log.
    RecordDecision(ForwardEvent),
    /// Write to the log that a workspace was limited to its share or released.
    RecordShareChange(ShareChange),
}
