//! Directory of the upstream servers and of the newest announcement of each.
//!
//! An incarnation (one run of a server process) is identified by its id and its
//! start time; a later start under the same id is a new incarnation. Within one
//! incarnation, announcements are ordered by sequence number, and the lifecycle
//! state only moves from ready to draining to gone. Late or duplicate
//! announcements therefore never undo a newer one, whichever path they took.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long the record of a server that is draining, has left or has an expired lease
/// is retained, so that late announcements are recognized as stale.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(180);
/// Number of buckets that server ids are hashed into when directories are compared.
const DIGEST_BUCKETS: usize = 64;
/// Fraction of a lease granted to a server that was loaded from disk after a
/// restart and has not announced itself or been reported alive since.
const REMEMBERED_LEASE_FRACTION: f64 = 0.5;
/// Consecutive announcements that a server may miss before its lease expires. This
/// determines the lease for long announcement intervals; for short ones the lease is
/// `MIN_LEASE`.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 1;
/// Maximum expected delay of an announcement.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);
/// Minimum lease. Servers that announce themselves every second are often
/// several seconds late.
const MIN_LEASE: Duration = Duration::from_secs(5);

/// Returns the digest bucket of a server id.
fn bucket_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % DIGEST_BUCKETS
}

/// Returns the lease of a server that announces itself once per `interval`: the
/// time without an announcement after which the server is no longer considered
/// alive.
pub fn lease_for(interval: Duration) -> Duration {
    let missed = interval * (MAX_MISSED_ANNOUNCEMENTS + 1) + MAX_ANNOUNCEMENT_DELAY;
    missed.max(MIN_LEASE)
}

/// Lifecycle state of a server. The variants are in the order in which an
/// incarnation passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerLifecycle {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server has left for good.
    Gone,
}

/// Announcement of a server: its address, capacity and lifecycle state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Server id. A restarted server may announce itself under the same id with a
    /// later start time.
    pub id: Box<str>,
    /// Service that the server belongs to; empty if only its departure is known.
    pub service: Box<str>,
    /// Address for requests; `None` if only the server's departure is known.
    pub address: Option<SocketAddr>,
    /// Failure domain of the server.
    pub domain: Box<str>,
    /// Software version of the server; empty if not announced.
    pub version: Box<str>,
    /// Number of requests that the server processes concurrently.
    pub slots: u32,
    /// Lifecycle state of the server.
    pub standing: ServerLifecycle,
    /// Start time of the incarnation, in Unix milliseconds; 0 if not announced.
    pub born: u64,
    /// Sequence number, which increases with each announcement of the incarnation.
    pub sequence: u64,
    /// Remaining time for which the server is cold (just started, with empty caches),
    /// in milliseconds.
    pub cold_ms: u64,
}

impl ServerAnnouncement {
    /// Returns the announcement that a server has left. `born` is the start time of
    /// the incarnation, or 0 if unknown.
    pub fn gone(id: &str, born: u64) -> ServerAnnouncement {
        let position = AnnouncementPosition {
            born,
            sequence: u64::MAX,
        };
        ServerAnnouncement::without_details(id.into(), ServerLifecycle::Gone, position)
    }

    /// Returns the incarnation and sequence number of the announcement.
    pub fn position(&self) -> AnnouncementPosition {
        AnnouncementPosition {
            born: self.born,
            sequence: self.sequence,
        }
    }

    /// Returns a copy with only the id, the lifecycle state and the position. A
    /// server's departure is sent to every entry immediately in this short form.
    pub fn lifecycle_only(&self) -> ServerAnnouncement {
        ServerAnnouncement::without_details(self.id.clone(), self.standing, self.position())
    }

    /// Returns an announcement with no details except the lifecycle state.
    fn without_details(
        id: Box<str>,
        standing: ServerLifecycle,
        position: AnnouncementPosition,
    ) -> ServerAnnouncement {
        ServerAnnouncement {
            id,
            service: "".into(),
            address: None,
            domain: "".into(),
            version: "".into(),
            slots: 0,
            standing,
            born: position.born,
            sequence: position.sequence,
            cold_ms: 0,
        }
    }

