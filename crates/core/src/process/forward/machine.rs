//! The forward machine: every decision of an entry for the requests it
//! forwards.
//!
//! One entry point, [`ForwardMachine::step`]. Its parts stand in files of
//! their own: notices, begin, send, choose, hedge, relay, reply
//! and end.

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
use crate::process::forward::counts::{ForwardCounters, UpstreamCounts};
use crate::process::forward::directory::{ServerDirectory, ServerStanding};
use crate::process::forward::expectation::ExpectationBook;
use crate::process::forward::extra::{ExtraBound, ExtraBudget};
use crate::process::forward::fading::FadingShare;
use crate::process::forward::input::ForwardInput;
use crate::process::forward::pace::PaceWay;
use crate::process::forward::pause::{IntervalVote, PauseWay};
use crate::process::forward::place::RegionMap;
use crate::process::forward::server::ServerState;
use crate::process::forward::split::SplitCounter;
use crate::process::forward::suspect::crash_watch::CrashWatch;
use crate::process::forward::suspect::registry::SuspectRegistry;
use crate::process::forward::timing::RouteTiming;
use crate::process::forward::version::UpstreamRollout;
use crate::process::input::CallTag;
use crate::process::rollout::share::CanaryBound;
use crate::process::timer::TimerHeap;
use crate::version::route_table::{RouteTable, RouteTarget, WeightedService};

/// Connections of a service that no table names.
const UNNAMED_CONNECTIONS: u32 = 8;
/// Entries that are taken to share a server before their number is known.
const ENTRIES_UNKNOWN: u32 = 8;

/// What a timer is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ForwardTimer {
    /// The last moment for an answer in time.
    Aim(SlotKey),
    /// The last moment for any answer.
    Limit(SlotKey),
    /// Outstanding attempts are looked over.
    Sweep(SlotKey),
    /// An attempt that nobody waits for should have ended.
    Orphan(SlotKey),
}

/// Settings of a forward machine.
#[derive(Debug, Clone)]
pub struct ForwardOptions {
    /// Failure domain of the instance.
    pub domain: Box<str>,
    /// Regions of the failure domains, as far as they are known.
    pub regions: RegionMap,
    /// Identity of the instance's lifetime among the entries.
    pub own: Box<str>,
    /// Bound on extra load.
    pub extra: ExtraBound,
    /// Bound on what cold servers get.
    pub cold: ColdBound,
    /// Bound on requests to a version that is rolled out and not proved good.
    pub canary_bound: CanaryBound,
    /// Most requests at work.
    pub in_flight: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Whether decisions are recorded.
    pub records: bool,
    /// How it is estimated how fast a server is.
    pub pace: PaceWay,
    /// How pauses of servers are met.
    pub pauses: PauseWay,
    /// Which requests one server tries before the others get them.
    pub canary: CanaryStrategy,
}

impl Default for ForwardOptions {
    fn default() -> Self {
        ForwardOptions {
            domain: "unnamed".into(),
            regions: RegionMap::default(),
            own: "".into(),
            extra: ExtraBound::default(),
            cold: ColdBound::default(),
            canary_bound: CanaryBound::default(),
            in_flight: 512,
            seed: 1,
            records: true,
            pace: PaceWay::default(),
            pauses: PauseWay::default(),
            canary: CanaryStrategy::default(),
        }
    }
}

/// What an entry knows of a service.
#[derive(Debug, Default)]
pub(super) struct UpstreamState {
    pub(super) name: Arc<str>,
    pub(super) connections: u32,
    /// Requests that a server takes in a second while it is cold; 0 for no
    /// bound.
    pub(super) cold_per_s: f64,
    /// Whether it stands for the entries of a failure domain.
    pub(super) is_entry: bool,
    pub(super) servers: Vec<ServerKey>,
    pub(super) budget: ExtraBudget,
    /// Parts that wait for a server with room.
    pub(super) waiting: VecDeque<(SlotKey, usize)>,
    /// Fraction of the last requests that it had no room for.
    pub(super) shortage: FadingShare,
    /// Fraction of the bundles that came without it lately.
    pub(super) bundle_misses: FadingShare,
    /// Counts since the start.
    pub(super) counts: UpstreamCounts,
    /// What the entries of a failure domain divide it by, if it is a shard that
    /// they divide.
    pub(super) share_key: Option<Box<str>>,
    /// Whether it falls to this entry among those of its failure domain.
    pub(super) holds: bool,
    /// Its last roll-out.
    pub(super) rollout: Option<UpstreamRollout>,
}

