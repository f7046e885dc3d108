//! Prometheus metrics of an entry.
//!
//! The forward machine keeps its own counters, which are copied when the metrics are
//! scraped. Only the outcome and answer time are recorded at the end of each request.

use std::fmt;
use std::time::Duration;

use metrics::{counter, gauge, histogram, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};
use wheelmast_core::process::forward::machine::ForwardMachine;
use wheelmast_core::process::forward::server_end::evidence::EndVerdict;

/// Upper bounds of the histogram buckets of answer times, in seconds.
const ANSWER_TIME_BUCKETS: [f64; 12] = [
    0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.2, 0.3, 0.6, 1.0, 2.0,
];
/// Maximum number of routes with a `route` label of their own. Later routes share the
/// label `OTHER_ROUTES_LABEL`.
const MAX_NAMED_ROUTES: usize = 200;
/// `route` label shared by the routes beyond `MAX_NAMED_ROUTES`.
const OTHER_ROUTES_LABEL: &str = "other";

/// Counters of the driver (the code around the forward machine), since the process
/// started.
#[derive(Debug, Clone, Copy)]
pub struct DriverCounts {
    /// Log lines dropped by the rate limits or not written to the output.
    pub lines_dropped: u64,
    /// Number of times that the event loop ran late.
    pub late_rounds: u64,
    /// Attempts written to their connection long after the machine ordered them.
    pub sent_late: u64,
}

/// Recorder of an entry's metrics.
pub struct EntryMetrics {
    recorder: PrometheusRecorder,
    /// Routes with a `route` label of their own.
    routes: std::collections::HashSet<Box<str>>,
}

impl fmt::Debug for EntryMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("EntryMeasures")
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let builder = PrometheusBuilder::new();
        // `set_buckets` fails only for an empty list of buckets.
        let builder = builder
            .set_buckets(&ANSWER_TIME_BUCKETS)
            .unwrap_or_else(|_| PrometheusBuilder::new());
        EntryMetrics {
            recorder: builder.build_recorder(),
            routes: Default::default(),
        }
    }
}

impl EntryMetrics {
    /// Records the outcome of a request on a route, and its answer time.
    pub fn record_answer(&mut self, route: &str, outcome: &'static str, after: Duration) {
        let is_known = self.routes.contains(route);
        if !is_known && self.routes.len() < MAX_NAMED_ROUTES {
            self.routes.insert(route.into());
        }
        let is_named = self.routes.contains(route);
        let route = if is_named { route } else { OTHER_ROUTES_LABEL }.to_string();
        with_local_recorder(&self.recorder, || {
            counter!("wheelmast_forward_answers_total", "route" => route.clone(), "outcome" => outcome)
                .increment(1);
            histogram!("wheelmast_forward_answer_seconds", "route" => route)
                .record(after.as_secs_f64());
        });
    }

    /// Records the verdict on a server whose connections broke, and the time to it.
    pub fn record_break_verdict(&mut self, verdict: &'static str, after: Duration) {
        with_local_recorder(&self.recorder, || {
            histogram!("wheelmast_server_end_verdict_seconds", "verdict" => verdict)
                .record(after.as_secs_f64());
        });
    }

    /// Copies the current counters and renders all metrics in the Prometheus text format.
    pub fn render(&self, machine: &ForwardMachine, now: Duration, counts: DriverCounts) -> String {
        with_local_recorder(&self.recorder, || update_metrics(machine, now, counts));
        self.recorder.handle().render()
    }
}

