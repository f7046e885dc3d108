//! A forward machine with servers that the test plays.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wheelmast_core::arena::SlotKey;
use wheelmast_core::process::forward::answer::{
    AttemptOrder, ForwardAction, ForwardAnswer, ForwardFailure,
};
use wheelmast_core::process::forward::directory::{ServerNotice, ServerStanding};
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{
    AttemptEnd, BundleAnswer, EntryPeer, ForwardCall, ForwardInput, RelayOrder, ServerAnswer,
};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{
    CallerLimits, RouteDraft, RouteRule, RouteTable, RouteTarget, ServiceRule,
};
use wheelmast_core::version::workspace::KeyDigest;

pub(crate) const HOST: &str = "shop.example";
pub(crate) const HOME: &str = "here";

/// Returns a route with sensible values.
pub(crate) fn route(name: &str, target: RouteTarget) -> RouteRule {
    RouteRule {
        name: name.to_string(),
        host: HOST.to_string(),
        prefix: format!("/{name}/"),
        target,
        idempotent: true,
        time_limit_ms: 1000,
        objective_ms: 100,
        attempts: 2,
        rank: 1,
        top: 3,
        least_coverage: 0.5,
        homes: Vec::new(),
        public: false,
    }
}

/// Returns a table with these routes and whatever services they name.
pub(crate) fn table(version: u64, routes: Vec<RouteRule>) -> Arc<RouteTable> {
    let names = routes.iter().flat_map(RouteRule::services);
    let mut names: Vec<String> = names.map(str::to_string).collect();
    names.sort();
    names.dedup();
    let services = names.into_iter().map(|name| ServiceRule {
        name,
        connections: 100,
        cold_per_s: 0.0,
    });
    let draft = RouteDraft {
        version,
        services: services.collect(),
        routes,
        limits: CallerLimits::default(),
        workspaces: None,
    };
    Arc::new(RouteTable::check(draft).expect("a good table"))
}

/// Returns the notice of a server that is ready.
pub(crate) fn notice(id: &str, service: &str, domain: &str, port: u16) -> ServerNotice {
    ServerNotice {
        id: id.into(),
        service: service.into(),
        address: Some(([127, 0, 0, 1], port).into()),
        domain: domain.into(),
        version: "".into(),
        slots: 2,
        standing: ServerStanding::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    }
}

/// Returns a server's answer.
pub(crate) fn answer(status: u16, stamp: &str, body: &'static [u8]) -> ServerAnswer {
    ServerAnswer {
        status,
        stamp: Some(stamp.into()),
        not_run: false,
        load: None,
        headers: Vec::new(),
        body: Bytes::from_static(body),
    }
}

/// A machine and what it asked for.
pub(crate) struct Harness {
    pub(crate) machine: ForwardMachine,
    pub(crate) now: Duration,
    pub(crate) sends: Vec<AttemptOrder>,
    pub(crate) answers: Vec<(CallTag, ForwardAnswer)>,
    pub(crate) cancels: Vec<SlotKey>,
    /// Attempts that other entries were granted.
    pub(crate) grants: Vec<(SlotKey, u32)>,
    /// What the others are told of requests under which servers ended.
    pub(crate) suspects: Vec<SuspectRecord>,
    /// How often the idle connections to a server were closed.
    pub(crate) closes: usize,
    tags: u64,
}

impl Harness {
    pub(crate) fn new() -> Harness {
        Harness::with_bound(ExtraBound {
            ratio: 0.2,
            slack: 1000.0,
            window: Duration::from_secs(10),
        })
    }

    pub(crate) fn with_bound(extra: ExtraBound) -> Harness {
        Harness::with_options(ForwardOptions {
            domain: HOME.into(),
            extra,
            ..ForwardOptions::default()
        })
    }

