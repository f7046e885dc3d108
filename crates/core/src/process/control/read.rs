//! Reads that are sure: a quorum confirms that nobody else leads.

use std::time::Duration;

use crate::process::control::message::{ProposalEnd, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::CommandOutcome;

/// A read that waits for its round of heartbeats to be answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRead {
    /// The driver's name for it.
    pub(super) tag: u64,
    round: u64,
}

impl ReplicaMachine {
    /// Takes a read; only a leader can confirm it.
    pub(super) fn read(&mut self, tag: u64, now: Duration, out: &mut Vec<ReplicaAction>) {
        if !self.is_leader() {
            out.push(ReplicaAction::End {
                tag,
                end: ProposalEnd::NotLeader(self.leader),
            });
            return;
        }
        self.round += 1;
        let round = self.round;
        self.reads.push(PendingRead { tag, round });
        self.send_all(now, out);
        self.confirm_reads(out);
    }

    /// Ends the reads whose round a quorum has answered.
    ///
    /// A new leader knows what is committed only once an entry of its own term
    /// is.
    pub(super) fn confirm_reads(&mut self, out: &mut Vec<ReplicaAction>) {
        let is_current = self.log.term_at(self.commit) == Some(self.hard.term);
        if self.reads.is_empty() || !is_current {
            return;
        }
        let reached = self.quorum_reach(self.round, |peer| peer.round);
        let reached = reached.unwrap_or(0);
        let (done, open) = self
            .reads
            .iter()
            .partition(|read| read.round <= reached || !self.rules.confirmed_reads);
        self.reads = open;
        let done: Vec<PendingRead> = done;
        out.extend(done.into_iter().map(|read| ReplicaAction::End {
            tag: read.tag,
            end: ProposalEnd::Done(CommandOutcome::Done),
        }));
    }
}
