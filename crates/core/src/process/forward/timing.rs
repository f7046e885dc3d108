//! Service times of a route's servers and the deadlines of its requests.
//!
//! [`RouteTiming`] keeps a histogram of the service times of a route's servers
//! and the timeouts of its recent callers. From these it derives the hedge
//! delay and, for each request, its [`AnswerDeadlines`].

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::latency::LatencyWindow;
use crate::version::route_table::RouteRule;

/// Quantile of the service times that is used as the hedge delay.
const HEDGE_DELAY_QUANTILE: f64 = 0.9;
/// Minimum hedge delay, as a fraction of the route's objective.
const MIN_HEDGE_DELAY_FRACTION: f64 = 0.08;
/// Maximum hedge delay, as a fraction of the route's objective.
const MAX_HEDGE_DELAY_FRACTION: f64 = 0.45;
/// Hedge delay while there are too few samples, as a fraction of the objective.
const DEFAULT_HEDGE_DELAY_FRACTION: f64 = 0.3;
/// Minimum time reserved for merging the parts and returning the answer.
const MIN_MERGE_MARGIN: Duration = Duration::from_millis(8);
/// Additional time reserved for merging, as a fraction of the objective.
const MERGE_MARGIN_FRACTION: f64 = 0.08;
/// Time reserved for returning an answer before the caller's timeout.
const CALLER_RETURN_MARGIN: Duration = Duration::from_millis(30);
/// Service time assumed while there are too few samples, as a fraction of the
/// objective.
const DEFAULT_SERVICE_TIME_FRACTION: f64 = 0.15;

/// Number of recent caller timeouts that are kept per route.
const TIMEOUTS_KEPT: usize = 16;
/// Number of equal timeouts among those kept that makes a timeout count as
/// common.
const MIN_EQUAL_TIMEOUTS: usize = 2;
/// Response time of another entry that is assumed while there are too few
/// samples.
const DEFAULT_RELAY_TIME: Duration = Duration::from_millis(60);

/// Response times and caller timeouts of one route, as measured by this
/// instance.
#[derive(Debug, Clone, Default)]
pub struct RouteTiming {
    service_times: LatencyWindow,
    caller_timeouts: CallerTimeouts,
}

/// The timeouts that recent callers of a route sent with their requests.
#[derive(Debug, Clone, Default)]
struct CallerTimeouts {
    recent: VecDeque<Duration>,
}

impl CallerTimeouts {
    /// Records a caller's timeout and returns the usual timeout of the route's
    /// callers: the longest one that occurred at least [`MIN_EQUAL_TIMEOUTS`]
    /// times, or else the longest one, but at least `timeout`.
    ///
    /// A caller that retries sends the time it has left, which is shorter and
    /// differs each time, so retries do not determine the usual timeout. A timeout
    /// above the route's time limit `limit` is not recorded, because it says
    /// nothing about the other callers.
    fn record_and_get_usual(&mut self, timeout: Duration, limit: Duration) -> Duration {
        if timeout > limit {
            return timeout;
        }
        if self.recent.len() == TIMEOUTS_KEPT {
            self.recent.pop_front();
        }
        self.recent.push_back(timeout);
        let is_common = |time: &&Duration| {
            let equal = self.recent.iter().filter(|other| other == time);
            equal.count() >= MIN_EQUAL_TIMEOUTS
        };
        let usual = self.recent.iter().filter(is_common).max();
        let usual = usual.or_else(|| self.recent.iter().max());
        usual.copied().unwrap_or(timeout).max(timeout)
    }
}

impl RouteTiming {
    /// Records the service time of a request: the response time without the
    /// network round trip.
    pub fn add(&mut self, service_time: Duration) {
        self.service_times.add(service_time);
    }

    /// Returns the median service time of the route's servers.
    pub fn typical(&self, route: &RouteRule) -> Duration {
        let median = self.service_times.median();
        median.unwrap_or_else(|| route.objective().mul_f64(DEFAULT_SERVICE_TIME_FRACTION))
    }

    /// Returns the median response time of other entries. Used with the timing
    /// under which requests relayed to other entries are recorded.
    pub fn median_relay_time(&self) -> Duration {
        self.service_times.median().unwrap_or(DEFAULT_RELAY_TIME)
    }

    /// Returns how long to wait for a server before a hedge (a second attempt at
    /// another server) is sent.
    pub fn hedge_delay(&self, route: &RouteRule) -> Duration {
        let objective = route.objective();
        let delay = self.service_times.quantile(HEDGE_DELAY_QUANTILE);
        let delay = delay.unwrap_or_else(|| objective.mul_f64(DEFAULT_HEDGE_DELAY_FRACTION));
        delay.clamp(
            objective.mul_f64(MIN_HEDGE_DELAY_FRACTION),
            objective.mul_f64(MAX_HEDGE_DELAY_FRACTION),
        )
    }

    /// Computes the deadlines of a request that arrived at `now` and whose
    /// caller waits for `time_left`, if it sent a timeout.
    pub fn compute_deadlines(
        &mut self,
        route: &RouteRule,
        time_left: Option<Duration>,
        now: Duration,
    ) -> AnswerDeadlines {
        let timeout = time_left.unwrap_or_else(|| route.time_limit());
        // A caller's retry has less time left than the usual timeout. The time
        // that its earlier attempts took is subtracted from the objective.
        let spent = self
            .caller_timeouts
            .record_and_get_usual(timeout, route.time_limit())
            - timeout;
        let objective = route.objective().saturating_sub(spent);
        let margin = MIN_MERGE_MARGIN + route.objective().mul_f64(MERGE_MARGIN_FRACTION);
        let limit = timeout.min(route.time_limit());
        AnswerDeadlines {
            objective: now + objective,
            soft_deadline: now + objective.saturating_sub(margin),
            hard_deadline: now + limit.saturating_sub(CALLER_RETURN_MARGIN.min(limit / 4)),
            caller_deadline: now + limit,
        }
    }
}

/// The points in time until which a request should or must be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerDeadlines {
    /// End of the route's objective: an answer after it counts as late.
    pub objective: Duration,
    /// Latest time at which to send an answer that reaches the caller within
    /// the objective.
    pub soft_deadline: Duration,
    /// Latest time at which to send an answer that reaches the caller before
    /// its timeout.
    pub hard_deadline: Duration,
    /// When the caller's timeout, or the route's time limit, expires.
    pub caller_deadline: Duration,
}