    /// One of the entries of the home domain.
    pub(crate) fn at_home(number: u16) -> Harness {
        Harness::with_options(ForwardOptions {
            domain: HOME.into(),
            own: home_peer(number).id(),
            extra: ExtraBound {
                ratio: 1.0,
                slack: 0.0,
                window: Duration::from_secs(10),
            },
            ..ForwardOptions::default()
        })
    }

    pub(crate) fn with_options(options: ForwardOptions) -> Harness {
        Harness {
            machine: ForwardMachine::new(options),
            now: Duration::from_secs(1),
            sends: Vec::new(),
            answers: Vec::new(),
            cancels: Vec::new(),
            grants: Vec::new(),
            suspects: Vec::new(),
            closes: 0,
            tags: 0,
        }
    }

    pub(crate) fn step(&mut self, input: ForwardInput) {
        let mut out = Vec::new();
        self.machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                ForwardAction::Send(order) => self.sends.push(order),
                ForwardAction::Answer { call, answer } => self.answers.push((call, answer)),
                ForwardAction::Grant(attempt, attempts) => self.grants.push((attempt, attempts)),
                ForwardAction::Cancel(attempt) => self.cancels.push(attempt),
                ForwardAction::Close(_) => self.closes += 1,
                ForwardAction::Suspect(record) => self.suspects.push(record),
                ForwardAction::Decide(_) => {}
            }
        }
    }

    /// Puts a table in force.
    pub(crate) fn obey(&mut self, table: Arc<RouteTable>) {
        self.step(ForwardInput::Table(table));
    }

    /// Announces servers of a service, named after it, in the home domain.
    pub(crate) fn serve(&mut self, service: &str, count: u16) {
        for number in 0..count {
            let port = 1000 + self.machine.server_count() as u16;
            let id = format!("{service}-{number}");
            self.step(ForwardInput::Notice(notice(&id, service, HOME, port)));
        }
    }

    /// Announces one server somewhere.
    pub(crate) fn serve_in(&mut self, service: &str, domain: &str) {
        let port = 1000 + self.machine.server_count() as u16;
        let id = format!("{service}-{domain}");
        self.step(ForwardInput::Notice(notice(&id, service, domain, port)));
    }

    /// Makes other entries known.
    pub(crate) fn meet(&mut self, domains: &[&str]) {
        let peers = domains.iter().enumerate().map(|(index, domain)| EntryPeer {
            instance: format!("entry-{domain}").into(),
            lifetime: 7,
            domain: (*domain).into(),
            address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        });
        self.step(ForwardInput::Peers(peers.collect()));
    }

    /// Makes entries of one other domain known.
    pub(crate) fn meet_in(&mut self, domain: &str, count: u16) {
        let peers = (0..count).map(|number| EntryPeer {
            domain: domain.into(),
            ..home_peer(number)
        });
        self.step(ForwardInput::Peers(peers.collect()));
    }

    /// Makes entries of the home domain known, this one among them.
    pub(crate) fn meet_at_home(&mut self, count: u16) {
        let peers = (0..count).map(home_peer).collect();
        self.step(ForwardInput::Peers(peers));
    }

    /// Makes a request on a route.
    pub(crate) fn call(&mut self, route: &str) -> CallTag {
        self.call_as(route, None, None)
    }

    pub(crate) fn call_as(
        &mut self,
        route: &str,
        time_left: Option<Duration>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        // A request of its own, unlike all others.
        let mark = mark_of(&format!("/{route}/{}", self.tags));
        self.call_marked(route, mark, time_left, relayed)
    }

    /// Makes a request that is known by its mark.
    pub(crate) fn call_marked(
        &mut self,
        route: &str,
        mark: RequestFingerprint,
        time_left: Option<Duration>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        self.take_call(ForwardCall {
            time_left,
            relayed,
            ..self.plain_call(route, mark)
        })
    }

    /// Makes a request with a key, or one that another entry passed on.
    pub(crate) fn call_keyed(
        &mut self,
        route: &str,
        key: Option<&str>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        let mark = mark_of(&format!("/{route}/{}", self.tags));
        self.take_call(ForwardCall {
            key: key.map(|key| KeyDigest::of(key.as_bytes())),
            relayed,
            ..self.plain_call(route, mark)
        })
    }

    fn plain_call(&self, route: &str, mark: RequestFingerprint) -> ForwardCall {
        ForwardCall {
            tag: CallTag(0),
            host: HOST.into(),
            path: format!("/{route}/x").into(),
            mark,
            key: None,
            arrived: self.now,
            time_left: None,
            relayed: None,
        }
    }

    fn take_call(&mut self, call: ForwardCall) -> CallTag {
        self.tags += 1;
        let tag = CallTag(self.tags);
        self.step(ForwardInput::Call(ForwardCall { tag, ..call }));
        tag
    }

    /// Ends a send.
    pub(crate) fn end(&mut self, send: usize, end: AttemptEnd) {
        let attempt = self.sends[send].attempt;
        self.step(ForwardInput::Ended { attempt, end });
    }

    /// Lets another entry say that it is at work on a send.
    pub(crate) fn hear_alive(&mut self, send: usize) {
        let attempt = self.sends[send].attempt;
        self.step(ForwardInput::Alive(attempt));
    }

    /// Ends a send with a good answer that bears the server's id as stamp.
    pub(crate) fn end_well(&mut self, send: usize, body: &'static [u8]) {
        let stamp = self.sends[send].instance.clone();
        self.end(send, AttemptEnd::Answer(answer(200, &stamp, body)));
    }

    /// Ends a send to another entry with these shards.
    pub(crate) fn end_bundle(&mut self, send: usize, shards: &[&str], body: &'static [u8]) {
        let parts = shards
            .iter()
            .map(|shard| ((*shard).into(), format!("{shard}-far").into()));
        let bundle = BundleAnswer {
            parts: parts.collect(),
            body: Bytes::from_static(body),
        };
        self.end(send, AttemptEnd::Bundle(bundle));
    }

    /// Lets time pass, with all timers in between.
    pub(crate) fn pass(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(next) = self.machine.next_wake().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.step(ForwardInput::Wake);
        }
        self.now = end;
        self.step(ForwardInput::Wake);
    }

    /// Returns the only answer to a request.
    pub(crate) fn answer_to(&self, call: CallTag) -> Option<&ForwardAnswer> {
        let mut found = self.answers.iter().filter(|(tag, _)| *tag == call);
        let answer = found.next().map(|(_, answer)| answer);
        assert!(found.next().is_none(), "one answer to a request");
        answer
    }

    /// Returns why a request failed, if it did.
    pub(crate) fn failure_of(&self, call: CallTag) -> Option<ForwardFailure> {
        match self.answer_to(call)? {
            ForwardAnswer::Failure { failure, .. } => Some(*failure),
            _ => None,
        }
    }

    /// Returns the stamps and the number of shards left out, if it is answered.
    pub(crate) fn gathered(&self, call: CallTag) -> Option<(Vec<&str>, usize)> {
        match self.answer_to(call)? {
            ForwardAnswer::Gathered {
                stamps, missing, ..
            } => Some((stamps.iter().map(|stamp| &**stamp).collect(), *missing)),
            _ => None,
        }
    }
}

/// Returns the mark of a request for a path, always by the same caller.
pub(crate) fn mark_of(target: &str) -> RequestFingerprint {
    RequestFingerprint {
        content: ContentFingerprint::of("GET", HOST, target, &[]),
        caller: CallerFingerprint::of(b"caller"),
    }
}

fn home_peer(number: u16) -> EntryPeer {
    EntryPeer {
        instance: format!("home-{number}").into(),
        lifetime: 7,
        domain: HOME.into(),
        address: ([127, 0, 0, 1], 9500 + number).into(),
    }
}

/// Returns a gathered target over `count` shards, named s0, s1 and so on.
pub(crate) fn shards(count: usize) -> RouteTarget {
    RouteTarget::Gather((0..count).map(|index| format!("s{index}")).collect())
}
