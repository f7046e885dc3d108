//! Linearizable reads: a leader confirms a read only after a quorum has answered
//! a round of heartbeats that started after the read arrived, which proves that
//! no other replica has become the leader. Reads that arrive during a round
//! share the next round, so that the leader does not send a message to each
//! replica for each read.

use std::time::Duration;

use crate::process::control::message::{ProposalResult, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::CommandOutcome;

/// A read that waits for a quorum to answer its round of heartbeats.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    /// Number that the driver chose for the read.
    pub(super) tag: u64,
    /// Number of the round that confirms the read; `None` while an earlier round
    /// is still open.
    round: Option<u64>,
}

impl ReplicaMachine {
    /// Starts a read, if this replica leads; otherwise reports
    /// [`ProposalResult::NotLeader`].
    pub(super) fn start_read(&mut self, tag: u64, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_leader() {
            out.push(ReplicaAction::Complete {
                tag,
                result: ProposalResult::NotLeader(self.leader),
            });
            return;
        }
        let is_round_open = self.pending_reads.iter().any(|read| read.round.is_some());
        self.pending_reads.push(PendingRead { tag, round: None });
        if !is_round_open {
            self.start_read_round(now, out);
        }
        self.confirm_reads(now, out);
    }

    /// Starts a round of heartbeats for all reads without a round. Replicas
    /// without a vote get no heartbeat, because their answers do not count.
    fn start_read_round(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.round += 1;
        for read in &mut self.pending_reads {
            read.round.get_or_insert(self.round);
        }
        self.replicate_to_voters(now, out);
    }

    /// Reports the reads whose round a quorum has answered as done, and starts
    /// the next round for the reads that arrived meanwhile.
    ///
    /// Confirms nothing before an entry of the current term is committed,
    /// because a new leader does not know the commit index until then.
    pub(super) fn confirm_reads(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let is_term_committed = self.log.term_at(self.commit) == Some(self.hard_state.term);
        if self.pending_reads.is_empty() || !is_term_committed {
            return;
        }
        let answered_round = self.quorum_value(self.round, |peer| peer.round);
        let answered_round = answered_round.unwrap_or(0);
        let is_confirmed =
            |read: &PendingRead| read.round.is_some_and(|round| round <= answered_round);
        let (confirmed, unconfirmed): (Vec<PendingRead>, Vec<PendingRead>) = self
            .pending_reads
            .iter()
            .partition(|read| is_confirmed(read) || !self.safety_checks.confirms_reads);
        self.pending_reads = unconfirmed;
        out.extend(confirmed.into_iter().map(|read| ReplicaAction::Complete {
            tag: read.tag,
            result: ProposalResult::Done(CommandOutcome::Done),
        }));
        let is_round_open = self.pending_reads.iter().any(|read| read.round.is_some());
        if !self.pending_reads.is_empty() && !is_round_open {
            self.start_read_round(now, out);
        }
    }
}
