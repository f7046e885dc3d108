//! Replication: sending entries, taking them, and committing.

use std::time::Duration;

use crate::process::control::log::{EntryLog, LogEntry, LogPlace, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{PeerProgress, ReplicaMachine, ReplicaRole};
use crate::process::control::state::ControlState;

/// Most entries in one message.
const BATCH: usize = 64;
/// Most bytes of entries in one message, unless one alone has more.
const BATCH_BYTES: usize = 512 * 1024;
/// Heartbeats between two sends of the whole state to a follower: it may be
/// down for long, and the state may be large.
const SNAPSHOT_BEATS: u32 = 10;

impl ReplicaMachine {
    /// Sends every follower what it lacks, or a heartbeat.
    pub(super) fn send_all(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.heartbeat_at = now + self.timing.heartbeat;
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = peers.keys().copied().collect();
        for peer in peers {
            if !self.send_entries(peer, now, out) {
                self.send_beat(peer, out);
            }
        }
    }

    /// Sends the replicas that have a vote what they lack, or a heartbeat.
    pub(super) fn send_voters(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let members = &self.members;
        let voters = peers.keys().filter(|peer| members.contains(peer));
        let voters: Vec<ReplicaId> = voters.copied().collect();
        for peer in voters {
            if !self.send_entries(peer, now, out) {
                self.send_beat(peer, out);
            }
        }
    }

    /// Sends a follower that waits for the whole state a heartbeat alone.
    fn send_beat(&self, peer: ReplicaId, out: &mut Vec<ReplicaAction>) {
        out.push(ReplicaAction::Send {
            to: peer,
            message: ReplicaMessage::Append {
                term: self.hard.term,
                previous: self.log.base(),
                entries: Vec::new(),
                commit: self.log.base().index,
                round: self.round,
            },
        });
    }

    /// Sends a follower what it lacks. Returns whether anything was sent.
    fn send_entries(
        &mut self,
        peer: ReplicaId,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) -> bool {
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return false;
        };
        let Some(progress) = peers.get_mut(&peer) else {
            return false;
        };
        let previous = progress.next - 1;
        let Some(term) = self.log.term_at(previous) else {
            if progress.snapshot_due > now {
                return false;
            }
            progress.snapshot_due = now + self.timing.heartbeat * SNAPSHOT_BEATS;
            let place = LogPlace {
                term: self.log.term_at(self.applied).unwrap_or_default(),
                index: self.applied,
            };
            out.push(ReplicaAction::Send {
                to: peer,
                message: ReplicaMessage::Snapshot {
                    term: self.hard.term,
                    place,
                    state: Box::new(self.state.clone()),
                },
            });
            return true;
        };
        let entries = self.log.from(progress.next, BATCH, BATCH_BYTES).to_vec();
        // Optimistic: what is lost is found out by the next heartbeat.
        progress.next += entries.len() as u64;
        out.push(ReplicaAction::Send {
            to: peer,
            message: ReplicaMessage::Append {
                term: self.hard.term,
                previous: LogPlace {
                    term,
                    index: previous,
                },
                entries,
                commit: self.commit,
                round: self.round,
            },
        });
        true
    }

    /// Takes a leader's entries, if they fit onto the log. Returns the last
    /// index known to match, or where to try next.
    pub(super) fn append(
        &mut self,
        previous: LogPlace,
        entries: Vec<LogEntry>,
        commit: u64,
        out: &mut Vec<ReplicaAction>,
    ) -> Result<u64, u64> {
        if previous.index < self.log.base().index {
            // What the snapshot includes is committed and matches.
            return Ok(self.log.base().index);
        }
        if self.log.term_at(previous.index) != Some(previous.term) {
            let hint = previous.index.min(self.log.last().index + 1);
            return Err(hint.saturating_sub(1));
        }
        let last = previous.index + entries.len() as u64;
        for entry in entries {
            self.take_entry(entry, out);
        }
        if commit.min(last) > self.commit {
            self.commit = commit.min(last);
            self.apply_committed(out);
        }
        Ok(last)
    }

    fn take_entry(&mut self, entry: LogEntry, out: &mut Vec<ReplicaAction>) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.reload_members();
            }
            None => {}
        }
        out.push(ReplicaAction::KeepEntry(entry.clone()));
        self.push_entry(entry);
    }

    /// Takes a leader's whole state, if it is ahead of the own one.
    pub(super) fn install(
        &mut self,
        from: ReplicaId,
        place: LogPlace,
        state: ControlState,
        out: &mut Vec<ReplicaAction>,
    ) {
        if place.index > self.commit {
            self.log = EntryLog::new(place, Vec::new());
            self.state = state;
            self.commit = place.index;
            self.applied = place.index;
            self.reload_members();
            out.push(ReplicaAction::KeepSnapshot {
                place,
                state: Box::new(self.state.clone()),
                is_installed: true,
            });
            out.push(ReplicaAction::Changed);
        }
        self.answer_append(from, Ok(place.index), 0, out);
    }

    pub(super) fn answer_append(
        &self,
        to: ReplicaId,
        index: Result<u64, u64>,
        round: u64,
        out: &mut Vec<ReplicaAction>,
    ) {
        let fitted = index.is_ok();
        let (Ok(index) | Err(index)) = index;
        out.push(ReplicaAction::Send {
            to,
            message: ReplicaMessage::Appended {
                term: self.hard.term,
                fitted,
                index,
                round,
            },
        });
    }

    pub(super) fn appended(
        &mut self,
        from: ReplicaId,
        term: u64,
        index: Result<u64, u64>,
        round: u64,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard.term {
            return self.step_down(term, out);
        }
        if term < self.hard.term {
            return;
        }
        let last = self.log.last().index;
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&from) else {
            return;
        };
        progress.heard = now;
        progress.round = progress.round.max(round);
        match index {
            Ok(index) => {
                progress.matched = progress.matched.max(index.min(last));
                progress.next = progress.next.max(progress.matched + 1);
            }
            Err(index) => progress.next = (index + 1).max(progress.matched + 1),
        }
        let lacks = progress.next <= last;
        if let Ok(index) = index {
            self.record_commit_acknowledgement(from, index, round);
        }
        self.advance_commit(out);
        self.confirm_reads(now, out);
        if lacks {
            self.send_entries(from, now, out);
        }
    }

    /// Returns how far a quorum has come, if this replica leads: its own value
    /// is `own`, `reach` reads a follower's.
    pub(super) fn quorum_reach(
        &self,
        own: u64,
        reach: impl Fn(&PeerProgress) -> u64,
    ) -> Option<u64> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let counted = peers
            .iter()
            .filter(|(peer, _)| !self.rules.learners_apart || self.members.contains(peer));
        let mut values: Vec<u64> = counted.map(|(_, peer)| reach(peer)).collect();
        if self.is_voter() {
            values.push(own);
        }
        values.sort_unstable();
        let place = values.len().checked_sub(self.quorum())?;
        Some(values[place])
    }

    /// Commits what a quorum holds, and ends what a quorum knows to be committed.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<ReplicaAction>) {
        let last = self.log.last().index;
        let Some(index) = self.quorum_reach(last, |peer| peer.matched) else {
            return;
        };
        let is_own = self.log.term_at(index) == Some(self.hard.term);
        if index > self.commit && (is_own || !self.rules.current_term_only) {
            self.commit = index;
            self.apply_committed(out);
        }
        self.complete_acknowledged(out);
        if !self.is_voter() && self.records_index <= self.commit {
            // It was taken out of the group, and that is decided.
            self.step_down(self.hard.term, out);
        }
    }
}
