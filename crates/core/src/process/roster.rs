//! The upstream servers an instance knows of, and the snapshots they cover.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ArenaKey, KeyArena, ServerKey, SlotKey, UpstreamKey};
use crate::connection::share::{divide_server_limits, ServerShare};
use crate::process::domain::{DomainKey, DomainRecord};
use crate::process::health::ServerHealth;
use crate::process::latency::LatencyWindow;
use crate::process::news::{HeldSnapshot, ServerNews, ServerPhase};
use crate::process::placement::{add_to_placement, SnapshotChoice, SnapshotPlacement};
use crate::version::snapshot::SnapshotId;

/// Most servers an instance remembers; announcements of more are refused.
pub const ROSTER_SERVERS: usize = 20_000;
/// Most shards a snapshot may claim to have.
pub const SNAPSHOT_SHARDS: u32 = 4_096;
/// Most snapshots a server may hold.
pub const SERVER_SNAPSHOTS: usize = 16;

/// A shard of a query that waits for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardTicket {
    /// The query.
    pub query: SlotKey,
    /// Index of the shard in the query.
    pub index: u32,
}

/// What is known of one server.
#[derive(Debug)]
pub struct ServerRecord {
    /// Its name.
    pub name: Arc<str>,
    /// The upstream it belongs to.
    pub upstream: UpstreamKey,
    /// The failure domain it stands in.
    pub domain: DomainKey,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its phase.
    pub phase: ServerPhase,
    /// When its lease runs out.
    pub lease_until: Duration,
    /// Time by which a renewal moves that.
    pub lease: Duration,
    /// Snapshots it holds.
    pub held: Vec<HeldSnapshot>,
    /// Requests it works on at a time.
    pub slots: u32,
    /// Connections it accepts over all instances.
    pub connections: u32,
    /// What this instance may use of it.
    pub share: ServerShare,
    /// What this instance has seen of it.
    pub health: ServerHealth,
    /// Subqueries this instance has outstanding there.
    pub outstanding: u32,
    /// Idle connections this instance has to it.
    pub idle: u32,
    /// Shards that wait for it.
    pub waiters: VecDeque<ShardTicket>,
    order: (u64, u64),
}

impl ServerRecord {
    /// Tells whether the server may get new work, by its phase and lease.
    pub fn is_live(&self, now: Duration) -> bool {
        self.phase.takes_work() && now < self.lease_until
    }

    /// Tells whether this instance has a connection and a slot left there.
    pub fn has_room(&self) -> bool {
        self.outstanding < self.share.outstanding
    }
}

/// What is known of one upstream.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// Its servers.
    pub servers: Vec<ServerKey>,
    /// Its snapshots, newest first.
    pub placements: Vec<SnapshotPlacement>,
    /// Recent latencies over all its servers.
    pub latency: LatencyWindow,
    /// Typical time to open a connection, in microseconds.
    pub connect: f32,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NewsEffect {
    /// The server's phase or snapshots changed, or it is new.
    Changed(ServerKey),
    /// Only its lease and load were renewed.
    Renewed(ServerKey),
    /// The announcement was older than what is known.
    Stale,
    /// It breaks a limit and was refused.
    Refused,
}

/// The roster of upstream servers.
#[derive(Debug, Default)]
pub struct UpstreamRoster {
    servers: KeyArena<ServerKey, ServerRecord>,
    upstreams: KeyArena<UpstreamKey, UpstreamRecord>,
    server_names: HashMap<Arc<str>, ServerKey>,
    upstream_names: HashMap<Box<str>, UpstreamKey>,
    domains: KeyArena<DomainKey, DomainRecord>,
    domain_names: HashMap<Box<str>, DomainKey>,
    instances: u32,
}

impl UpstreamRoster {
    /// Returns an empty roster whose servers are shared by `instances`.
    pub fn new(instances: u32) -> UpstreamRoster {
        UpstreamRoster {
            instances,
            ..UpstreamRoster::default()
        }
    }

