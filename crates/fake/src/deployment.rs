//! The sizes of the two users' deployments, from their brief.

use std::time::Duration;

/// The servers of one upstream.
#[derive(Debug, Clone)]
pub struct FakeUpstream {
    /// Its name.
    pub name: &'static str,
    /// Number of shard groups.
    pub shards: u32,
    /// Servers in each group.
    pub replicas: u32,
    /// Slots of a server.
    pub slots: u32,
    /// Connections a server accepts.
    pub connections: u32,
    /// Time a new connection takes.
    pub connect_cost: Duration,
    /// Median time a subquery takes.
    pub median: Duration,
}

/// A deployment: failure domains and upstreams.
#[derive(Debug, Clone)]
pub struct FakeDeployment {
    /// Its name.
    pub name: &'static str,
    /// Its failure domains.
    pub domains: [&'static str; 3],
    /// Its upstreams.
    pub upstreams: Vec<FakeUpstream>,
    /// Its service table.
    pub table: &'static str,
    /// Requests a second the demo makes of each service.
    pub rates: Vec<ServiceRate>,
}

/// How often the demo asks a service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceRate {
    /// The service.
    pub service: &'static str,
    /// Requests a second.
    pub rate: f64,
}

const FAST_CONNECT: Duration = Duration::from_millis(1);
const SLOW_CONNECT: Duration = Duration::from_millis(6);

fn searched(name: &'static str, shards: u32, median_ms: u64) -> FakeUpstream {
    FakeUpstream {
        name,
        shards,
        replicas: 2,
        slots: 2,
        connections: 25,
        connect_cost: SLOW_CONNECT,
        median: Duration::from_millis(median_ms),
    }
}

fn single(name: &'static str, replicas: u32, connections: u32, median_ms: u64) -> FakeUpstream {
    FakeUpstream {
        name,
        shards: 1,
        replicas,
        slots: 4,
        connections,
        connect_cost: FAST_CONNECT,
        median: Duration::from_millis(median_ms),
    }
}

fn rate(service: &'static str, rate: f64) -> ServiceRate {
    ServiceRate { service, rate }
}

/// Uunihuolto Kivelä Oy.
pub fn kivela() -> FakeDeployment {
    FakeDeployment {
        name: "kivela",
        domains: ["oulu", "tampere", "kotka"],
        upstreams: vec![
            searched("kiln-watch", 20, 4),
            searched("parts-desk", 30, 4),
            single("work-orders", 7, 100, 5),
            single("crew-roster", 3, 100, 3),
        ],
        table: include_str!("../../../examples/kivela.csv"),
        rates: vec![
            rate("kiln-watch", 60.0),
            rate("parts-desk", 30.0),
            rate("work-orders", 10.0),
            rate("crew-roster", 20.0),
        ],
    }
}

/// Lonestar Originality Group.
pub fn lonestar() -> FakeDeployment {
    FakeDeployment {
        name: "lonestar",
        domains: ["dallas", "houston", "austin"],
        upstreams: vec![
            searched("matchscan", 20, 6),
            searched("coursebridge", 30, 4),
            single("receipts", 3, 40, 3),
            single("appealdesk", 3, 40, 5),
        ],
        table: include_str!("../../../examples/lonestar.csv"),
        rates: vec![
            rate("matchscan", 30.0),
            rate("quickhint", 20.0),
            rate("coursebridge", 30.0),
            rate("receipts", 30.0),
            rate("appealdesk", 10.0),
        ],
    }
}

/// Returns the deployment of this name.
pub fn by_name(name: &str) -> Option<FakeDeployment> {
    match name {
        "kivela" => Some(kivela()),
        "lonestar" => Some(lonestar()),
        _ => None,
    }
}

/// Names of the deployments.
pub const DEPLOYMENT_NAMES: [&str; 2] = ["kivela", "lonestar"];
