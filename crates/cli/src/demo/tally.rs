//! Counting what the demo's callers got.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use wheelmast_fake::checker::ViolationCounts;
use wheelmast_wire::caller::OUTCOME_NOT_RUN;
use wheelmast_wire::prelude::{AnswerBody, ProblemBody};

/// Longest latency told apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Significant digits of a latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Every shard is in the answer.
    Complete,
    /// Some shards are.
    Partial,
    /// It was refused and did not run.
    Refused,
    /// It was refused, and it may have run.
    Unknown,
    /// There was no response.
    CutOff,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct CallResult {
    /// Service asked.
    pub service: &'static str,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Shards that answered.
    pub answered: u32,
    /// Shards that were asked.
    pub asked: u32,
    /// Time from the moment the request was due.
    pub latency: Duration,
    /// Problem named in a refusal.
    pub problem: Option<String>,
    /// Identity of the request, if a response named it.
    pub request: Option<String>,
    /// Where operators reach the instance that was asked.
    pub operators: SocketAddr,
}

impl CallResult {
    /// Takes what an answer says.
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

    /// Takes what a problem says.
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

/// A slow request, to be explained.
#[derive(Debug, Clone)]
pub struct SlowCall {
    /// Service asked.
    pub service: &'static str,
    /// Identity of the request.
    pub request: String,
    /// Time it took.
    pub latency: Duration,
    /// Where operators reach the instance that was asked.
    pub operators: SocketAddr,
}

/// Counts over many requests.
#[derive(Debug)]
pub struct CallStats {
    /// Requests by how they ended.
    pub outcome_counts: HashMap<CallOutcomeKey, u64>,
    /// Latencies in microseconds.
    pub latency: Histogram<u64>,
    /// Refusals by problem.
    pub problems: BTreeMap<String, u64>,
    /// Shards asked, over all requests.
    pub asked: u64,
    coverage_sum: f64,
    coverage_count: u64,
}

/// Key of [`CallStats::outcome_counts`].
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
    /// Adds one request.
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

    /// Returns the number of requests that ended this way.
    pub fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcome_counts
            .get(&(outcome as CallOutcomeKey))
            .copied()
            .unwrap_or(0)
    }

    /// Returns the number of requests.
    pub fn total(&self) -> u64 {
        self.outcome_counts.values().sum()
    }

    /// Returns a quantile of the latency in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the mean coverage; a refusal counts as none.
    pub fn coverage_mean(&self) -> f64 {
        self.coverage_sum / self.coverage_count.max(1) as f64
    }
}

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
    fn update_slowest(&mut self, result: &CallResult) {
        let Some(request) = &result.request else {
            return;
        };
        let longest = self.slowest.as_ref().map_or(Duration::ZERO, |s| s.latency);
        // One that was sent to a single server tells little.
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

/// All counts of a demo's run.
#[derive(Debug, Default)]
pub struct RunStats {
    state: Mutex<RunStatsState>,
}

impl RunStats {
    fn state(&self) -> MutexGuard<'_, RunStatsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds one request and the promises it broke.
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

    /// Remembers a request that must have run at most once at the end.
    pub fn register_single_run(&self, term: String) {
        self.state().single_run_terms.push(term);
    }

    /// Takes the counts since the last call, for a line a second.
    pub fn take_recent(&self) -> CallStats {
        std::mem::take(&mut self.state().recent)
    }

    /// Returns the slowest request so far.
    pub fn slowest(&self) -> Option<SlowCall> {
        self.state().slowest.clone()
    }

    /// Ends the run and returns its counts.
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

/// The counts of an ended run.
#[derive(Debug)]
pub struct RunStatsResult {
    /// Over all services.
    pub all: CallStats,
    /// By service.
    pub services: BTreeMap<&'static str, CallStats>,
    /// Broken promises so far.
    pub violations: ViolationCounts,
    /// Requests that must have run at most once.
    pub single_run_terms: Vec<String>,
}
