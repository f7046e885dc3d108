//! Proposals, and applying what is committed.

use std::time::Duration;

use crate::process::control::log::{LogEntry, LogPlace};
use crate::process::control::message::{ProposalEnd, ReplicaAction};
use crate::process::control::replica::ReplicaMachine;
use crate::process::control::state::ControlCommand;

/// Entries after which the log is compacted into a snapshot.
const COMPACT_AFTER: usize = 256;
/// Bytes of entries after which it is compacted in any case: entries hold
/// whole tables, and a snapshot holds one.
const COMPACT_BYTES: usize = 4 * 1024 * 1024;

impl ReplicaMachine {
    pub(super) fn drop_proposals(&mut self, out: &mut Vec<ReplicaAction>) {
        let proposals = std::mem::take(&mut self.proposals).into_values();
        let reads = std::mem::take(&mut self.reads).into_iter();
        let ends = std::mem::take(&mut self.ends).into_iter();
        let tags = proposals.map(|(tag, _)| tag);
        let tags = tags.chain(reads.map(|read| read.tag));
        let tags = tags.chain(ends.map(|end| end.tag));
        out.extend(tags.map(|tag| ReplicaAction::End {
            tag,
            end: ProposalEnd::Unknown,
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
            out.push(ReplicaAction::End {
                tag,
                end: ProposalEnd::NotLeader(self.leader),
            });
            return;
        }
        let index = self.add_entry(command, out);
        self.proposals.insert(index, (tag, self.hard.term));
        self.send_all(now, out);
        self.advance_commit(out);
    }

    pub(super) fn add_entry(
        &mut self,
        command: ControlCommand,
        out: &mut Vec<ReplicaAction>,
    ) -> u64 {
        let entry = LogEntry {
            term: self.hard.term,
            index: self.log.last().index + 1,
            command,
        };
        let index = entry.index;
        out.push(ReplicaAction::KeepEntry(entry.clone()));
        self.push_entry(entry);
        index
    }

    /// Adds an entry to the log; one that names the replicas is in force from
    /// now on.
    pub(super) fn push_entry(&mut self, entry: LogEntry) {
        let names_members = matches!(entry.command, ControlCommand::Members { .. });
        self.log.push(entry);
        if names_members {
            self.reload_members();
        }
    }

    /// Applies what is committed, ends its proposals, and compacts the log.
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
                entry.command.changes_published_state() && self.rules.known_commits;
            members_changed |= matches!(entry.command, ControlCommand::Members { .. });
            self.applied = index;
            let Some((tag, proposed)) = self.proposals.remove(&index) else {
                continue;
            };
            let is_own = proposed == term;
            if is_own && changes_published_state {
                self.defer_result(tag, outcome, index);
                continue;
            }
            let end = if is_own {
                ProposalEnd::Done(outcome)
            } else {
                ProposalEnd::Unknown
            };
            out.push(ReplicaAction::End { tag, end });
        }
        let after = self.state.published_revisions();
        if after != before || members_changed {
            out.push(ReplicaAction::KeepCommit(self.applied));
            out.push(ReplicaAction::Changed);
        }
        self.compact(out);
    }

    fn compact(&mut self, out: &mut Vec<ReplicaAction>) {
        let covered = self.applied - self.log.base().index;
        let is_large = covered > 0 && self.log.bytes() > COMPACT_BYTES;
        if (covered as usize) < COMPACT_AFTER && !is_large {
            return;
        }
        let Some(term) = self.log.term_at(self.applied) else {
            return;
        };
        let place = LogPlace {
            term,
            index: self.applied,
        };
        self.log.compact(place);
        out.push(ReplicaAction::KeepSnapshot {
            place,
            state: Box::new(self.state.clone()),
            is_installed: false,
        });
    }
}
