//! Ending proposals that come in force: once a quorum knows of the commit.
//!
//! A commit is known to its leader alone at first. Were it told to an operator
//! then, and the leader lost, instances that hold the entry could not tell it
//! from one that was never accepted, and without a quorum never would. Whoever
//! knows of a commit has kept that, puts it in force, and tells others. Without
//! this, 4 of 55 runs beside six busy processes that killed a leader right after
//! its word left both others without the change; with it none of 40.

use std::time::Duration;

use crate::process::control::log::ReplicaId;
use crate::process::control::message::{ProposalEnd, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::CommandOutcome;

/// The end of a proposal that waits until a quorum knows of its commit.
#[derive(Debug)]
pub(super) struct PendingResult {
    /// The driver's name for it.
    pub(super) tag: u64,
    outcome: CommandOutcome,
    /// Index of its entry.
    index: u64,
    /// The round of messages that tell of its commit.
    round: u64,
    /// Followers that know.
    acknowledged_by: Vec<ReplicaId>,
}

impl ReplicaMachine {
    /// Puts off the end of a committed proposal, and tells followers of the
    /// commit at once: with the next heartbeat it would take up to that long.
    pub(super) fn defer_result(&mut self, tag: u64, outcome: CommandOutcome, index: u64) {
        self.round += 1;
        self.heartbeat_at = Duration::ZERO;
        self.ends.push(PendingResult {
            tag,
            outcome,
            index,
            round: self.round,
            acknowledged_by: Vec::new(),
        });
    }

    /// Takes note that a follower's log fits up to `index`, and that it
    /// answered a message of `round`.
    ///
    /// What was sent in that round told of the commit, so that a follower with
    /// the entry has kept the commit before it answered.
    pub(super) fn record_commit_acknowledgement(
        &mut self,
        from: ReplicaId,
        index: u64,
        round: u64,
    ) {
        for end in &mut self.ends {
            let is_acknowledged = round >= end.round && index >= end.index;
            if is_acknowledged && !end.acknowledged_by.contains(&from) {
                end.acknowledged_by.push(from);
            }
        }
    }

    /// Ends the proposals whose commit a quorum knows.
    pub(super) fn complete_acknowledged(&mut self, out: &mut Vec<ReplicaAction>) {
        let local_acknowledgement = usize::from(self.is_voter());
        let quorum = self.quorum();
        let members = &self.members;
        let is_acknowledged_by_quorum = |end: &mut PendingResult| {
            let acknowledged_by = end
                .acknowledged_by
                .iter()
                .filter(|peer| members.contains(peer));
            acknowledged_by.count() + local_acknowledgement >= quorum
        };
        let completed = self.ends.extract_if(.., is_acknowledged_by_quorum);
        out.extend(completed.map(|end| ReplicaAction::End {
            tag: end.tag,
            end: ProposalEnd::Done(end.outcome),
        }));
    }
}
