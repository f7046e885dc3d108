//! Proposals, and applying what is committed.

use std::time::Duration;

use crate::process::control::log::{LogEntry, LogPosition};
use crate::process::control::message::{ProposalResult, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::ControlCommand;

/// Entries after which the log is compacted into a snapshot.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// Bytes of entries after which it is compacted in any case: entries hold
/// whole tables, and a snapshot holds one.
const COMPACT_AFTER_BYTES: usize = 4 * 1024 * 1024;

impl ReplicaMachine {
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

    /// Adds an entry to the log; one that names the replicas is in force from
    /// now on.
    pub(super) fn push_entry(&mut self, entry: LogEntry) {
        let names_members = matches!(entry.command, ControlCommand::Members { .. });
        self.log.push(entry);
        if names_members {
            self.find_members();
        }
    }

    /// Applies what is committed, ends its proposals, and compacts the log.
    pub(super) fn apply_committed(&mut self, out: &mut Vec<ReplicaAction>) {
        let before = self.state.published_marks();
        let mut members_changed = false;
        while self.applied < self.commit {
            let index = self.applied + 1;
            let Some(entry) = self.log.get(index) else {
                break;
            };
            let outcome = self.state.apply(&entry.command);
            let term = entry.term;
            let is_published =
                entry.command.is_published() && self.safety_checks.awaits_known_commit;
            members_changed |= matches!(entry.command, ControlCommand::Members { .. });
            self.applied = index;
            let Some((tag, proposed)) = self.pending_proposals.remove(&index) else {
                continue;
            };
            let is_own = proposed == term;
            if is_own && is_published {
                self.put_off_end(tag, outcome, index);
                continue;
            }
            let result = if is_own {
                ProposalResult::Done(outcome)
            } else {
                ProposalResult::Unknown
            };
            out.push(ReplicaAction::Complete { tag, result });
        }
        let after = self.state.published_marks();
        if after != before || members_changed {
            out.push(ReplicaAction::PersistCommitIndex(self.applied));
            out.push(ReplicaAction::StateChanged);
        }
        self.compact_log(out);
    }

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
