//! State of the requests that an entry currently forwards.
//!
//! A request ([`CallState`]) consists of one or more parts ([`PartState`]).
//! Each message that is sent for one or more parts is an attempt
//! ([`ForwardAttempt`]), addressed to a server or to another entry.

use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;
use bytes::Bytes;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::AttemptCause;
use crate::process::forward::canary::CallSuspicion;
use crate::process::forward::expectation::ExpectationBasis;
use crate::process::forward::input::ServerAnswer;
use crate::process::forward::region_set::RegionSet;
use crate::process::forward::timing::AnswerDeadlines;
use crate::process::input::CallTag;
use crate::request::mark::RequestFingerprint;
use crate::version::route_table::{RouteRule, RouteTable, RouteTarget};
use crate::version::workspace::KeyDigest;

/// Maximum number of attempts outstanding at once for one part.
pub const MAX_PART_ATTEMPTS: usize = 3;
/// Maximum number of servers remembered as already tried for one part.
pub const MAX_TRIED_SERVERS: usize = 8;

/// Progress of one part of a request.
#[derive(Debug)]
pub enum PartStatus {
    /// The part has no answer yet: attempts are outstanding or still to be sent.
    Open,
    /// An answer for the part was accepted.
    Answered {
        /// Stamp by which the server proves that the answer is its own.
        stamp: Box<str>,
        /// Records of the answer. For parts that came in one bundle, the first
        /// of them holds the merged records of all and the others are empty.
        body: Bytes,
        /// The attempt that was answered with a bundle: one answer of another
        /// entry with the merged records of several parts. `None` if a server
        /// answered the part.
        bundle: Option<SlotKey>,
    },
    /// The part was given up; the answer omits the part.
    Missing,
}

/// State of one part of a request.
///
/// A part is the subquery for one shard of a scatter-gather route. On any other
/// route the request has a single part, which is the whole request.
#[derive(Debug)]
pub struct PartState {
    /// Service that answers the part.
    pub upstream: UpstreamKey,
    /// Progress of the part.
    pub status: PartStatus,
    /// Outstanding attempts for the part.
    pub attempts: ArrayVec<SlotKey, MAX_PART_ATTEMPTS>,
    /// Servers already tried for the part, by this entry or by an entry that the
    /// part was relayed to.
    pub tried: ArrayVec<ServerKey, MAX_TRIED_SERVERS>,
    /// Number of attempts that reached a server or another entry, or may have.
    pub arrivals: u32,
    /// Number of servers that ran the part, or may have. For an attempt sent to
    /// another entry, all servers that this entry may try are counted.
    pub runs: u32,
    /// Whether the part waits in its service's queue for a server with capacity.
    pub is_queued: bool,
    /// Time at which to consider a hedge or a retry of the part.
    pub hedge_at: Duration,
    /// Whether the part was ever sent to another entry in a bundle.
    pub was_bundled: bool,
}

impl PartState {
    /// Returns a part for which nothing has been sent yet.
    pub fn new(upstream: UpstreamKey) -> PartState {
        PartState {
            upstream,
            status: PartStatus::Open,
            attempts: ArrayVec::new(),
            tried: ArrayVec::new(),
            arrivals: 0,
            runs: 0,
            is_queued: false,
            hedge_at: Duration::MAX,
            was_bundled: false,
        }
    }

    /// Returns the attempt whose bundle answered this part, or `None` if the part
    /// is not answered by a bundle.
    pub fn bundle(&self) -> Option<SlotKey> {
        match self.status {
            PartStatus::Answered { bundle, .. } => bundle,
            PartStatus::Open | PartStatus::Missing => None,
        }
    }

    /// Returns whether the part still needs an answer.
    pub fn is_open(&self) -> bool {
        matches!(self.status, PartStatus::Open)
    }
}

