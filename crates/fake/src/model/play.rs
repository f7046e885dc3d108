//! The play itself: events in virtual time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::answer::{AttemptOrder, ForwardAction, ForwardAnswer};
use wheelmast_core::process::forward::input::{AttemptResult, ForwardCall, ForwardInput};
use wheelmast_core::process::forward::roll::select_known_peers;
use wheelmast_core::process::input::CallTag;

use crate::model::bound::BoundWatch;
use crate::model::caller::ModelCaller;
use crate::model::entry::ModelEntry;
use crate::model::event::{EventQueue, PlayEvent};
use crate::model::relay::RelayedCall;
use crate::model::server::{JobKey, ModelServer, ServerJob};
use crate::model::spec::PlaySpec;
use crate::model::tally::{CallerEnd, KindTally, PlayTally};
use crate::model::told::{
    domain_of, mark_of, notice_of, peers_of, route_table, ATTEMPTS, DOMAINS, HOST,
};

/// What the seed of the arrivals differs by from that of the rest.
const ARRIVAL_SEED: u64 = 0x5eed;
/// Time after which a connection that is not answered counts as failed.
pub(super) const OPEN_TIME: Duration = Duration::from_millis(300);
/// Time after the traffic in which everything ends.
const LAST_TIME: Duration = Duration::from_secs(8);

/// Plays a specification with a seed.
///
/// # Panics
///
/// Panics if the specification makes no route table.
pub fn play(spec: &PlaySpec, seed: u64) -> PlayTally {
    let mut state = PlayState::new(spec, seed);
    for kind in 0..spec.kinds.len() {
        state.plan_next(kind);
    }
    if let Some(deadly) = &spec.deadly {
        for (turn, at) in deadly.at.iter().enumerate() {
            state.events.push(*at, PlayEvent::Deadly { turn });
        }
    }
    while let Some((at, event)) = state.events.pop() {
        if at > spec.length + LAST_TIME {
            break;
        }
        state.now = at;
        state.take(event);
    }
    state.finish()
}

/// The state of a play. What happens at its servers is in `work.rs`.
pub(super) struct PlayState<'a> {
    pub(super) spec: &'a PlaySpec,
    pub(super) rng: SmallRng,
    /// For the callers alone: they come alike whatever the entries decide.
    pub(super) arrivals: SmallRng,
    pub(super) now: Duration,
    pub(super) events: EventQueue,
    pub(super) entries: Vec<ModelEntry>,
    pub(super) servers: Vec<ModelServer>,
    pub(super) server_places: HashMap<Arc<str>, usize>,
    pub(super) jobs: Vec<ServerJob>,
    pub(super) callers: Vec<ModelCaller>,
    /// What entries ask of each other.
    pub(super) relayed: HashMap<CallTag, RelayedCall>,
    pub(super) entry_places: HashMap<Arc<str>, usize>,
    /// The caller of a try, and whether a server ran a part of it.
    pub(super) tries: HashMap<CallTag, (usize, bool)>,
    /// Arrivals of a try at the servers of a shard.
    pub(super) sent: HashMap<(CallTag, usize), u32>,
    /// Runs of a try at the servers of a shard.
    pub(super) runs: HashMap<(CallTag, usize), u32>,
    /// Work done for tries that wait for their answer.
    pub(super) work: HashMap<CallTag, Duration>,
    /// When the requests that end servers came to these.
    pub(super) deadly: HashMap<usize, Vec<Duration>>,
    /// When servers ended under them.
    pub(super) crashes: HashMap<usize, Vec<Duration>>,
    pub(super) bound: BoundWatch,
    pub(super) tally: PlayTally,
    pub(super) next_tag: u64,
}

