//! What is known of a route's times, and when a request should be answered.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::latency::LatencyWindow;
use crate::version::route_table::RouteRule;

/// Quantile of the work times after which an attempt counts as slow.
const SLOW_QUANTILE: f64 = 0.9;
/// Earliest hedge, as a part of the objective.
const EARLIEST_HEDGE: f64 = 0.08;
/// Latest hedge, as a part of the objective.
const LATEST_HEDGE: f64 = 0.45;
/// Hedge delay before there are samples, as a part of the objective.
const FIRST_HEDGE: f64 = 0.3;
/// Least time kept for the way back and for merging.
const LEAST_MARGIN: Duration = Duration::from_millis(8);
/// Further time kept for merging, as a part of the objective.
const MARGIN: f64 = 0.08;
/// Time kept for a last answer before the limit.
const LIMIT_MARGIN: Duration = Duration::from_millis(30);
/// Work time before there are samples, as a part of the objective.
const FIRST_WORK: f64 = 0.15;

/// Callers whose times are remembered.
const GIVEN_KEPT: usize = 16;
/// Least number of them that gave what counts as usual.
const LEAST_SAME: usize = 2;
/// Time that another entry takes before there are samples.
const FIRST_RELAY: Duration = Duration::from_millis(60);

/// Times of a route, as seen by this instance.
#[derive(Debug, Clone, Default)]
pub struct RouteTiming {
    work: LatencyWindow,
    given: GivenTimes,
}

/// The times that the last callers gave.
#[derive(Debug, Clone, Default)]
struct GivenTimes {
    last: VecDeque<Duration>,
}

impl GivenTimes {
    /// Adds the time that a caller gave, and returns what callers usually give:
    /// the longest time that several of the last gave, if any did. A caller that
    /// comes back has less, each time another. What is over the route's limit
    /// says nothing of the others.
    fn usual(&mut self, given: Duration, limit: Duration) -> Duration {
        if given > limit {
            return given;
        }
        if self.last.len() == GIVEN_KEPT {
            self.last.pop_front();
        }
        self.last.push_back(given);
        let is_usual = |time: &&Duration| {
            let same = self.last.iter().filter(|other| other == time);
            same.count() >= LEAST_SAME
        };
        let usual = self.last.iter().filter(is_usual).max();
        let usual = usual.or_else(|| self.last.iter().max());
        usual.copied().unwrap_or(given).max(given)
    }
}

impl RouteTiming {
    /// Adds a time that a server took, without the way there and back.
    pub fn add(&mut self, work: Duration) {
        self.work.add(work);
    }

    /// Returns the median time a server takes.
    pub fn typical(&self, route: &RouteRule) -> Duration {
        let median = self.work.median();
        median.unwrap_or_else(|| route.objective().mul_f64(FIRST_WORK))
    }

    /// Returns the median time that another entry takes.
    pub fn median_relay_time(&self) -> Duration {
        self.work.median().unwrap_or(FIRST_RELAY)
    }

    /// Returns the time after which a server counts as slow.
    pub fn hedge_delay(&self, route: &RouteRule) -> Duration {
        let objective = route.objective();
        let slow = self.work.quantile(SLOW_QUANTILE);
        let slow = slow.unwrap_or_else(|| objective.mul_f64(FIRST_HEDGE));
        slow.clamp(
            objective.mul_f64(EARLIEST_HEDGE),
            objective.mul_f64(LATEST_HEDGE),
        )
    }

    /// Works out when a request that arrived at `now` should be answered.
    pub fn plan(
        &mut self,
        route: &RouteRule,
        time_left: Option<Duration>,
        now: Duration,
    ) -> AnswerDeadlines {
        let given = time_left.unwrap_or_else(|| route.time_limit());
        // A repeat of the caller comes with less time than usual: what is
        // gone counts against the objective.
        let spent = self.given.usual(given, route.time_limit()) - given;
        let objective = route.objective().saturating_sub(spent);
        let margin = LEAST_MARGIN + route.objective().mul_f64(MARGIN);
        let limit = given.min(route.time_limit());
        AnswerDeadlines {
            objective: now + objective,
            soft_deadline: now + objective.saturating_sub(margin),
            hard_deadline: now + limit.saturating_sub(LIMIT_MARGIN.min(limit / 4)),
            caller_deadline: now + limit,
        }
    }
}

/// When a request should be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerDeadlines {
    /// When the objective is over.
    pub objective: Duration,
    /// The last moment at which an answer is in time.
    pub soft_deadline: Duration,
    /// The last moment at which an answer reaches a caller that waits.
    pub hard_deadline: Duration,
    /// When the caller's time is over.
    pub caller_deadline: Duration,
}
