//! Renders the metrics of an instance in the Prometheus text format.
//!
//! The entry machine counts events itself. Its counters are copied only when
//! metrics are requested, so metrics add no cost to the request path.

use std::fmt;

use metrics::{counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusRecorder};

use crate::process::status::EntryReport;

/// The metrics of one instance.
pub struct InstanceMetrics {
    recorder: PrometheusRecorder,
}

impl fmt::Debug for InstanceMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("MeasureBook")
    }
}

impl InstanceMetrics {
    /// Creates the metrics of an instance; all carry its name as label
    /// `instance`.
    pub fn new(instance: &str) -> InstanceMetrics {
        let builder = PrometheusBuilder::new().add_global_label("instance", instance);
        InstanceMetrics {
            recorder: builder.build_recorder(),
        }
    }

    /// Renders all metrics, with the counts of `report`.
    pub fn render(&self, report: &EntryReport, decisions_dropped: u64) -> String {
        with_local_recorder(&self.recorder, || update_metrics(report, decisions_dropped));
        self.recorder.handle().render()
    }
}

/// Copies the counts of a report into the current recorder.
fn update_metrics(report: &EntryReport, decisions_dropped: u64) {
    let counts = &report.counters;
    let totals = [
        ("wheelmast_requests_total", counts.submitted),
        ("wheelmast_answers_complete_total", counts.complete),
        ("wheelmast_answers_partial_total", counts.partial),
        ("wheelmast_refusals_not_run_total", counts.not_run),
        ("wheelmast_refusals_unknown_total", counts.unknown),
        ("wheelmast_sends_total", counts.sends),
        ("wheelmast_hedges_total", counts.hedges),
        ("wheelmast_retries_total", counts.retries),
        ("wheelmast_resends_total", counts.resends),
        ("wheelmast_budget_spent_total", counts.budget_spent),
        ("wheelmast_budget_denied_total", counts.budget_denied),
        ("wheelmast_cancels_total", counts.cancels),
        ("wheelmast_attempt_timeouts_total", counts.timeouts),
        ("wheelmast_sheds_total", counts.sheds),
        ("wheelmast_attempt_failures_total", counts.failures),
        ("wheelmast_restarts_total", counts.restarts),
        ("wheelmast_ejections_total", counts.ejections),
        ("wheelmast_rescues_total", counts.rescues),
        ("wheelmast_suspicions_total", counts.suspicions),
        ("wheelmast_announcements_total", counts.announcements),
        (
            "wheelmast_announcements_stale_total",
            counts.stale_announcements,
        ),
        ("wheelmast_decisions_dropped_total", decisions_dropped),
    ];
    for (name, total) in totals {
        counter!(name).absolute(total);
    }
    let drops = [
        ("late", counts.drops_late),
        ("foreign", counts.drops_foreign),
        ("wrong-shard", counts.drops_shard),
        ("wrong-snapshot", counts.drops_snapshot),
    ];
    for (reason, total) in drops {
        counter!("wheelmast_replies_dropped_total", "reason" => reason).absolute(total);
    }
    gauge!("wheelmast_table_version").set(report.status.table_version as f64);
    for gate in &report.status.services {
        let service = gate.service.clone();
        gauge!("wheelmast_requests_running", "service" => service.clone()).set(gate.running);
        gauge!("wheelmast_requests_queued", "service" => service).set(gate.queued);
    }
}
