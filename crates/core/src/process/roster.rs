//! The upstream servers an instance knows of, and the snapshots they cover.

use std::cmp::Reverse;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::arena::{ArenaKey, KeyArena, ServerKey, SlotKey, UpstreamKey};
use crate::connection::share::{divide_server, ServerShare};
use crate::process::cover::{add_to_cover, SnapshotChoice, SnapshotCover};
use crate::process::domain::{DomainKey, DomainRecord};
use crate::process::health::ServerHealth;
use crate::process::latency::LatencyWindow;
use crate::process::news::{HeldSnapshot, ServerPhase, UpstreamAnnouncement};
use crate::version::snapshot::SnapshotId;

/// Most servers an instance remembers; announcements of more are refused.
pub const MAX_ROSTER_SERVERS: usize = 20_000;
/// Most shards a snapshot may claim to have.
pub const MAX_SNAPSHOT_SHARDS: u32 = 4_096;
/// Most snapshots a server may hold.
pub const MAX_SERVER_SNAPSHOTS: usize = 16;

/// A shard of a query that waits for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedShard {
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
    pub lease_expires_at: Duration,
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
    pub queued_shards: VecDeque<QueuedShard>,
    announcement_order: (u64, u64),
}

impl ServerRecord {
    /// Tells whether the server may get new work, by its phase and lease.
    pub fn is_live(&self, now: Duration) -> bool {
        self.phase.takes_work() && now < self.lease_expires_at
    }

    /// Tells whether this instance has a connection and a slot left there.
    pub fn has_capacity(&self) -> bool {
        self.outstanding < self.share.outstanding
    }
}