    /// Takes an announcement.
    pub fn apply(&mut self, news: ServerNews, now: Duration) -> NewsEffect {
        if !is_acceptable(&news) {
            return NewsEffect::Refused;
        }
        match self.server_names.get(&*news.name) {
            Some(server) => self.renew(*server, news, now),
            None if self.servers.len() >= ROSTER_SERVERS => NewsEffect::Refused,
            None => self.add(news, now),
        }
    }

    /// Ends the lease of a server.
    pub fn expire(&mut self, name: &str, now: Duration) {
        if let Some(server) = self.server_names.get(name) {
            let record = &mut self.servers[*server];
            record.lease_until = record.lease_until.min(now);
        }
    }

    /// Renews the leases of servers that their homes vouch for.
    pub fn vouch(&mut self, names: &[String], now: Duration) {
        for name in names {
            let Some(server) = self.server_names.get(name.as_str()) else {
                continue;
            };
            let record = &mut self.servers[*server];
            record.lease_until = record.lease_until.max(now + record.lease);
        }
    }

    /// Divides the servers' limits by another number of instances.
    pub fn divide(&mut self, instances: u32) {
        self.instances = instances;
        for index in 0..self.servers.len() {
            let record = &mut self.servers[ServerKey::from_index(index)];
            record.share = divide_server_limits(record.slots, record.connections, instances);
        }
    }

    /// Takes a server's word for the snapshots it holds now.
    pub fn correct_held(&mut self, server: ServerKey, held: Vec<HeldSnapshot>) {
        if held.len() > SERVER_SNAPSHOTS || held.iter().any(is_absurd) {
            return;
        }
        let upstream = self.servers[server].upstream;
        if self.servers[server].held != held {
            self.servers[server].held = held;
            self.rebuild(upstream);
        }
    }

    /// Returns the upstream of this name.
    pub fn upstream(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.get(name).copied()
    }

    /// Returns what is known of a server.
    pub fn server(&self, server: ServerKey) -> &ServerRecord {
        &self.servers[server]
    }

    /// Returns what is known of a server, for change.
    pub fn server_mut(&mut self, server: ServerKey) -> &mut ServerRecord {
        &mut self.servers[server]
    }

    /// Returns what is known of an upstream.
    pub fn upstream_record(&self, upstream: UpstreamKey) -> &UpstreamRecord {
        &self.upstreams[upstream]
    }

    /// Returns what is known of an upstream, for change.
    pub fn upstream_mut(&mut self, upstream: UpstreamKey) -> &mut UpstreamRecord {
        &mut self.upstreams[upstream]
    }

    /// Returns what is known of a failure domain.
    pub fn domain(&self, domain: DomainKey) -> &DomainRecord {
        &self.domains[domain]
    }

    /// Returns what is known of a failure domain, for change.
    pub fn domain_mut(&mut self, domain: DomainKey) -> &mut DomainRecord {
        &mut self.domains[domain]
    }

    /// Iterates over all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns the servers that hold a shard of a snapshot.
    pub fn group(&self, upstream: UpstreamKey, snapshot: SnapshotId, shard: u32) -> &[ServerKey] {
        let placements = &self.upstreams[upstream].placements;
        let placement = placements
            .iter()
            .find(|placement| placement.snapshot == snapshot);
        placement
            .and_then(|placement| placement.servers_by_shard.get(shard as usize))
            .map_or(&[], Vec::as_slice)
    }

    /// Chooses the newest of the best covered snapshots, if one is covered at
    /// all.
    ///
    /// With a `floor` below 1 a snapshot that covers less than the best one is
    /// still not taken: see `docs/design/snapshot.md` for the measurement.
    pub fn choose_snapshot(&self, upstream: UpstreamKey, now: Duration) -> Option<SnapshotChoice> {
        let mut best: Option<SnapshotChoice> = None;
        for placement in &self.upstreams[upstream].placements {
            let live = self.live_shards(placement, now);
            let shards = placement.servers_by_shard.len() as u32;
            let choice = SnapshotChoice {
                snapshot: placement.snapshot,
                live,
                shards,
            };
            if live == shards {
                return Some(choice);
            }
            if best.is_none_or(|best| choice.live_fraction() > best.live_fraction()) {
                best = Some(choice);
            }
        }
        best.filter(|choice| choice.live > 0)
    }

