//! Roster of the upstream servers that an entry instance knows from their
//! announcements: leases, limits, health, and which servers hold which shard of
//! which snapshot.

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
use crate::process::news::{HeldSnapshot, ServerPhase, UpstreamAnnouncement};
use crate::process::placement::{add_to_placement, SnapshotChoice, SnapshotPlacement};
use crate::version::snapshot::SnapshotId;

/// Maximum number of servers in the roster; announcements of further servers are
/// refused.
pub const MAX_ROSTER_SERVERS: usize = 20_000;
/// Maximum number of shards that an announced snapshot can have.
pub const MAX_SNAPSHOT_SHARDS: u32 = 4_096;
/// Maximum number of snapshots in one announcement.
pub const MAX_SERVER_SNAPSHOTS: usize = 16;

/// A shard of a query that is queued until a server has capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedShard {
    /// Key of the query.
    pub query: SlotKey,
    /// Index of the shard in the query's shard list.
    pub index: u32,
}

/// State of one upstream server.
#[derive(Debug)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: Arc<str>,
    /// Upstream that the server belongs to.
    pub upstream: UpstreamKey,
    /// Failure domain of the server.
    pub domain: DomainKey,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Lifecycle phase from the last announcement.
    pub phase: ServerPhase,
    /// Time at which the server's lease expires.
    pub lease_expires_at: Duration,
    /// Length of the lease that a renewal grants.
    pub lease: Duration,
    /// Shards of snapshots that the server holds.
    pub held: Vec<HeldSnapshot>,
    /// Number of requests that the server processes in parallel.
    pub slots: u32,
    /// Number of connections that the server accepts from all entry instances
    /// together.
    pub connections: u32,
    /// This instance's share of the server's connections and slots.
    pub share: ServerShare,
    /// Health of the server as observed by this instance.
    pub health: ServerHealth,
    /// Number of subqueries that this instance has outstanding at the server.
    pub outstanding: u32,
    /// Number of idle connections from this instance to the server.
    pub idle: u32,
    /// Shards that are queued until the server has capacity.
    pub queued_shards: VecDeque<QueuedShard>,
    /// `(incarnation, sequence)` of the last accepted announcement.
    announcement_order: (u64, u64),
}

impl ServerRecord {
    /// Returns whether the server's phase and lease allow new requests.
    pub fn is_live(&self, now: Duration) -> bool {
        self.phase.takes_work() && now < self.lease_expires_at
    }

    /// Returns whether this instance's share of the server allows another
    /// outstanding subquery.
    pub fn has_capacity(&self) -> bool {
        self.outstanding < self.share.outstanding
    }
}

/// State of one upstream: the servers that announce the same service name.
#[derive(Debug)]
pub struct UpstreamRecord {
    /// Servers of the upstream.
    pub servers: Vec<ServerKey>,
    /// Snapshots held by the servers, newest first, with the servers of each shard.
    pub placements: Vec<SnapshotPlacement>,
    /// Recent latencies of all servers of the upstream.
    pub latency: LatencyWindow,
    /// Moving average of the time to open a connection, in microseconds.
    pub connect: f32,
}

/// Effect of an announcement on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RosterChange {
    /// The server is new, restarted or returned, or its phase or snapshots changed.
    Changed(ServerKey),
    /// The announcement renewed the lease and updated load, limits and address.
    Renewed(ServerKey),
    /// The announcement was not newer than the last accepted one.
    Stale,
    /// The announcement exceeded a limit and was refused.
    Refused,
}