/// State of one admitted request, from a caller or from another entry.
#[derive(Debug)]
pub struct CallState {
    /// Identifier that the driver (the code around the state machine) gave the
    /// request.
    pub tag: CallTag,
    /// Fingerprint of the request's content and of its caller.
    pub mark: RequestFingerprint,
    /// Route table at admission, used until the request ends.
    pub table: Arc<RouteTable>,
    /// Index of the route in the table.
    pub route: usize,
    /// Index of the route's [`RouteTiming`](crate::process::forward::timing::RouteTiming)
    /// in the machine.
    pub timing: usize,
    /// Whether the request is sent to several shards and their records merged.
    pub is_scatter_gather: bool,
    /// Maximum number of records in the merged answer. For a relayed request the
    /// sending entry sets this number.
    pub top: usize,
    /// Whether another entry relayed the request here. Such a request is
    /// answered at the soft deadline with whatever parts are answered by then.
    pub is_relayed: bool,
    /// Whether this entry may divide the shards near it among the entries of its
    /// failure domain.
    pub may_divide: bool,
    /// Maximum number of servers that may run each part. For a relayed request
    /// the sending entry sets this number and may raise it later.
    pub attempts: u32,
    /// Regions whose servers and entries may process the request.
    pub allowed_regions: RegionSet,
    /// Workspace (customer) of the request, if one was identified by its key.
    pub workspace: Option<Arc<str>>,
    /// Priority rank: the workspace's if it has one, otherwise the route's. 0 is the
    /// highest.
    pub rank: u32,
    /// Digest of the caller's key. The key is not sent to other entries.
    pub key: Option<KeyDigest>,
    /// Whether the request's parts raise their services' budgets for extra load
    /// (retries and hedges).
    pub credits_budget: bool,
    /// Arrival time, since the process started.
    pub arrived_at: Duration,
    /// Deadlines of the answer.
    pub deadlines: AnswerDeadlines,
    /// Parts of the request.
    pub parts: Vec<PartState>,
    /// Number of parts with an accepted answer.
    pub answered: usize,
    /// Number of parts given up.
    pub missing: usize,
    /// Last answer with a server's error status. The caller gets this answer if
    /// no attempt succeeds.
    pub failed_answer: Option<Box<ServerAnswer>>,
    /// Number of attempts sent.
    pub sends: u32,
    /// Work that was counted for the request's workspace, in milliseconds of service
    /// time; 0 if none was.
    pub work_ms: f64,
    /// Evidence on whether the request crashes servers.
    pub suspicion: CallSuspicion,
}

impl CallState {
    /// Returns the route of the request.
    pub fn rule(&self) -> &RouteRule {
        &self.table.routes()[self.route]
    }

    /// Returns the services of a scatter-gather route; empty for other routes.
    pub fn gathered_services(&self) -> &[String] {
        match &self.rule().target {
            RouteTarget::Gather(names) => names,
            RouteTarget::Service(_) | RouteTarget::Split(_) => &[],
        }
    }

    /// Returns the number of parts that still need an answer.
    pub fn count_open_parts(&self) -> usize {
        self.parts.len() - self.answered - self.missing
    }

    /// Returns the fraction of the parts that are answered.
    pub fn coverage(&self) -> f64 {
        self.answered as f64 / self.parts.len().max(1) as f64
    }

    /// Returns the highest fraction of answered parts that is still possible.
    pub fn reachable_coverage(&self) -> f64 {
        (self.parts.len() - self.missing) as f64 / self.parts.len().max(1) as f64
    }

    /// Returns whether enough parts are answered for an answer to the caller.
    ///
    /// A request relayed by another entry needs only one part.
    pub fn has_required_coverage(&self) -> bool {
        if self.is_relayed {
            return self.answered > 0;
        }
        self.answered > 0 && self.coverage() + 1e-9 >= self.rule().least_coverage
    }

    /// Returns whether the required coverage can still be reached.
    pub fn can_reach_coverage(&self) -> bool {
        self.is_relayed || self.reachable_coverage() + 1e-9 >= self.rule().least_coverage
    }