    fn live_shards(&self, placement: &SnapshotPlacement, now: Duration) -> u32 {
        let is_live = |server: &ServerKey| self.servers[*server].is_live(now);
        let live = placement
            .servers_by_shard
            .iter()
            .filter(|group| group.iter().any(is_live));
        live.count() as u32
    }

    fn add(&mut self, news: ServerNews, now: Duration) -> NewsEffect {
        let upstream = self.upstream_or_new(&news.upstream);
        let domain = self.domain_or_new(&news.domain);
        let name: Arc<str> = (&*news.name).into();
        let server = self.servers.push(ServerRecord {
            name: name.clone(),
            upstream,
            domain,
            address: news.address,
            phase: news.phase,
            lease_until: now + news.lease,
            lease: news.lease,
            held: news.held,
            slots: news.slots,
            connections: news.connections,
            share: divide_server_limits(news.slots, news.connections, self.instances),
            health: ServerHealth::new(now),
            outstanding: 0,
            idle: 0,
            waiters: VecDeque::new(),
            order: (news.incarnation, news.sequence),
        });
        self.servers[server].health.report(news.load, now);
        self.server_names.insert(name, server);
        self.upstreams[upstream].servers.push(server);
        self.domains[domain].servers.push(server);
        self.rebuild(upstream);
        NewsEffect::Changed(server)
    }

    fn renew(&mut self, server: ServerKey, news: ServerNews, now: Duration) -> NewsEffect {
        let order = (news.incarnation, news.sequence);
        let record = &mut self.servers[server];
        if order <= record.order {
            return NewsEffect::Stale;
        }
        let is_restart = news.incarnation > record.order.0;
        let is_back = now >= record.lease_until;
        let changed = record.phase != news.phase || record.held != news.held;
        record.order = order;
        record.address = news.address;
        record.phase = news.phase;
        record.held = news.held;
        record.slots = news.slots;
        record.connections = news.connections;
        record.lease = news.lease;
        record.share = divide_server_limits(news.slots, news.connections, self.instances);
        record.lease_until = now + news.lease;
        if is_restart || is_back {
            record.health.restart(now);
        }
        record.health.report(news.load, now);
        let upstream = record.upstream;
        if changed || is_restart || is_back {
            self.rebuild(upstream);
            return NewsEffect::Changed(server);
        }
        NewsEffect::Renewed(server)
    }

    fn upstream_or_new(&mut self, name: &str) -> UpstreamKey {
        if let Some(upstream) = self.upstream_names.get(name) {
            return *upstream;
        }
        let upstream = self.upstreams.push(UpstreamRecord {
            servers: Vec::new(),
            placements: Vec::new(),
            latency: LatencyWindow::default(),
            connect: 0.0,
        });
        self.upstream_names.insert(name.into(), upstream);
        upstream
    }

    fn domain_or_new(&mut self, name: &str) -> DomainKey {
        if let Some(domain) = self.domain_names.get(name) {
            return *domain;
        }
        let domain = self.domains.push(DomainRecord::new(name));
        self.domain_names.insert(name.into(), domain);
        domain
    }

    /// Works out anew which servers hold which shard of which snapshot.
    fn rebuild(&mut self, upstream: UpstreamKey) {
        let mut placements: Vec<SnapshotPlacement> = Vec::new();
        for server in &self.upstreams[upstream].servers {
            for held in &self.servers[*server].held {
                add_to_placement(&mut placements, *held, *server);
            }
        }
        placements.sort_by_key(|placement| Reverse(placement.snapshot));
        self.upstreams[upstream].placements = placements;
    }
}

fn is_absurd(held: &HeldSnapshot) -> bool {
    held.shards > SNAPSHOT_SHARDS || held.shard >= held.shards
}

fn is_acceptable(news: &ServerNews) -> bool {
    news.held.len() <= SERVER_SNAPSHOTS && !news.held.iter().any(is_absurd)
}
