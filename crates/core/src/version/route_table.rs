//! The route table: which upstream services answer for which requests.
//!
//! A route is found by host and longest path prefix. It names one service, a
//! weighted split of services, or a set of shard services whose parts are
//! merged. One document under one version carries routes, services and limits.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::finding::{suggest_name, FindingList, FindingPlace};
use crate::version::workspace::{WorkspaceBook, WorkspaceRule};

/// A service with its weight in a split.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its weight; a share of the sum of all weights.
    pub weight: f64,
}

/// What answers the requests of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// One service.
    Service(String),
    /// One of several services, in proportion to their weights.
    Split(Vec<WeightedService>),
    /// All of several services; each holds a shard.
    Gather(Vec<String>),
}

/// A route as the operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteRule {
    /// Its name.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Beginning of their path.
    pub prefix: String,
    /// What answers them.
    pub target: RouteTarget,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time a request may be kept waiting, in milliseconds.
    pub time_limit_ms: u64,
    /// Time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// Most servers a request is sent to, for each shard.
    pub attempts: u32,
    /// Rank; 0 goes first.
    pub rank: u32,
    /// Records in the answer of a gathered route.
    #[serde(default)]
    pub top: usize,
    /// Least fraction of the shards in the answer of a gathered route.
    #[serde(default)]
    pub least_coverage: f64,
    /// Regions in which its requests may be served; all, if it names none.
    #[serde(default)]
    pub homes: Vec<String>,
    /// Whether its requests need no key.
    #[serde(default)]
    pub public: bool,
}

impl RouteRule {
    /// Returns the time limit.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Returns the response-time objective.
    pub fn objective(&self) -> Duration {
        Duration::from_millis(self.objective_ms)
    }

    /// Iterates over the services it names.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let names: Vec<&str> = match &self.target {
            RouteTarget::Service(name) => vec![name],
            RouteTarget::Split(parts) => parts.iter().map(|part| &*part.service).collect(),
            RouteTarget::Gather(names) => names.iter().map(String::as_str).collect(),
        };
        names.into_iter()
    }
}

/// An upstream service as the operator writes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: String,
    /// Connections a server of it accepts from all callers.
    pub connections: u32,
    /// Requests that a server takes in a second while it is cold; 0 for no
    /// bound.
    #[serde(default)]
    pub cold_per_s: f64,
}

/// Limits on what a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head, in milliseconds.
    pub head_ms: u64,
    /// Longest time a connection may be idle, in milliseconds.
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

/// A route table as it was written, not checked yet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RouteDraft {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub routes: Vec<RouteRule>,
    /// Its services.
    pub services: Vec<ServiceRule>,
    /// Its limits.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Its workspaces; if there are any, or an empty list, requests need a key.
    #[serde(default)]
    pub workspaces: Option<Vec<WorkspaceRule>>,
}

/// A checked route table.
#[derive(Debug, Clone)]
pub struct RouteTable {
    draft: RouteDraft,
    /// The workspaces, if requests need a key.
    workspaces: Option<WorkspaceBook>,
    /// Routes of a host, longest prefix first.
    hosts: HashMap<Box<str>, Vec<usize>>,
}

impl RouteTable {
    /// Checks a draft.
    ///
    /// # Errors
    ///
    /// Returns all findings at once.
    pub fn check(mut draft: RouteDraft) -> Result<RouteTable, FindingList> {
        let mut findings = FindingList::default();
        let workspaces = draft.workspaces.take();
        let workspaces = workspaces.map(|rules| WorkspaceBook::check(rules, &mut findings));
        let mut hosts: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in draft.routes.iter().enumerate() {
            check_route(&draft, index, route, &mut findings);
            let host = host_key(&route.host);
            let known = hosts.entry(host).or_default();
            let twin = known
                .iter()
                .find(|other| draft.routes[**other].prefix == route.prefix);
            if let Some(twin) = twin {
                let other = &draft.routes[*twin].name;
                let message = format!("same host and prefix as route {other}");
                findings.add(route_place(index, "prefix"), message);
            }
            known.push(index);
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

    /// Returns its version.
    pub fn version(&self) -> u64 {
        self.draft.version
    }

    /// Returns its limits.
    pub fn limits(&self) -> CallerLimits {
        self.draft.limits
    }

    /// Returns its routes.
    pub fn routes(&self) -> &[RouteRule] {
        &self.draft.routes
    }

    /// Returns its services.
    pub fn services(&self) -> &[ServiceRule] {
        &self.draft.services
    }

    /// Returns its workspaces, if requests need a key.
    pub fn workspaces(&self) -> Option<&WorkspaceBook> {
        self.workspaces.as_ref()
    }

    /// Finds the route of a request, by its place in [`RouteTable::routes`].
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let routes = self.hosts.get(&*host_key(host))?;
        let found = routes
            .iter()
            .find(|index| path.starts_with(&*self.draft.routes[**index].prefix));
        found.copied()
    }
}

/// Returns the name of a host without port, in lower case.
fn host_key(host: &str) -> Box<str> {
    let name = host.split(':').next().unwrap_or(host);
    name.to_ascii_lowercase().into()
}

fn route_place(index: usize, column: &str) -> FindingPlace {
    FindingPlace::Cell {
        row: index + 1,
        column: format!("routes.{column}"),
    }
}

fn check_route(draft: &RouteDraft, index: usize, route: &RouteRule, findings: &mut FindingList) {
    if route.time_limit_ms == 0 {
        findings.add(route_place(index, "time limit"), "must be above 0");
    }
    for name in route.services() {
        let known = draft.services.iter().map(|service| service.name.as_str());
        if !known.clone().any(|service| service == name) {
            let message = format!("unknown service {name}");
            let hint = suggest_name(name, known);
            findings.add_with_hint(route_place(index, "target"), message, hint);
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
    let is_sound = parts
        .iter()
        .all(|part| part.weight >= 0.0 && part.weight.is_finite());
    if !is_sound || sum <= 0.0 {
        findings.add(
            route_place(index, "weight"),
            "weights must not be negative and must add up to more than 0",
        );
    }
}

fn check_gather(names: &[String], index: usize, findings: &mut FindingList) {
    if names.is_empty() {
        findings.add(route_place(index, "gather"), "must name a service");
    }
}
