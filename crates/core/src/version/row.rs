//! One row of the service table: how one service is treated.

use std::time::Duration;

use crate::request::merge::MergeRule;

/// The kind of request a service takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Searches every shard.
    Query,
    /// Reads one key from the shard that holds it.
    Fetch,
    /// Must run at most once; sent to one server.
    NonRepeatable,
}

/// What goes first when not all shards have answered in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPriority {
    /// A partial answer goes out at the row's partial time.
    Time,
    /// The answer waits for all shards until the deadline.
    Coverage,
}

/// What happens to a submission with an idempotency key while no quorum of the
/// control group is in reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnfencedRule {
    /// It is refused, not run.
    Refuse,
    /// It is run without the fence: it may run again in another failure
    /// domain.
    Run,
}

/// How one service is treated. Ranges and defaults are in
/// [`column`](crate::version::column).
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceRow {
    /// Name of the service, as callers use it.
    pub service: Box<str>,
    /// Kind of request.
    pub kind: RequestKind,
    /// Name under which the servers of this service announce themselves.
    pub upstream: Box<str>,
    /// Share of an instance's capacity against the other services.
    pub weight: u32,
    /// Most requests of the service at work in one instance.
    pub in_flight: u32,
    /// Most requests of the service waiting in one instance.
    pub queue: u32,
    /// Time a request may take when its caller names none.
    pub deadline: Duration,
    /// Least fraction of the shards that makes an answer (0 to 1).
    pub coverage_floor: f64,
    /// What goes first, time or coverage.
    pub first: AnswerPriority,
    /// When a partial answer goes out, if time goes first.
    pub partial_after: Duration,
    /// Quantile of observed subquery latency after which a hedge is sent.
    pub hedge_quantile: f64,
    /// Extra subqueries (hedges and retries) a subquery earns (0 to 1).
    pub extra_load: f64,
    /// Most repeated sends for one shard of one request.
    pub retries: u32,
    /// How the hits of the shards become one list.
    pub merge: MergeRule,
    /// Most hits in an answer; 0 means no bound.
    pub limit: u32,
    /// What happens to keyed submissions without a quorum.
    pub unfenced: UnfencedRule,
}
