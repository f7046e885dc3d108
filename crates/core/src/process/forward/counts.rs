//! Counters of the forward machine since the process started, read for metrics.

/// Counters of one service since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UpstreamCounts {
    /// Attempts sent to the service's servers.
    pub sends: u64,
    /// Retries and hedges among these attempts.
    pub extras: u64,
    /// Attempts that ended without a usable answer.
    pub losses: u64,
}

/// Counters of all requests of an entry since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ForwardCounters {
    /// Requests received.
    pub calls: u64,
    /// Requests answered completely: by one server, or by all shards.
    pub whole: u64,
    /// Requests answered with some shards omitted.
    pub partial: u64,
    /// Requests refused or failed without a server's answer.
    pub failed: u64,
    /// Requests whose caller closed the connection before the answer.
    pub left: u64,
    /// First attempts sent.
    pub sends: u64,
    /// Retries sent after a failed attempt.
    pub retries: u64,
    /// Hedges sent beside a slow attempt.
    pub hedges: u64,
    /// Relays sent: attempts with several parts that went to another entry.
    pub relays: u64,
    /// Relays that were not acknowledged in time and whose parts were sent
    /// elsewhere.
    pub rerouted_relays: u64,
    /// Retries and hedges not sent because the budget for extra load was spent.
    pub denied_repeats: u64,
    /// Requests refused because their workspace was over its share.
    pub over_share: u64,
    /// Trials of quarantined requests.
    pub trials: u64,
    /// Attempts cancelled after their request ended.
    pub cancels: u64,
    /// Attempts whose connection broke while the server had the request.
    pub broken: u64,
    /// Of these, those whose server ended.
    pub ended_breaks: u64,
    /// Of these, those whose server lost the answer and stayed alive.
    pub lost_answers: u64,
    /// Of these, those whose server could no longer be reached.
    pub unreachable_breaks: u64,
    /// New connections that a server reset before a request was written.
    pub connection_resets: u64,
}
