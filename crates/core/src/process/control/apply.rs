//! Appending proposals to the leader's log, applying committed entries to the
//! state, and compacting the log.

use std::time::Duration;

use crate::process::control::log::{LogEntry, LogPosition};
use crate::process::control::message::{ProposalResult, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::ControlCommand;

/// Number of applied entries after which the log is compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Size of the log in bytes above which the log is compacted regardless of the
/// number of entries: each entry may hold a whole table, a snapshot holds one.
const COMPACT_AFTER_BYTES: usize = 4 * 1024 * 1024;

impl ReplicaMachine {
    /// Reports all pending proposals and reads as [`ProposalResult::Unknown`].
    pub(super) fn abort_pending(&mut self, out: &mut Vec<ReplicaAction>) {
        let pending_proposals = std::mem::take(&mut self.pending_proposals).into_values();
        let pending_reads = std::mem::take(&mut self.pending_reads).into_iter();
        let pending_results = std::mem::take(&mut self.pending_results).into_iter();
        let tags = pending_proposals.map(|(tag, _)| tag);
        let tags = tags.chain(pending_reads.map(|read| read.tag));
        let tags = tags.chain(pending_results.map(|result| result.tag));
        out.extend(tags.map(|tag| ReplicaAction::Complete {
            tag,
            result: ProposalResult::Unknown,
        }));
    }

    /// Appends a proposed command to the log and replicates it, if this replica
    /// leads; otherwise reports [`ProposalResult::NotLeader`].
    pub(super) fn propose(
        &mut self,
        tag: u64,
        command: ControlCommand,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !self.is_leader() {
            out.push(ReplicaAction::Complete {
                tag,
                result: ProposalResult::NotLeader(self.leader),
            });
            return;
        }
        let index = self.append_command(command, out);
        self.pending_proposals
            .insert(index, (tag, self.hard_state.term));
        self.replicate_to_all(now, out);
        self.advance_commit(out);
    }

    /// Appends a command to the leader's log as an entry of the current term and
    /// returns the entry's index.
    pub(super) fn append_command(
        &mut self,
        command: ControlCommand,
        out: &mut Vec<ReplicaAction>,
    ) -> u64 {
        let entry = LogEntry {
            term: self.hard_state.term,
            index: self.log.last().index + 1,
            command,
        };
        let index = entry.index;
        out.push(ReplicaAction::PersistEntry(entry.clone()));
        self.push_entry(entry);
        index
    }

    /// Appends an entry to the log. A membership entry takes effect at once,
    /// before it is committed, as in Raft.
    pub(super) fn push_entry(&mut self, entry: LogEntry) {
        let changes_members = matches!(entry.command, ControlCommand::Members { .. });
        self.log.push(entry);
        if changes_members {
            self.reload_members();
        }
    }

    /// Applies the committed entries, reports the results of their proposals, and
    /// compacts the log. The result of a published change is deferred until a
    /// quorum knows the commit.
    pub(super) fn apply_committed(&mut self, out: &mut Vec<ReplicaAction>) {
        let before = self.state.published_revisions();
        let mut members_changed = false;
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                break;
            };
            let outcome = self.state.apply(&entry.command);
            let term = entry.term;
            let changes_published_state =
                entry.command.changes_published_state() && self.safety_checks.awaits_known_commit;
            members_changed |= matches!(entry.command, ControlCommand::Members { .. });
            self.applied = index;
            let Some((tag, proposal_term)) = self.pending_proposals.remove(&index) else {
                continue;
            };
            let is_own_proposal = proposal_term == term;
            if is_own_proposal && changes_published_state {
                self.defer_result(tag, outcome, index);
                continue;
            }
            let result = if is_own_proposal {
                ProposalResult::Done(outcome)
            } else {
                ProposalResult::Unknown
            };
            out.push(ReplicaAction::Complete { tag, result });
        }
        let after = self.state.published_revisions();
        if after != before || members_changed {
            out.push(ReplicaAction::PersistCommitIndex(self.applied));
            out.push(ReplicaAction::StateChanged);
        }
        self.compact_log(out);
    }

    /// Replaces the applied entries by a snapshot once they exceed
    /// [`COMPACT_AFTER_ENTRIES`] or the log exceeds [`COMPACT_AFTER_BYTES`].
    fn compact_log(&mut self, out: &mut Vec<ReplicaAction>) {
        let covered = self.applied - self.log.base().index;
        let is_large = covered > 0 && self.log.bytes() > COMPACT_AFTER_BYTES;
        if (covered as usize) < COMPACT_AFTER_ENTRIES && !is_large {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else {
            return;
        };
        let place = LogPosition {
            term,
            index: self.applied,
        };
        self.log.compact(place);
        out.push(ReplicaAction::PersistSnapshot {
            place,
            state: Box::new(self.state.clone()),
            is_installed: false,
        });
    }
}