impl<'a> PlayState<'a> {
    fn new(spec: &'a PlaySpec, seed: u64) -> PlayState<'a> {
        // Drawn apart from the rest: a play without pauses stays as it was.
        let mut phases = SmallRng::seed_from_u64(seed);
        let mut servers = Vec::new();
        for shard in 0..spec.shards {
            for domain in 0..DOMAINS.len() {
                let id = format!("s{shard}-{domain}");
                let mut server = ModelServer::new(id, domain, spec.slots, spec.queue);
                server.pauses = spec.pauses.map(|pauses| {
                    let first = pauses.every.mul_f64(phases.random());
                    (pauses, first)
                });
                let hits = spec
                    .faults
                    .iter()
                    .filter(|fault| fault.shards.contains(&shard) && fault.server == domain);
                server.faults = hits
                    .map(|fault| (fault.from, fault.until, fault.effect))
                    .collect();
                servers.push(server);
            }
        }
        let table = Arc::new(route_table(spec));
        let peers = peers_of(spec);
        let entries = peers.iter().enumerate().map(|(number, peer)| {
            let own_seed = seed.wrapping_mul(1000) + number as u64;
            let mut entry = ModelEntry::new(spec, peer, domain_of(spec, number), own_seed);
            let cuts = spec.cuts.iter().filter(|cut| cut.entries.contains(&number));
            entry.cuts = cuts.map(|cut| (cut.from, cut.until)).collect();
            entry.obey(table.clone(), peers.len() as u32);
            let known = select_known_peers(peer, &peers)
                .into_iter()
                .cloned()
                .collect();
            let _ = entry.step(Duration::ZERO, ForwardInput::Peers(known));
            for (place, server) in servers.iter().enumerate() {
                let notice = notice_of(place, server, spec.slots);
                let _ = entry.step(Duration::ZERO, ForwardInput::Announcement(notice));
            }
            entry
        });
        let entries = entries.collect();
        let ids = peers.iter().enumerate();
        let entry_places = ids.map(|(place, peer)| (peer.id().into(), place)).collect();
        let places = servers.iter().enumerate();
        let server_places = places
            .map(|(place, server)| (server.id.as_str().into(), place))
            .collect();
        PlayState {
            spec,
            rng: SmallRng::seed_from_u64(seed),
            arrivals: SmallRng::seed_from_u64(seed ^ ARRIVAL_SEED),
            now: Duration::ZERO,
            events: EventQueue::default(),
            entries,
            servers,
            server_places,
            jobs: Vec::new(),
            callers: Vec::new(),
            relayed: HashMap::new(),
            entry_places,
            tries: HashMap::new(),
            sent: HashMap::new(),
            runs: HashMap::new(),
            work: HashMap::new(),
            deadly: HashMap::new(),
            crashes: HashMap::new(),
            bound: BoundWatch::default(),
            tally: PlayTally {
                kinds: vec![KindTally::default(); spec.kinds.len()],
                ..PlayTally::default()
            },
            next_tag: 0,
        }
    }

    fn take(&mut self, event: PlayEvent) {
        match event {
            PlayEvent::Come { kind } => self.come(kind),
            PlayEvent::Deadly { turn } => self.deadly_comes(turn),
            PlayEvent::Crash { job } => self.crash(job),
            PlayEvent::Revive { server } => self.revive(server),
            PlayEvent::Suspects { entry, records } => self.hear_suspects(entry, records),
            PlayEvent::Try { caller } => self.make_try(caller),
            PlayEvent::Wake { entry } => {
                self.entries[entry].armed = Duration::MAX;
                self.step(entry, ForwardInput::Wake);
            }
            PlayEvent::Reach { job } => self.reach(job),
            PlayEvent::Finish { job } => self.finish_job(job),
            PlayEvent::RelayReach { tag } => self.relay_reaches(tag),
            PlayEvent::RelaySign { tag } => self.relay_signs(tag),
            PlayEvent::RelayGrant { tag, attempts } => self.relay_granted(tag, attempts),
            PlayEvent::RelayEnd { tag, end } => self.relay_ended(tag, *end),
            PlayEvent::RelayLeft { tag } => self.relay_left(tag),
            PlayEvent::End {
                entry,
                attempt,
                end,
                job,
            } => self.end_attempt(entry, attempt, *end, job),
        }
    }

    /// Plans the next caller of a kind.
    fn plan_next(&mut self, kind: usize) {
        let gap =
            Exp::new(self.spec.kinds[kind].rate).map_or(0.0, |gap| gap.sample(&mut self.arrivals));
        let at = self.now + Duration::from_secs_f64(gap);
        if gap > 0.0 && at < self.spec.length {
            self.events.push(at, PlayEvent::Come { kind });
        }
    }

    fn come(&mut self, kind: usize) {
        self.plan_next(kind);
        let spec = &self.spec.kinds[kind];
        self.tally.kinds[kind].asked += 1;
        self.tally.kinds[kind].owed += spec.worth;
        let mut number = self.callers.len();
        if self.spec.variety > 0 {
            number = kind * self.spec.variety + self.rng.random_range(0..self.spec.variety);
        }
        let mark = mark_of(number);
        self.callers
            .push(ModelCaller::new(kind, mark, self.now, spec.limit));
        self.make_try(self.callers.len() - 1);
    }

    fn make_try(&mut self, caller: usize) {
        let entry = self.pick_entry();
        self.try_at(caller, entry);
    }

    pub(super) fn try_at(&mut self, caller: usize, entry: usize) {
        self.next_tag += 1;
        let tag = CallTag(self.next_tag);
        let state = &mut self.callers[caller];
        state.tries_left -= 1;
        self.bound.request(self.now);
        let left = state.until.saturating_sub(self.now);
        let (name, mark) = (self.spec.kinds[state.kind].name, state.mark);
        self.tries.insert(tag, (caller, false));
        let call = ForwardCall {
            tag,
            host: HOST.into(),
            path: format!("/{name}/x").into(),
            mark,
            key: None,
            arrived_at: self.now,
            time_left: Some(left),
            relayed: None,
        };
        self.step(entry, ForwardInput::Call(call));
    }

    /// Picks an entry as a balancer does that knows which are cut off.
    fn pick_entry(&mut self) -> usize {
        let able: Vec<usize> = (0..self.entries.len())
            .filter(|entry| !self.entries[*entry].is_cut(self.now))
            .collect();
        able[self.rng.random_range(0..able.len())]
    }

    pub(super) fn step(&mut self, entry: usize, input: ForwardInput) {
        let actions = self.entries[entry].step(self.now, input);
        for action in actions {
            match action {
                ForwardAction::Send(order) => self.send(entry, &order),
                ForwardAction::RaiseAllowance(attempt, attempts) => {
                    self.grant(entry, attempt, attempts)
                }
                ForwardAction::Cancel(attempt) => self.cancel(entry, attempt),
                ForwardAction::Answer { call, answer } => self.answered(entry, call, &answer),
                ForwardAction::CloseIdle(server) => {
                    if self.entries[entry].idle.remove(&server).is_some() {
                        self.report_connections(entry, server);
                    }
                }
                ForwardAction::PublishSuspect(record) => self.tell_suspect(entry, record),
                ForwardAction::RecordDecision(_) => {}
            }
        }
        let state = &mut self.entries[entry];
        if let Some(next) = state.machine.next_wake() {
            if next < state.armed {
                state.armed = next;
                self.events
                    .push(next.max(self.now), PlayEvent::Wake { entry });
            }
        }
    }

    fn send(&mut self, entry: usize, order: &AttemptOrder) {
        if let Some(relay) = order.relay.clone() {
            return self.send_relay(entry, order, relay);
        }
        let root = self.root_of(order.call);
        let place = self.server_places[&order.instance];
        let has_idle = self.entries[entry].take_idle(order.server);
        let is_far = self.servers[place].domain != self.entries[entry].domain;
        let there_and_back = if is_far {
            self.spec.far_way
        } else {
            self.spec.near_way
        };
        let caller = self.tries.get(&root).map(|(caller, _)| *caller);
        let kind = caller.map_or(0, |caller| self.callers[caller].kind);
        let job = self.jobs.len();
        self.jobs.push(ServerJob {
            entry,
            attempt: order.attempt,
            call: root,
            server: place,
            kind,
            way: there_and_back / 2,
            begun: None,
            is_closed: false,
            is_over: false,
            deadly: None,
        });
        self.entries[entry]
            .jobs
            .insert(order.attempt, (job, order.server));
        let server = &self.servers[place];
        if server.is_down(self.now) || *server.id != *order.instance {
            return self.plan_end(job, there_and_back, AttemptResult::Unsent);
        }
        let is_cut = self.entries[entry].is_cut(self.now);
        if !has_idle && (is_cut || self.servers[place].is_dark(self.now)) {
            return self.plan_end(job, OPEN_TIME, AttemptResult::Unsent);
        }
        let mut takes = there_and_back / 2;
        if !has_idle {
            takes += there_and_back + self.spec.handshake;
            let connected = ForwardInput::Connected {
                server: order.server,
                took: there_and_back + self.spec.handshake,
            };
            let _ = self.entries[entry].step(self.now, connected);
        }
        self.events.push(self.now + takes, PlayEvent::Reach { job });
    }

    pub(super) fn plan_end(&mut self, job: JobKey, after: Duration, end: AttemptResult) {
        let state = &self.jobs[job];
        let event = PlayEvent::End {
            entry: state.entry,
            attempt: state.attempt,
            end: Box::new(end),
            job,
        };
        self.events.push(self.now + after, event);
    }

    /// Reports the connections of an entry to a server after a change.
    pub(super) fn report_connections(&mut self, entry: usize, server: ServerKey) {
        let connections = self.entries[entry].connections(server);
        self.step(entry, connections);
    }

    fn end_attempt(&mut self, entry: usize, attempt: SlotKey, end: AttemptResult, job: JobKey) {
        let state = &mut self.entries[entry];
        if state.is_cut(self.now) && matches!(end, AttemptResult::Answer(_)) {
            return;
        }
        let Some((_, server)) = state.jobs.remove(&attempt) else {
            return;
        };
        if matches!(end, AttemptResult::Answer(_)) && !self.jobs[job].is_closed {
            state.keep_idle(server);
            self.report_connections(entry, server);
            return self.step(entry, ForwardInput::AttemptEnded { attempt, end });
        }
        self.step(entry, ForwardInput::AttemptEnded { attempt, end });
        self.report_connections(entry, server);
    }

    fn answered(&mut self, entry: usize, call: CallTag, answer: &ForwardAnswer) {
        if self.relay_answered(call, answer) {
            return;
        }
        let is_cut = self.entries[entry].is_cut(self.now);
        let Some((caller, ran)) = self.tries.remove(&call) else {
            return;
        };
        let work = self.work.remove(&call).unwrap_or_default();
        let (end, told) = match answer {
            _ if is_cut => (CallerEnd::Failed, None),
            ForwardAnswer::Gathered {
                stamps, missing, ..
            } => {
                let all = (stamps.len() + missing) as f64;
                let end = CallerEnd::Answered {
                    after: self.now - self.callers[caller].came,
                    coverage: stamps.len() as f64 / all,
                };
                (end, None)
            }
            ForwardAnswer::Failure {
                failure,
                retry_after,
            } if failure.is_known_unrun() => {
                self.tally.false_refusals += u32::from(ran);
                (CallerEnd::Refused, *retry_after)
            }
            ForwardAnswer::Failure { .. } | ForwardAnswer::Server(_) => (CallerEnd::Failed, None),
        };
        if let ForwardAnswer::Failure { failure, .. } = answer {
            self.note_barred(caller, *failure);
        }
        if !matches!(end, CallerEnd::Answered { .. }) {
            self.tally.wasted += work;
            let state = &mut self.callers[caller];
            if let Some(at) = state.next_try(told, self.now) {
                state.came_back |= end == CallerEnd::Refused;
                return self.events.push(at, PlayEvent::Try { caller });
            }
        }
        self.count(caller, end);
    }

    fn count(&mut self, caller: usize, end: CallerEnd) {
        let state = &self.callers[caller];
        if state.deadly.is_some() {
            // Nobody owes it anything.
            return;
        }
        let spec = &self.spec.kinds[state.kind];
        let tally = &mut self.tally.kinds[state.kind];
        tally.returns += u32::from(state.came_back);
        match end {
            CallerEnd::Answered { after, coverage } if after <= spec.objective => {
                tally.in_time += 1;
                tally.earned += spec.worth * coverage * coverage;
            }
            CallerEnd::Answered { coverage, .. } => {
                tally.late += 1;
                tally.earned += spec.late_worth * coverage * coverage;
            }
            CallerEnd::Refused => tally.refused += 1,
            CallerEnd::Failed => tally.failed += 1,
        }
    }

    fn finish(mut self) -> PlayTally {
        let runs = self.runs.values();
        let over = runs.filter(|runs| **runs > ATTEMPTS).count();
        self.tally.over_attempts = over;
        self.tally.late_deadly = self.count_late();
        for entry in &self.entries {
            let book = entry.machine.expectations();
            self.tally.expectations.merge(book);
        }
        self.tally.excess = self.bound.excess(&self.spec.extra);
        let running: u32 = self.servers.iter().map(|server| server.running).sum();
        let calls: usize = self
            .entries
            .iter()
            .map(|entry| entry.machine.call_count())
            .sum();
        self.tally.left = running as usize + calls + self.tries.len();
        self.tally
    }
}