/// Decides for the forwarded requests of one instance.
#[derive(Debug)]
pub struct ForwardMachine {
    pub(super) options: ForwardOptions,
    pub(super) rng: SmallRng,
    pub(super) table: Option<Arc<RouteTable>>,
    pub(super) entries: u32,
    /// Entries of this failure domain, this one among them.
    pub(super) near_entries: u32,
    /// Whether it was told of the entries.
    pub(super) knows_peers: bool,
    pub(super) directory: ServerDirectory,
    /// Failure domains out of use: their servers are sent nothing.
    pub(super) evacuated: Vec<Box<str>>,
    pub(super) upstreams: KeyArena<UpstreamKey, UpstreamState>,
    pub(super) upstream_names: HashMap<Box<str>, UpstreamKey>,
    pub(super) servers: KeyArena<ServerKey, ServerState>,
    pub(super) server_ids: HashMap<Box<str>, ServerKey>,
    /// Failure domains with entries, and what stands for these.
    pub(super) peer_domains: Vec<(Box<str>, UpstreamKey)>,
    pub(super) calls: SlotArena<CallState>,
    pub(super) tags: HashMap<CallTag, SlotKey>,
    pub(super) attempts: SlotArena<ForwardAttempt>,
    pub(super) timings: Vec<RouteTiming>,
    /// Place of the timing of requests passed on.
    pub(super) relay_timing: usize,
    pub(super) timing_names: HashMap<Box<str>, usize>,
    pub(super) splits: HashMap<Box<str>, SplitCounter>,
    pub(super) timers: TimerHeap<ForwardTimer>,
    pub(super) counters: ForwardCounters,
    pub(super) expectations: ExpectationBook,
    /// Requests under which servers ended.
    pub(super) suspects: SuspectRegistry,
    /// Servers that ended lately.
    pub(super) end_watch: CrashWatch,
    /// What the servers say of the interval of their pauses.
    pub(super) pause_vote: IntervalVote,
    /// When a request may be let in again that depends on doubtful shards.
    pub(super) probe_at: Duration,
    /// Until when the load is taken to shift between entries.
    pub(super) shifts_until: Duration,
    /// When the control group last said that it is there.
    pub(super) heard_at: Duration,
    /// Time of the step that is being taken.
    clock: Duration,
}

impl ForwardMachine {
    /// Returns a machine without table or servers.
    pub fn new(options: ForwardOptions) -> ForwardMachine {
        ForwardMachine {
            rng: SmallRng::seed_from_u64(options.seed),
            options,
            table: None,
            entries: ENTRIES_UNKNOWN,
            near_entries: ENTRIES_UNKNOWN,
            knows_peers: false,
            directory: ServerDirectory::default(),
            evacuated: Vec::new(),
            upstreams: KeyArena::default(),
            upstream_names: HashMap::new(),
            servers: KeyArena::default(),
            server_ids: HashMap::new(),
            peer_domains: Vec::new(),
            calls: SlotArena::default(),
            tags: HashMap::new(),
            attempts: SlotArena::default(),
            timings: vec![RouteTiming::default()],
            relay_timing: 0,
            timing_names: HashMap::new(),
            splits: HashMap::new(),
            timers: TimerHeap::default(),
            counters: ForwardCounters::default(),
            expectations: ExpectationBook::default(),
            suspects: SuspectRegistry::default(),
            end_watch: CrashWatch::default(),
            pause_vote: IntervalVote::default(),
            probe_at: Duration::ZERO,
            shifts_until: Duration::ZERO,
            heard_at: Duration::ZERO,
            clock: Duration::ZERO,
        }
    }

    /// Takes one input at time `now` (since the process started) and appends
    /// what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: ForwardInput, out: &mut Vec<ForwardAction>) {
        self.clock = now;
        match input {
            ForwardInput::Table(table) => self.adopt(table, now, out),
            ForwardInput::Notice(notice) => self.notice(notice, now, out),
            ForwardInput::Silent(id, silent) => self.set_silent(&id, silent, now),
            ForwardInput::Evacuated(domains) => self.set_evacuated(domains, now, out),
            ForwardInput::Rollouts(views) => self.set_rollouts(views, out),
            ForwardInput::Heard => self.heard_at = now,
            ForwardInput::Entries(entries) => self.entries = entries.max(1),
            ForwardInput::Peers(peers) => self.set_peers(peers, now, out),
            ForwardInput::Suspects(records) => self.merge_suspects(&records, now, out),
            ForwardInput::Call(call) => self.begin(call, now, out),
            ForwardInput::Alive(attempt) => self.hear_alive(attempt, now, out),
            ForwardInput::Granted(tag, attempts) => self.take_grant(tag, attempts, now, out),
            ForwardInput::CallerLeft(tag) => self.caller_left(tag, now, out),
            ForwardInput::Ended { attempt, end } => self.handle_attempt_end(attempt, end, now, out),
            ForwardInput::Connected { server, took } => self.servers[server].connected(took),
            ForwardInput::Idle { server, idle } => self.servers[server].idle = idle,
            ForwardInput::Wake => {}
        }
        self.run_timers(now, out);
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the identity of this lifetime among the entries.
    pub fn own(&self) -> &str {
        &self.options.own
    }

