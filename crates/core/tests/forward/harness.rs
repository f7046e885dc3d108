//! Test harness: drives one forward machine with a simulated clock and collects
//! its actions. The tests supply the answers of servers and other entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use wheelmast_core::arena::{ServerKey, SlotKey};
use wheelmast_core::process::forward::answer::{
    AttemptOrder, ForwardAction, ForwardAnswer, ForwardFailure,
};
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::input::{
    AttemptResult, BundleAnswer, EntryPeer, ForwardCall, ForwardInput, RelayOrder, ServerAnswer,
};
use wheelmast_core::process::forward::machine::{ForwardMachine, ForwardOptions};
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::input::CallTag;
use wheelmast_core::process::load::share_gate::ShareChange;
use wheelmast_core::request::mark::{CallerFingerprint, ContentFingerprint, RequestFingerprint};
use wheelmast_core::version::route_table::{
    CallerLimits, RouteDraft, RouteRule, RouteTable, RouteTarget, ServiceRule,
};
use wheelmast_core::version::workspace::KeyDigest;

/// Host of all routes and requests.
pub(crate) const HOST: &str = "shop.example";
/// Failure domain of the entry under test.
pub(crate) const LOCAL_DOMAIN: &str = "here";

/// Returns an idempotent route `/NAME/` with two attempts per part, a time limit of
/// 1000 ms and an objective of 100 ms.
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

/// Returns a route table with these routes and the services that they name.
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
    Arc::new(RouteTable::check(draft).expect("valid table"))
}

/// Returns the announcement of a ready server at a local port.
pub(crate) fn server_announcement(
    id: &str,
    service: &str,
    domain: &str,
    port: u16,
) -> ServerAnnouncement {
    ServerAnnouncement {
        id: id.into(),
        service: service.into(),
        address: Some(([127, 0, 0, 1], port).into()),
        domain: domain.into(),
        version: "".into(),
        slots: 2,
        standing: ServerLifecycle::Ready,
        born: 0,
        sequence: 1,
        cold_ms: 0,
    }
}

/// Returns a server's answer without load report and headers.
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

/// A forward machine, its clock, and the actions it has returned so far.
pub(crate) struct Harness {
    pub(crate) machine: ForwardMachine,
    pub(crate) now: Duration,
    /// Attempts sent, in order. The tests refer to an attempt by its index here.
    pub(crate) sends: Vec<AttemptOrder>,
    /// Answers to requests, in order.
    pub(crate) answers: Vec<(CallTag, ForwardAnswer)>,
    /// Cancelled attempts, in order.
    pub(crate) cancels: Vec<SlotKey>,
    /// Raised attempt allowances for other entries: attempt and new allowance.
    pub(crate) raised_allowances: Vec<(SlotKey, u32)>,
    /// Published records of suspect requests, under which servers crashed.
    pub(crate) suspects: Vec<SuspectRecord>,
    /// Workspaces limited to their share or released, in order.
    pub(crate) share_changes: Vec<ShareChange>,
    /// Number of orders to close the idle connections to a server.
    pub(crate) idle_closes: usize,
    /// Servers to which a connection was to be opened for evidence, in order.
    pub(crate) opens: Vec<ServerKey>,
    last_tag: u64,
}

impl Harness {
    /// Returns a harness with a practically unlimited budget for extra load.
    pub(crate) fn new() -> Harness {
        Harness::with_bound(ExtraBound {
            ratio: 0.2,
            slack: 1000.0,
            window: Duration::from_secs(10),
        })
    }

    /// Returns a harness with the given bound on extra load.
    pub(crate) fn with_bound(extra: ExtraBound) -> Harness {
        Harness::with_options(ForwardOptions {
            domain: LOCAL_DOMAIN.into(),
            extra,
            ..ForwardOptions::default()
        })
    }

    /// Returns a harness for one of the entries added by
    /// [`Harness::add_local_entries`].
    pub(crate) fn in_local_domain(number: u16) -> Harness {
        Harness::with_options(ForwardOptions {
            domain: LOCAL_DOMAIN.into(),
            local_id: local_peer(number).id(),
            extra: ExtraBound {
                ratio: 1.0,
                slack: 0.0,
                window: Duration::from_secs(10),
            },
            ..ForwardOptions::default()
        })
    }

