//! The forward machine: a deterministic state machine that makes every decision
//! of an entry about the requests it forwards.
//!
//! [`ForwardMachine::step`] is the only entry point: it takes one input and
//! returns actions for the driver. The methods are spread over the sibling
//! modules by subject, such as `begin`, `send`, `relay`, `reply` and `end`.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::arena::{KeyArena, ServerKey, SlotArena, SlotKey, UpstreamKey};
use crate::process::forward::answer::{ForwardAction, ForwardDecision, ForwardEvent};
use crate::process::forward::call::{CallState, ForwardAttempt};
use crate::process::forward::canary::CanaryStrategy;
use crate::process::forward::cold::ColdBound;
use crate::process::forward::connection_places::ViewHistory;
use crate::process::forward::connection_views::PlaceTotals;
use crate::process::forward::counts::{ForwardCounters, UpstreamCounts};
use crate::process::forward::decay::DecayingRate;
use crate::process::forward::directory::{ServerDirectory, ServerLifecycle};
use crate::process::forward::expectation::ExpectationStats;
use crate::process::forward::extra::{ExtraBound, ExtraBudget};
use crate::process::forward::input::ForwardInput;
use crate::process::forward::place::RegionMap;
use crate::process::forward::rank::RankControl;
use crate::process::forward::server::ServerState;
use crate::process::forward::server_end::watch::EndWatch;
use crate::process::forward::shortage::UpstreamShortage;
use crate::process::forward::slowness::SlownessStrategy;
use crate::process::forward::split::SplitScheduler;
use crate::process::forward::stall::{IntervalHistogram, StallStrategy};
use crate::process::forward::suspect::crash_watch::CrashWatch;
use crate::process::forward::suspect::registry::SuspectRegistry;
use crate::process::forward::timing::RouteTiming;
use crate::process::forward::version::UpstreamRollout;
use crate::process::input::CallTag;
use crate::process::load::share_gate::ShareGate;
use crate::process::rollout::share::CanaryBound;
use crate::process::timer::TimerHeap;
use crate::version::route_table::{RouteTable, RouteTarget, WeightedService};

/// Connections allowed to each server of a service that no route table names.
const DEFAULT_CONNECTIONS: u32 = 8;
/// Number of entries assumed to share the servers until the real number is known.
const ASSUMED_ENTRIES: u32 = 8;

/// Purpose of a timer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ForwardTimer {
    /// Last time at which an answer still meets the route's objective.
    SoftDeadline(SlotKey),
    /// Last time at which an answer can still reach the caller.
    HardDeadline(SlotKey),
    /// Check whether a request needs a hedge or a retry, and whether the entries
    /// that it was relayed to have acknowledged.
    Sweep(SlotKey),
    /// Time to cancel an attempt that is still outstanding after its request
    /// ended.
    Orphan(SlotKey),
    /// Check of the evidence on a server whose connections broke.
    BreakCheck(ServerKey),
    /// Places that this entry gained by a change of the list of entries become usable.
    PlacesSettled,
    /// Check whether the control group is still in contact.
    ContactCheck,
    /// Connections may be opened again to a server that was at its limit.
    OpeningAllowed(ServerKey),
}

