//! What upstream servers announced, ordered by their own sequence numbers.
//!
//! A lifetime of a server has an id of its own, or the id of an earlier one and
//! a later start. Within it the standing only ever goes from ready to draining
//! to gone, so that late and doubled news undo nothing, whatever way they took.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// How long a server that left is remembered, so that late news of it are
/// known to be old.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_secs(180);
/// Parts that ids are divided into for digests.
const DIGEST_BUCKETS: usize = 64;
/// Part of a lease for which a server that was known before a restart is believed
/// to live, unless it is heard of.
const REMEMBERED_LEASE_SHARE: f64 = 0.5;
/// Announcements that a server may miss in a row before it counts as silent, where
/// they come seldom.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 1;
/// How late an announcement may come.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_millis(1500);
/// Least lease: with announcements each second, one that comes seconds late is
/// nothing unusual.
const MIN_LEASE: Duration = Duration::from_secs(5);

/// Returns the part that an id falls to.
fn bucket_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % DIGEST_BUCKETS
}

/// Returns the time without an announcement after which a server counts as silent,
/// where one comes in each `interval`.
pub fn lease_for(interval: Duration) -> Duration {
    let missed = interval * (MAX_MISSED_ANNOUNCEMENTS + 1) + MAX_ANNOUNCEMENT_DELAY;
    missed.max(MIN_LEASE)
}

/// Whether a server takes work. The order is that of a lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerLifecycle {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Draining,
    /// It has left.
    Gone,
}

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerAnnouncement {
    /// Identity of this lifetime.
    pub id: Box<str>,
    /// Its service; empty if only its leaving is known.
    pub service: Box<str>,
    /// Where it takes requests.
    pub address: Option<SocketAddr>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Version of its software; empty if it does not say.
    pub version: Box<str>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes work.
    pub standing: ServerLifecycle,
    /// When this lifetime started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Grows with each notice of this lifetime.
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

impl ServerAnnouncement {
    /// Returns the notice that a server has left, of which nothing else need
    /// be known; `born` is 0 if it does not say when it started.
    pub fn gone(id: &str, born: u64) -> ServerAnnouncement {
        let position = AnnouncementPosition {
            born,
            sequence: u64::MAX,
        };
        ServerAnnouncement::without_details(id.into(), ServerLifecycle::Gone, position)
    }

    /// Returns which lifetime it is of, and how new it is in that.
    pub fn position(&self) -> AnnouncementPosition {
        AnnouncementPosition {
            born: self.born,
            sequence: self.sequence,
        }
    }

    /// Returns the part of the notice that must reach everybody at once: that
    /// the server leaves.
    pub fn lifecycle_only(&self) -> ServerAnnouncement {
        ServerAnnouncement::without_details(self.id.clone(), self.standing, self.position())
    }

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

    /// Tells whether another writer made one of these: a server's service,
    /// address and failure domain are the same in a whole lifetime.
    pub fn conflicts_with(&self, known: &ServerAnnouncement) -> bool {
        let are_whole = self.address.is_some() && known.address.is_some();
        are_whole
            && (self.address != known.address
                || self.service != known.service
                || self.domain != known.domain)
    }
}

/// A lifetime of a server, and how new a notice of it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnnouncementPosition {
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Grows with each notice of it.
    pub sequence: u64,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// It was older than what is known.
    Stale,
    /// It contradicts what the server said of itself before.
    Conflicting,
    /// The server lives on as it was.
    Renewed,
    /// The server is new, or its standing changed, or it became cold again.
    Changed,
}

/// Which control instance hears a server, and says when it falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerObserver {
    /// This one.
    Local,
    /// Another one, by its listener for other instances.
    Peer(SocketAddr),
    /// Not known.
    Unknown,
}

/// A server as it is known.
#[derive(Debug, Clone)]
pub struct DirectoryRecord {
    /// Its newest notice, with the standing that holds.
    pub notice: ServerAnnouncement,
    /// When it was last heard of.
    pub last_seen_at: Duration,
    /// Since when it has a lease in any case.
    lease_granted_at: Duration,
    /// Whether it is taken for silent.
    pub expired: bool,
    /// Whether it was known before a restart and not heard of since.
    pub is_remembered: bool,
    /// Who hears it.
    pub observer: ServerObserver,
    /// Its place in the order in which lifetimes became known.
    arrival: u64,
}

