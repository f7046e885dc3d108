//! The entry machine: every decision of an instance for its callers' requests.
//!
//! The machine has one entry point, [`EntryMachine::step`]. Its parts stand in
//! files of their own: admission, scatter, route, replies, sweep and finish.

use std::collections::HashMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::arena::{SlotArena, SlotKey};
use crate::process::action::EntryAction;
use crate::process::counters::EntryCounters;
use crate::process::gate::GateKeeper;
use crate::process::input::{CallTag, EntryInput};
use crate::process::news::ServerNews;
use crate::process::policy::RoutePolicy;
use crate::process::roster::{NewsEffect, UpstreamRoster};
use crate::process::timer::{TimerHeap, TimerPurpose};
use crate::request::decision::{DecisionEvent, RouteDecision};
use crate::request::identity::RequestId;
use crate::request::query::{AttemptState, QueryState, ShardState};
use crate::version::table::ServiceTable;

/// The checks that keep the promises.
///
/// All are on in a running instance. A test switches one off to show that the
/// broken promise would be noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GuardSet {
    /// A reply must name its attempt and request.
    pub identity: bool,
    /// A reply must name its shard.
    pub shard: bool,
    /// A reply must come from the query's snapshot.
    pub snapshot: bool,
    /// A leaving server gets no new work.
    pub drain: bool,
    /// A request that may not be repeated is sent again only if it is known
    /// not to have run.
    pub once: bool,
    /// "Not run" is said only if it is known.
    pub refusal: bool,
}

impl Default for GuardSet {
    fn default() -> Self {
        GuardSet {
            identity: true,
            shard: true,
            snapshot: true,
            drain: true,
            once: true,
            refusal: true,
        }
    }
}

/// Settings of an entry machine.
#[derive(Debug, Clone)]
pub struct EntryOptions {
    pub(super) incarnation: u64,
    pub(super) seed: u64,
    pub(super) instances: u32,
    pub(super) in_flight: u32,
    pub(super) decisions_per_second: u32,
    pub(super) guards: GuardSet,
}

impl EntryOptions {
    /// Returns a builder with the defaults.
    pub fn builder() -> EntryOptionsBuilder {
        EntryOptionsBuilder {
            options: EntryOptions {
                incarnation: 1,
                seed: 1,
                instances: 1,
                in_flight: 512,
                decisions_per_second: 2000,
                guards: GuardSet::default(),
            },
        }
    }
}

/// Builds [`EntryOptions`].
#[derive(Debug, Clone)]
pub struct EntryOptionsBuilder {
    options: EntryOptions,
}

impl EntryOptionsBuilder {
    /// Sets the random number that makes identities unique over restarts.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.options.incarnation = incarnation;
        self
    }

    /// Sets the seed of the machine's random numbers.
    pub fn seed(mut self, seed: u64) -> Self {
        self.options.seed = seed;
        self
    }

    /// Sets the number of instances that share each server's limits.
    pub fn instances(mut self, instances: u32) -> Self {
        self.options.instances = instances;
        self
    }

    /// Sets the most requests at work in the instance.
    pub fn in_flight(mut self, in_flight: u32) -> Self {
        self.options.in_flight = in_flight;
        self
    }

    /// Sets how many decisions of requests are recorded in a second, at most.
    pub fn decisions_per_second(mut self, decisions: u32) -> Self {
        self.options.decisions_per_second = decisions;
        self
    }

    /// Sets the guards; for tests.
    pub fn guards(mut self, guards: GuardSet) -> Self {
        self.options.guards = guards;
        self
    }

    /// Returns the options.
    pub fn build(self) -> EntryOptions {
        self.options
    }
}

/// Time after which an instance serves with what it has learned.
pub const LEARN_TIME: Duration = Duration::from_secs(3);
/// Most shard lists kept for reuse.
const SPARE_LISTS: usize = 256;

/// Decides for all requests of one instance.
#[derive(Debug)]
pub struct EntryMachine<P> {
    pub(super) policy: P,
    pub(super) options: EntryOptions,
    pub(super) rng: SmallRng,
    pub(super) roster: UpstreamRoster,
    pub(super) gates: GateKeeper,
    pub(super) queries: SlotArena<QueryState>,
    pub(super) calls: HashMap<CallTag, SlotKey>,
    pub(super) attempts: SlotArena<AttemptState>,
    pub(super) timers: TimerHeap,
    pub(super) counters: EntryCounters,
    pub(super) table_version: u64,
    pub(super) requests: u64,
    pub(super) attempt_count: u64,
    pub(super) leaving: bool,
    left: bool,
    trace_tokens: f64,
    trace_at: Duration,
    spare: Vec<Vec<ShardState>>,
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Returns a machine without table or servers.
    pub fn new(options: EntryOptions, policy: P) -> EntryMachine<P> {
        EntryMachine {
            policy,
            rng: SmallRng::seed_from_u64(options.seed),
            roster: UpstreamRoster::new(options.instances),
            gates: GateKeeper::new(options.in_flight),
            queries: SlotArena::default(),
            calls: HashMap::new(),
            attempts: SlotArena::default(),
            timers: TimerHeap::default(),
            counters: EntryCounters::default(),
            table_version: 0,
            requests: 0,
            attempt_count: 0,
            leaving: false,
            left: false,
            trace_tokens: f64::from(options.decisions_per_second),
            trace_at: Duration::ZERO,
            spare: Vec::new(),
            options,
        }
    }

