//! The entry machine: a state machine that takes all decisions of one entry
//! instance about its callers' requests for snapshot queries.
//!
//! All inputs go through [`EntryMachine::step`]. The steps of a request are
//! implemented in `admission`, `scatter`, `route`, `replies`, `sweep_query` and `finish`.

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

/// Switches of the checks that protect the correctness of answers and refusals.
///
/// All are on in production. Tests switch one off to prove that they would
/// detect a violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntrySafetyChecks {
    /// Whether a reply is dropped unless it carries the identity of its attempt
    /// and request.
    pub reply_identity: bool,
    /// Whether a reply for another shard is dropped.
    pub shard: bool,
    /// Whether a reply computed on another snapshot than the query's is dropped.
    pub snapshot: bool,
    /// Whether a server that is draining or whose lease has expired gets no new
    /// subqueries.
    pub drain: bool,
    /// Whether a request that must not run twice is sent again only if no server
    /// can have run it.
    pub single_run: bool,
    /// Whether a refusal states "not run" only if no server can have run the
    /// request.
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

/// Settings of an [`EntryMachine`].
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
    /// Returns a builder with default settings.
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
    /// Sets the random number that makes request identities unique across
    /// restarts.
    pub fn incarnation(mut self, incarnation: u64) -> Self {
        self.options.incarnation = incarnation;
        self
    }

    /// Sets the seed of the machine's random number generator.
    pub fn seed(mut self, seed: u64) -> Self {
        self.options.seed = seed;
        self
    }

    /// Sets the number of entry instances that share each server's limits.
    pub fn instances(mut self, instances: u32) -> Self {
        self.options.instances = instances;
        self
    }

    /// Sets the maximum number of requests running in the instance.
    pub fn in_flight(mut self, in_flight: u32) -> Self {
        self.options.in_flight = in_flight;
        self
    }

    /// Sets the maximum number of request decisions recorded per second.
    pub fn decisions_per_second(mut self, decisions: u32) -> Self {
        self.options.decisions_per_second = decisions;
        self
    }

    /// Sets which safety checks are on, for tests.
    pub fn safety_checks(mut self, safety_checks: EntrySafetyChecks) -> Self {
        self.options.safety_checks = safety_checks;
        self
    }

    /// Returns the finished options.
    pub fn build(self) -> EntryOptions {
        self.options
    }
}

/// Time since the start after which an instance becomes ready even if it does not
/// yet know live servers for every shard.
pub const READY_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of empty shard lists kept for reuse.
const MAX_SPARE_LISTS: usize = 256;

/// State of one entry instance: admission, known servers and running requests.
#[derive(Debug)]
pub struct EntryMachine<P> {
    pub(super) policy: P,
    pub(super) options: EntryOptions,
    pub(super) rng: SmallRng,
    pub(super) roster: UpstreamRoster,
    pub(super) gates: AdmissionGates,
    pub(super) queries: SlotArena<QueryState>,
    /// Queries by the identifiers that the driver chose for them.
    pub(super) calls: HashMap<CallTag, SlotKey>,
    pub(super) attempts: SlotArena<AttemptState>,
    pub(super) timers: TimerHeap,
    pub(super) counters: EntryCounters,
    pub(super) table_version: u64,
    /// Number of requests received; the sequence number of the newest request.
    pub(super) requests: u64,
    /// Number of attempts sent, used for attempt identities.
    pub(super) attempt_count: u64,
    /// Whether the instance is shutting down and admits no new requests.
    pub(super) is_leaving: bool,
    /// Whether the end of the shutdown has been reported.
    has_left: bool,
    /// Sampling tokens of the decision log; one decision costs one token.
    trace_tokens: f64,
    /// Time at which the sampling tokens were last refilled.
    trace_at: Duration,
    /// Cleared shard lists for reuse by new queries.
    spare_shard_lists: Vec<Vec<ShardState>>,
}