impl DirectoryRecord {
    fn new(notice: ServerAnnouncement, now: Duration, arrival: u64) -> DirectoryRecord {
        DirectoryRecord {
            arrival,
            notice,
            last_seen_at: now,
            lease_granted_at: now,
            expired: false,
            is_remembered: false,
            observer: ServerObserver::Unknown,
        }
    }

    /// Tells whether it takes work and is heard of.
    fn is_alive(&self) -> bool {
        self.notice.standing == ServerLifecycle::Ready && !self.expired
    }
}

/// All servers known.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: HashMap<Box<str>, DirectoryRecord>,
    /// Notices taken so far.
    arrivals: u64,
}

impl ServerDirectory {
    /// Takes a notice.
    pub fn apply(&mut self, notice: ServerAnnouncement, now: Duration) -> AnnouncementEffect {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let Some(record) = self.records.get_mut(&notice.id) else {
            let id = notice.id.clone();
            let record = DirectoryRecord::new(notice, now, arrival);
            self.records.insert(id, record);
            return AnnouncementEffect::Changed;
        };
        let known = &mut record.notice;
        if notice.born > known.born {
            // It started again under its id: nothing of before holds.
            *record = DirectoryRecord::new(notice, now, arrival);
            return AnnouncementEffect::Changed;
        }
        if notice.born != 0 && notice.born < known.born {
            return AnnouncementEffect::Stale;
        }
        if notice.conflicts_with(known) {
            return AnnouncementEffect::Conflicting;
        }
        if notice.standing > known.standing {
            let sequence = known.sequence.max(notice.sequence);
            known.standing = notice.standing;
            known.sequence = sequence;
            record.last_seen_at = now;
            record.is_remembered = false;
            return AnnouncementEffect::Changed;
        }
        if notice.sequence <= known.sequence || known.standing == ServerLifecycle::Gone {
            return AnnouncementEffect::Stale;
        }
        let was_cold = now < record.last_seen_at + Duration::from_millis(known.cold_ms);
        let is_cold_again = notice.cold_ms > 0 && !was_cold;
        known.sequence = notice.sequence;
        known.cold_ms = notice.cold_ms;
        record.last_seen_at = now;
        record.is_remembered = false;
        if record.expired || is_cold_again {
            record.expired = false;
            return AnnouncementEffect::Changed;
        }
        AnnouncementEffect::Renewed
    }

    /// Takes a server that was known before a restart, unless something newer
    /// is known. It is believed to live for a moment only: it may have left.
    pub fn remember(&mut self, notice: ServerAnnouncement, now: Duration) {
        self.arrivals += 1;
        let id = notice.id.clone();
        self.records.entry(id).or_insert(DirectoryRecord {
            is_remembered: true,
            ..DirectoryRecord::new(notice, now, self.arrivals)
        });
    }

    /// Iterates over the notices of the servers that take work and are heard
    /// of: what to remember over a restart.
    pub fn confirmed_alive(&self) -> impl Iterator<Item = &ServerAnnouncement> {
        let records = self.records.values();
        let confirmed_alive = records.filter(|record| record.is_alive() && !record.is_remembered);
        confirmed_alive.map(|record| &record.notice)
    }