    /// Takes one input at time `now` (since the process started) and appends
    /// what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Announce(news) => self.announce(news, now, out),
            EntryInput::Expired(name) => self.roster.expire(&name, now),
            EntryInput::Vouch(names) => self.roster.vouch(&names, now),
            EntryInput::Instances(count) => self.roster.divide(count),
            EntryInput::Submit(request) => self.handle_request(request, now, out),
            EntryInput::CallerLeft(call) => self.handle_caller_left(call, now, out),
            EntryInput::Reply(reply) => self.reply(reply, now, out),
            EntryInput::Connection(change) => {
                self.roster.server_mut(change.server).idle = change.idle;
            }
            EntryInput::Table(table) => self.adopt(table, now, out),
            EntryInput::Wake => {}
            EntryInput::Leave => self.leaving = true,
        }
        self.run_timers(now, out);
        self.start_queued_requests(now, out);
        if self.leaving && !self.left && self.queries.is_empty() {
            self.left = true;
            out.push(EntryAction::Left);
        }
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the counts so far.
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the roster of upstream servers.
    pub fn roster(&self) -> &UpstreamRoster {
        &self.roster
    }

    /// Returns the gates of the services.
    pub fn gates(&self) -> &GateKeeper {
        &self.gates
    }

    /// Returns the version of the table in force.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Returns the number of requests at work or queued.
    pub fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// Tells whether the instance knows enough to serve: a table is in
    /// force, and every upstream in it has a whole snapshot or time enough to
    /// learn has passed.
    pub fn is_learned(&self, now: Duration) -> bool {
        if self.table_version == 0 {
            return false;
        }
        if now >= LEARN_TIME {
            return true;
        }
        let is_whole = |upstream: &str| {
            let choice = self
                .roster
                .upstream(upstream)
                .and_then(|upstream| self.roster.choose_snapshot(upstream, now));
            choice.is_some_and(|choice| choice.live == choice.shards)
        };
        let mut rows = self.gates.iter().filter_map(|(_, gate)| gate.row.as_ref());
        rows.all(|row| is_whole(&row.upstream))
    }

    fn adopt(&mut self, table: ServiceTable, now: Duration, out: &mut Vec<EntryAction>) {
        if table.version() <= self.table_version {
            return;
        }
        self.table_version = table.version();
        self.gates.adopt(&table);
        let decision = RouteDecision::Table {
            version: table.version(),
            services: table.rows().count(),
        };
        self.decide(None, decision, now, out);
    }

    fn announce(&mut self, news: ServerNews, now: Duration, out: &mut Vec<EntryAction>) {
        let effect = self.roster.apply(news, now);
        let server = match effect {
            NewsEffect::Stale | NewsEffect::Refused => {
                self.counters.stale_announcements += 1;
                return;
            }
            NewsEffect::Renewed(server) => {
                self.counters.announcements += 1;
                self.route_queued_shards(server, now, out);
                return;
            }
            NewsEffect::Changed(server) => server,
        };
        self.counters.announcements += 1;
        let record = self.roster.server(server);
        let decision = RouteDecision::Place {
            server: record.name.clone(),
            phase: record.phase,
            snapshots: record.held.len(),
        };
        self.decide(None, decision, now, out);
        self.route_queued_shards(server, now, out);
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        while let Some(purpose) = self.timers.take_due(now) {
            match purpose {
                TimerPurpose::Deadline(query) => self.handle_deadline(query, now, out),
                TimerPurpose::Partial(query) => self.allow_partial_answer(query, now, out),
                TimerPurpose::Sweep(query) => self.sweep_query(query, now, out),
            }
        }
    }

    /// Records a decision.
    pub(super) fn decide(
        &mut self,
        request: Option<RequestId>,
        decision: RouteDecision,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        out.push(EntryAction::RecordDecision(Box::new(DecisionEvent {
            at: now,
            request,
            decision,
        })));
    }

    /// Records a decision of a query, if its decisions are recorded. The
    /// decision is made up only then.
    pub(super) fn decide_query(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
        decision: impl FnOnce(&Self) -> RouteDecision,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if !state.is_traced {
            return;
        }
        let request = state.request;
        let decision = decision(self);
        self.decide(Some(request), decision, now, out);
    }

    /// Tells whether a query's decisions are to be recorded. Sampling is by
    /// whole queries, so that a recorded story is complete.
    pub(super) fn take_trace(&mut self, now: Duration) -> bool {
        let rate = f64::from(self.options.decisions_per_second);
        let elapsed = now.saturating_sub(self.trace_at).as_secs_f64();
        self.trace_at = now;
        self.trace_tokens = (self.trace_tokens + elapsed * rate).min(rate);
        self.trace_tokens > 0.0
    }

    /// Charges a traced query's decisions to the sampling rate.
    pub(super) fn charge_trace(&mut self, decisions: usize) {
        self.trace_tokens -= decisions as f64;
    }

    /// Returns an empty shard list, a used one if there is one.
    pub(super) fn spare_shards(&mut self) -> Vec<ShardState> {
        self.spare.pop().unwrap_or_default()
    }

    /// Keeps a shard list for reuse.
    pub(super) fn keep_shards(&mut self, mut shards: Vec<ShardState>) {
        shards.clear();
        if self.spare.len() < SPARE_LISTS {
            self.spare.push(shards);
        }
    }
}