/// Settings of a forward machine.
#[derive(Debug, Clone)]
pub struct ForwardOptions {
    /// Failure domain (zone) of this instance.
    pub domain: Box<str>,
    /// Map from failure domains to regions; empty if not configured.
    pub regions: RegionMap,
    /// Identity of this instance's current incarnation among the entries.
    pub local_id: Box<str>,
    /// Bound on the extra load that retries and hedges may cause.
    pub extra: ExtraBound,
    /// Bound on the requests sent to cold servers, whose caches are still empty.
    pub cold: ColdBound,
    /// Bound on the requests sent to a new version during its roll-out.
    pub canary_bound: CanaryBound,
    /// Maximum number of requests in flight; further ones are refused.
    pub max_in_flight: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Whether to emit [`ForwardAction::RecordDecision`] for each decision.
    pub records_decisions: bool,
    /// How the slowness of servers relative to their peers is estimated.
    pub slowness: SlownessStrategy,
    /// How stalls of servers are anticipated. A stall is a short period without any
    /// answer, for example during a garbage collection.
    pub stalls: StallStrategy,
    /// Which requests are first sent to a single server as a canary.
    pub canary: CanaryStrategy,
    /// Whether ranks decide at admission, too: whether a request of a restricted rank is
    /// refused, or kept from short shards. Without it, ranks decide on hedges and repeats.
    pub rank_admission: bool,
    /// Whether entries divide the connections of servers that accept fewer than one from
    /// each entry. Without it, every entry may have one.
    pub connection_subsets: bool,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        ForwardOptions {
            domain: "unnamed".into(),
            regions: RegionMap::default(),
            local_id: "".into(),
            extra: ExtraBound::default(),
            cold: ColdBound::default(),
            canary_bound: CanaryBound::default(),
            max_in_flight: 512,
            seed: 1,
            records_decisions: true,
            slowness: SlownessStrategy::default(),
            stalls: StallStrategy::default(),
            canary: CanaryStrategy::default(),
            rank_admission: false,
            connection_subsets: false,
        }
    }
}

/// State of one service, or of the group of entries of one failure domain.
#[derive(Debug, Default)]
pub(super) struct UpstreamState {
    /// Name of the service.
    pub(super) name: Arc<str>,
    /// Maximum number of connections to each server, over all entries.
    pub(super) connections: u32,
    /// Requests per second that a cold server may get; 0 means unlimited.
    pub(super) cold_per_s: f64,
    /// Whether this is a group of entries: its servers are then the other entries
    /// of one failure domain.
    pub(super) is_entry: bool,
    /// Servers that accept requests.
    pub(super) servers: Vec<ServerKey>,
    /// Budget for extra load (retries and hedges) on this service.
    pub(super) budget: ExtraBudget,
    /// Parts that wait for a server with capacity: request and index of the part.
    pub(super) waiting: VecDeque<(SlotKey, usize)>,
    /// Fraction of recent requests for which the service had no capacity.
    pub(super) shortage_rate: DecayingRate,
    /// Fraction of the recent bundles that were requested with this shard and were
    /// answered without it. A bundle is several shards of one request, sent to
    /// another entry in one message.
    pub(super) bundle_miss_rate: DecayingRate,
    /// Counters since the process started.
    pub(super) counts: UpstreamCounts,
    /// Key of the shard's group, which selects the owner of the shard among the
    /// entries of a failure domain by rendezvous hashing; `None` if the service is
    /// not a shard of a route that is divided among the entries.
    pub(super) group_key: Option<Box<str>>,
    /// Whether this entry owns the shard within its failure domain.
    pub(super) owns_shard: bool,
    /// Shortage level of the service, for decisions by rank.
    pub(super) shortage: UpstreamShortage,
    /// Generation of the views and connection limit from which the places at the servers
    /// were computed, if they were.
    pub(super) places_key: Option<(u64, u32)>,
    /// Servers for which the places were computed, and whether each got requests then.
    pub(super) places_servers: Vec<(ServerKey, bool)>,
    /// Latest roll-out of the service, if there was one.
    pub(super) rollout: Option<UpstreamRollout>,
}