/// Copies the counters and gauges of the machine and the driver to the recorder.
fn update_metrics(machine: &ForwardMachine, now: Duration, driver: DriverCounts) {
    let counts = machine.counters();
    let totals = [
        ("wheelmast_forward_requests_total", counts.calls),
        ("wheelmast_forward_whole_total", counts.whole),
        ("wheelmast_forward_partial_total", counts.partial),
        ("wheelmast_forward_failed_total", counts.failed),
        ("wheelmast_forward_callers_left_total", counts.left),
        ("wheelmast_forward_sends_total", counts.sends),
        ("wheelmast_forward_retries_total", counts.retries),
        ("wheelmast_forward_hedges_total", counts.hedges),
        ("wheelmast_forward_relays_total", counts.relays),
        (
            "wheelmast_forward_asked_around_total",
            counts.rerouted_relays,
        ),
        (
            "wheelmast_forward_unaffordable_total",
            counts.denied_repeats,
        ),
        ("wheelmast_forward_over_share_total", counts.over_share),
        ("wheelmast_forward_trials_total", counts.trials),
        ("wheelmast_forward_cancels_total", counts.cancels),
        ("wheelmast_forward_broken_total", counts.broken),
        (
            "wheelmast_connection_resets_total",
            counts.connection_resets,
        ),
        ("wheelmast_forward_sent_late_total", driver.sent_late),
        ("wheelmast_held_up_total", driver.late_rounds),
        ("wheelmast_log_lines_dropped_total", driver.lines_dropped),
    ];
    for (name, total) in totals {
        counter!(name).absolute(total);
    }
    let breaks = [
        (EndVerdict::Ended, counts.ended_breaks),
        (EndVerdict::Alive, counts.lost_answers),
        (EndVerdict::Unreachable, counts.unreachable_breaks),
    ];
    for (verdict, total) in breaks {
        counter!("wheelmast_server_end_breaks_total", "verdict" => verdict.label()).absolute(total);
    }
    gauge!("wheelmast_server_end_undecided").set(machine.undecided_breaks() as f64);
    let version = machine.table().map_or(0, |table| table.version());
    gauge!("wheelmast_route_table_version").set(version as f64);
    gauge!("wheelmast_forward_running").set(machine.call_count() as f64);
    for row in machine.expectations().rows() {
        let labels = [
            ("queue", row.queue),
            ("slowness", row.slowness),
            ("age", row.age),
        ];
        counter!("wheelmast_expected_answers_total", &labels).absolute(row.samples);
        gauge!("wheelmast_expected_seconds", &labels).set(row.expected);
        gauge!("wheelmast_real_seconds", &labels).set(row.actual);
        gauge!("wheelmast_expected_median_error", &labels).set(row.median_error);
    }
    let (suspects, quarantined) = machine.suspect_counts(now);
    gauge!("wheelmast_forward_suspects").set(suspects as f64);
    gauge!("wheelmast_forward_quarantined").set(quarantined as f64);
    let limited_workspaces = machine.limited_workspaces(now);
    gauge!("wheelmast_forward_limited_workspaces").set(limited_workspaces as f64);
    gauge!("wheelmast_connection_places").set(f64::from(machine.place_totals().places));
    gauge!("wheelmast_connections_open").set(f64::from(machine.open_connections()));
    gauge!("wheelmast_servers_ready").set(machine.server_count() as f64);
    for (route, part, count) in machine.split_counts() {
        let labels = [
            ("route", route.to_string()),
            ("service", part.service.clone()),
        ];
        counter!("wheelmast_split_requests_total", &labels).absolute(count);
        gauge!("wheelmast_split_weight", &labels).set(part.weight);
    }
    for (service, level) in machine.shortage_levels(now) {
        gauge!("wheelmast_service_shortage_level", "service" => service.to_string())
            .set(f64::from(level));
    }
    for (rank, counts) in machine.rank_counts() {
        for (decision, count) in counts.labelled() {
            let labels = [
                ("rank", rank.to_string()),
                ("decision", decision.to_string()),
            ];
            counter!("wheelmast_rank_decisions_total", &labels).absolute(count);
        }
    }
    for (service, counts, servers, budget_left) in machine.services(now) {
        let service = service.to_string();
        counter!("wheelmast_service_sends_total", "service" => service.clone())
            .absolute(counts.sends);
        counter!("wheelmast_service_extras_total", "service" => service.clone())
            .absolute(counts.extras);
        counter!("wheelmast_service_losses_total", "service" => service.clone())
            .absolute(counts.losses);
        gauge!("wheelmast_service_servers", "service" => service.clone()).set(servers as f64);
        gauge!("wheelmast_service_extra_room", "service" => service).set(budget_left);
    }
}