    /// Returns digests of the servers known, by part of their ids; none if no
    /// server is known.
    pub fn server_digests(&self) -> Vec<u64> {
        if self.directory.is_empty() {
            return Vec::new();
        }
        self.directory.part_digests()
    }

    /// Returns the table in force.
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref()
    }

    /// Returns the counts so far.
    pub fn counters(&self) -> ForwardCounters {
        self.counters
    }

    /// Returns the account of expected against real times.
    pub fn expectations(&self) -> &ExpectationBook {
        &self.expectations
    }

    /// Returns the number of requests at work.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Iterates over the services: name, counts, servers that take work, and
    /// repeats that the bound on extra load leaves room for.
    pub fn services(
        &self,
        now: Duration,
    ) -> impl Iterator<Item = (&str, UpstreamCounts, usize, f64)> {
        let bound = self.options.extra;
        self.upstreams.iter().map(move |(key, upstream)| {
            let room = upstream.budget.room(&bound, self.extra_view(key), now);
            (
                &*upstream.name,
                upstream.counts,
                upstream.servers.len(),
                room,
            )
        })
    }

    /// Iterates over the parts of the routes that are split: route, part, and the
    /// requests that went to it since its weights last changed.
    pub fn split_counts(&self) -> impl Iterator<Item = (&str, &WeightedService, u64)> {
        let routes = self.table.iter().flat_map(|table| table.routes());
        routes.flat_map(|route| {
            let counter = self.splits.get(&*route.name);
            let counts = counter.map_or(&[][..], SplitCounter::counts);
            let parts = match &route.target {
                RouteTarget::Split(parts) => &parts[..],
                RouteTarget::Service(_) | RouteTarget::Gather(_) => &[],
            };
            let counted = parts.iter().zip(counts);
            counted.map(|(part, count)| (&*route.name, part, *count))
        })
    }

    /// Returns the number of servers that take work.
    pub fn server_count(&self) -> usize {
        let servers = self.servers.iter();
        servers
            .filter(|(_, server)| server.standing == ServerStanding::Ready)
            .count()
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<ForwardAction>) {
        while let Some(timer) = self.timers.take_due(now) {
            match timer {
                ForwardTimer::Aim(call) => self.aim_due(call, now, out),
                ForwardTimer::Limit(call) => self.limit_due(call, now, out),
                ForwardTimer::Sweep(call) => self.sweep(call, now, out),
                ForwardTimer::Orphan(attempt) => self.orphan_due(attempt, out),
            }
        }
    }

    fn adopt(&mut self, table: Arc<RouteTable>, now: Duration, out: &mut Vec<ForwardAction>) {
        let have = self.table.as_ref().map_or(0, |table| table.version());
        if self.table.is_some() && table.version() <= have {
            return;
        }
        for service in table.services() {
            let upstream = self.upstream(&service.name);
            self.upstreams[upstream].connections = service.connections.max(1);
            self.upstreams[upstream].cold_per_s = service.cold_per_s;
        }
        self.find_shares(&table);
        self.end_keyless(&table, now, out);
        self.table = Some(table);
    }

    /// Returns the key of a service, a new one if it was not known.
    pub(super) fn upstream(&mut self, name: &str) -> UpstreamKey {
        if let Some(upstream) = self.upstream_names.get(name) {
            return *upstream;
        }
        let upstream = self.upstreams.push(UpstreamState {
            name: name.into(),
            connections: UNNAMED_CONNECTIONS,
            ..UpstreamState::default()
        });
        self.upstream_names.insert(name.into(), upstream);
        upstream
    }

    /// Returns the place of a route's timing.
    pub(super) fn timing(&mut self, route: &str) -> usize {
        if let Some(timing) = self.timing_names.get(route) {
            return *timing;
        }
        self.timings.push(RouteTiming::default());
        let timing = self.timings.len() - 1;
        self.timing_names.insert(route.into(), timing);
        timing
    }

    /// Records a decision about a request.
    pub(super) fn decide(
        &self,
        call: CallTag,
        out: &mut Vec<ForwardAction>,
        decision: impl FnOnce() -> ForwardDecision,
    ) {
        if !self.options.records {
            return;
        }
        out.push(ForwardAction::Decide(ForwardEvent {
            at: self.clock,
            call,
            decision: decision(),
        }));
    }

    /// Returns the name of a server's service and its id.
    pub(super) fn names(&self, server: ServerKey) -> (Arc<str>, Arc<str>) {
        let state = &self.servers[server];
        let service = self.upstreams[state.upstream].name.clone();
        (service, state.id.clone())
    }
}
