//! Log replication: the leader sends entries and snapshots, followers append
//! or install them, and the leader commits what a quorum holds.

use std::time::Duration;

use crate::process::control::log::{EntryLog, LogEntry, LogPosition, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{PeerProgress, ReplicaMachine, ReplicaRole};
use crate::process::control::state::ControlState;

/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 64;
/// Maximum size in bytes of the entries in one message. A single larger entry
/// is sent alone.
const MAX_BATCH_BYTES: usize = 512 * 1024;
/// Number of heartbeat intervals between two snapshots sent to the same
/// follower. The follower may be down for long and a snapshot may be large.
const SNAPSHOT_RETRY_HEARTBEATS: u32 = 10;

impl ReplicaMachine {
    /// Sends every peer its missing entries or a snapshot, or else a heartbeat.
    pub(super) fn replicate_to_all(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.heartbeat_at = now + self.timing.heartbeat;
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = peers.keys().copied().collect();
        for peer in peers {
            if !self.replicate_to(peer, now, out) {
                self.send_heartbeat(peer, out);
            }
        }
    }

    /// Does the same as [`replicate_to_all`](Self::replicate_to_all) for the
    /// voting replicas only, and leaves the heartbeat timer as it is.
    pub(super) fn replicate_to_voters(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let members = &self.members;
        let voters = peers.keys().filter(|peer| members.contains(peer));
        let voters: Vec<ReplicaId> = voters.copied().collect();
        for peer in voters {
            if !self.replicate_to(peer, now, out) {
                self.send_heartbeat(peer, out);
            }
        }
    }

    /// Sends a heartbeat without entries to a follower that waits for a
    /// snapshot.
    fn send_heartbeat(&self, peer: ReplicaId, out: &mut Vec<ReplicaAction>) {
        out.push(ReplicaAction::Send {
            to: peer,
            message: ReplicaMessage::Append {
                term: self.hard_state.term,
                previous: self.log.base(),
                entries: Vec::new(),
                commit: self.log.base().index,
                round: self.round,
            },
        });
    }

    /// Sends a follower its next entries (none if it has all), or a snapshot if
    /// those entries are compacted away. Returns whether anything was sent;
    /// nothing is sent while the next snapshot is not due.
    fn replicate_to(
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
        let previous = progress.next_index - 1;
        let Some(term) = self.log.term_at(previous) else {
            if progress.next_snapshot_at > now {
                return false;
            }
            progress.next_snapshot_at = now + self.timing.heartbeat * SNAPSHOT_RETRY_HEARTBEATS;
            let place = LogPosition {
                term: self.log.term_at(self.applied).unwrap_or_default(),
                index: self.applied,
            };
            out.push(ReplicaAction::Send {
                to: peer,
                message: ReplicaMessage::Snapshot {
                    term: self.hard_state.term,
                    place,
                    state: Box::new(self.state.clone()),
                },
            });
            return true;
        };
        let entries = self
            .log
            .entries_from(progress.next_index, MAX_BATCH_ENTRIES, MAX_BATCH_BYTES)
            .to_vec();
        // Assumes that the entries arrive. If they are lost, the follower
        // rejects the next heartbeat and names the index to resume from.
        progress.next_index += entries.len() as u64;
        out.push(ReplicaAction::Send {
            to: peer,
            message: ReplicaMessage::Append {
                term: self.hard_state.term,
                previous: LogPosition {
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

    /// Appends the leader's entries if this log contains `previous`, and
    /// advances the commit index. Returns the last index known to match the
    /// leader's log, or as an error the index that the leader should try as
    /// `previous` next.
    pub(super) fn append_entries(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
        commit: u64,
        out: &mut Vec<ReplicaAction>,
    ) -> Result<u64, u64> {
        if previous.index < self.log.base().index {
            // Entries included in the snapshot are committed and therefore match.
            return Ok(self.log.base().index);
        }
        if self.log.term_at(previous.index) != Some(previous.term) {
            let hint = previous.index.min(self.log.last().index + 1);
            return Err(hint.saturating_sub(1));
        }
        let last = previous.index + entries.len() as u64;
        for entry in entries {
            self.append_entry(entry, out);
        }
        if commit.min(last) > self.commit {
            self.commit = commit.min(last);
            self.apply_committed(out);
        }
        Ok(last)
    }

    /// Appends one entry of the leader, unless the log has it already. First
    /// removes conflicting entries of another term.
    fn append_entry(&mut self, entry: LogEntry, out: &mut Vec<ReplicaAction>) {
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => {
                self.log.truncate(entry.index);
                self.reload_members();
            }
            None => {}
        }
        out.push(ReplicaAction::PersistEntry(entry.clone()));
        self.push_entry(entry);
    }

    /// Installs a snapshot from the leader if it goes beyond this replica's
    /// commit index, and acknowledges the snapshot in any case.
    pub(super) fn install_snapshot(
        &mut self,
        from: ReplicaId,
        place: LogPosition,
        state: ControlState,
        out: &mut Vec<ReplicaAction>,
    ) {
        if place.index > self.commit {
            self.log = EntryLog::new(place, Vec::new());
            self.state = state;
            self.commit = place.index;
            self.applied = place.index;
            self.reload_members();
            out.push(ReplicaAction::PersistSnapshot {
                place,
                state: Box::new(self.state.clone()),
                is_installed: true,
            });
            out.push(ReplicaAction::StateChanged);
        }
        self.send_append_reply(from, Ok(place.index), 0, out);
    }

    /// Answers an append or a snapshot with the index that the leader should
    /// record: matched (`Ok`) or to try next (`Err`).
    pub(super) fn send_append_reply(
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
                term: self.hard_state.term,
                fitted,
                index,
                round,
            },
        });
    }

    /// Records a follower's answer in its progress, commits and confirms reads
    /// where possible, and sends the follower the entries that are still
    /// missing.
    pub(super) fn handle_append_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        index: Result<u64, u64>,
        round: u64,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard_state.term {
            return self.step_down(term, out);
        }
        if term < self.hard_state.term {
            return;
        }
        let last = self.log.last().index;
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        let Some(progress) = peers.get_mut(&from) else {
            return;
        };
        progress.last_seen_at = now;
        progress.round = progress.round.max(round);
        match index {
            Ok(index) => {
                progress.match_index = progress.match_index.max(index.min(last));
                progress.next_index = progress.next_index.max(progress.match_index + 1);
            }
            Err(index) => progress.next_index = (index + 1).max(progress.match_index + 1),
        }
        let is_behind = progress.next_index <= last;
        if let Ok(index) = index {
            self.record_commit_acknowledgement(from, index, round);
        }
        self.advance_commit(out);
        self.confirm_reads(now, out);
        if is_behind {
            self.replicate_to(from, now, out);
        }
    }

    /// Returns the highest value that a quorum has reached, or `None` if this
    /// replica does not lead. `local_value` is the value of this replica;
    /// `peer_value` reads the value of a follower.
    pub(super) fn quorum_value(
        &self,
        local_value: u64,
        peer_value: impl Fn(&PeerProgress) -> u64,
    ) -> Option<u64> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let counted = peers.iter().filter(|(peer, _)| {
            !self.safety_checks.excludes_learners || self.members.contains(peer)
        });
        let mut values: Vec<u64> = counted.map(|(_, peer)| peer_value(peer)).collect();
        if self.is_voter() {
            values.push(local_value);
        }
        values.sort_unstable();
        let position = values.len().checked_sub(self.quorum_size())?;
        Some(values[position])
    }

    /// Commits the entries that a quorum holds, and reports the proposals whose
    /// commit a quorum knows. A leader that was removed from the group steps
    /// down once the removal is committed.
    pub(super) fn advance_commit(&mut self, out: &mut Vec<ReplicaAction>) {
        let last = self.log.last().index;
        let Some(index) = self.quorum_value(last, |peer| peer.match_index) else {
            return;
        };
        let is_current_term = self.log.term_at(index) == Some(self.hard_state.term);
        if index > self.commit && (is_current_term || !self.safety_checks.commits_current_term_only)
        {
            self.commit = index;
            self.apply_committed(out);
        }
        self.complete_acknowledged(out);
        if !self.is_voter() && self.members_index <= self.commit {
            // The entry that removes this leader from the group is committed.
            self.step_down(self.hard_state.term, out);
        }
    }
}
