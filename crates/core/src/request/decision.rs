//! Decisions as typed records: what was chosen, what else stood there, why.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;

use crate::process::news::ServerPhase;
use crate::request::answer::{MissingReason, RefusalReason};
use crate::request::identity::{AttemptId, RequestId};
use crate::version::snapshot::SnapshotId;

/// Most servers named in one route decision.
pub const MAX_ROUTE_OPTIONS: usize = 8;

/// Why an attempt was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCause {
    /// The first send for the shard.
    First,
    /// A second send while the first is outstanding.
    Hedge,
    /// A send after an earlier one failed.
    Retry,
    /// A send after one of which nothing was written to a connection.
    Resend,
    /// A send in place of one whose server or domain was lost.
    Rescue,
}

impl SendCause {
    /// Tells whether the send draws on the budget for extra load. What was
    /// never written, and what a lost server would have done, is no extra
    /// load.
    pub fn spends_budget(self) -> bool {
        matches!(self, SendCause::Hedge | SendCause::Retry)
    }
}

/// How a server stood when a shard was routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OptionStatus {
    /// It was chosen.
    Chosen,
    /// Its expected cost was higher, or chance chose another.
    NotChosen,
    /// Its connections or slots were all in use.
    Full,
    /// It was ejected for its failures or its latency.
    Ejected,
    /// It was draining or had left.
    Leaving,
    /// Its lease had run out.
    Expired,
    /// It was being asked already.
    Outstanding,
}

impl OptionStatus {
    /// Returns the word used in logs.
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

/// A server that stood to be chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteOption {
    /// Name of the server.
    pub server: Arc<str>,
    /// How it stood.
    pub standing: OptionStatus,
    /// Expected time to a reply, in microseconds.
    pub cost: f32,
}

/// Why a reply was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// Nobody waits for it any more.
    Late,
    /// It names another attempt or request.
    WrongAttempt,
    /// It names another shard.
    WrongShard,
    /// It comes from another snapshot.
    WrongSnapshot,
}

impl DropReason {
    /// Returns the word used in logs and metrics.
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
    /// It failed several times in a row.
    Failures,
    /// It is much slower than the other servers of its upstream.
    Latency,
}

/// One decision.
#[derive(Debug, Clone, PartialEq)]
pub enum RouteDecision {
    /// A request was let in.
    Admit {
        /// Service of the request.
        service: Box<str>,
        /// Time it spent in the queue.
        waited: Duration,
    },
    /// A request was queued.
    Queue {
        /// Service of the request.
        service: Box<str>,
        /// Its place in the queue, from 1.
        place: usize,
    },
    /// A request was refused.
    Refuse {
        /// Why.
        reason: RefusalReason,
    },
    /// A snapshot was chosen.
    Snapshot {
        /// The snapshot.
        snapshot: SnapshotId,
        /// Number of its shards that have a live server.
        live: u32,
        /// Number of its shards.
        shards: u32,
    },
    /// A subquery was sent.
    Send {
        /// Shard asked for.
        shard: u32,
        /// Why it was sent.
        cause: SendCause,
        /// Identity of the attempt.
        attempt: AttemptId,
        /// The servers that stood to be chosen, with the chosen one among them.
        options: ArrayVec<RouteOption, MAX_ROUTE_OPTIONS>,
    },
    /// A shard waits until a server has a free connection and slot.
    Wait {
        /// The shard.
        shard: u32,
    },
    /// A shard was given up.
    GiveUp {
        /// The shard.
        shard: u32,
        /// Why.
        reason: MissingReason,
    },
    /// An attempt was cancelled.
    Cancel {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Server it was sent to.
        server: Arc<str>,
    },
    /// A reply was dropped.
    Drop {
        /// Server it came from.
        server: Arc<str>,
        /// Why.
        reason: DropReason,
    },
    /// A query starts anew on another snapshot.
    Restart {
        /// The snapshot left behind.
        from: SnapshotId,
    },
    /// A query ended with an answer.
    Finish {
        /// Shards in the answer.
        answered: u32,
        /// Shards asked.
        asked: u32,
        /// Time from admission.
        took: Duration,
    },
    /// A server gets no work for a time.
    Eject {
        /// The server.
        server: Arc<str>,
        /// Why.
        cause: EjectCause,
        /// For how long.
        period: Duration,
    },
    /// A whole failure domain is avoided for a time.
    Suspect {
        /// The failure domain.
        domain: Box<str>,
        /// For how long.
        period: Duration,
    },
    /// A server's phase changed.
    Place {
        /// The server.
        server: Arc<str>,
        /// Its phase now.
        phase: ServerPhase,
        /// Number of snapshots it holds.
        snapshots: usize,
    },
    /// A table came in force.
    Table {
        /// Its version.
        version: u64,
        /// Its number of services.
        services: usize,
    },
}

impl RouteDecision {
    /// Returns the fixed prefix of the part that decided.
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
                write!(f, "{service} let in after {waited:.1?}")
            }
            RouteDecision::Queue { service, place } => {
                write!(f, "{service} queued at place {place}")
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
            RouteDecision::Restart { from } => write!(f, "{from} left, query starts anew"),
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

/// A decision with its time and request.
#[derive(Debug, Clone, PartialEq)]
pub struct DecisionEvent {
    /// Time since the process started.
    pub at: Duration,
    /// The request it was made for, if any.
    pub request: Option<RequestId>,
    /// What was decided.
    pub decision: RouteDecision,
}
