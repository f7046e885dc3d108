//! What entries are told in a play: the table, the servers, servers' answers.

use bytes::Bytes;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::{AttemptResult, EntryPeer, LoadReport, ServerAnswer};
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{
    CallerLimits, RouteDraft, RouteRule, RouteTable, RouteTarget, ServiceRule,
};

use crate::model::server::ModelServer;
use crate::model::spec::{KindSpec, PlaySpec};

/// Names of the two failure domains with servers.
pub(super) const DOMAINS: [&str; 2] = ["north", "south"];
/// Name of the one with entries alone.
pub(super) const OUTLYING: &str = "east";
/// Host that all routes are for.
pub(super) const HOST: &str = "model.example";
/// Servers that a part of a request may run on.
pub(super) const ATTEMPTS: u32 = 2;

pub(super) fn route_table(spec: &PlaySpec) -> RouteTable {
    let shards: Vec<String> = (0..spec.shards).map(|shard| format!("s{shard}")).collect();
    let services = shards.iter().map(|name| ServiceRule {
        cold_per_s: 0.0,
        name: name.clone(),
        connections: spec.connections,
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
        workspaces: None,
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
        attempts: ATTEMPTS,
        rank: kind.rank,
        top: 5,
        least_coverage: kind.least_coverage,
        homes: Vec::new(),
        public: false,
    }
}

/// Returns the mark of a request unlike all others, by its number.
pub(super) fn mark_of(number: usize) -> RequestFingerprint {
    RequestFingerprint {
        content: ContentFingerprint(number as u128),
        caller: CallerFingerprint(number as u64),
    }
}

/// Returns the place of the failure domain of an entry.
pub(super) fn domain_of(spec: &PlaySpec, number: usize) -> usize {
    if number < spec.entries * DOMAINS.len() {
        number % DOMAINS.len()
    } else {
        DOMAINS.len()
    }
}

/// Returns all entries, in the order of their numbers.
pub(super) fn peers_of(spec: &PlaySpec) -> Vec<EntryPeer> {
    let count = spec.entries * DOMAINS.len() + spec.outlying;
    let peers = (0..count).map(|number| EntryPeer {
        instance: format!("entry-{number}").into(),
        incarnation: 1,
        domain: DOMAINS
            .get(domain_of(spec, number))
            .copied()
            .unwrap_or(OUTLYING)
            .into(),
        address: ([10, 1, (number / 256) as u8, (number % 256) as u8], 2000).into(),
    });
    peers.collect()
}

pub(super) fn notice_of(place: usize, server: &ModelServer, slots: u32) -> ServerAnnouncement {
    let (shard, domain) = (place / DOMAINS.len(), place % DOMAINS.len());
    ServerAnnouncement {
        id: server.id.as_str().into(),
        service: format!("s{shard}").into(),
        address: Some(([10, 0, domain as u8, shard as u8], 1000).into()),
        domain: DOMAINS[domain].into(),
        version: "".into(),
        slots,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    }
}

pub(super) fn rejection(load: LoadReport) -> AttemptResult {
    AttemptResult::Answer(ServerAnswer {
        status: 503,
        stamp: None,
        not_run: true,
        load: Some(load),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}

pub(super) fn success(id: &str, load: LoadReport) -> AttemptResult {
    AttemptResult::Answer(ServerAnswer {
        status: 200,
        stamp: Some(id.into()),
        not_run: false,
        load: Some(load),
        headers: Vec::new(),
        body: Bytes::new(),
    })
}