impl<P: RoutePolicy> EntryMachine<P> {
    /// Creates a machine that has no service table and knows no servers yet.
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
            spare_shard_lists: Vec::new(),
            options,
        }
    }

    /// Handles one input at time `now` (since the process started) and appends the
    /// resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: EntryInput, out: &mut Vec<EntryAction>) {
        match input {
            EntryInput::Announce(announcement) => self.handle_announcement(announcement, now, out),
            EntryInput::Expired(name) => self.roster.end_lease(&name, now),
            EntryInput::Vouch(names) => self.roster.renew_leases(&names, now),
            EntryInput::InstanceCount(count) => self.roster.set_instance_count(count),
            EntryInput::Submit(request) => self.handle_request(request, now, out),
            EntryInput::CallerLeft(call) => self.handle_caller_left(call, now, out),
            EntryInput::Reply(reply) => self.reply(reply, now, out),
            EntryInput::Connection(change) => {
                self.roster.server_mut(change.server).idle = change.idle;
            }
            EntryInput::Table(table) => self.apply_table(table, now, out),
            EntryInput::Wake => {}
            EntryInput::Leave => self.is_leaving = true,
        }
        self.run_timers(now, out);
        self.start_queued_requests(now, out);
        if self.is_leaving && !self.has_left && self.queries.is_empty() {
            self.has_left = true;
            out.push(EntryAction::Left);
        }
    }

    /// Returns when the next timer is due, if one is set.
    pub fn next_wake(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Returns the event counters.
    pub fn counters(&self) -> EntryCounters {
        self.counters
    }

    /// Returns the roster of upstream servers.
    pub fn roster(&self) -> &UpstreamRoster {
        &self.roster
    }

    /// Returns the admission gates of the services.
    pub fn gates(&self) -> &AdmissionGates {
        &self.gates
    }

    /// Returns the version of the current service table; 0 if there is none.
    pub fn table_version(&self) -> u64 {
        self.table_version
    }

    /// Returns the number of requests that are running or queued.
    pub fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// Returns whether the instance is ready to serve: it has a service table, and
    /// each upstream in the table has a snapshot with a live server for every shard
    /// or [`READY_TIMEOUT`] has passed.
    pub fn is_ready(&self, now: Duration) -> bool {
        if self.table_version == 0 {
            return false;
        }
        if now >= READY_TIMEOUT {
            return true;
        }
        let is_fully_live = |upstream: &str| {
            let choice = self
                .roster
                .upstream(upstream)
                .and_then(|upstream| self.roster.choose_snapshot(upstream, now));
            choice.is_some_and(|choice| choice.live == choice.shards)
        };
        let mut rows = self.gates.iter().filter_map(|(_, gate)| gate.row.as_ref());
        rows.all(|row| is_fully_live(&row.upstream))
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
        let change = self.roster.apply_announcement(announcement, now);
        let server = match change {
            RosterChange::Stale | RosterChange::Refused => {
                self.counters.stale_announcements += 1;
                return;
            }
            RosterChange::Renewed(server) => {
                self.counters.announcements += 1;
                self.route_queued_shards(server, now, out);
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

    /// Emits a decision for the decision log.
    pub(super) fn record_decision(
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

    /// Emits a decision of a query if the query is sampled for the decision log.
    /// Calls `decision` to build the record only in that case.
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
        if !state.is_traced {
            return;
        }
        let request = state.request;
        let decision = decision(self);
        self.record_decision(Some(request), decision, now, out);
    }

    /// Returns whether a new query is sampled for the decision log, after refilling
    /// the sampling tokens. Either all decisions of a query are recorded or none, so
    /// each recorded sequence is complete.
    pub(super) fn try_start_trace(&mut self, now: Duration) -> bool {
        let rate = f64::from(self.options.decisions_per_second);
        let elapsed = now.saturating_sub(self.trace_at).as_secs_f64();
        self.trace_at = now;
        self.trace_tokens = (self.trace_tokens + elapsed * rate).min(rate);
        self.trace_tokens > 0.0
    }

    /// Deducts the decisions of a sampled query from the sampling tokens.
    pub(super) fn charge_trace_budget(&mut self, decisions: usize) {
        self.trace_tokens -= decisions as f64;
    }

    /// Returns an empty shard list, reusing a recycled one if possible.
    pub(super) fn take_spare_shards(&mut self) -> Vec<ShardState> {
        self.spare_shard_lists.pop().unwrap_or_default()
    }

    /// Clears a shard list and keeps it for reuse, to save an allocation.
    pub(super) fn recycle_shards(&mut self, mut shards: Vec<ShardState>) {
        shards.clear();
        if self.spare_shard_lists.len() < MAX_SPARE_LISTS {
            self.spare_shard_lists.push(shards);
        }
    }
}
