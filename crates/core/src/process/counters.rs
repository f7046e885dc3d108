//! Event counters of the entry machine, exported as metrics and checked by
//! tests.

/// Number of events of each kind since the process started.
///
/// An attempt is one subquery sent to one server; a shard may get several.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryCounters {
    /// Requests received from callers.
    pub submitted: u64,
    /// Requests answered with all shards.
    pub complete: u64,
    /// Requests answered with some shards missing.
    pub partial: u64,
    /// Requests refused with the guarantee that no server ran them.
    pub not_run: u64,
    /// Requests refused although a server may have run them, fully or in part.
    pub unknown: u64,
    /// First attempts of a shard.
    pub sends: u64,
    /// Hedges sent: second attempts while the first is still outstanding.
    pub hedges: u64,
    /// Retries sent: attempts after a failed one.
    pub retries: u64,
    /// Attempts sent again because nothing of the previous one had been written
    /// to a connection.
    pub resends: u64,
    /// Tokens spent from the extra-load budgets.
    pub budget_spent: u64,
    /// Hedges and retries that were not sent because the budget was empty.
    pub budget_denied: u64,
    /// Attempts cancelled by this instance.
    pub cancels: u64,
    /// Attempts that timed out.
    pub timeouts: u64,
    /// Attempts that the server refused to run (load shedding).
    pub sheds: u64,
    /// Attempts that failed: nothing was written, no readable reply was received, or
    /// they timed out.
    pub failures: u64,
    /// Replies dropped because their attempt had already ended.
    pub drops_late: u64,
    /// Replies dropped because they carried the identity of another attempt or
    /// request.
    pub drops_foreign: u64,
    /// Replies dropped because they were for another shard.
    pub drops_shard: u64,
    /// Replies dropped because they were computed on another snapshot.
    pub drops_snapshot: u64,
    /// Queries started again on another snapshot.
    pub restarts: u64,
    /// Attempts sent again, without spending budget, because the server or its
    /// failure domain was ejected.
    pub rescues: u64,
    /// Times that a whole failure domain was suspected to be unreachable.
    pub suspicions: u64,
    /// Times that a server was ejected (excluded for a while).
    pub ejections: u64,
    /// Server announcements accepted.
    pub announcements: u64,
    /// Server announcements ignored because they were outdated or invalid.
    pub stale_announcements: u64,
}