    /// Returns a harness for a machine with these options, at the time of one second.
    pub(crate) fn with_options(options: ForwardOptions) -> Harness {
        Harness {
            machine: ForwardMachine::new(options),
            now: Duration::from_secs(1),
            sends: Vec::new(),
            answers: Vec::new(),
            cancels: Vec::new(),
            raised_allowances: Vec::new(),
            suspects: Vec::new(),
            share_changes: Vec::new(),
            idle_closes: 0,
            opens: Vec::new(),
            last_tag: 0,
        }
    }

    /// Runs one step of the machine and collects its actions.
    pub(crate) fn step(&mut self, input: ForwardInput) {
        let mut out = Vec::new();
        self.machine.step(self.now, input, &mut out);
        for action in out {
            match action {
                ForwardAction::Send(order) => self.sends.push(order),
                ForwardAction::Answer { call, answer } => self.answers.push((call, answer)),
                ForwardAction::RaiseAllowance(attempt, attempts) => {
                    self.raised_allowances.push((attempt, attempts))
                }
                ForwardAction::Cancel(attempt) => self.cancels.push(attempt),
                ForwardAction::CloseIdle(_) => self.idle_closes += 1,
                ForwardAction::OpenConnection { server, .. } => self.opens.push(server),
                ForwardAction::PublishSuspect(record) => self.suspects.push(record),
                ForwardAction::RecordDecision(_) => {}
                ForwardAction::RecordShareChange(change) => self.share_changes.push(change),
            }
        }
    }

    /// Gives the machine a route table.
    pub(crate) fn set_table(&mut self, table: Arc<RouteTable>) {
        self.step(ForwardInput::Table(table));
    }

    /// Announces `count` servers of a service in the local domain, named
    /// `SERVICE-NUMBER`.
    pub(crate) fn add_servers(&mut self, service: &str, count: u16) {
        for number in 0..count {
            let port = 1000 + self.machine.server_count() as u16;
            let id = format!("{service}-{number}");
            self.step(ForwardInput::Announcement(server_announcement(
                &id,
                service,
                LOCAL_DOMAIN,
                port,
            )));
        }
    }

    /// Announces one server of a service in a domain, named `SERVICE-DOMAIN`.
    pub(crate) fn add_server_in(&mut self, service: &str, domain: &str) {
        let port = 1000 + self.machine.server_count() as u16;
        let id = format!("{service}-{domain}");
        self.step(ForwardInput::Announcement(server_announcement(
            &id, service, domain, port,
        )));
    }

    /// Makes one other entry in each of these domains known.
    pub(crate) fn add_entries(&mut self, domains: &[&str]) {
        let peers = domains.iter().enumerate().map(|(index, domain)| EntryPeer {
            instance: format!("entry-{domain}").into(),
            incarnation: 7,
            domain: (*domain).into(),
            address: ([127, 0, 0, 1], 9000 + index as u16).into(),
        });
        self.step(ForwardInput::Peers(peers.collect()));
    }

    /// Makes `count` entries of one other domain known.
    pub(crate) fn add_entries_in(&mut self, domain: &str, count: u16) {
        let peers = (0..count).map(|number| EntryPeer {
            domain: domain.into(),
            ..local_peer(number)
        });
        self.step(ForwardInput::Peers(peers.collect()));
    }

    /// Makes `count` entries of the local domain known, including this one.
    pub(crate) fn add_local_entries(&mut self, count: u16) {
        let peers = (0..count).map(local_peer).collect();
        self.step(ForwardInput::Peers(peers));
    }

    /// Sends a request on a route.
    pub(crate) fn call(&mut self, route: &str) -> CallTag {
        self.call_with(route, None, None)
    }

    /// Sends a request with a time limit of the caller, or as a relay from another
    /// entry.
    pub(crate) fn call_with(
        &mut self,
        route: &str,
        time_left: Option<Duration>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        // Each request gets a different fingerprint.
        let mark = fingerprint_of(&format!("/{route}/{}", self.last_tag));
        self.call_with_fingerprint(route, mark, time_left, relayed)
    }

    /// Sends a request with the given fingerprint.
    pub(crate) fn call_with_fingerprint(
        &mut self,
        route: &str,
        mark: RequestFingerprint,
        time_left: Option<Duration>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        self.submit(ForwardCall {
            time_left,
            relayed,
            ..self.plain_call(route, mark)
        })
    }

    /// Sends a request with a caller's key, or as a relay from another entry.
    pub(crate) fn call_with_key(
        &mut self,
        route: &str,
        key: Option<&str>,
        relayed: Option<RelayOrder>,
    ) -> CallTag {
        let mark = fingerprint_of(&format!("/{route}/{}", self.last_tag));
        self.submit(ForwardCall {
            key: key.map(|key| KeyDigest::of(key.as_bytes())),
            relayed,
            ..self.plain_call(route, mark)
        })
    }