/// State machine for all requests forwarded by one entry instance.
///
/// Four arenas hold the state: `calls` the requests in flight, `attempts` the
/// messages without a result, `servers` the servers and the other entries, and
/// `upstreams` the services. They refer to each other by key.
#[derive(Debug)]
pub struct ForwardMachine {
    pub(super) options: ForwardOptions,
    pub(super) rng: SmallRng,
    /// Current route table; `None` until the first one arrives.
    pub(super) table: Option<Arc<RouteTable>>,
    /// Number of entries that share the servers.
    pub(super) entry_count: u32,
    /// Number of entries in this failure domain, including this one.
    pub(super) domain_entry_count: u32,
    /// Whether a list of the entries has been received.
    pub(super) knows_peers: bool,
    /// Announcements of the servers.
    pub(super) directory: ServerDirectory,
    /// Failure domains that an operator evacuated: their servers get no requests.
    pub(super) evacuated: Vec<Box<str>>,
    pub(super) upstreams: KeyArena<UpstreamKey, UpstreamState>,
    pub(super) upstreams_by_name: HashMap<Box<str>, UpstreamKey>,
    pub(super) servers: KeyArena<ServerKey, ServerState>,
    pub(super) servers_by_id: HashMap<Box<str>, ServerKey>,
    /// Failure domains with other entries, each with the key of its group of
    /// entries in `upstreams`.
    pub(super) peer_domains: Vec<(Box<str>, UpstreamKey)>,
    pub(super) calls: SlotArena<CallState>,
    pub(super) calls_by_tag: HashMap<CallTag, SlotKey>,
    pub(super) attempts: SlotArena<ForwardAttempt>,
    /// Observed times of each route, and of attempts sent to other entries.
    pub(super) timings: Vec<RouteTiming>,
    /// Index in `timings` of the timing of attempts sent to other entries.
    pub(super) relay_timing: usize,
    pub(super) timings_by_route: HashMap<Box<str>, usize>,
    /// Counters of the split routes by route name, which choose services by weight.
    pub(super) split_counters: HashMap<Box<str>, SplitScheduler>,
    pub(super) timers: TimerHeap<ForwardTimer>,
    pub(super) counters: ForwardCounters,
    /// Statistics of expected against actual answer times.
    pub(super) expectations: ExpectationStats,
    /// Suspect requests: those under which servers crashed, by their fingerprint.
    pub(super) suspects: SuspectRegistry,
    /// Recent server crashes.
    pub(super) crash_watch: CrashWatch,
    /// Servers whose connections broke and that may have ended.
    pub(super) server_ends: EndWatch,
    /// Histogram of the intervals between stalls, over all servers.
    pub(super) stall_intervals: IntervalHistogram,
    /// Earliest time of the next probe: a request that is admitted to find out
    /// whether shards that were missing from recent bundles answer again.
    pub(super) next_probe_at: Duration,
    /// Work by workspace, and the workspaces that are limited to their share.
    pub(super) shares: ShareGate,
    /// Time of the last contact with the control group.
    pub(super) control_seen_at: Duration,
    /// State of the decisions by rank.
    pub(super) ranks: RankControl,
    /// Views of the list of entries, from which the places at the servers of services with
    /// scarce connections follow.
    pub(super) views: ViewHistory,
    /// Whether a list of the entries has named this entry.
    pub(super) was_listed: bool,
    /// Time of the first list of the entries.
    pub(super) first_listed_at: Duration,
    /// Places as last recorded for the log.
    pub(super) logged_places: PlaceTotals,
    /// Time of the current step.
    step_time: Duration,
}

impl ForwardMachine {
    /// Returns a machine without route table, servers or requests.
    pub fn new(options: ForwardOptions) -> ForwardMachine {
        ForwardMachine {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            table: None,
            entry_count: ASSUMED_ENTRIES,
            domain_entry_count: ASSUMED_ENTRIES,
            knows_peers: false,
            directory: ServerDirectory::default(),
            evacuated: Vec::new(),
            upstreams: KeyArena::default(),
            upstreams_by_name: HashMap::new(),
            servers: KeyArena::default(),
            servers_by_id: HashMap::new(),
            peer_domains: Vec::new(),
            calls: SlotArena::default(),
            calls_by_tag: HashMap::new(),
            attempts: SlotArena::default(),
            timings: vec![RouteTiming::default()],
            relay_timing: 0,
            timings_by_route: HashMap::new(),
            split_counters: HashMap::new(),
            timers: TimerHeap::default(),
            counters: ForwardCounters::default(),
            expectations: ExpectationStats::default(),
            suspects: SuspectRegistry::default(),
            crash_watch: CrashWatch::default(),
            server_ends: EndWatch::default(),
            stall_intervals: IntervalHistogram::default(),
            next_probe_at: Duration::ZERO,
            shares: ShareGate::default(),
            control_seen_at: Duration::ZERO,
            ranks: RankControl::default(),
            views: ViewHistory::default(),
            was_listed: false,
            first_listed_at: Duration::ZERO,
            logged_places: PlaceTotals::default(),
            step_time: Duration::ZERO,
        }
    }

