//! Records of routing decisions: what the entry decided for a request, which alternatives it
//! had, and why. They are logged, and explain single requests to operators.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;

use crate::process::news::ServerPhase;
use crate::request::answer::{MissingReason, RefusalReason};
use crate::request::identity::{AttemptId, RequestId};
use crate::version::snapshot::SnapshotId;

/// Maximum number of servers listed in one [`RouteDecision::Send`].
pub const MAX_ROUTE_OPTIONS: usize = 8;

/// Why an attempt, one send of a shard's subquery, was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// The first send for the shard.
    First,
    /// A second send while the first is still outstanding.
    Hedge,
    /// A send after an earlier one failed.
    Retry,
    /// A send after an attempt that failed before any of it was written to a connection.
    Resend,
    /// A send that replaces an attempt whose server or failure domain was lost.
    Rescue,
}

impl SendCause {
    /// Returns whether the send spends the budget for extra load. A send that replaces one
    /// that was never written, or one to a lost server, causes no extra load.
    pub fn spends_budget(self) -> bool {
        matches!(self, SendCause::Hedge | SendCause::Retry)
    }
}

/// Status of a server as a candidate when a shard was routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OptionStatus {
    /// The server was chosen.
    Chosen,
    /// Another server was chosen, at random or because its expected cost was lower.
    NotChosen,
    /// All connections or slots of the server were in use.
    Full,
    /// The server was ejected for failures or latency: it gets no requests for a time.
    Ejected,
    /// The server was draining or had stopped.
    Leaving,
    /// The server's lease had expired.
    Expired,
    /// An attempt for the same shard was outstanding at the server.
    Outstanding,
}

impl OptionStatus {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            OptionStatus::Chosen => "chosen",
            OptionStatus::NotChosen => "passed",
            OptionStatus::Full => "full",
            OptionStatus::Ejected => "ejected",
            OptionStatus::Leaving => "leaving",
            OptionStatus::Expired => "expired",
            OptionStatus::Outstanding => "asked",
        }
    }
}

/// A candidate server of a routing decision.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteOption {
    /// Name of the server.
    pub server: Arc<str>,
    /// Status of the server as a candidate.
    pub standing: OptionStatus,
    /// Expected response time, in microseconds.
    pub cost: f32,
}

/// Why a reply from a server was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The request no longer waits for the reply.
    Late,
    /// The reply names another attempt or request.
    WrongAttempt,
    /// The reply names another shard.
    WrongShard,
    /// The reply comes from another snapshot.
    WrongSnapshot,
}

impl DropReason {
    /// Returns the name used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::Late => "late",
            DropReason::WrongAttempt => "foreign",
            DropReason::WrongShard => "wrong-shard",
            DropReason::WrongSnapshot => "wrong-snapshot",
        }
    }
}

/// Why a server was ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EjectCause {
    /// The server failed several times in a row.
    Failures,
    /// The server is much slower than the other servers of its upstream.
    Latency,
}

/// A recorded decision of the entry, about one request or about its view of the servers.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteDecision {
    /// A request was admitted.
    Admit {
        /// Service of the request.
        service: Box<str>,
        /// Time that the request spent in the queue.
        waited: Duration,
    },
    /// A request was queued.
    Queue {
        /// Service of the request.
        service: Box<str>,
        /// Position of the request in the queue, from 1.
        place: usize,
    },
    /// A request was refused.
    Refuse {
        /// Why the request was refused.
        reason: RefusalReason,
    },
    /// The snapshot that a query reads from was chosen.
    Snapshot {
        /// The chosen snapshot.
        snapshot: SnapshotId,
        /// Number of the snapshot's shards that have a live server.
        live: u32,
        /// Number of all shards of the snapshot.
        shards: u32,
    },
    /// A shard's subquery was sent to a server.
    Send {
        /// Number of the shard.
        shard: u32,
        /// Why the subquery was sent.
        cause: SendCause,
        /// Identity of the attempt.
        attempt: AttemptId,
        /// The candidate servers, including the chosen one.
        options: ArrayVec<RouteOption, MAX_ROUTE_OPTIONS>,
    },
    /// A shard was queued until a server has a free connection and slot.
    Wait {
        /// Number of the shard.
        shard: u32,
    },
    /// A shard was given up; the answer will not include it.
    GiveUp {
        /// Number of the shard.
        shard: u32,
        /// Why the shard was given up.
        reason: MissingReason,
    },
    /// An attempt was cancelled.
    Cancel {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Server that the attempt was sent to.
        server: Arc<str>,
    },
    /// A reply was dropped.
    Drop {
        /// Server that sent the reply.
        server: Arc<str>,
        /// Why the reply was dropped.
        reason: DropReason,
    },
    /// A query was restarted on another snapshot.
    Restart {
        /// The snapshot that the query used before.
        from: SnapshotId,
    },
    /// A query ended with an answer.
    Finish {
        /// Number of shards in the answer.
        answered: u32,
        /// Number of shards of the snapshot.
        asked: u32,
        /// Time from admission.
        took: Duration,
    },
    /// A server was ejected: it gets no requests for a time.
    Eject {
        /// Name of the server.
        server: Arc<str>,
        /// Why the server was ejected.
        cause: EjectCause,
        /// Time for which the server gets no requests.
        period: Duration,
    },
    /// A failure domain whose servers do not answer is avoided for a time.
    Suspect {
        /// Name of the failure domain.
        domain: Box<str>,
        /// Time for which the failure domain is avoided.
        period: Duration,
    },
    /// A server's phase changed, such as from serving to draining.
    Place {
        /// Name of the server.
        server: Arc<str>,
        /// The new phase of the server.
        phase: ServerPhase,
        /// Number of snapshots that the server holds.
        snapshots: usize,
    },
    /// A new service table came into force.
    Table {
        /// Version of the table.
        version: u64,
        /// Number of services in the table.
        services: usize,
    },
}

