//! Report of a demo run, as JSON fields and as a printed table.

use serde::Serialize;
use wheelmast_fake::checker::ViolationCounts;
use wheelmast_wire::prelude::DecisionLine;

use crate::demo::tally::{CallOutcome, CallStats};

/// Request counts, latency and coverage of one service or of all services.
#[derive(Debug, Clone, Serialize)]
pub struct CountReport {
    /// Number of requests made.
    pub queries: u64,
    /// Answers that include every shard.
    pub complete: u64,
    /// Answers that omit at least one shard.
    pub partial: u64,
    /// Refusals that state that the request was not run.
    pub refused: u64,
    /// Refusals of requests that may have run.
    pub unknown: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Mean coverage: fraction (0 to 1) of the shards that answered. A refusal
    /// counts as 0.
    pub coverage_mean: f64,
}

impl CountReport {
    /// Creates the report from the collected statistics.
    pub fn new(stats: &CallStats) -> CountReport {
        CountReport {
            queries: stats.total(),
            complete: stats.count(CallOutcome::Complete),
            partial: stats.count(CallOutcome::Partial),
            refused: stats.count(CallOutcome::Refused),
            unknown: stats.count(CallOutcome::Unknown),
            p50_ms: stats.quantile_ms(0.5),
            p99_ms: stats.quantile_ms(0.99),
            coverage_mean: stats.coverage_mean(),
        }
    }
}

/// Counts of one service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Counts over the service's requests.
    #[serde(flatten)]
    pub counts: CountReport,
}

/// Trace of the slowest request: the decisions that its entry instance made.
#[derive(Debug, Clone, Serialize)]
pub struct SlowRequestTrace {
    /// Name of the service that was called.
    pub service: String,
    /// Request id.
    pub request: String,
    /// Latency of the request in milliseconds.
    pub latency_ms: f64,
    /// Decisions in the order of time; empty if the request was not sampled.
    pub decisions: Vec<DecisionLine>,
}

/// Report of one run with one routing policy.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// Name of the fake deployment.
    pub deployment: String,
    /// Name of the routing policy.
    pub policy: String,
    /// Names of the injected faults.
    pub faults: Vec<String>,
    /// Counts over all services.
    #[serde(flatten)]
    pub counts: CountReport,
    /// Extra subqueries (beyond one per requested shard), divided by the number of
    /// requested shards.
    pub extra_load_ratio: f64,
    /// Number of subqueries that reached the fake servers.
    pub subqueries: u64,
    /// Number of subqueries cancelled while a fake server was running them.
    pub cancelled: u64,
    /// Number of connections refused because the fake server was at its limit.
    pub refused_connections: u64,
    /// Processor time of the instances' threads in microseconds per subquery, by
    /// the role in the thread's name.
    pub cpu_us_per_subquery: std::collections::BTreeMap<String, f64>,
    /// Violations of the guarantees that instances give to callers and servers.
    pub violations: ViolationCounts,
    /// Trace of the slowest request, if the plan asks for one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slowest: Option<SlowRequestTrace>,
    /// Number of refusals by the title of the problem.
    pub problems: std::collections::BTreeMap<String, u64>,
    /// Counts of each service.
    pub services: Vec<ServiceReport>,
}

/// Report of the demo: the run itself and the optional baseline run.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// The run with the routing policy of the service table.
    #[serde(flatten)]
    pub run: RunReport,
    /// The run with a baseline policy, if the command asks for one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<RunReport>,
    /// 99th percentile of the latency with the table's policy, divided by that with
    /// the baseline policy.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99_ratio: Option<f64>,
}

impl DemoReport {
    /// Returns whether the run with the table's policy had no violations. The
    /// baseline run is not considered.
    pub fn is_clean(&self) -> bool {
        self.run.violations.total() == 0
    }
}

/// Prints the report of a run: a table of counts per service, then load,
/// processor time, refusals and violations.
pub fn print_run(report: &RunReport) {
    println!(
        "\n{} under policy {}, faults: {}",
        report.deployment,
        report.policy,
        if report.faults.is_empty() {
            "none".to_string()
        } else {
            report.faults.join(", ")
        }
    );
    println!(
        "{:<14}{:>9}{:>10}{:>9}{:>9}{:>9}{:>10}{:>10}{:>10}",
        "service",
        "queries",
        "complete",
        "partial",
        "refused",
        "unknown",
        "p50 ms",
        "p99 ms",
        "coverage"
    );
    for service in &report.services {
        print_counts(&service.service, &service.counts);
    }
    print_counts("all", &report.counts);
    println!(
        "extra load {:.2}%, subqueries {}, cancelled {}, connections refused {}",
        report.extra_load_ratio * 100.0,
        report.subqueries,
        report.cancelled,
        report.refused_connections
    );
    let total: f64 = report.cpu_us_per_subquery.values().sum();
    print!("processor time a subquery {total:.0} us:");
    for (duty, micros) in &report.cpu_us_per_subquery {
        print!(" {duty} {micros:.1}");
    }
    println!();
    for (problem, count) in &report.problems {
        println!("refused, {problem}: {count}");
    }
    if let Some(trace) = &report.slowest {
        print_trace(trace);
    }
    let violations = report.violations;
    println!(
        "broken promises: {} (mixed snapshot {}, false coverage {}, foreign answer {}, \
         double run {}, false \"not run\" {}, work after leaving {}, cut off {})",
        violations.total(),
        violations.mixed_snapshot,
        violations.false_coverage,
        violations.foreign_answer,
        violations.double_run,
        violations.false_not_run,
        violations.work_after_leaving,
        violations.cut_off
    );
}

/// Prints the decisions made for the slowest request.
fn print_trace(trace: &SlowRequestTrace) {
    println!(
        "slowest: {} {} took {:.1} ms",
        trace.service, trace.request, trace.latency_ms
    );
    if trace.decisions.is_empty() {
        println!("  its decisions were not sampled");
    }
    for line in &trace.decisions {
        println!("  {:>10.1} ms  {}", line.at_ms, line.text);
    }
}

/// Prints one line of the table of counts.
fn print_counts(name: &str, counts: &CountReport) {
    println!(
        "{:<14}{:>9}{:>10}{:>9}{:>9}{:>9}{:>10.1}{:>10.1}{:>10.4}",
        name,
        counts.queries,
        counts.complete,
        counts.partial,
        counts.refused,
        counts.unknown,
        counts.p50_ms,
        counts.p99_ms,
        counts.coverage_mean
    );
}
