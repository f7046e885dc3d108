//! Reads that are sure: a quorum confirms that nobody else leads.
//!
//! A read is confirmed by a round of heartbeats that began after it came. Reads
//! that come while such a round is out share the next one, so that their number
//! does not multiply with that of the replicas.

use std::time::Duration;

use crate::process::control::message::{ProposalResult, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::CommandOutcome;

/// A read that waits for its round of heartbeats to be answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    /// The driver's name for it.
    pub(super) tag: u64,
    /// Its round; `None` while an earlier one is out.
    round: Option<u64>,
}

impl ReplicaMachine {
    /// Takes a read; only a leader can confirm it.
    pub(super) fn start_read(&mut self, tag: u64, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_leader() {
            out.push(ReplicaAction::Complete {
                tag,
                result: ProposalResult::NotLeader(self.leader),
            });
            return;
        }
        let is_out = self.pending_reads.iter().any(|read| read.round.is_some());
        self.pending_reads.push(PendingRead { tag, round: None });
        if !is_out {
            self.start_read_round(now, out);
        }
        self.confirm_reads(now, out);
    }

    /// Begins a round for all reads that wait for one. Replicas without a vote
    /// confirm nothing and are not asked.
    fn start_read_round(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.round += 1;
        for read in &mut self.pending_reads {
            read.round.get_or_insert(self.round);
        }
        self.replicate_to_voters(now, out);
    }

    /// Ends the reads whose round a quorum has answered, and begins a round for
    /// those that waited for that.
    ///
    /// A new leader knows what is committed only once an entry of its own term
    /// is.
    pub(super) fn confirm_reads(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let is_current = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if self.pending_reads.is_empty() || !is_current {
            return;
        }
        let reached = self.quorum_value(self.round, |peer| peer.round);
        let reached = reached.unwrap_or(0);
        let is_done = |read: &PendingRead| read.round.is_some_and(|round| round <= reached);
        let (done, open): (Vec<PendingRead>, Vec<PendingRead>) = self
            .pending_reads
            .iter()
            .partition(|read| is_done(read) || !self.safety_checks.confirms_reads);
        self.pending_reads = open;
        out.extend(done.into_iter().map(|read| ReplicaAction::Complete {
            tag: read.tag,
            result: ProposalResult::Done(CommandOutcome::Done),
        }));
        let is_out = self.pending_reads.iter().any(|read| read.round.is_some());
        if !self.pending_reads.is_empty() && !is_out {
            self.start_read_round(now, out);
        }
    }
}
