//! Describes the state of the entry machine for operators and metrics.

use std::time::Duration;

use wheelmast_core::prelude::{EntryMachine, RoutePolicy};
use wheelmast_core::process::counters::EntryCounters;
use wheelmast_core::process::roster::ServerRecord;
use wheelmast_wire::prelude::{InstanceStatus, ServerStatus, ServiceStatus};

/// The state of the entry machine at one moment.
#[derive(Debug)]
pub struct EntryReport {
    /// The status that operators see.
    pub status: InstanceStatus,
    /// Event counts since the start.
    pub counters: EntryCounters,
    /// Number of requests that are running or queued.
    pub queries: usize,
}

/// Returns a report of the entry machine at time `now`. The instance's name,
/// failure domain, readiness and dropped decisions are left empty; the caller
/// fills them in.
pub fn describe_entry<P: RoutePolicy>(machine: &EntryMachine<P>, now: Duration) -> EntryReport {
    let services = machine.gates().iter().map(|(service, gate)| ServiceStatus {
        service: service.to_string(),
        running: gate.running,
        queued: gate.queue.len() as u32,
    });
    let mut services: Vec<ServiceStatus> = services.collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    let servers = machine.roster().servers();
    EntryReport {
        status: InstanceStatus {
            instance: String::new(),
            domain: String::new(),
            table_version: machine.table_version(),
            ready: false,
            decisions_dropped: 0,
            services,
            servers: servers
                .map(|(_, record)| {
                    describe_server(record, &machine.roster().domain(record.domain).name, now)
                })
                .collect(),
        },
        counters: machine.counters(),
        queries: machine.query_count(),
    }
}

/// Describes one server. Its phase is "expired" once its lease has run out.
fn describe_server(record: &ServerRecord, domain: &str, now: Duration) -> ServerStatus {
    let phase = if now >= record.lease_expires_at {
        "expired".to_string()
    } else {
        record.phase.to_string()
    };
    ServerStatus {
        server: record.name.to_string(),
        domain: domain.to_string(),
        phase,
        ejected: record.health.is_ejected(now),
        outstanding: record.outstanding,
        share_outstanding: record.share.outstanding,
        share_connections: record.share.connections,
        snapshots: record.held.len() as u32,
    }
}