    /// Takes a peer's word that a server was heard of. What it says of another
    /// lifetime than the one that is known says nothing of this one.
    pub fn renew_lease(&mut self, id: &str, position: AnnouncementPosition, now: Duration) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let is_newer = position.born == record.notice.born && position > record.notice.position();
        if is_newer && record.notice.standing != ServerLifecycle::Gone {
            record.notice.sequence = position.sequence;
            record.last_seen_at = now;
            record.expired = false;
            record.is_remembered = false;
        }
    }

    /// Tells whether a lifetime of a server, or a later one, is known.
    pub fn knows_incarnation(&self, id: &str, position: AnnouncementPosition) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.notice.born >= position.born)
    }

    /// Takes over that this instance hears a server. Returns whether another one
    /// did before.
    pub fn observe_locally(&mut self, id: &str) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let was_own = record.observer == ServerObserver::Local;
        record.observer = ServerObserver::Local;
        !was_own
    }

    /// Takes over that another instance hears a server.
    pub fn observe_at_peer(&mut self, id: &str, peer: SocketAddr) {
        if let Some(record) = self.records.get_mut(id) {
            record.observer = ServerObserver::Peer(peer);
        }
    }

    /// Takes over that another instance hears these servers and no others.
    /// Those that it heard before have a whole lease from now on.
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

    /// Iterates over the servers that this instance hears, with how new that is.
    pub fn observed(&self) -> impl Iterator<Item = (&str, AnnouncementPosition)> {
        let own = self.records.iter();
        let own =
            own.filter(|(_, record)| record.observer == ServerObserver::Local && record.is_alive());
        own.map(|(id, record)| (&**id, record.notice.position()))
    }

    /// Returns a digest of the servers that a control instance hears. It does not
    /// depend on how new that is.
    pub fn digest(&self, observer: ServerObserver) -> u64 {
        let observed = self.records.iter();
        let observed =
            observed.filter(|(_, record)| record.observer == observer && record.is_alive());
        let digests = observed.map(|(id, _)| xxh3_64(id.as_bytes()));
        digests.fold(0, u64::wrapping_add)
    }

    /// Takes another instance's word that it does not hear a server any more.
    /// Returns whether that is news.
    pub fn record_peer_expiry(
        &mut self,
        id: &str,
        position: AnnouncementPosition,
        peer: SocketAddr,
    ) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_its = record.observer == ServerObserver::Peer(peer);
        if !is_its || record.notice.born != position.born || !record.is_alive() {
            return false;
        }
        record.notice.sequence = record.notice.sequence.max(position.sequence);
        record.expired = true;
        true
    }

    /// Marks servers that were not heard of for `lease` as silent and returns
    /// those that newly are; forgets what left long ago. A server that another
    /// instance hears counts as heard of while that one is (`peer_last_seen`).
    pub fn expire_leases(
        &mut self,
        now: Duration,
        lease: Duration,
        peer_last_seen: impl Fn(&SocketAddr) -> Option<Duration>,
    ) -> Vec<Box<str>> {
        self.records.retain(|_, record| {
            let is_alive = record.notice.standing == ServerLifecycle::Ready && !record.expired;
            is_alive || now < record.last_seen_at + TOMBSTONE_RETENTION
        });
        let mut expired = Vec::new();
        for (id, record) in &mut self.records {
            let lease = if record.is_remembered {
                lease.mul_f64(REMEMBERED_LEASE_SHARE)
            } else {
                lease
            };
            let last_seen_at = match record.observer {
                ServerObserver::Peer(peer) => peer_last_seen(&peer).unwrap_or(Duration::ZERO),
                ServerObserver::Local | ServerObserver::Unknown => Duration::ZERO,
            };
            let last_seen_at = record
                .last_seen_at
                .max(record.lease_granted_at)
                .max(last_seen_at);
            let is_late = now > last_seen_at + lease;
            if is_late && !record.expired && record.notice.standing == ServerLifecycle::Ready {
                record.expired = true;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Returns digests of the servers that take work, by part of their ids. Two
    /// directories that have a digest in common know the same servers there.
    pub fn bucket_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; DIGEST_BUCKETS];
        for (id, record) in &self.records {
            if record.notice.standing == ServerLifecycle::Ready {
                let digest = xxh3_64_with_seed(id.as_bytes(), record.notice.born);
                let part = &mut digests[bucket_of(id)];
                *part = part.wrapping_add(digest);
            }
        }
        digests
    }

    /// Returns the records that another directory with these digests may lack.
    ///
    /// Of two lifetimes at an address the later one stands behind: whoever takes
    /// the records in order takes the earlier one for replaced. Those that are
    /// taken for dead go first, then those that were heard of longer ago; what
    /// came in one message was heard of at one time.
    pub fn records_to_sync(&self, digests: &[u64]) -> Vec<&DirectoryRecord> {
        let own = self.bucket_digests();
        let records = self.records.iter();
        let records_to_sync = records.filter(|(id, _)| {
            let part = bucket_of(id);
            digests.get(part) != Some(&own[part])
        });
        let mut records_to_sync: Vec<&DirectoryRecord> =
            records_to_sync.map(|(_, record)| record).collect();
        records_to_sync
            .sort_by_key(|record| (record.is_alive(), record.last_seen_at, record.arrival));
        records_to_sync
    }

    /// Returns the record of a server.
    pub fn get(&self, id: &str) -> Option<&DirectoryRecord> {
        self.records.get(id)
    }

    /// Iterates over all records.
    pub fn iter(&self) -> impl Iterator<Item = &DirectoryRecord> {
        self.records.values()
    }

    /// Returns the number of servers known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Tells whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
