//! What a run of the demo reports.

use serde::Serialize;
use wheelmast_fake::checker::ViolationCounts;
use wheelmast_wire::prelude::DecisionLine;

use crate::demo::tally::{CallOutcome, CallStats};

/// The counts of one service, or of all.
#[derive(Debug, Clone, Serialize)]
pub struct CountReport {
    /// Requests made.
    pub queries: u64,
    /// Complete answers.
    pub complete: u64,
    /// Partial answers.
    pub partial: u64,
    /// Refusals that say "not run".
    pub refused: u64,
    /// Refusals whose outcome is unknown.
    pub unknown: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Mean coverage (0 to 1); a refusal counts as none.
    pub coverage_mean: f64,
}

impl CountReport {
    /// Returns the report of some counts.
    pub fn new(tally: &CallStats) -> CountReport {
        CountReport {
            queries: tally.total(),
            complete: tally.count(CallOutcome::Complete),
            partial: tally.count(CallOutcome::Partial),
            refused: tally.count(CallOutcome::Refused),
            unknown: tally.count(CallOutcome::Unknown),
            p50_ms: tally.quantile_ms(0.5),
            p99_ms: tally.quantile_ms(0.99),
            coverage_mean: tally.coverage_mean(),
        }
    }
}

/// The report of a service.
#[derive(Debug, Clone, Serialize)]
pub struct ServiceReport {
    /// The service.
    pub service: String,
    /// Its counts.
    #[serde(flatten)]
    pub counts: CountReport,
}

/// The decisions of the slowest request.
#[derive(Debug, Clone, Serialize)]
pub struct SlowRequestTrace {
    /// Service asked.
    pub service: String,
    /// Identity of the request.
    pub request: String,
    /// Time it took, in milliseconds.
    pub latency_ms: f64,
    /// Its decisions; none if they were not sampled.
    pub decisions: Vec<DecisionLine>,
}

/// The report of one run under one policy.
#[derive(Debug, Clone, Serialize)]
pub struct RunReport {
    /// The deployment.
    pub deployment: String,
    /// The policy.
    pub policy: String,
    /// The faults.
    pub faults: Vec<String>,
    /// Counts over all services.
    #[serde(flatten)]
    pub counts: CountReport,
    /// Subqueries beyond one for each shard asked, as part of those.
    pub extra_load_ratio: f64,
    /// Subqueries that reached the servers.
    pub subqueries: u64,
    /// Subqueries cancelled at work.
    pub cancelled: u64,
    /// Connections over a server's limit.
    pub refused_connections: u64,
    /// Processor time of the instances' threads, by duty, in microseconds for
    /// each subquery.
    pub cpu_us_per_subquery: std::collections::BTreeMap<String, f64>,
    /// Broken promises.
    pub violations: ViolationCounts,
    /// The slowest request, if it was asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slowest: Option<SlowRequestTrace>,
    /// Refusals by problem.
    pub problems: std::collections::BTreeMap<String, u64>,
    /// Counts by service.
    pub services: Vec<ServiceReport>,
}

/// The report of the demo.
#[derive(Debug, Clone, Serialize)]
pub struct DemoReport {
    /// The run under the table's policy.
    #[serde(flatten)]
    pub run: RunReport,
    /// The run under a baseline, if one was asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub baseline: Option<RunReport>,
    /// The table's 99th percentile as part of the baseline's.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub p99_ratio: Option<f64>,
}

impl DemoReport {
    /// Tells whether all promises were kept, by the table's policy.
    pub fn is_clean(&self) -> bool {
        self.run.violations.total() == 0
    }
}

/// Prints a run as a table.
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
