//! The route table: which upstream services answer which requests.
//!
//! A route is selected by host and longest path prefix. Its target is one service,
//! a weighted split of services, or a set of shard services whose answers are
//! merged. Routes, services, limits and workspaces share one document and version.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::finding::{suggest_name, FindingList, FindingPlace};
use crate::version::workspace::{WorkspaceRegistry, WorkspaceRule};

/// A service of a weighted split.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight of the service, relative to the sum of all weights of the split.
    pub weight: f64,
}

/// The service or services that answer the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One service.
    Service(String),
    /// One of several services per request, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// All of several services, each of which holds one shard (scatter-gather).
    Gather(Vec<String>),
}

/// A route as the operator defines it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Name of the route.
    pub name: String,
    /// Host that requests must name to match.
    pub host: String,
    /// Prefix that the path of matching requests starts with.
    pub prefix: String,
    /// The service or services that answer the requests.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time until a request is answered or refused, in milliseconds.
    pub time_limit_ms: u64,
    /// Response-time objective in milliseconds: an answer within this time has its
    /// full value for the caller.
    pub objective_ms: u64,
    /// Maximum number of servers that a request is sent to, for each shard.
    pub attempts: u32,
    /// Priority rank of the requests; 0 is the highest priority.
    pub rank: u32,
    /// Maximum number of records in the merged answer of a scatter-gather route.
    #[serde(default)]
    pub top: usize,
    /// Minimum fraction of the shards that the merged answer of a scatter-gather
    /// route must cover (0 to 1).
    #[serde(default)]
    pub least_coverage: f64,
    /// Regions in which the route's requests may be served; empty allows all
    /// regions.
    #[serde(default)]
    pub homes: Vec<String>,
    /// Whether requests of the route need no caller key.
    #[serde(default)]
    pub public: bool,
}

impl RouteRule {
    /// Returns the time limit of a request.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Returns the response-time objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Iterates over the names of the services in the route's target.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let names: Vec<&str> = match &self.target {
            RouteTarget::Service(name) => vec![name],
            RouteTarget::Split(parts) => parts.iter().map(|part| &*part.service).collect(),
            RouteTarget::Gather(names) => names.iter().map(String::as_str).collect(),
        };
        names.into_iter()
    }
}

/// An upstream service as the operator defines it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: String,
    /// Number of connections that each server of the service accepts from all
    /// entries together.
    pub connections: u32,
    /// Requests per second that a server of the service accepts while it is cold
    /// (just started, with empty caches); 0 means no limit.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_ms: u64,
    /// Maximum idle time of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_ms: 3000,
            idle_ms: 15_000,
        }
    }
}

/// A route table as the operator wrote it, before it is checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDraft {
    /// Version of the table.
    pub version: u64,
    /// Routes of the table.
    pub routes: Vec<RouteRule>,
    /// Upstream services that the routes use.
    pub services: Vec<ServiceRule>,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Workspaces of the table. If the list is present, even empty, requests need a
    /// caller key.
    #[serde(default)]
    pub workspaces: Option<Vec<WorkspaceRule>>,
}

/// A checked route table.
#[derive(Debug, Clone)]
pub struct RouteTable {
    draft: RouteDraft,
    /// The workspaces, if requests need a caller key.
    workspaces: Option<WorkspaceRegistry>,
    /// Indexes of the routes of each host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
}

impl RouteTable {
    /// Checks a draft and builds the route table from it.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    pub fn check(mut draft: RouteDraft) -> Result<RouteTable, FindingList> {
        let mut findings = FindingList::default();
        let workspaces = draft.workspaces.take();
        let workspaces = workspaces.map(|rules| WorkspaceRegistry::check(rules, &mut findings));
        let mut hosts: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in draft.routes.iter().enumerate() {
            check_route(&draft, index, route, &mut findings);
            let host = normalize_host(&route.host);
            let host_routes = hosts.entry(host).or_default();
            let duplicate = host_routes
                .iter()
                .find(|other| draft.routes[**other].prefix == route.prefix);
            if let Some(duplicate) = duplicate {
                let other = &draft.routes[*duplicate].name;
                let message = format!("same host and prefix as route {other}");
                findings.add(finding_place(index, "prefix"), message);
            }
            host_routes.push(index);
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(draft.routes[*index].prefix.len()));
        }
        Ok(RouteTable {
            draft,
            workspaces,
            hosts,
        })
    }

    /// Returns the version of the table.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.draft.limits
    }

    /// Returns the routes of the table.
    pub fn routes(&self) -> &[RouteRule] {
        &self.draft.routes
    }

    /// Returns the upstream services of the table.
    pub fn services(&self) -> &[ServiceRule] {
        &self.draft.services
    }

    /// Returns the workspaces, if requests need a caller key.
    pub fn workspaces(&self) -> Option<&WorkspaceRegistry> {
        self.workspaces.as_ref()
    }

    /// Finds the route of a request and returns its index in
    /// [`RouteTable::routes`].
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.hosts.get(&*normalize_host(host))?;
        let index = routes
            .iter()
            .find(|index| path.starts_with(&*self.draft.routes[**index].prefix));
        index.copied()
    }
}

/// Returns the name of a host in lower case, without its port.
fn normalize_host(host: &str) -> Box<str> {
    let name = host.split(':').next().unwrap_or(host);
    name.to_ascii_lowercase().into()
}

/// Returns the place of a finding about a property of the route with this index.
fn finding_place(index: usize, column: &str) -> FindingPlace {
    FindingPlace::Cell {
        row: index + 1,
        column: format!("routes.{column}"),
    }
}

fn check_route(draft: &RouteDraft, index: usize, route: &RouteRule, findings: &mut FindingList) {
    if route.time_limit_ms == 0 {
        findings.add(finding_place(index, "time limit"), "must be above 0");
    }
    for name in route.services() {
        let known = draft.services.iter().map(|service| service.name.as_str());
        if !known.clone().any(|service| service == name) {
            let message = format!("unknown service {name}");
            let hint = suggest_name(name, known);
            findings.add_with_hint(finding_place(index, "target"), message, hint);
        }
    }
    match &route.target {
        RouteTarget::Split(parts) => check_split(parts, index, findings),
        RouteTarget::Gather(names) => check_gather(names, index, findings),
        RouteTarget::Service(_) => {}
    }
}

fn check_split(parts: &[WeightedService], index: usize, findings: &mut FindingList) {
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    let are_valid = parts
        .iter()
        .all(|part| part.weight >= 0.0 && part.weight.is_finite());
    if !are_valid || sum <= 0.0 {
        findings.add(
            finding_place(index, "weight"),
            "weights must not be negative and must add up to more than 0",
        );
    }
}

fn check_gather(names: &[String], index: usize, findings: &mut FindingList) {
    if names.is_empty() {
        findings.add(finding_place(index, "gather"), "must name a service");
    }
}