    /// Returns whether this announcement cannot come from the same incarnation as
    /// `known`. The service, address and failure domain of an incarnation never
    /// change, so a difference means that another process announced itself under the
    /// same id.
    pub fn conflicts_with(&self, known: &ServerAnnouncement) -> bool {
        let are_complete = self.address.is_some() && known.address.is_some();
        are_complete
            && (self.address != known.address
                || self.service != known.service
                || self.domain != known.domain)
    }
}

/// Position of an announcement in a server's history: its incarnation, and its
/// sequence number within that incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementPosition {
    /// Start time of the incarnation, in Unix milliseconds; 0 if not announced.
    pub born: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
}

/// Effect of an announcement on the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// The announcement was ignored because it is older than the recorded one.
    Stale,
    /// The announcement was ignored because it conflicts with an earlier one of the
    /// same incarnation.
    Conflicting,
    /// The server's lease was renewed; nothing else changed.
    Renewed,
    /// The server is new or restarted, its lifecycle state changed, its lease had
    /// expired, or the server became cold again.
    Changed,
}

/// The control instance that a server announces itself to. Only this observer
/// reports to the other control instances that the server's lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerObserver {
    /// This control instance.
    Local,
    /// Another control instance, identified by the address on which it listens for
    /// other instances.
    Peer(SocketAddr),
    /// The observer is not known.
    Unknown,
}

/// Record of one server in the directory.
#[derive(Debug, Clone)]
pub struct DirectoryRecord {
    /// Newest announcement of the server, with the server's current lifecycle state.
    pub announcement: ServerAnnouncement,
    /// When the server last announced itself or was reported alive.
    pub last_seen_at: Duration,
    /// When the server was granted a full lease: when this record was created, or when
    /// the server's observer stopped observing it.
    lease_granted_at: Duration,
    /// Whether the server's lease has expired.
    pub expired: bool,
    /// Whether the record was loaded from disk after a restart and the server has
    /// not announced itself or been reported alive since.
    pub is_remembered: bool,
    /// Control instance that the server announces itself to.
    pub observer: ServerObserver,
    /// Rank of this incarnation in the order in which incarnations became known.
    arrival: u64,
}

impl DirectoryRecord {
    fn new(announcement: ServerAnnouncement, now: Duration, arrival: u64) -> DirectoryRecord {
        DirectoryRecord {
            arrival,
            announcement,
            last_seen_at: now,
            lease_granted_at: now,
            expired: false,
            is_remembered: false,
            observer: ServerObserver::Unknown,
        }
    }

    /// Returns whether the server accepts requests and its lease has not expired.
    fn is_alive(&self) -> bool {
        self.announcement.standing == ServerLifecycle::Ready && !self.expired
    }
}

/// Directory of all known servers, by server id.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: HashMap<Box<str>, DirectoryRecord>,
    /// Number of announcements applied or loaded so far.
    arrivals: u64,
}

impl ServerDirectory {
    /// Applies an announcement and returns its effect.
    pub fn apply(&mut self, announcement: ServerAnnouncement, now: Duration) -> AnnouncementEffect {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let Some(record) = self.records.get_mut(&announcement.id) else {
            let id = announcement.id.clone();
            let record = DirectoryRecord::new(announcement, now, arrival);
            self.records.insert(id, record);
            return AnnouncementEffect::Changed;
        };
        let known = &mut record.announcement;
        if announcement.born > known.born {
            // The server restarted under the same id, so the old record is void.
            *record = DirectoryRecord::new(announcement, now, arrival);
            return AnnouncementEffect::Changed;
        }
        if announcement.born != 0 && announcement.born < known.born {
            return AnnouncementEffect::Stale;
        }
        if announcement.conflicts_with(known) {
            return AnnouncementEffect::Conflicting;
        }
        if announcement.standing > known.standing {
            let sequence = known.sequence.max(announcement.sequence);
            known.standing = announcement.standing;
            known.sequence = sequence;
            record.last_seen_at = now;
            record.is_remembered = false;
            return AnnouncementEffect::Changed;
        }
        if announcement.sequence <= known.sequence || known.standing == ServerLifecycle::Gone {
            return AnnouncementEffect::Stale;
        }
        let was_cold = now < record.last_seen_at + Duration::from_millis(known.cold_ms);
        let is_cold_again = announcement.cold_ms > 0 && !was_cold;
        known.sequence = announcement.sequence;
        known.cold_ms = announcement.cold_ms;
        record.last_seen_at = now;
        record.is_remembered = false;
        if record.expired || is_cold_again {
            record.expired = false;
            return AnnouncementEffect::Changed;
        }
        AnnouncementEffect::Renewed
    }