    /// Prepares the request for a new bundle with the parts `new_parts`.
    ///
    /// The merged records of a bundle cannot be separated, so two bundles with a
    /// common part cannot both be used. Earlier bundles that overlap the new one
    /// are dropped if the new one answers more parts than are lost with them.
    /// Returns whether the new bundle is to be used.
    pub fn displace_bundles(&mut self, new_parts: &[usize]) -> bool {
        let overlapping = new_parts
            .iter()
            .filter_map(|part| self.parts[*part].bundle());
        let overlapping: Vec<SlotKey> = overlapping.collect();
        if overlapping.is_empty() {
            return true;
        }
        let is_lost = |place: &usize| {
            let bundle = self.parts[*place].bundle();
            bundle.is_some_and(|bundle| overlapping.contains(&bundle)) && !new_parts.contains(place)
        };
        let lost: Vec<usize> = (0..self.parts.len()).filter(is_lost).collect();
        let is_answered =
            |part: &&usize| matches!(self.parts[**part].status, PartStatus::Answered { .. });
        let gained = new_parts.len() - new_parts.iter().filter(is_answered).count();
        if gained <= lost.len() {
            return false;
        }
        for part in lost {
            self.parts[part].status = PartStatus::Missing;
            self.answered -= 1;
            self.missing += 1;
        }
        true
    }

    /// Returns whether a server ran any part of the request, or may have.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| part.runs > 0)
    }
}

/// State of an attempt that was relayed to another entry.
///
/// An entry acknowledges a relayed request on receipt, before its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStatus {
    /// The entry has not acknowledged the request yet.
    Unacknowledged,
    /// The entry acknowledged the request and was allowed all remaining attempts
    /// of the route.
    Acknowledged,
    /// No acknowledgement came in time, and the parts were sent elsewhere.
    Overdue,
}

/// One message to a server or another entry that has no result yet.
#[derive(Debug)]
pub struct ForwardAttempt {
    /// The request; `None` once the request no longer needs this attempt.
    pub call: Option<SlotKey>,
    /// Fingerprint of the request's content and of its caller.
    pub mark: RequestFingerprint,
    /// Indexes of the parts in the request.
    pub parts: Vec<usize>,
    /// Server or entry that the attempt was sent to.
    pub server: ServerKey,
    /// Service of this server, or the group of entries of one failure domain.
    pub upstream: UpstreamKey,
    /// Time of sending, since the process started.
    pub sent_at: Duration,
    /// Median service time on the route when the attempt was sent: the time that a
    /// server takes for a request, without the network round trip.
    pub typical: Duration,
    /// Service time above which the answer counts as slow in the statistics of the
    /// server's software version.
    pub slow_threshold: Duration,
    /// Expected response time and its inputs; `None` if sent to another entry.
    pub expectation_basis: Option<ExpectationBasis>,
    /// Reason for sending.
    pub cause: AttemptCause,
    /// Maximum number of servers that may run each part by this attempt.
    pub runs: u32,
    /// Time by which another entry should have acknowledged the attempt;
    /// [`Duration::MAX`] for a server.
    pub ack_due_at: Duration,
    /// Acknowledgement state, for an attempt sent to another entry.
    pub relay: RelayStatus,
    /// Whether this entry cancelled the attempt by closing the connection.
    pub is_cancelled: bool,
    /// Whether a connection is opened for the attempt, as none was idle.
    pub opens_connection: bool,
    /// Whether no connection could be opened for the attempt because of a limit on
    /// connections.
    pub met_limit: bool,
    /// Whether this is the canary attempt of a suspect request: one server runs
    /// the request before any other server gets it.
    pub is_canary: bool,
    /// Whether this is the trial of a quarantined request, which is sent to one server.
    pub is_trial: bool,
    /// Whether some server had completed the request when the request ended at this
    /// entry. A crash under this attempt is then no evidence against the request.
    pub has_run: bool,
    /// Index of the timing in which the service time is recorded.
    pub timing: usize,
}

impl ForwardAttempt {
    /// Returns whether the attempt was sent to another entry.
    pub fn is_relay(&self) -> bool {
        self.cause == AttemptCause::Relay
    }
}
