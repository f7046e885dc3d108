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
use crate::process::gate::AdmissionGates;
use crate::process::input::{CallTag, EntryInput};
use crate::process::news::UpstreamAnnouncement;
use crate::process::policy::RoutePolicy;
use crate::process::roster::{RosterChange, UpstreamRoster};
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
pub struct EntrySafetyChecks {
    /// A reply must name its attempt and request.
    pub reply_identity: bool,
    /// A reply must name its shard.
    pub shard: bool,
    /// A reply must come from the query's snapshot.
    pub snapshot: bool,
    /// A leaving server gets no new work.
    pub drain: bool,
    /// A request that may not be repeated is sent again only if it is known
    /// not to have run.
    pub single_run: bool,
    /// "Not run" is said only if it is known.
    pub not_run_claim: bool,
}

impl Default for EntrySafetyChecks {
    fn default() -> Self {
        EntrySafetyChecks {
            reply_identity: true,
            shard: true,
            snapshot: true,
            drain: true,
            single_run: true,
            not_run_claim: true,
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
    pub(super) safety_checks: EntrySafetyChecks,
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
                safety_checks: EntrySafetyChecks::default(),
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
    pub fn safety_checks(mut self, safety_checks: EntrySafetyChecks) -> Self {
        self.options.safety_checks = safety_checks;
        self
    }

    /// Returns the options.
    pub fn build(self) -> EntryOptions {
        self.options
    }
}

/// Time after which an instance serves with what it has learned.
pub const READY_TIMEOUT: Duration = Duration::from_secs(3);
/// Most shard lists kept for reuse.
const MAX_SPARE_LISTS: usize = 256;

/// Decides for all requests of one instance.
#[derive(Debug)]
pub struct EntryMachine<P> {
    pub(super) policy: P,
    pub(super) options: EntryOptions,
    pub(super) rng: SmallRng,
    pub(super) roster: UpstreamRoster,
    pub(super) gates: AdmissionGates,
    pub(super) queries: SlotArena<QueryState>,
    pub(super) calls: HashMap<CallTag, SlotKey>,
    pub(super) attempts: SlotArena<AttemptState>,
    pub(super) timers: TimerHeap,
    pub(super) counters: EntryCounters,
    pub(super) table_version: u64,
    pub(super) requests: u64,
    pub(super) attempt_count: u64,
    pub(super) is_leaving: bool,
    has_left: bool,
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
            gates: AdmissionGates::new(options.in_flight),
            queries: SlotArena::default(),
            calls: HashMap::new(),
            attempts: SlotArena::default(),
            timers: TimerHeap::default(),
            counters: EntryCounters::default(),
            table_version: 0,
            requests: 0,
            attempt_count: 0,
            is_leaving: false,
            has_left: false,
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
            EntryInput::Announce(announcement) => self.handle_announcement(announcement, now, out),
            EntryInput::Expired(name) => self.roster.end_lease(&name, now),
            EntryInput::Vouch(names) => self.roster.renew_leases(&names, now),
            EntryInput::InstanceCount(count) => self.roster.set_instance_count(count),
            EntryInput::Submit(request) => self.submit(request, now, out),
            EntryInput::CallerLeft(call) => self.caller_left(call, now, out),
            EntryInput::Reply(reply) => self.reply(reply, now, out),
            EntryInput::Connection(change) => {
                self.roster.server_mut(change.server).idle = change.idle;
            }
            EntryInput::Table(table) => self.apply_table(table, now, out),
            EntryInput::Wake => {}
            EntryInput::Leave => self.is_leaving = true,
        }
        self.run_timers(now, out);
        self.start_waiting(now, out);
        if self.is_leaving && !self.has_left && self.queries.is_empty() {
            self.has_left = true;
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
    pub fn gates(&self) -> &AdmissionGates {
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
    pub fn is_ready(&self, now: Duration) -> bool {
        if self.table_version == 0 {
            return false;
        }
        if now >= READY_TIMEOUT {
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

    fn apply_table(&mut self, table: ServiceTable, now: Duration, out: &mut Vec<EntryAction>) {
        if table.version() <= self.table_version {
            return;
        }
        self.table_version = table.version();
        self.gates.apply_table(&table);
        let decision = RouteDecision::Table {
            version: table.version(),
            services: table.rows().count(),
        };
        self.record_decision(None, decision, now, out);
    }

    fn handle_announcement(
        &mut self,
        announcement: UpstreamAnnouncement,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        let effect = self.roster.apply_announcement(announcement, now);
        let server = match effect {
            RosterChange::Stale | RosterChange::Refused => {
                self.counters.stale_announcements += 1;
                return;
            }
            RosterChange::Renewed(server) => {
                self.counters.announcements += 1;
                self.serve_waiters(server, now, out);
                return;
            }
            RosterChange::Changed(server) => server,
        };
        self.counters.announcements += 1;
        let record = self.roster.server(server);
        let decision = RouteDecision::Place {
            server: record.name.clone(),
            phase: record.phase,
            snapshots: record.held.len(),
        };
        self.record_decision(None, decision, now, out);
        self.serve_waiters(server, now, out);
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<EntryAction>) {
        while let Some(purpose) = self.timers.take_due(now) {
            match purpose {
                TimerPurpose::Deadline(query) => self.deadline_passed(query, now, out),
                TimerPurpose::Partial(query) => self.partial_due(query, now, out),
                TimerPurpose::Sweep(query) => self.sweep(query, now, out),
            }
        }
    }

    /// Records a decision.
    pub(super) fn record_decision(
        &mut self,
        request: Option<RequestId>,
        decision: RouteDecision,
        now: Duration,
        out: &mut Vec<EntryAction>,
    ) {
        out.push(EntryAction::Decide(Box::new(DecisionEvent {
            at: now,
            request,
            decision,
        })));
    }

    /// Records a decision of a query, if its decisions are recorded. The
    /// decision is made up only then.
    pub(super) fn record_query_decision(
        &mut self,
        query: SlotKey,
        now: Duration,
        out: &mut Vec<EntryAction>,
        decision: impl FnOnce(&Self) -> RouteDecision,
    ) {
        let Some(state) = self.queries.get(query) else {
            return;
        };
        if !state.traced {
            return;
        }
        let request = state.request;
        let decision = decision(self);
        self.record_decision(Some(request), decision, now, out);
    }

    /// Tells whether a query's decisions are to be recorded. Sampling is by
    /// whole queries, so that a recorded story is complete.
    pub(super) fn try_start_trace(&mut self, now: Duration) -> bool {
        let rate = f64::from(self.options.decisions_per_second);
        let elapsed = now.saturating_sub(self.trace_at).as_secs_f64();
        self.trace_at = now;
        self.trace_tokens = (self.trace_tokens + elapsed * rate).min(rate);
        self.trace_tokens > 0.0
    }

    /// Charges a traced query's decisions to the sampling rate.
    pub(super) fn charge_trace_budget(&mut self, decisions: usize) {
        self.trace_tokens -= decisions as f64;
    }

    /// Returns an empty shard list, a used one if there is one.
    pub(super) fn take_spare_shards(&mut self) -> Vec<ShardState> {
        self.spare.pop().unwrap_or_default()
    }

    /// Keeps a shard list for reuse.
    pub(super) fn recycle_shards(&mut self, mut shards: Vec<ShardState>) {
        shards.clear();
        if self.spare.len() < MAX_SPARE_LISTS {
            self.spare.push(shards);
        }
    }
}
