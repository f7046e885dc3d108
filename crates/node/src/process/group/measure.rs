//! Metrics of a control instance, rendered for each scrape.

use metrics::{counter, gauge, with_local_recorder};
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::process::group::node::GroupNode;

/// Renders all metrics of a control instance in the Prometheus text format.
pub fn render_metrics(node: &GroupNode) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    with_local_recorder(&recorder, || update_metrics(node));
    recorder.handle().render()
}

fn update_metrics(node: &GroupNode) {
    let now = node.now();
    let state = node.state.borrow();
    let servers = state.directory.iter();
    let expired = servers.filter(|record| record.expired).count();
    let waiting = state.batch.saturating_sub(state.synced_batch);
    let gauges = [
        (
            "wheelmast_route_table_version",
            state.published_table.version,
        ),
        (
            "wheelmast_route_table_bytes",
            state.published_table.packed.len() as u64,
        ),
        ("wheelmast_group_entries", state.subscribers.len() as u64),
        ("wheelmast_group_contacts", state.count_contacts(now) as u64),
        ("wheelmast_servers_known", state.directory.len() as u64),
        ("wheelmast_servers_silent", expired as u64),
        (
            "wheelmast_evacuated_domains",
            state.evacuations.domains.len() as u64,
        ),
        ("wheelmast_evacuations_revision", state.evacuations.revision),
        (
            "wheelmast_load_reporters",
            state.load_board.reporter_count() as u64,
        ),
        (
            "wheelmast_short_services",
            state.load_board.short_service_count() as u64,
        ),
        ("wheelmast_disk_batches_total", state.synced_batch),
        ("wheelmast_disk_batches_waiting", waiting),
        (
            "wheelmast_group_asks_waiting",
            state.pending_replies.len() as u64,
        ),
    ];
    for (name, value) in gauges {
        gauge!(name).set(value as f64);
    }
    let totals = [
        (
            "wheelmast_group_stray_answers_total",
            state.unmatched_replies,
        ),
        ("wheelmast_servers_missed_total", state.servers_missed),
        (
            "wheelmast_announcements_refused_total",
            state.announcements_refused,
        ),
    ];
    for (name, total) in totals {
        counter!(name).absolute(total);
    }
    for (target, kind, count) in state.traffic.iter() {
        let labels = [("to", target.label()), ("kind", kind)];
        counter!("wheelmast_group_messages_total", &labels).absolute(count.messages);
        counter!("wheelmast_group_bytes_total", &labels).absolute(count.bytes);
    }
    let replica = state.replica.as_ref();
    gauge!("wheelmast_replica_up").set(if replica.is_some() { 1.0 } else { 0.0 });
    let Some(replica) = replica else {
        return;
    };
    let flags = [
        ("wheelmast_replica_leads", replica.is_leader()),
        ("wheelmast_replica_votes", replica.is_voter()),
        ("wheelmast_replica_has_leader", replica.leader().is_some()),
    ];
    for (name, flag) in flags {
        gauge!(name).set(if flag { 1.0 } else { 0.0 });
    }
    gauge!("wheelmast_replica_term").set(replica.term() as f64);
    gauge!("wheelmast_replica_commit_index").set(replica.commit_index() as f64);
    gauge!("wheelmast_replica_log_entries").set(replica.log_length() as f64);
    gauge!("wheelmast_replica_log_bytes").set(replica.log_bytes() as f64);
    gauge!("wheelmast_replica_members").set(replica.member_records().len() as f64);
    gauge!("wheelmast_replica_learners").set(replica.learners().count() as f64);
}