    /// Handles one input at time `now` (since the process started), runs the timers
    /// that are due, and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: ForwardInput, out: &mut Vec<ForwardAction>) {
        self.step_time = now;
        match input {
            ForwardInput::Table(table) => self.set_table(table, now, out),
            ForwardInput::Announcement(announcement) => {
                self.handle_announcement(announcement, now, out)
            }
            ForwardInput::LeaseExpiry(id, expired) => self.set_expired(&id, expired, now, out),
            ForwardInput::EvacuatedDomains(domains) => self.set_evacuated(domains, now, out),
            ForwardInput::Rollouts(views) => self.set_rollouts(views, out),
            ForwardInput::ControlContact => self.record_contact(now, out),
            ForwardInput::EntryCount(entries) => self.set_entry_count(entries, now, out),
            ForwardInput::Peers(peers) => self.set_peers(peers, now, out),
            ForwardInput::Suspects(records) => self.merge_suspects(&records, now, out),
            ForwardInput::Call(call) => self.begin_request(call, now, out),
            ForwardInput::RelayAcknowledged(attempt) => {
                self.handle_acknowledgement(attempt, now, out)
            }
            ForwardInput::AllowanceRaised(tag, attempts) => {
                self.handle_raised_allowance(tag, attempts, now, out)
            }
            ForwardInput::CallerLeft(tag) => self.handle_caller_left(tag, now, out),
            ForwardInput::AttemptEnded { attempt, end } => {
                self.handle_attempt_end(attempt, end, now, out)
            }
            ForwardInput::Connected { server, took } => {
                self.handle_connected(server, took, now, out)
            }
            ForwardInput::ConnectionRefused { server, took } => {
                self.handle_connection_refused(server, took, now, out)
            }
            ForwardInput::Connections { server, idle, open } => {
                self.record_connections(server, idle, open, now, out);
                self.record_open_connections(server, open, now, out);
            }
            ForwardInput::ConnectionLimitReached { attempt, limit } => {
                self.handle_connection_limit(attempt, limit, now, out)
            }
            ForwardInput::LoadSummary(summary) => {
                self.set_load_summary(&summary, now);
                self.apply_workspace_shares(&summary.workspaces, now, out);
            }
            ForwardInput::Wake => {}
        }
        self.run_timers(now, out);
    }

    /// Returns the time at which the next timer is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the identity of this instance's current incarnation.
    pub fn local_id(&self) -> &str {
        &self.options.local_id
    }

    /// Returns digests of the ready servers, one for each group of server ids, by
    /// which two directories are compared; empty if no server is known.
    pub fn server_digests(&self) -> Vec<u64> {
        if self.directory.is_empty() {
            return Vec::new();
        }
        self.directory.bucket_digests()
    }

    /// Returns the current route table.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the counters since the process started.
    pub fn counters(&self) -> ForwardCounters {
        self.counters
    }

    /// Returns the statistics of expected against actual answer times.
    pub fn expectations(&self) -> &ExpectationStats {
        &self.expectations
    }

    /// Returns the number of requests in flight.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Iterates over the services: name, counters, number of servers that accept
    /// requests, and number of retries and hedges left in the budget.
    pub fn services(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&str, UpstreamCounts, usize, f64)> {
        let bound = self.options.extra;
        self.upstreams.iter().map(move |(key, upstream)| {
            let budget_left = upstream
                .budget
                .remaining(&bound, self.budget_sharing(key), now);
            let servers = upstream.servers.iter();
            let servers = servers.filter(|server| self.servers[**server].displaced_by.is_none());
            (
                &*upstream.name,
                upstream.counts,
                servers.count(),
                budget_left,
            )
        })
    }

    /// Iterates over the weighted services of all split routes: route name,
    /// weighted service, and number of requests sent to it since the weights last
    /// changed.
    pub fn split_counts(&self) -> impl Iterator<Item = (&str, &WeightedService, u64)> {
        let routes = self.table.iter().flat_map(|table| table.routes());
        routes.flat_map(|route| {
            let counter = self.split_counters.get(&*route.name);
            let counts = counter.map_or(&[][..], SplitScheduler::counts);
            let weighted_services = match &route.target {
                RouteTarget::Split(weighted) => &weighted[..],
                RouteTarget::Service(_) | RouteTarget::Gather(_) => &[],
            };
            let counted = weighted_services.iter().zip(counts);
            counted.map(|(service, count)| (&*route.name, service, *count))
        })
    }

    /// Returns the number of servers and other entries in the ready state.
    pub fn server_count(&self) -> usize {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| server.standing == ServerLifecycle::Ready)
            .count()
    }

    /// Runs all timers that are due.
    fn run_timers(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        while let Some(timer) = self.timers.take_due(now) {
            match timer {
                ForwardTimer::SoftDeadline(call) => self.handle_soft_deadline(call, now, out),
                ForwardTimer::HardDeadline(call) => self.handle_hard_deadline(call, now, out),
                ForwardTimer::Sweep(call) => self.sweep(call, now, out),
                ForwardTimer::Orphan(attempt) => self.cancel_orphan(attempt, out),
                ForwardTimer::BreakCheck(server) => self.check_breaks(server, now, out),
                ForwardTimer::PlacesSettled => self.handle_settled_places(now, out),
                ForwardTimer::ContactCheck => self.review_contact(now, out),
                ForwardTimer::OpeningAllowed(server) => {
                    self.handle_opening_allowed(server, now, out)
                }
            }
        }
    }

    /// Replaces the route table, unless the new one is not newer.
    fn set_table(&mut self, table: Arc<RouteTable>, now: Duration, out: &mut Vec<ForwardAction>) {
        let current_version = self.table.as_ref().map_or(0, |table| table.version());
        if self.table.is_some() && table.version() <= current_version {
            return;
        }
        for service in table.services() {
            let upstream = self.find_or_add_upstream(&service.name);
            self.upstreams[upstream].connections = service.connections.max(1);
            self.upstreams[upstream].cold_per_s = service.cold_per_s;
        }
        self.assign_shard_groups(&table);
        self.assign_rank_groups(&table);
        self.end_unauthorized(&table, now, out);
        self.table = Some(table);
        self.update_places_for_table(now, out);
    }

    /// Returns the key of a service, and registers the service if it is new.
    pub(super) fn find_or_add_upstream(&mut self, name: &str) -> UpstreamKey {
        if let Some(upstream) = self.upstreams_by_name.get(name) {
            return *upstream;
        }
        let upstream = self.upstreams.push(UpstreamState {
            name: name.into(),
            connections: DEFAULT_CONNECTIONS,
            ..UpstreamState::default()
        });
        self.upstreams_by_name.insert(name.into(), upstream);
        upstream
    }

    /// Returns the index of a route's timing, and creates the timing if the route
    /// is new.
    pub(super) fn find_or_add_timing(&mut self, route: &str) -> usize {
        if let Some(timing) = self.timings_by_route.get(route) {
            return *timing;
        }
        self.timings.push(RouteTiming::default());
        let timing = self.timings.len() - 1;
        self.timings_by_route.insert(route.into(), timing);
        timing
    }

    /// Emits a decision about a request for the log, if decisions are recorded.
    pub(super) fn record_decision(
        &self,
        call: CallTag,
        out: &mut Vec<ForwardAction>,
        decision: impl FnOnce() -> ForwardDecision,
    ) {
        if !self.options.records_decisions {
            return;
        }
        out.push(ForwardAction::RecordDecision(ForwardEvent {
            at: self.step_time,
            call,
            decision: decision(),
        }));
    }

    /// Returns the name of a server's service and the server's id.
    pub(super) fn server_names(&self, server: ServerKey) -> (Arc<str>, Arc<str>) {
        let state = &self.servers[server];
        let service = self.upstreams[state.upstream].name.clone();
        (service, state.id.clone())
    }
}
