//! The replicated log as a replica holds it.

use serde::{Deserialize, Serialize};

use crate::process::control::state::ControlCommand;

/// Identity of a replica: the name of its instance and a number drawn when its
/// data folder was made. A replica that lost its disk is another one.
pub type ReplicaId = u64;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term in which it was proposed.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it does.
    pub command: ControlCommand,
}

/// What a replica must not forget besides its log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// A place in the log and the term of the entry there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the entry.
    pub term: u64,
    /// Its index.
    pub index: u64,
}

/// The entries after the last snapshot.
#[derive(Debug, Clone, Default)]
pub struct EntryLog {
    base: LogPosition,
    entries: Vec<LogEntry>,
    /// Bytes of all entries.
    bytes: usize,
}

impl EntryLog {
    /// Returns a log that starts after `base`.
    pub fn new(base: LogPosition, entries: Vec<LogEntry>) -> EntryLog {
        let bytes = total_bytes(&entries);
        EntryLog {
            base,
            entries,
            bytes,
        }
    }

    /// Returns the place of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.base, |entry| LogPosition {
            term: entry.term,
            index: entry.index,
        })
    }

    /// Returns the place the log starts after.
    pub fn base(&self) -> LogPosition {
        self.base
    }

    /// Returns the term of the entry at `index`, if the log still knows it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`.
    pub fn get(&self, index: u64) -> Option<&LogEntry> {
        let place = index.checked_sub(self.base.index + 1)?;
        self.entries.get(place as usize)
    }

    /// Returns entries from `index` on: at most `count`, and of at most `bytes`
    /// together unless the first alone has more.
    pub fn entries_from(&self, index: u64, count: usize, bytes: usize) -> &[LogEntry] {
        let start = index.saturating_sub(self.base.index + 1) as usize;
        let start = start.min(self.entries.len());
        let mut end = start;
        let mut sum = 0;
        for entry in self.entries[start..].iter().take(count) {
            sum += entry.command.bytes();
            if sum > bytes && end > start {
                break;
            }
            end += 1;
        }
        &self.entries[start..end]
    }

    /// Adds an entry at the end.
    pub fn push(&mut self, entry: LogEntry) {
        self.bytes += entry.command.bytes();
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base.index + 1) as usize;
        let keep = keep.min(self.entries.len());
        self.bytes -= total_bytes(&self.entries[keep..]);
        self.entries.truncate(keep);
    }

    /// Drops the entries up to `place`, which a snapshot covers.
    pub fn compact(&mut self, place: LogPosition) {
        let dropped = place.index.saturating_sub(self.base.index) as usize;
        let dropped = dropped.min(self.entries.len());
        self.bytes -= total_bytes(&self.entries[..dropped]);
        self.entries.drain(..dropped);
        self.base = place;
    }

    /// Returns the bytes of all entries held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether no entry is held.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

fn total_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(|entry| entry.command.bytes()).sum()
}