    /// Returns a request without key or time limit that arrives now.
    fn plain_call(&self, route: &str, mark: RequestFingerprint) -> ForwardCall {
        ForwardCall {
            tag: CallTag(0),
            host: HOST.into(),
            path: format!("/{route}/x").into(),
            mark,
            key: None,
            arrived_at: self.now,
            time_left: None,
            relayed: None,
        }
    }

    /// Gives the machine a request under a new tag, and returns the tag.
    fn submit(&mut self, call: ForwardCall) -> CallTag {
        self.last_tag += 1;
        let tag = CallTag(self.last_tag);
        self.step(ForwardInput::Call(ForwardCall { tag, ..call }));
        tag
    }

    /// Gives an attempt its result.
    pub(crate) fn end(&mut self, send: usize, end: AttemptResult) {
        let attempt = self.sends[send].attempt;
        self.step(ForwardInput::AttemptEnded { attempt, end });
    }

    /// Acknowledges a relayed attempt on behalf of the other entry.
    pub(crate) fn acknowledge_relay(&mut self, send: usize) {
        let attempt = self.sends[send].attempt;
        self.step(ForwardInput::RelayAcknowledged(attempt));
    }

    /// Answers an attempt with status 200 and the server's id as the stamp.
    pub(crate) fn answer_ok(&mut self, send: usize, body: &'static [u8]) {
        let stamp = self.sends[send].instance.clone();
        self.end(send, AttemptResult::Answer(answer(200, &stamp, body)));
    }

    /// Answers a relayed attempt with a bundle of these shards.
    pub(crate) fn end_bundle(&mut self, send: usize, shards: &[&str], body: &'static [u8]) {
        let parts = shards
            .iter()
            .map(|shard| ((*shard).into(), format!("{shard}-far").into()));
        let order = self.sends[send].relay.as_ref().expect("a relay");
        let bundle = BundleAnswer {
            parts: parts.collect(),
            top: order.top,
            body: Bytes::from_static(body),
        };
        self.end(send, AttemptResult::Bundle(bundle));
    }

    /// Advances the clock by `millis` ms and runs all timers that become due.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(next) = self.machine.next_wake().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.step(ForwardInput::Wake);
        }
        self.now = end;
        self.step(ForwardInput::Wake);
    }

    /// Returns the answer to a request, and fails the test if there are several.
    pub(crate) fn answer_to(&self, call: CallTag) -> Option<&ForwardAnswer> {
        let mut found = self.answers.iter().filter(|(tag, _)| *tag == call);
        let answer = found.next().map(|(_, answer)| answer);
        assert!(found.next().is_none(), "a request got more than one answer");
        answer
    }

    /// Returns the reason why a request failed, if it failed.
    pub(crate) fn failure_of(&self, call: CallTag) -> Option<ForwardFailure> {
        match self.answer_to(call)? {
            ForwardAnswer::Failure { failure, .. } => Some(*failure),
            _ => None,
        }
    }

    /// Returns the stamps and the number of omitted shards of a merged answer, if
    /// the request has one.
    pub(crate) fn gathered(&self, call: CallTag) -> Option<(Vec<&str>, usize)> {
        match self.answer_to(call)? {
            ForwardAnswer::Gathered {
                stamps, missing, ..
            } => Some((stamps.iter().map(|stamp| &**stamp).collect(), *missing)),
            _ => None,
        }
    }
}

/// Returns the fingerprint of a request for a path, always from the same caller.
pub(crate) fn fingerprint_of(target: &str) -> RequestFingerprint {
    RequestFingerprint {
        content: ContentFingerprint::of("GET", HOST, target, &[]),
        caller: CallerFingerprint::of(b"caller"),
    }
}

/// Returns an entry of the local domain.
fn local_peer(number: u16) -> EntryPeer {
    EntryPeer {
        instance: format!("home-{number}").into(),
        incarnation: 7,
        domain: LOCAL_DOMAIN.into(),
        address: ([127, 0, 0, 1], 9500 + number).into(),
    }
}

/// Returns a scatter-gather target over `count` shards, named s0, s1 and so on.
pub(crate) fn shards(count: usize) -> RouteTarget {
    RouteTarget::Gather((0..count).map(|index| format!("s{index}")).collect())
}