    /// Adds a server that was loaded from disk after a restart, unless the server is
    /// already known. Its first lease is shortened by `REMEMBERED_LEASE_FRACTION`,
    /// because it may have left in the meantime.
    pub fn remember(&mut self, announcement: ServerAnnouncement, now: Duration) {
        self.arrivals += 1;
        let id = announcement.id.clone();
        self.records.entry(id).or_insert(DirectoryRecord {
            is_remembered: true,
            ..DirectoryRecord::new(announcement, now, self.arrivals)
        });
    }

    /// Iterates over the announcements of the live servers that announced themselves
    /// or were reported alive since this instance restarted. These servers are saved
    /// for the next restart.
    pub fn confirmed_alive(&self) -> impl Iterator<Item = &ServerAnnouncement> {
        let records = self.records.values();
        let alive = records.filter(|record| record.is_alive() && !record.is_remembered);
        alive.map(|record| &record.announcement)
    }

    /// Renews a server's lease after a peer reported that the server announced itself
    /// at `position`. Ignores a report that is not newer than the record, or that is
    /// about another incarnation.
    pub fn renew_lease(&mut self, id: &str, position: AnnouncementPosition, now: Duration) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let is_newer =
            position.born == record.announcement.born && position > record.announcement.position();
        if is_newer && record.announcement.standing != ServerLifecycle::Gone {
            record.announcement.sequence = position.sequence;
            record.last_seen_at = now;
            record.expired = false;
            record.is_remembered = false;
        }
    }

    /// Returns whether the server's incarnation at `position`, or a later one, is
    /// known.
    pub fn knows_incarnation(&self, id: &str, position: AnnouncementPosition) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.announcement.born >= position.born)
    }

    /// Records that this instance observes a server. Returns whether the observer
    /// changed.
    pub fn observe_locally(&mut self, id: &str) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let was_local = record.observer == ServerObserver::Local;
        record.observer = ServerObserver::Local;
        !was_local
    }

    /// Records that another control instance observes a server.
    pub fn observe_at_peer(&mut self, id: &str, peer: SocketAddr) {
        if let Some(record) = self.records.get_mut(id) {
            record.observer = ServerObserver::Peer(peer);
        }
    }

    /// Records that `peer` observes no servers but those in `ids`. Servers that
    /// `peer` observed until now get a full lease, starting at `now`.
    pub fn retain_observed_at_peer(
        &mut self,
        peer: SocketAddr,
        ids: &HashSet<Box<str>>,
        now: Duration,
    ) {
        for (id, record) in &mut self.records {
            if record.observer == ServerObserver::Peer(peer) && !ids.contains(id) {
                record.observer = ServerObserver::Unknown;
                record.lease_granted_at = now;
            }
        }
    }

    /// Iterates over the ids of the live servers that this instance observes, with
    /// the positions of their newest announcements.
    pub fn observed(&self) -> impl Iterator<Item = (&str, AnnouncementPosition)> {
        let local = self.records.iter();
        let local = local
            .filter(|(_, record)| record.observer == ServerObserver::Local && record.is_alive());
        local.map(|(id, record)| (&**id, record.announcement.position()))
    }

    /// Returns a digest of the ids of the live servers with the given observer. The
    /// digest does not depend on sequence numbers, so lease renewals don't change it.
    pub fn digest(&self, observer: ServerObserver) -> u64 {
        let observed = self.records.iter();
        let observed =
            observed.filter(|(_, record)| record.observer == observer && record.is_alive());
        let digests = observed.map(|(id, _)| xxh3_64(id.as_bytes()));
        digests.fold(0, u64::wrapping_add)
    }

    /// Records that `peer` reported a server's lease as expired. Ignores the report
    /// unless `peer` observes the server, the incarnation is the recorded one and the
    /// server counted as alive. Returns whether the server's state changed.
    pub fn record_peer_expiry(
        &mut self,
        id: &str,
        position: AnnouncementPosition,
        peer: SocketAddr,
    ) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_observer = record.observer == ServerObserver::Peer(peer);
        if !is_observer || record.announcement.born != position.born || !record.is_alive() {
            return false;
        }
        record.announcement.sequence = record.announcement.sequence.max(position.sequence);
        record.expired = true;
        true
    }

    /// Marks servers that have not been seen for `lease` as expired and returns the ids
    /// of the newly expired ones. Drops the records of draining, departed and expired
    /// servers that were last seen `TOMBSTONE_RETENTION` ago or earlier.
    ///
    /// A server that a peer observes counts as seen whenever that peer was seen
    /// (`peer_last_seen`), because peers report their servers only when something
    /// changes.
    pub fn expire_leases(
        &mut self,
        now: Duration,
        lease: Duration,
        peer_last_seen: impl Fn(&SocketAddr) -> Option<Duration>,
    ) -> Vec<Box<str>> {
        self.records.retain(|_, record| {
            let is_alive =
                record.announcement.standing == ServerLifecycle::Ready && !record.expired;
            is_alive || now < record.last_seen_at + TOMBSTONE_RETENTION
        });
        let mut expired = Vec::new();
        for (id, record) in &mut self.records {
            let lease = if record.is_remembered {
                lease.mul_f64(REMEMBERED_LEASE_FRACTION)
            } else {
                lease
            };
            let observer_seen_at = match record.observer {
                ServerObserver::Peer(peer) => peer_last_seen(&peer).unwrap_or(Duration::ZERO),
                ServerObserver::Local | ServerObserver::Unknown => Duration::ZERO,
            };
            let renewed_at = record
                .last_seen_at
                .max(record.lease_granted_at)
                .max(observer_seen_at);
            let is_late = now > renewed_at + lease;
            if is_late && !record.expired && record.announcement.standing == ServerLifecycle::Ready
            {
                record.expired = true;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Returns one digest per bucket of server ids, made of the ids and start times of
    /// the servers that accept requests. Two directories with the same digest for a
    /// bucket know the same servers in that bucket.
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; DIGEST_BUCKETS];
        for (id, record) in &self.records {
            if record.announcement.standing == ServerLifecycle::Ready {
                let digest = xxh3_64_with_seed(id.as_bytes(), record.announcement.born);
                let bucket = &mut digests[bucket_of(id)];
                *bucket = bucket.wrapping_add(digest);
            }
        }
        digests
    }

    /// Returns the records that a directory with the given bucket digests may lack.
    ///
    /// If two incarnations share an address, the later one comes last: a receiver
    /// that applies the records in order considers the earlier one replaced. Servers
    /// that are not alive come first, then servers in the order in which they were
    /// last seen. Servers reported in one message share one `last_seen_at`; their
    /// `arrival` breaks the tie.
    pub fn records_to_sync(&self, digests: &[u64]) -> Vec<&DirectoryRecord> {
        let local_digests = self.bucket_digests();
        let records = self.records.iter();
        let records = records.filter(|(id, _)| {
            let bucket = bucket_of(id);
            digests.get(bucket) != Some(&local_digests[bucket])
        });
        let mut records: Vec<&DirectoryRecord> = records.map(|(_, record)| record).collect();
        records.sort_by_key(|record| (record.is_alive(), record.last_seen_at, record.arrival));
        records
    }

    /// Returns the record of the server with this id.
    pub fn get(&self, id: &str) -> Option<&DirectoryRecord> {
        self.records.get(id)
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = &DirectoryRecord> {
        self.records.values()
    }

    /// Returns the number of records, including those of servers that left.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the directory holds no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
