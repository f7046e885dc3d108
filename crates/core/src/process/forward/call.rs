//! The state of a forwarded request while it is at work.

use std::sync::Arc;
use std::time::Duration;

use arrayvec::ArrayVec;
use bytes::Bytes;

use crate::arena::{ServerKey, SlotKey, UpstreamKey};
use crate::process::forward::answer::AttemptCause;
use crate::process::forward::canary::CallSuspicion;
use crate::process::forward::expectation::ExpectationBasis;
use crate::process::forward::home::HomeSet;
use crate::process::forward::input::ServerAnswer;
use crate::process::forward::timing::AnswerPlan;
use crate::process::input::CallTag;
use crate::request::mark::RequestFingerprint;
use crate::version::route_table::{RouteRule, RouteTable, RouteTarget};
use crate::version::workspace::KeyDigest;

/// Most attempts outstanding for one shard.
pub const PART_ATTEMPTS: usize = 3;
/// Most servers remembered as asked for one shard.
pub const PART_TRIED: usize = 8;

/// How far a part of a request has come.
#[derive(Debug)]
pub enum PartStatus {
    /// It is being asked for, or waits to be.
    Open,
    /// Its answer was taken.
    Answered {
        /// Proof of the server.
        stamp: Box<str>,
        /// The records.
        body: Bytes,
        /// The attempt whose merged records it is part of.
        bundle: Option<SlotKey>,
    },
    /// It was given up.
    Missing,
}

/// One part of a request: a shard, or the whole of it.
#[derive(Debug)]
pub struct PartState {
    /// The service that is asked.
    pub upstream: UpstreamKey,
    /// How far it has come.
    pub status: PartStatus,
    /// Attempts outstanding.
    pub attempts: ArrayVec<SlotKey, PART_ATTEMPTS>,
    /// Servers asked already.
    pub tried: ArrayVec<ServerKey, PART_TRIED>,
    /// Attempts that arrived at a server, or may have.
    pub arrivals: u32,
    /// Attempts that ran, or may have.
    pub runs: u32,
    /// Whether it stands in its service's queue.
    pub waits: bool,
    /// When to look for a hedge.
    pub hedge_at: Duration,
    /// Whether another entry was asked for it.
    pub bundled: bool,
}

impl PartState {
    /// Returns a part that was not asked for yet.
    pub fn new(upstream: UpstreamKey) -> PartState {
        PartState {
            upstream,
            status: PartStatus::Open,
            attempts: ArrayVec::new(),
            tried: ArrayVec::new(),
            arrivals: 0,
            runs: 0,
            waits: false,
            hedge_at: Duration::MAX,
            bundled: false,
        }
    }

    /// Returns the attempt whose merged records it is part of, if it came so.
    pub fn bundle(&self) -> Option<SlotKey> {
        match self.status {
            PartStatus::Answered { bundle, .. } => bundle,
            PartStatus::Open | PartStatus::Missing => None,
        }
    }

    /// Tells whether it is still asked for.
    pub fn is_open(&self) -> bool {
        matches!(self.status, PartStatus::Open)
    }
}

/// One request of a caller.
#[derive(Debug)]
pub struct CallState {
    /// The driver's name for it.
    pub tag: CallTag,
    /// What it asks for, and who asks.
    pub mark: RequestFingerprint,
    /// The table it began with; it ends with it.
    pub table: Arc<RouteTable>,
    /// Place of its route in the table.
    pub route: usize,
    /// Place of its route's timing.
    pub timing: usize,
    /// Whether its parts are merged.
    pub gathers: bool,
    /// Whether another entry asked for it, which takes what there is in time.
    pub relayed: bool,
    /// Whether near shards may be divided among the entries of the domain.
    pub divides: bool,
    /// Servers of each part that it may run on.
    pub attempts: u32,
    /// Where it may be served.
    pub homes: HomeSet,
    /// The workspace that asks, if requests need a key.
    pub workspace: Option<Arc<str>>,
    /// Digest of the key it came with. Not told to other entries.
    pub key: Option<KeyDigest>,
    /// Whether it counts for repeats.
    pub earns: bool,
    /// When it came.
    pub arrived: Duration,
    /// When it should be answered.
    pub plan: AnswerPlan,
    /// Its parts.
    pub parts: Vec<PartState>,
    /// Parts answered.
    pub answered: usize,
    /// Parts given up.
    pub missing: usize,
    /// The last answer that was a server's failure, to pass on if nothing
    /// better comes.
    pub failure: Option<Box<ServerAnswer>>,
    /// Sends made.
    pub sends: u32,
    /// What speaks against it.
    pub doubt: CallSuspicion,
}

