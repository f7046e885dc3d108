//! Evidence on one server whose connection broke before an answer, and the verdict that
//! follows from the evidence.

use std::time::Duration;

use crate::arena::SlotKey;
use crate::request::mark::RequestFingerprint;

/// Time for which a connection that was open at the break must stay open to show that the
/// server is alive. A server that ends closes all its connections together; the entry
/// reads their ends within one or two rounds of its event loop.
const HELD_TIME: Duration = Duration::from_millis(5);
/// Time for which a connection that was opened after the break must stay open. A server
/// that is ending may still accept a connection, which it then closes.
const ACCEPTED_TIME: Duration = Duration::from_millis(2);
/// Age of a break from which an answer of the server counts. An answer that the server
/// wrote just before it ended may be read together with the break.
const ANSWER_MARGIN: Duration = Duration::from_millis(2);
/// Time after which a break is decided without further evidence, in addition to the round
/// trip. Objectives are 80 ms and more, so a lost part can still be answered in time
/// elsewhere.
const VERDICT_TIME: Duration = Duration::from_millis(25);
/// Time after which a connection that is still opening shows that the server is
/// unreachable. The host of a server that ended refuses connections sooner.
pub const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Number of other connections that must close together with the broken one to prove an
/// end while servers lose answers. A single one may have lost its own answer in the same
/// moment.
const MIN_CLOSED_AMONG_LOST: u32 = 2;
/// Maximum number of breaks of one server without a verdict.
const MAX_BREAKS: usize = 16;

/// What a break turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndVerdict {
    /// The server ended.
    Ended,
    /// The server lost the answer and is alive.
    Alive,
    /// The server can no longer be reached, but nothing shows that it ended: its host is
    /// down or cut off.
    Unreachable,
}

impl EndVerdict {
    /// Returns the label in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            EndVerdict::Ended => "ended",
            EndVerdict::Alive => "alive",
            EndVerdict::Unreachable => "unreachable",
        }
    }
}

/// The evidence that led to a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndEvidence {
    /// The server's host refused a connection.
    Refused,
    /// All other connections closed together with the broken one.
    AllClosed,
    /// Another server or incarnation runs at the address.
    Replaced,
    /// The control group reported the server's lease as expired.
    LeaseExpired,
    /// The server has already ended by an earlier verdict.
    EndedBefore,
    /// A connection that was open at the break stayed open.
    HeldOpen,
    /// The server answered a request after the break.
    Answered,
    /// The server accepted a new connection after the break.
    Accepted,
    /// The server announced itself after the break.
    Announced,
    /// A new connection was neither accepted nor refused.
    Silence,
    /// There was no evidence in time.
    Nothing,
    /// Too many breaks were undecided; recent verdicts decided.
    Estimate,
}

impl EndEvidence {
    /// Returns the label in logs.
    pub fn label(self) -> &'static str {
        match self {
            EndEvidence::Refused => "refused",
            EndEvidence::AllClosed => "all_closed",
            EndEvidence::Replaced => "replaced",
            EndEvidence::LeaseExpired => "lease_expired",
            EndEvidence::EndedBefore => "ended_before",
            EndEvidence::HeldOpen => "held_open",
            EndEvidence::Answered => "answered",
            EndEvidence::Accepted => "accepted",
            EndEvidence::Announced => "announced",
            EndEvidence::Silence => "silence",
            EndEvidence::Nothing => "nothing",
            EndEvidence::Estimate => "estimate",
        }
    }
}

/// A broken attempt without a verdict.
#[derive(Debug, Clone, Copy)]
pub struct PendingBreak {
    /// The request of the attempt, if it had not ended at the break.
    pub call: Option<SlotKey>,
    /// Fingerprint of the request.
    pub mark: RequestFingerprint,
    /// Whether the attempt was a canary.
    pub is_canary: bool,
    /// Whether the attempt was the trial of a quarantined request.
    pub is_trial: bool,
    /// Whether another server has completed the request.
    pub has_run: bool,
    /// Whether the request counts the break as a crash until the verdict.
    pub is_counted: bool,
    /// Time of the break.
    pub at: Duration,
}

/// A verdict with the breaks that it decides.
#[derive(Debug, Clone)]
pub struct EndFinding {
    /// The verdict.
    pub verdict: EndVerdict,
    /// The evidence for it.
    pub evidence: EndEvidence,
    /// The breaks, oldest first; at least one.
    pub breaks: Vec<PendingBreak>,
    /// Number of other connections that were open at the first break.
    pub others: u32,
}

/// State of the connection that is opened for evidence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeState {
    /// No connection was asked for.
    Unasked,
    /// The driver was asked for a connection.
    Asked,
    /// A connection that was opened after the break was accepted at this time.
    Accepted(Duration),
    /// An accepted connection was closed again.
    Closed,
}

/// What is to be done about the breaks of a server at a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckStep {
    /// Nothing yet.
    Wait,
    /// A connection is to be opened for evidence.
    OpenConnection,
    /// The requests wait no longer, though the verdict is still open.
    Release,
    /// The verdict.
    Decide(EndVerdict, EndEvidence),
}

/// The breaks of one server without a verdict, and the evidence so far.
#[derive(Debug)]
pub struct BreakGroup {
    pub(super) breaks: Vec<PendingBreak>,
    /// Number of other connections that were open at the first break.
    pub(super) others: u32,
    /// How many of these have not closed since.
    held: u32,
    /// Number of others that must close together with the first to prove an end.
    min_closed: u32,
    /// Number of all connections in the driver's last report.
    open: u32,
    /// Broken or cancelled connections whose closing the driver has not reported yet.
    closing: u32,
    /// Whether the driver has reported connections to the server since the break.
    has_reports: bool,
    probe: ProbeState,
    was_announced: bool,
    is_released: bool,
    round_trip: Duration,
    /// Time for which the group's timer is set.
    pub(super) armed_at: Option<Duration>,
}

