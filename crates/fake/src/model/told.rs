//! What entries are told in a play: the table, the servers, servers' answers.

use bytes::Bytes;
use wheelmast_core::process::forward::directory::{ServerNotice, ServerStanding};
use wheelmast_core::process::forward::input::{AttemptEnd, LoadReport, ServerAnswer};
use wheelmast_core::version::route_table::{
    CallerLimits, RouteDraft, RouteRule, RouteTable, RouteTarget, ServiceRule,
};

use crate::model::server::ModelServer;
use crate::model::spec::{KindSpec, PlaySpec};

/// Names of the two failure domains.
pub(super) const DOMAINS: [&str; 2] = ["north", "south"];
/// Host that all routes are for.
pub(super) const HOST: &str = "model.example";
/// Connections that a server accepts from all entries.
const CONNECTIONS: u32 = 26;

pub(super) fn route_table(spec: &PlaySpec) -> RouteTable {
    let shards: Vec<String> = (0..spec.shards).map(|shard| format!("s{shard}")).collect();
    let services = shards.iter().map(|name| ServiceRule {
        name: name.clone(),
        connections: CONNECTIONS,
    });
    let draft = RouteDraft {
        version: 1,
        services: services.collect(),
        routes: spec
            .kinds
            .iter()
            .map(|kind| route_of(kind, &shards))
            .collect(),
        limits: CallerLimits::default(),
    };
    RouteTable::check(draft).expect("the model's table is sound")
}

fn route_of(kind: &KindSpec, shards: &[String]) -> RouteRule {
    RouteRule {
        name: kind.name.to_string(),
        host: HOST.to_string(),
        prefix: format!("/{}/", kind.name),
        target: RouteTarget::Gather(shards.to_vec()),
        idempotent: true,
        time_limit_ms: kind.limit.as_millis() as u64,
        objective_ms: kind.objective.as_millis() as u64,
        attempts: 2,
        rank: kind.rank,
        top: 5,
        least_coverage: kind.least_coverage,
    }
}

pub(super) fn notice_of(place: usize, server: &ModelServer, slots: u32) -> ServerNotice {
    let (shard, domain) = (place / DOMAINS.len(), place % DOMAINS.len());
    ServerNotice {
        id: server.id.as_str().into(),
        service: format!("s{shard}").into(),
        address: Some(([10, 0, domain as u8, shard as u8], 1000).into()),
        domain: DOMAINS[domain].into(),
        slots,
        standing: ServerStanding::Ready,
        sequence: 1,
        cold_ms: 0,
    }
}

pub(super) fn rejection(load: LoadReport) -> AttemptEnd {
    AttemptEnd::Answer(ServerAnswer {
        status: 503,
        stamp: None,
        not_run: true,
        load: Some(load),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}

pub(super) fn success(id: &str, load: LoadReport) -> AttemptEnd {
    AttemptEnd::Answer(ServerAnswer {
        status: 200,
        stamp: Some(id.into()),
        not_run: false,
        load: Some(load),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}