impl CallState {
    /// Returns its route.
    pub fn rule(&self) -> &RouteRule {
        &self.table.routes()[self.route]
    }

    /// Returns the services of its route, if their parts are merged.
    pub fn gathered(&self) -> &[String] {
        match &self.rule().target {
            RouteTarget::Gather(names) => names,
            RouteTarget::Service(_) | RouteTarget::Split(_) => &[],
        }
    }

    /// Returns the number of parts still asked for.
    pub fn open(&self) -> usize {
        self.parts.len() - self.answered - self.missing
    }

    /// Returns the fraction of the parts that are in.
    pub fn coverage(&self) -> f64 {
        self.answered as f64 / self.parts.len().max(1) as f64
    }

    /// Returns the fraction of the parts that can still be in.
    pub fn reachable(&self) -> f64 {
        (self.parts.len() - self.missing) as f64 / self.parts.len().max(1) as f64
    }

    /// Tells whether enough parts are in for an answer.
    pub fn is_covered(&self) -> bool {
        if self.relayed {
            return self.answered > 0;
        }
        self.answered > 0 && self.coverage() + 1e-9 >= self.rule().least_coverage
    }

    /// Tells whether enough parts can still come for an answer.
    pub fn is_coverable(&self) -> bool {
        self.relayed || self.reachable() + 1e-9 >= self.rule().least_coverage
    }

    /// Makes way for a bundle of these parts: drops the bundles that have some
    /// of them, if it brings more than would be lost. Returns whether it does.
    pub fn make_way(&mut self, taken: &[usize]) -> bool {
        let rivals = taken.iter().filter_map(|part| self.parts[*part].bundle());
        let rivals: Vec<SlotKey> = rivals.collect();
        if rivals.is_empty() {
            return true;
        }
        let is_lost = |place: &usize| {
            let bundle = self.parts[*place].bundle();
            bundle.is_some_and(|bundle| rivals.contains(&bundle)) && !taken.contains(place)
        };
        let lost: Vec<usize> = (0..self.parts.len()).filter(is_lost).collect();
        let is_in =
            |part: &&usize| matches!(self.parts[**part].status, PartStatus::Answered { .. });
        let gained = taken.len() - taken.iter().filter(is_in).count();
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

    /// Tells whether any attempt ran, or may have.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| part.runs > 0)
    }
}

/// How an entry stands that was asked for parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayStanding {
    /// It has not said anything yet.
    Unheard,
    /// It is at work, and has what is left of the route's attempts.
    AtWork,
    /// It said nothing for too long; its parts are asked for elsewhere.
    Late,
}

/// One send that has not ended.
#[derive(Debug)]
pub struct ForwardAttempt {
    /// The request; `None` once nobody waits for it.
    pub call: Option<SlotKey>,
    /// What the request asks for, and who asks.
    pub mark: RequestFingerprint,
    /// Places of the parts in the request.
    pub parts: Vec<usize>,
    /// The server asked.
    pub server: ServerKey,
    /// Its service.
    pub upstream: UpstreamKey,
    /// When it was sent.
    pub sent_at: Duration,
    /// Time the server typically takes.
    pub typical: Duration,
    /// Time after which an answer counts against the version of its server.
    pub slow_after: Duration,
    /// What is expected of a server; none of another entry.
    pub basis: Option<ExpectationBasis>,
    /// Why it was sent.
    pub cause: AttemptCause,
    /// Servers of each part that it may run on.
    pub runs: u32,
    /// When another entry should have said that it is at work; `MAX` for a
    /// server.
    pub due: Duration,
    /// How another entry stands.
    pub relay: RelayStanding,
    /// Whether this entry closes its connection.
    pub cancelled: bool,
    /// Whether its server tries the request alone.
    pub on_trial: bool,
    /// Whether another server ran the request to an end, once nobody waits for
    /// it.
    pub has_run: bool,
    /// Key of the route's timing.
    pub timing: usize,
}

impl ForwardAttempt {
    /// Tells whether another entry was asked, not a server.
    pub fn is_relay(&self) -> bool {
        self.cause == AttemptCause::Relay
    }
}