impl BreakGroup {
    /// Returns the state after a first break, at which the driver counted `open`
    /// connections including the broken one; 0 if the driver counts none.
    /// `expects_lost_answer` tells whether recent breaks were lost answers.
    pub fn new(
        first: PendingBreak,
        open: u32,
        round_trip: Duration,
        expects_lost_answer: bool,
    ) -> BreakGroup {
        let others = open.saturating_sub(1);
        BreakGroup {
            breaks: vec![first],
            others,
            held: others,
            min_closed: if expects_lost_answer {
                MIN_CLOSED_AMONG_LOST
            } else {
                1
            },
            open,
            closing: 1,
            has_reports: false,
            probe: ProbeState::Unasked,
            was_announced: false,
            is_released: false,
            round_trip,
            armed_at: None,
        }
    }

    /// Adds a break on another connection. Returns whether there was capacity for it.
    pub fn add(&mut self, other: PendingBreak) -> bool {
        if self.breaks.len() >= MAX_BREAKS {
            return false;
        }
        self.breaks.push(other);
        self.is_released = false;
        self.held = self.held.saturating_sub(1);
        self.closing += 1;
        true
    }

    /// Records that this entry itself closed a connection to the server.
    pub fn record_own_close(&mut self) {
        self.held = self.held.saturating_sub(1);
        self.others = self.others.saturating_sub(1);
        self.closing += 1;
    }

    /// Records the number of connections that the driver reports.
    pub fn record_open(&mut self, open: u32) {
        self.has_reports = true;
        let closed = self.open.saturating_sub(open);
        self.open = open;
        let expected = closed.min(self.closing);
        self.closing -= expected;
        let unexpected = closed - expected;
        self.held = self.held.saturating_sub(unexpected);
        if unexpected > 0 && matches!(self.probe, ProbeState::Accepted(_)) {
            self.probe = ProbeState::Closed;
        }
    }

    /// Records that a connection was established that took `took` to open. Ignores it
    /// if it was begun before the last break.
    pub fn record_accepted(&mut self, took: Duration, now: Duration) {
        if now.saturating_sub(took) >= self.last_at() {
            self.probe = ProbeState::Accepted(now);
        }
    }

    /// Records that the server announced itself.
    pub fn record_announced(&mut self) {
        self.was_announced = true;
    }

    /// Returns whether an answer that arrives now was given after the breaks.
    pub fn is_decided_by_answer(&self, now: Duration) -> bool {
        now >= self.last_at() + ANSWER_MARGIN
    }

    /// Decides what to do at `now`.
    pub fn check(&mut self, now: Duration) -> CheckStep {
        use EndVerdict::{Alive, Ended, Unreachable};
        let last_at = self.last_at();
        if self.others >= self.min_closed && self.held == 0 && now < self.first_at() + HELD_TIME {
            return CheckStep::Decide(Ended, EndEvidence::AllClosed);
        }
        if self.held > 0 && now >= last_at + HELD_TIME {
            return CheckStep::Decide(Alive, EndEvidence::HeldOpen);
        }
        if let ProbeState::Accepted(at) = self.probe {
            if now >= at + ACCEPTED_TIME {
                return CheckStep::Decide(Alive, EndEvidence::Accepted);
            }
        }
        if self.held == 0 && self.probe == ProbeState::Unasked {
            self.probe = ProbeState::Asked;
            return CheckStep::OpenConnection;
        }
        if now < self.decided_by() {
            return CheckStep::Wait;
        }
        match self.probe {
            ProbeState::Accepted(_) | ProbeState::Closed => {
                CheckStep::Decide(Alive, EndEvidence::Accepted)
            }
            _ if self.was_announced => CheckStep::Decide(Alive, EndEvidence::Announced),
            ProbeState::Asked if self.has_reports => {
                if now >= self.first_at() + REFUSAL_TIME {
                    return CheckStep::Decide(Unreachable, EndEvidence::Silence);
                }
                if self.is_released {
                    return CheckStep::Wait;
                }
                self.is_released = true;
                CheckStep::Release
            }
            // The driver opens no connections for evidence.
            ProbeState::Asked | ProbeState::Unasked => {
                CheckStep::Decide(Ended, EndEvidence::Nothing)
            }
        }
    }

    /// Returns the time of the next check.
    pub fn due_at(&self) -> Duration {
        let limit = if self.is_released {
            self.first_at() + REFUSAL_TIME
        } else {
            self.decided_by()
        };
        let held = (self.held > 0).then(|| self.last_at() + HELD_TIME);
        let accepted = match self.probe {
            ProbeState::Accepted(at) => Some(at + ACCEPTED_TIME),
            _ => None,
        };
        let sooner = held.into_iter().chain(accepted).min();
        sooner.map_or(limit, |sooner| sooner.min(limit))
    }

    /// Returns the time at which the requests wait no longer.
    fn decided_by(&self) -> Duration {
        self.first_at() + VERDICT_TIME + self.round_trip
    }

    fn first_at(&self) -> Duration {
        self.breaks.first().map_or(Duration::ZERO, |first| first.at)
    }

    fn last_at(&self) -> Duration {
        self.breaks.last().map_or(Duration::ZERO, |last| last.at)
    }
}
