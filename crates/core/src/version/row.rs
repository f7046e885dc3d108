//! A row of the service table: the settings of one service.

use std::time::Duration;

use crate::request::merge::MergeRule;

/// Kind of request that a service accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Sends a subquery to every shard and merges the replies.
    Query,
    /// Reads one key from the shard that holds it.
    Fetch,
    /// Must run at most once, so it is sent to one server.
    NonRepeatable,
}

/// What takes priority when not all shards have answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPriority {
    /// Response time: a partial answer is sent after
    /// [`ServiceRow::partial_after`].
    Time,
    /// Coverage: the answer waits for all shards until the deadline.
    Coverage,
}

/// How to handle a submission with an idempotency key while no quorum of the
/// control group is reachable.
///
/// With a quorum, the control group fences the submission: it records a claim on
/// the key, so that no other entry runs the same submission again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnfencedRule {
    /// Refuses the submission without running it.
    Refuse,
    /// Runs the submission without a fence, so it may run again in another failure
    /// domain.
    Run,
}

/// Settings of one service. [`column`](crate::version::column) holds the allowed
/// ranges and the defaults.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRow {
    /// Name of the service, as callers use it.
    pub service: Box<str>,
    /// Kind of request that the service accepts.
    pub kind: RequestKind,
    /// Name under which the servers of this service announce themselves.
    pub upstream: Box<str>,
    /// Weight of the service when an instance's capacity is shared among services.
    pub weight: u32,
    /// Maximum number of requests of the service in progress in one instance.
    pub in_flight: u32,
    /// Maximum number of requests of the service queued in one instance.
    pub queue: u32,
    /// Time that a request may take if the caller sets no deadline.
    pub deadline: Duration,
    /// Minimum fraction of the shards that an answer must cover (0 to 1).
    pub coverage_floor: f64,
    /// Whether response time or coverage takes priority.
    pub first: AnswerPriority,
    /// Time after which a partial answer is sent if response time takes priority.
    pub partial_after: Duration,
    /// Quantile of the observed subquery latency after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Extra-load budget that each subquery adds, in extra subqueries (hedges and
    /// retries), 0 to 1.
    pub extra_load: f64,
    /// Maximum number of repeated sends for one shard of one request.
    pub retries: u32,
    /// How the hits of the shards are merged into one list.
    pub merge: MergeRule,
    /// Maximum number of hits in an answer; 0 means no limit.
    pub limit: u32,
    /// How to handle submissions with an idempotency key without a quorum.
    pub unfenced: UnfencedRule,
}