/// What is known of one upstream.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// Its servers.
    pub servers: Vec<ServerKey>,
    /// Its snapshots, newest first.
    pub covers: Vec<SnapshotCover>,
    /// Recent latencies over all its servers.
    pub latency: LatencyWindow,
    /// Typical time to open a connection, in microseconds.
    pub connect: f32,
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterChange {
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
    pub fn apply_announcement(
        &mut self,
        announcement: UpstreamAnnouncement,
        now: Duration,
    ) -> RosterChange {
        if !is_valid_announcement(&announcement) {
            return RosterChange::Refused;
        }
        match self.server_names.get(&*announcement.name) {
            Some(server) => self.update_server(*server, announcement, now),
            None if self.servers.len() >= MAX_ROSTER_SERVERS => RosterChange::Refused,
            None => self.add_server(announcement, now),
        }
    }

    /// Ends the lease of a server.
    pub fn end_lease(&mut self, name: &str, now: Duration) {
        if let Some(server) = self.server_names.get(name) {
            let record = &mut self.servers[*server];
            record.lease_expires_at = record.lease_expires_at.min(now);
        }
    }

    /// Renews the leases of servers that their homes vouch for.
    pub fn renew_leases(&mut self, names: &[String], now: Duration) {
        for name in names {
            let Some(server) = self.server_names.get(name.as_str()) else {
                continue;
            };
            let record = &mut self.servers[*server];
            record.lease_expires_at = record.lease_expires_at.max(now + record.lease);
        }
    }

    /// Divides the servers' limits by another number of instances.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances;
        for index in 0..self.servers.len() {
            let record = &mut self.servers[ServerKey::from_index(index)];
            record.share = divide_server(record.slots, record.connections, instances);
        }
    }

    /// Takes a server's word for the snapshots it holds now.
    pub fn replace_held_snapshots(&mut self, server: ServerKey, held: Vec<HeldSnapshot>) {
        if held.len() > MAX_SERVER_SNAPSHOTS || held.iter().any(is_invalid_snapshot) {
            return;
        }
        let upstream = self.servers[server].upstream;
        if self.servers[server].held != held {
            self.servers[server].held = held;
            self.rebuild_placements(upstream);
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
    pub fn shard_servers(
        &self,
        upstream: UpstreamKey,
        snapshot: SnapshotId,
        shard: u32,
    ) -> &[ServerKey] {
        let covers = &self.upstreams[upstream].covers;
        let cover = covers.iter().find(|cover| cover.snapshot == snapshot);
        cover
            .and_then(|cover| cover.groups.get(shard as usize))
            .map_or(&[], Vec::as_slice)
    }

    /// Chooses the newest of the best covered snapshots, if one is covered at
    /// all.
    ///
    /// With a `floor` below 1 a snapshot that covers less than the best one is
    /// still not taken: see `docs/design/snapshot.md` for the measurement.
    pub fn choose_snapshot(&self, upstream: UpstreamKey, now: Duration) -> Option<SnapshotChoice> {
        let mut best: Option<SnapshotChoice> = None;
        for cover in &self.upstreams[upstream].covers {
            let live = self.count_live_shards(cover, now);
            let shards = cover.groups.len() as u32;
            let choice = SnapshotChoice {
                snapshot: cover.snapshot,
                live,
                shards,
            };
            if live == shards {
                return Some(choice);
            }
            if best.is_none_or(|best| choice.fraction() > best.fraction()) {
                best = Some(choice);
            }
        }
        best.filter(|choice| choice.live > 0)
    }

    fn count_live_shards(&self, cover: &SnapshotCover, now: Duration) -> u32 {
        let is_live = |server: &ServerKey| self.servers[*server].is_live(now);
        let live = cover
            .groups
            .iter()
            .filter(|shard_servers| shard_servers.iter().any(is_live));
        live.count() as u32
    }

    fn add_server(&mut self, announcement: UpstreamAnnouncement, now: Duration) -> RosterChange {
        let upstream = self.find_or_add_upstream(&announcement.upstream);
        let domain = self.find_or_add_domain(&announcement.domain);
        let name: Arc<str> = (&*announcement.name).into();
        let server = self.servers.push(ServerRecord {
            name: name.clone(),
            upstream,
            domain,
            address: announcement.address,
            phase: announcement.phase,
            lease_expires_at: now + announcement.lease,
            lease: announcement.lease,
            held: announcement.held,
            slots: announcement.slots,
            connections: announcement.connections,
            share: divide_server(announcement.slots, announcement.connections, self.instances),
            health: ServerHealth::new(now),
            outstanding: 0,
            idle: 0,
            queued_shards: VecDeque::new(),
            announcement_order: (announcement.incarnation, announcement.sequence),
        });
        self.servers[server]
            .health
            .record_load_report(announcement.load, now);
        self.server_names.insert(name, server);
        self.upstreams[upstream].servers.push(server);
        self.domains[domain].servers.push(server);
        self.rebuild_placements(upstream);
        RosterChange::Changed(server)
    }

    fn update_server(
        &mut self,
        server: ServerKey,
        announcement: UpstreamAnnouncement,
        now: Duration,
    ) -> RosterChange {
        let announcement_order = (announcement.incarnation, announcement.sequence);
        let record = &mut self.servers[server];
        if announcement_order <= record.announcement_order {
            return RosterChange::Stale;
        }
        let is_restart = announcement.incarnation > record.announcement_order.0;
        let is_back = now >= record.lease_expires_at;
        let changed = record.phase != announcement.phase || record.held != announcement.held;
        record.announcement_order = announcement_order;
        record.address = announcement.address;
        record.phase = announcement.phase;
        record.held = announcement.held;
        record.slots = announcement.slots;
        record.connections = announcement.connections;
        record.lease = announcement.lease;
        record.share = divide_server(announcement.slots, announcement.connections, self.instances);
        record.lease_expires_at = now + announcement.lease;
        if is_restart || is_back {
            record.health.reset(now);
        }
        record.health.record_load_report(announcement.load, now);
        let upstream = record.upstream;
        if changed || is_restart || is_back {
            self.rebuild_placements(upstream);
            return RosterChange::Changed(server);
        }
        RosterChange::Renewed(server)
    }

    fn find_or_add_upstream(&mut self, name: &str) -> UpstreamKey {
        if let Some(upstream) = self.upstream_names.get(name) {
            return *upstream;
        }
        let upstream = self.upstreams.push(UpstreamRecord {
            servers: Vec::new(),
            covers: Vec::new(),
            latency: LatencyWindow::default(),
            connect: 0.0,
        });
        self.upstream_names.insert(name.into(), upstream);
        upstream
    }

    fn find_or_add_domain(&mut self, name: &str) -> DomainKey {
        if let Some(domain) = self.domain_names.get(name) {
            return *domain;
        }
        let domain = self.domains.push(DomainRecord::new(name));
        self.domain_names.insert(name.into(), domain);
        domain
    }

    /// Works out anew which servers hold which shard of which snapshot.
    fn rebuild_placements(&mut self, upstream: UpstreamKey) {
        let mut covers: Vec<SnapshotCover> = Vec::new();
        for server in &self.upstreams[upstream].servers {
            for held in &self.servers[*server].held {
                add_to_cover(&mut covers, *held, *server);
            }
        }
        covers.sort_by_key(|cover| Reverse(cover.snapshot));
        self.upstreams[upstream].covers = covers;
    }
}

fn is_invalid_snapshot(held: &HeldSnapshot) -> bool {
    held.shards > MAX_SNAPSHOT_SHARDS || held.shard >= held.shards
}

fn is_valid_announcement(announcement: &UpstreamAnnouncement) -> bool {
    announcement.held.len() <= MAX_SERVER_SNAPSHOTS
        && !announcement.held.iter().any(is_invalid_snapshot)
}