/// All known upstream servers, grouped by upstream and failure domain.
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
    /// Creates an empty roster; `instances` entry instances share the servers'
    /// limits.
    pub fn new(instances: u32) -> UpstreamRoster {
        UpstreamRoster {
            instances,
            ..UpstreamRoster::default()
        }
    }

    /// Applies an announcement: adds a new server or updates a known one.
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

    /// Ends the lease of a server at `now`, if it does not expire earlier.
    pub fn end_lease(&mut self, name: &str, now: Duration) {
        if let Some(server) = self.server_names.get(name) {
            let record = &mut self.servers[*server];
            record.lease_expires_at = record.lease_expires_at.min(now);
        }
    }

    /// Renews the leases of the named servers, which other instances confirmed to
    /// be alive.
    pub fn renew_leases(&mut self, names: &[String], now: Duration) {
        for name in names {
            let Some(server) = self.server_names.get(name.as_str()) else {
                continue;
            };
            let record = &mut self.servers[*server];
            record.lease_expires_at = record.lease_expires_at.max(now + record.lease);
        }
    }

    /// Sets the number of entry instances and divides every server's limits by that
    /// number.
    pub fn set_instance_count(&mut self, instances: u32) {
        self.instances = instances;
        for index in 0..self.servers.len() {
            let record = &mut self.servers[ServerKey::from_index(index)];
            record.share = divide_server_limits(record.slots, record.connections, instances);
        }
    }

    /// Replaces the snapshots of a server by those that its own reply listed. Ignores
    /// lists that exceed the limits.
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

    /// Looks up an upstream by name.
    pub fn upstream(&self, name: &str) -> Option<UpstreamKey> {
        self.upstream_names.get(name).copied()
    }

    /// Returns the state of a server.
    pub fn server(&self, server: ServerKey) -> &ServerRecord {
        &self.servers[server]
    }

    /// Returns the state of a server, mutably.
    pub fn server_mut(&mut self, server: ServerKey) -> &mut ServerRecord {
        &mut self.servers[server]
    }

    /// Returns the state of an upstream.
    pub fn upstream_record(&self, upstream: UpstreamKey) -> &UpstreamRecord {
        &self.upstreams[upstream]
    }

    /// Returns the state of an upstream, mutably.
    pub fn upstream_mut(&mut self, upstream: UpstreamKey) -> &mut UpstreamRecord {
        &mut self.upstreams[upstream]
    }

    /// Returns the state of a failure domain.
    pub fn domain(&self, domain: DomainKey) -> &DomainRecord {
        &self.domains[domain]
    }

    /// Returns the state of a failure domain, mutably.
    pub fn domain_mut(&mut self, domain: DomainKey) -> &mut DomainRecord {
        &mut self.domains[domain]
    }

    /// Iterates over all servers with their keys.
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
        let placements = &self.upstreams[upstream].placements;
        let placement = placements
            .iter()
            .find(|placement| placement.snapshot == snapshot);
        placement
            .and_then(|placement| placement.servers_by_shard.get(shard as usize))
            .map_or(&[], Vec::as_slice)
    }

    /// Chooses the snapshot with the largest fraction of shards that have a live
    /// server, and the newest one among equals. Returns `None` if no snapshot has a
    /// live shard.
    ///
    /// A newer snapshot with fewer live shards is not chosen even if the service
    /// requires less than full coverage (`coverage_floor` below 1). See
    /// `docs/design/snapshot.md` for the measurement behind this rule.
    pub fn choose_snapshot(&self, upstream: UpstreamKey, now: Duration) -> Option<SnapshotChoice> {
        let mut best: Option<SnapshotChoice> = None;
        for placement in &self.upstreams[upstream].placements {
            let live = self.count_live_shards(placement, now);
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

    fn count_live_shards(&self, placement: &SnapshotPlacement, now: Duration) -> u32 {
        let is_live = |server: &ServerKey| self.servers[*server].is_live(now);
        let live = placement
            .servers_by_shard
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
            share: divide_server_limits(
                announcement.slots,
                announcement.connections,
                self.instances,
            ),
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
        let is_returned = now >= record.lease_expires_at;
        let is_changed = record.phase != announcement.phase || record.held != announcement.held;
        record.announcement_order = announcement_order;
        record.address = announcement.address;
        record.phase = announcement.phase;
        record.held = announcement.held;
        record.slots = announcement.slots;
        record.connections = announcement.connections;
        record.lease = announcement.lease;
        record.share =
            divide_server_limits(announcement.slots, announcement.connections, self.instances);
        record.lease_expires_at = now + announcement.lease;
        if is_restart || is_returned {
            record.health.reset(now);
        }
        record.health.record_load_report(announcement.load, now);
        let upstream = record.upstream;
        if is_changed || is_restart || is_returned {
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
            placements: Vec::new(),
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

    /// Recomputes which servers hold which shard of which snapshot of an upstream.
    fn rebuild_placements(&mut self, upstream: UpstreamKey) {
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

fn is_invalid_snapshot(held: &HeldSnapshot) -> bool {
    held.shards > MAX_SNAPSHOT_SHARDS || held.shard >= held.shards
}

fn is_valid_announcement(announcement: &UpstreamAnnouncement) -> bool {
    announcement.held.len() <= MAX_SERVER_SNAPSHOTS
        && !announcement.held.iter().any(is_invalid_snapshot)
}
