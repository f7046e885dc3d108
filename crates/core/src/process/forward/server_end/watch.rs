//! The breaks of all servers that have no verdict yet.

use std::collections::HashMap;
use std::time::Duration;

use crate::arena::{ServerKey, SlotKey};
use crate::process::forward::server_end::estimate::EndEstimate;
use crate::process::forward::server_end::evidence::{
    BreakGroup, CheckStep, EndEvidence, EndFinding, EndVerdict, PendingBreak,
};

/// Maximum number of servers with undecided breaks. A verdict takes some 25 ms, in which
/// an entry sees a few dozen breaks at most when all servers lose answers.
const MAX_SERVERS: usize = 512;

/// What follows from new evidence.
#[derive(Debug)]
pub enum WatchStep {
    /// Nothing yet.
    Wait,
    /// A connection to the server is to be opened for evidence.
    OpenConnection,
    /// The requests of these breaks wait no longer, though the verdict is still open.
    Release(Vec<PendingBreak>),
    /// The verdict.
    Decide(EndFinding),
}

/// Breaks without a verdict, by server, and the estimate from recent verdicts.
#[derive(Debug, Default)]
pub struct EndWatch {
    groups: HashMap<ServerKey, BreakGroup>,
    estimate: EndEstimate,
}

impl EndWatch {
    /// Returns whether a further break is most likely a lost answer.
    pub fn expects_lost_answer(&self, now: Duration) -> bool {
        self.estimate.expects_lost_answer(now)
    }

    /// Returns the number of breaks without a verdict.
    pub fn len(&self) -> usize {
        self.groups.values().map(|group| group.breaks.len()).sum()
    }

    /// Returns whether all breaks have a verdict.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// Returns whether a server has breaks without a verdict.
    pub fn is_watching(&self, server: ServerKey) -> bool {
        !self.groups.is_empty() && self.groups.contains_key(&server)
    }

    /// Records a break. `open` is the number of connections to the server including the
    /// broken one, or 0 if the driver does not count them.
    pub fn record_break(
        &mut self,
        server: ServerKey,
        broken: PendingBreak,
        open: u32,
        round_trip: Duration,
    ) -> WatchStep {
        let now = broken.at;
        if let Some(group) = self.groups.get_mut(&server) {
            if group.add(broken) {
                return self.check(server, now);
            }
            return WatchStep::Decide(self.estimated(broken));
        }
        if self.groups.len() >= MAX_SERVERS {
            return WatchStep::Decide(self.estimated(broken));
        }
        let expects_lost_answer = self.estimate.expects_lost_answer(now);
        let group = BreakGroup::new(broken, open, round_trip, expects_lost_answer);
        self.groups.insert(server, group);
        self.check(server, now)
    }

    /// Records evidence with `record` and checks the server's breaks. Does nothing if
    /// the server has no undecided breaks.
    pub fn record(
        &mut self,
        server: ServerKey,
        now: Duration,
        record: impl FnOnce(&mut BreakGroup),
    ) -> WatchStep {
        match self.groups.get_mut(&server) {
            Some(group) => {
                record(group);
                self.check(server, now)
            }
            None => WatchStep::Wait,
        }
    }

    /// Records that a server answered a request.
    pub fn record_answer(&mut self, server: ServerKey, now: Duration) -> WatchStep {
        let group = self.groups.get(&server);
        if group.is_some_and(|group| group.is_decided_by_answer(now)) {
            return self.decide(server, EndVerdict::Alive, EndEvidence::Answered, now);
        }
        WatchStep::Wait
    }

    /// Decides the server's breaks, if there are any: the server ended.
    pub fn record_end(
        &mut self,
        server: ServerKey,
        evidence: EndEvidence,
        now: Duration,
    ) -> WatchStep {
        self.decide(server, EndVerdict::Ended, evidence, now)
    }

    /// Records that a server completed a request, whose breaks then do not count
    /// against it.
    pub fn record_completion(&mut self, call: SlotKey) {
        let breaks = self.groups.values_mut().flat_map(|group| &mut group.breaks);
        for broken in breaks.filter(|broken| broken.call == Some(call)) {
            broken.has_run = true;
        }
    }

    /// Checks a server's breaks at `now`.
    pub fn check(&mut self, server: ServerKey, now: Duration) -> WatchStep {
        let Some(group) = self.groups.get_mut(&server) else {
            return WatchStep::Wait;
        };
        match group.check(now) {
            CheckStep::Wait => WatchStep::Wait,
            CheckStep::OpenConnection => WatchStep::OpenConnection,
            CheckStep::Release => {
                let released = group.breaks.clone();
                for broken in &mut group.breaks {
                    broken.is_counted = false;
                }
                WatchStep::Release(released)
            }
            CheckStep::Decide(verdict, evidence) => self.decide(server, verdict, evidence, now),
        }
    }

    /// Checks a server's breaks when a timer for them is due.
    pub fn check_due(&mut self, server: ServerKey, now: Duration) -> WatchStep {
        if let Some(group) = self.groups.get_mut(&server) {
            if group.armed_at.is_some_and(|armed_at| armed_at <= now) {
                group.armed_at = None;
            }
        }
        self.check(server, now)
    }

    /// Returns the time at which the server's breaks are to be checked next, if no timer
    /// is set for that time or an earlier one.
    pub fn next_timer(&mut self, server: ServerKey) -> Option<Duration> {
        let group = self.groups.get_mut(&server)?;
        let due = group.due_at();
        if group.armed_at.is_some_and(|armed_at| armed_at <= due) {
            return None;
        }
        group.armed_at = Some(due);
        Some(due)
    }

    /// Removes the server's breaks and returns the verdict on them.
    fn decide(
        &mut self,
        server: ServerKey,
        verdict: EndVerdict,
        evidence: EndEvidence,
        now: Duration,
    ) -> WatchStep {
        let Some(group) = self.groups.remove(&server) else {
            return WatchStep::Wait;
        };
        if verdict != EndVerdict::Unreachable {
            self.estimate.record(verdict == EndVerdict::Ended, now);
        }
        WatchStep::Decide(EndFinding {
            verdict,
            evidence,
            breaks: group.breaks,
            others: group.others,
        })
    }

    /// Returns the verdict on a break that cannot be tracked, as recent verdicts
    /// suggest.
    fn estimated(&self, broken: PendingBreak) -> EndFinding {
        let verdict = if self.estimate.expects_lost_answer(broken.at) {
            EndVerdict::Alive
        } else {
            EndVerdict::Ended
        };
        EndFinding {
            verdict,
            evidence: EndEvidence::Estimate,
            breaks: vec![broken],
            others: 0,
        }
    }
}
