//! The log entries that a replica holds in memory after its last snapshot, and
//! the types that identify entries and replicas.

use serde::{Deserialize, Serialize};

use crate::process::control::state::ControlCommand;

/// Identity of a replica, made from the name of its instance and a random number
/// drawn when its data folder was created. An instance that lost its disk gets
/// a new identity.
pub type ReplicaId = u64;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term in which the leader appended the entry.
    pub term: u64,
    /// Position of the entry in the log; the first entry has index 1.
    pub index: u64,
    /// Command that is applied to the state once the entry is committed.
    pub command: ControlCommand,
}

/// Term and vote of a replica. Both must be on disk before the replica answers,
/// as in Raft.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that this replica has seen.
    pub term: u64,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// Index of a log entry and the term of that entry. Positions are ordered by
/// term first, so that of two logs the one with the greater last position is
/// more up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Index of the entry.
    pub index: u64,
}

/// The log entries after the last snapshot.
#[derive(Debug, Clone, Default)]
pub struct EntryLog {
    /// Position of the last entry included in the snapshot.
    base: LogPosition,
    entries: Vec<LogEntry>,
    /// Total size of the commands in `entries`, in bytes.
    bytes: usize,
}

impl EntryLog {
    /// Creates a log whose entries follow the entry at `base`.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> EntryLog {
        let bytes = total_bytes(&entries);
        EntryLog {
            base,
            entries,
            bytes,
        }
    }

    /// Returns the position of the last entry, or of the snapshot if the log holds
    /// no entries.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the position of the last entry included in the snapshot.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the term of the entry at `index`, or `None` if that entry is
    /// compacted away or does not exist yet.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if the log holds that entry.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the entries from `index` on: at most `count` entries with a total
    /// of at most `bytes`. The first entry is returned even if its size alone
    /// exceeds `bytes`.
    pub fn entries_from(&self, index: u64, count: usize, bytes: usize) -> &[LogEntry] {
        let start = index.saturating_sub(self.base.index + 1) as usize;
        let start = start.min(self.entries.len());
        let mut end = start;
        let mut total = 0;
        for entry in self.entries[start..].iter().take(count) {
            total += entry.command.bytes();
            if total > bytes && end > start {
                break;
            }
            end += 1;
        }
        &self.entries[start..end]
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: LogEntry) {
        self.bytes += entry.command.bytes();
        self.entries.push(entry);
    }

    /// Removes the entry at `index` and all later entries.
    pub fn truncate(&mut self, index: u64) {
        let kept_count = index.saturating_sub(self.base.index + 1) as usize;
        let kept_count = kept_count.min(self.entries.len());
        self.bytes -= total_bytes(&self.entries[kept_count..]);
        self.entries.truncate(kept_count);
    }

    /// Removes the entries up to and including `position`, which a snapshot now
    /// includes.
    pub fn compact(&mut self, position: LogPosition) {
        let dropped_count = position.index.saturating_sub(self.base.index) as usize;
        let dropped_count = dropped_count.min(self.entries.len());
        self.bytes -= total_bytes(&self.entries[..dropped_count]);
        self.entries.drain(..dropped_count);
        self.base = position;
    }

    /// Returns the total size of the commands in the log, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of entries in the log.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log holds no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Returns the total size of the commands in `entries`, in bytes.
fn total_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(|entry| entry.command.bytes()).sum()
}
