//! Statistics of requests as the demo's callers see them: outcomes, latency,
//! coverage and violations of guarantees.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use wheelmast_fake::checker::ViolationCounts;
use wheelmast_wire::caller::OUTCOME_NOT_RUN;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

/// Upper bound of the latency histogram in microseconds. Longer latencies are
/// recorded as this value.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant decimal digits that the latency histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The answer includes every shard.
    Complete,
    /// The answer omits at least one shard.
    Partial,
    /// The request was refused and did not run.
    Refused,
    /// The request was refused but may have run.
    Unknown,
    /// No usable response arrived.
    CutOff,
}

/// Result of one request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Name of the service that was called.
    pub service: &'static str,
    /// Outcome of the request.
    pub outcome: CallOutcome,
    /// Number of shards that answered.
    pub answered: u32,
    /// Number of shards that the request covers.
    pub asked: u32,
    /// Time from the moment the request was due until its response.
    pub latency: Duration,
    /// Title of the problem in a refusal.
    pub problem: Option<String>,
    /// Request id, if the response contains one.
    pub request: Option<String>,
    /// Operator address of the instance that the request was sent to.
    pub operators: SocketAddr,
}

impl CallResult {
    /// Records the request id, coverage and outcome of an answer.
    pub fn record_answer(&mut self, answer: &AnswerBody) {
        self.request = Some(answer.request.clone());
        self.answered = answer.coverage.answered;
        self.asked = answer.coverage.asked;
        self.outcome = if answer.coverage.missing.is_empty() {
            CallOutcome::Complete
        } else {
            CallOutcome::Partial
        };
    }

    /// Records the request id, coverage, title and outcome of a refusal.
    pub fn record_problem(&mut self, problem: &ProblemBody) {
        if let Some(coverage) = &problem.coverage {
            self.asked = coverage.asked;
            self.answered = coverage.answered;
        }
        self.request = problem.request.clone();
        self.problem = Some(problem.title.clone());
        self.outcome = if problem.outcome == OUTCOME_NOT_RUN {
            CallOutcome::Refused
        } else {
            CallOutcome::Unknown
        };
    }
}

/// The slowest request so far, with all that is needed to fetch its decisions.
#[derive(Debug, Clone)]
pub struct SlowCall {
    /// Name of the service that was called.
    pub service: &'static str,
    /// Request id.
    pub request: String,
    /// Latency of the request.
    pub latency: Duration,
    /// Operator address of the instance that the request was sent to.
    pub operators: SocketAddr,
}

/// Statistics over many requests.
#[derive(Debug)]
pub struct CallStats {
    /// Number of requests by outcome.
    pub outcome_counts: HashMap<CallOutcomeKey, u64>,
    /// Histogram of latencies in microseconds.
    pub latency: Histogram<u64>,
    /// Number of refusals by the title of the problem.
    pub problems: BTreeMap<String, u64>,
    /// Sum of the shards that the requests cover.
    pub asked: u64,
    coverage_sum: f64,
    coverage_count: u64,
}

/// Key of [`CallStats::outcome_counts`]: a [`CallOutcome`] as a number.
pub type CallOutcomeKey = u8;

impl Default for CallStats {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        CallStats {
            outcome_counts: HashMap::new(),
            latency: latency.expect("the bounds are constants that fit"),
            problems: BTreeMap::new(),
            asked: 0,
            coverage_sum: 0.0,
            coverage_count: 0,
        }
    }
}

impl CallStats {
    /// Adds the result of one request.
    pub fn add(&mut self, result: &CallResult) {
        *self
            .outcome_counts
            .entry(result.outcome as CallOutcomeKey)
            .or_default() += 1;
        self.latency
            .saturating_record(result.latency.as_micros().max(1) as u64);
        if let Some(problem) = &result.problem {
            *self.problems.entry(problem.clone()).or_default() += 1;
        }
        self.asked += u64::from(result.asked);
        let is_answer = matches!(result.outcome, CallOutcome::Complete | CallOutcome::Partial);
        let fraction = f64::from(result.answered) / f64::from(result.asked.max(1));
        self.coverage_sum += if is_answer { fraction } else { 0.0 };
        self.coverage_count += 1;
    }

    /// Returns the number of requests with the given outcome.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcome_counts
            .get(&(outcome as CallOutcomeKey))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of all requests.
    pub fn total(&self) -> u64 {
        self.outcome_counts.values().sum()
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the mean coverage (0 to 1). A refusal counts as 0.
    pub fn coverage_mean(&self) -> f64 {
        self.coverage_sum / self.coverage_count.max(1) as f64
    }
}

/// Statistics behind the lock of [`RunStats`].
#[derive(Debug, Default)]
struct RunStatsState {
    all: CallStats,
    services: BTreeMap<&'static str, CallStats>,
    recent: CallStats,
    violations: ViolationCounts,
    single_run_terms: Vec<String>,
    slowest: Option<SlowCall>,
}

impl RunStatsState {
    /// Replaces the slowest request if `result` took longer.
    fn update_slowest(&mut self, result: &CallResult) {
        let Some(request) = &result.request else {
            return;
        };
        let longest = self.slowest.as_ref().map_or(Duration::ZERO, |s| s.latency);
        // A request for a single shard is skipped: its trace shows few decisions.
        if result.asked > 1 && result.latency > longest {
            self.slowest = Some(SlowCall {
                service: result.service,
                request: request.clone(),
                latency: result.latency,
                operators: result.operators,
            });
        }
    }
}

/// Statistics of a demo run, shared by all of its callers.
#[derive(Debug, Default)]
pub struct RunStats {
    state: Mutex<RunStatsState>,
}

impl RunStats {
    fn state(&self) -> MutexGuard<'_, RunStatsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the result of one request. `check` adds the violations found in its
    /// response.
    pub fn add(&self, result: &CallResult, check: impl FnOnce(&mut ViolationCounts)) {
        let mut state = self.state();
        state.all.add(result);
        state.recent.add(result);
        let service = state.services.entry(result.service).or_default();
        service.add(result);
        state.update_slowest(result);
        if result.outcome == CallOutcome::CutOff {
            state.violations.cut_off += 1;
        }
        check(&mut state.violations);
    }

    /// Registers the search term of a request that must not run more than once.
    /// This is checked after the run.
    pub fn register_single_run(&self, term: String) {
        self.state().single_run_terms.push(term);
    }

    /// Returns the statistics since the previous call and resets them.
    pub fn take_recent(&self) -> CallStats {
        std::mem::take(&mut self.state().recent)
    }

    /// Returns the slowest request so far.
    pub fn slowest(&self) -> Option<SlowCall> {
        self.state().slowest.clone()
    }

    /// Returns the final statistics of the run.
    pub fn finish(self) -> RunStatsResult {
        let state = self.state.into_inner();
        let state = state.unwrap_or_else(PoisonError::into_inner);
        RunStatsResult {
            all: state.all,
            services: state.services,
            violations: state.violations,
            single_run_terms: state.single_run_terms,
        }
    }
}

/// Final statistics of a run.
#[derive(Debug)]
pub struct RunStatsResult {
    /// Statistics over all services.
    pub all: CallStats,
    /// Statistics of each service.
    pub services: BTreeMap<&'static str, CallStats>,
    /// Violations found while the run was going on.
    pub violations: ViolationCounts,
    /// Search terms of the requests that must not run more than once.
    pub single_run_terms: Vec<String>,
}
