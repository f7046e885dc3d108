//! What a forward machine counts since its start.

/// Counts of a service since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Sends to its servers.
    pub sends: u64,
    /// Those beyond the first of a request.
    pub extras: u64,
    /// Sends that brought no answer that could be used.
    pub losses: u64,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ForwardCounters {
    /// Requests taken.
    pub calls: u64,
    /// Answers of a server, or of all shards.
    pub whole: u64,
    /// Answers without some of the shards.
    pub partial: u64,
    /// Requests that got no server's answer.
    pub failed: u64,
    /// Callers that left.
    pub left: u64,
    /// First sends.
    pub sends: u64,
    /// Sends after a failure.
    pub retries: u64,
    /// Sends beside a slow one.
    pub hedges: u64,
    /// Requests passed on to an entry nearer to the shards.
    pub relays: u64,
    /// Entries that were late with a request, whose parts were asked for
    /// elsewhere.
    pub rerouted_relays: u64,
    /// Repeats that the bound on extra load did not allow.
    pub denied_repeats: u64,
    /// Attempts whose connection was closed.
    pub cancels: u64,
    /// Attempts that a server broke off.
    pub broken: u64,
}