impl RouteDecision {
    /// Returns the log prefix of the component that made the decision.
    pub fn prefix(&self) -> &'static str {
        match self {
            RouteDecision::Admit { .. }
            | RouteDecision::Queue { .. }
            | RouteDecision::Refuse { .. } => "admit",
            RouteDecision::Snapshot { .. } | RouteDecision::Restart { .. } => "snapshot",
            RouteDecision::Send {
                cause: SendCause::Hedge,
                ..
            } => "hedge",
            RouteDecision::Send {
                cause: SendCause::Retry | SendCause::Resend | SendCause::Rescue,
                ..
            } => "retry",
            RouteDecision::Send { .. }
            | RouteDecision::Wait { .. }
            | RouteDecision::GiveUp { .. } => "route",
            RouteDecision::Cancel { .. }
            | RouteDecision::Drop { .. }
            | RouteDecision::Finish { .. } => "gather",
            RouteDecision::Eject { .. } | RouteDecision::Suspect { .. } => "health",
            RouteDecision::Place { .. } => "roster",
            RouteDecision::Table { .. } => "table",
        }
    }
}

/// Writes the candidate servers with their statuses, and their expected response times if
/// known.
fn write_options(f: &mut fmt::Formatter<'_>, options: &[RouteOption]) -> fmt::Result {
    for option in options {
        let standing = option.standing.label();
        write!(f, " {}={standing}", option.server)?;
        if option.cost > 0.0 {
            write!(f, "@{:.0}us", option.cost)?;
        }
    }
    Ok(())
}

impl fmt::Display for RouteDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.prefix())?;
        match self {
            RouteDecision::Admit { service, waited } => {
                write!(f, "{service} admitted after {waited:.1?}")
            }
            RouteDecision::Queue { service, place } => {
                write!(f, "{service} queued at position {place}")
            }
            RouteDecision::Refuse { reason } => write!(f, "refused, {reason}"),
            RouteDecision::Snapshot {
                snapshot,
                live,
                shards,
            } => write!(f, "{snapshot} chosen, {live} of {shards} shards live"),
            RouteDecision::Send {
                shard,
                attempt,
                options,
                ..
            } => {
                write!(f, "shard {shard} sent as {attempt},")?;
                write_options(f, options)
            }
            RouteDecision::Wait { shard } => write!(f, "shard {shard} waits for a free slot"),
            RouteDecision::GiveUp { shard, reason } => {
                write!(f, "shard {shard} given up, {}", reason.label())
            }
            RouteDecision::Cancel { attempt, server } => {
                write!(f, "attempt {attempt} to {server} cancelled")
            }
            RouteDecision::Drop { server, reason } => {
                write!(f, "reply of {server} dropped, {}", reason.label())
            }
            RouteDecision::Restart { from } => {
                write!(f, "query left {from} and restarts on another snapshot")
            }
            RouteDecision::Finish {
                answered,
                asked,
                took,
            } => write!(f, "{answered} of {asked} shards in {took:.1?}"),
            RouteDecision::Eject {
                server,
                cause,
                period,
            } => {
                let cause = match cause {
                    EjectCause::Failures => "failures",
                    EjectCause::Latency => "latency",
                };
                write!(f, "{server} ejected for {period:.1?}, {cause}")
            }
            RouteDecision::Suspect { domain, period } => {
                write!(f, "domain {domain} is silent, avoided for {period:.1?}")
            }
            RouteDecision::Place {
                server,
                phase,
                snapshots,
            } => write!(f, "{server} is {phase}, holds {snapshots} snapshots"),
            RouteDecision::Table { version, services } => {
                write!(f, "version {version} in force, {services} services")
            }
        }
    }
}

/// A decision together with its time and its request.
#[derive(Debug, Clone, PartialEq)]
pub struct DecisionEvent {
    /// Time since the process started.
    pub at: Duration,
    /// The request that the decision was made for, if any.
    pub request: Option<RequestId>,
    /// The decision.
    pub decision: RouteDecision,
}
