//! What the fake servers really did, whatever an instance believes.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wheelmast_core::prelude::SnapshotId;

/// Time after an announced leave within which new work is still allowed.
pub const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// A shard that was really searched for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SearchedShard {
    /// The shard.
    pub shard: u32,
    /// The snapshot.
    pub snapshot: SnapshotId,
}

#[derive(Debug, Default)]
struct LedgerState {
    searched: HashMap<String, HashSet<SearchedShard>>,
    runs: HashMap<String, u32>,
    subqueries: u64,
    cancelled: u64,
    refused_connections: u64,
    work_after_leaving: u64,
}

/// What the fake servers did since the ledger was made.
#[derive(Debug, Default)]
pub struct FakeLedger {
    state: Mutex<LedgerState>,
}

impl FakeLedger {
    fn state(&self) -> MutexGuard<'_, LedgerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a subquery that arrived; `leaving_for` is how long ago the
    /// server announced its leave, if it did.
    pub fn arrived(&self, leaving_for: Option<Duration>) {
        let mut state = self.state();
        state.subqueries += 1;
        if leaving_for.is_some_and(|period| period > LEAVING_GRACE) {
            state.work_after_leaving += 1;
        }
    }

    /// Counts the begin of a run for the caller's term.
    pub fn began(&self, term: &str) {
        *self.state().runs.entry(term.to_string()).or_default() += 1;
    }

    /// Records that a shard was searched for a request.
    pub fn searched(&self, request: &str, searched: SearchedShard) {
        let mut state = self.state();
        let shards = state.searched.entry(request.to_string()).or_default();
        shards.insert(searched);
    }

    /// Counts a subquery that ended because its instance went away.
    pub fn cancelled(&self) {
        self.state().cancelled += 1;
    }

    /// Counts a connection over a server's limit.
    pub fn refused_connection(&self) {
        self.state().refused_connections += 1;
    }

    /// Tells whether a shard was really searched for a request.
    pub fn was_searched(&self, request: &str, searched: &SearchedShard) -> bool {
        let state = self.state();
        let shards = state.searched.get(request);
        shards.is_some_and(|shards| shards.contains(searched))
    }

    /// Returns how often a term was run.
    pub fn runs(&self, term: &str) -> u32 {
        self.state().runs.get(term).copied().unwrap_or(0)
    }

    /// Returns the number of subqueries that arrived.
    pub fn subqueries(&self) -> u64 {
        self.state().subqueries
    }

    /// Returns the number of subqueries that were cancelled at work.
    pub fn cancellations(&self) -> u64 {
        self.state().cancelled
    }

    /// Returns the number of connections refused for a server's limit.
    pub fn refused_connections(&self) -> u64 {
        self.state().refused_connections
    }

    /// Returns the number of subqueries that came to a server long after it
    /// announced that it leaves.
    pub fn work_after_leaving(&self) -> u64 {
        self.state().work_after_leaving
    }
}
