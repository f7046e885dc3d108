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
pub const REMEMBER_TIME: Duration = Duration::from_secs(180);
/// Parts that ids are divided into for digests.
const DIGEST_PARTS: usize = 64;
/// Part of a lease for which a server that was known before a restart is believed
/// to live, unless it is heard of.
const BELIEVE_PART: f64 = 0.5;
/// Announcements that a server may miss in a row before it counts as silent, where
/// they come seldom.
const MISSED_ANNOUNCEMENTS: u32 = 1;
/// How late an announcement may come.
const LATE_ANNOUNCEMENT: Duration = Duration::from_millis(1500);
/// Least lease: with announcements each second, one that comes seconds late is
/// nothing unusual.
const LEAST_LEASE: Duration = Duration::from_secs(5);

/// Returns the part that an id falls to.
fn part_of(id: &str) -> usize {
    xxh3_64(id.as_bytes()) as usize % DIGEST_PARTS
}

/// Returns the time without an announcement after which a server counts as silent,
/// where one comes in each `interval`.
pub fn lease_for(interval: Duration) -> Duration {
    let missed = interval * (MISSED_ANNOUNCEMENTS + 1) + LATE_ANNOUNCEMENT;
    missed.max(LEAST_LEASE)
}

/// Whether a server takes work. The order is that of a lifetime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ServerStanding {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Draining,
    /// It has left.
    Gone,
}

/// What a server says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerNotice {
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
    pub standing: ServerStanding,
    /// When this lifetime started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Grows with each notice of this lifetime.
    pub sequence: u64,
    /// How much longer it is slow after its start, in milliseconds.
    pub cold_ms: u64,
}

impl ServerNotice {
    /// Returns the notice that a server has left, of which nothing else need
    /// be known; `born` is 0 if it does not say when it started.
    pub fn gone(id: &str, born: u64) -> ServerNotice {
        let mark = LifeMark {
            born,
            sequence: u64::MAX,
        };
        ServerNotice::bare(id.into(), ServerStanding::Gone, mark)
    }

    /// Returns which lifetime it is of, and how new it is in that.
    pub fn mark(&self) -> LifeMark {
        LifeMark {
            born: self.born,
            sequence: self.sequence,
        }
    }

    /// Returns the part of the notice that must reach everybody at once: that
    /// the server leaves.
    pub fn urgent(&self) -> ServerNotice {
        ServerNotice::bare(self.id.clone(), self.standing, self.mark())
    }

    fn bare(id: Box<str>, standing: ServerStanding, mark: LifeMark) -> ServerNotice {
        ServerNotice {
            id,
            service: "".into(),
            address: None,
            domain: "".into(),
            version: "".into(),
            slots: 0,
            standing,
            born: mark.born,
            sequence: mark.sequence,
            cold_ms: 0,
        }
    }

    /// Tells whether another writer made one of these: a server's service,
    /// address and failure domain are the same in a whole lifetime.
    pub fn contradicts(&self, known: &ServerNotice) -> bool {
        let are_whole = self.address.is_some() && known.address.is_some();
        are_whole
            && (self.address != known.address
                || self.service != known.service
                || self.domain != known.domain)
    }
}

/// A lifetime of a server, and how new a notice of it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LifeMark {
    /// When it started, in Unix milliseconds; 0 if it does not say.
    pub born: u64,
    /// Grows with each notice of it.
    pub sequence: u64,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// It was older than what is known.
    Stale,
    /// It contradicts what the server said of itself before.
    Foreign,
    /// The server lives on as it was.
    Renewed,
    /// The server is new, or its standing changed, or it became cold again.
    Changed,
}

/// Which control instance hears a server, and says when it falls silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerKeeper {
    /// This one.
    Own,
    /// Another one, by its listener for other instances.
    Peer(SocketAddr),
    /// Not known.
    Unknown,
}

/// A server as it is known.
#[derive(Debug, Clone)]
pub struct DirectoryRecord {
    /// Its newest notice, with the standing that holds.
    pub notice: ServerNotice,
    /// When it was last heard of.
    pub heard: Duration,
    /// Since when it has a lease in any case.
    leased: Duration,
    /// Whether it is taken for silent.
    pub silent: bool,
    /// Whether it was known before a restart and not heard of since.
    pub remembered: bool,
    /// Who hears it.
    pub keeper: ServerKeeper,
    /// Its place in the order in which lifetimes became known.
    place: u64,
}

impl DirectoryRecord {
    fn new(notice: ServerNotice, now: Duration, place: u64) -> DirectoryRecord {
        DirectoryRecord {
            place,
            notice,
            heard: now,
            leased: now,
            silent: false,
            remembered: false,
            keeper: ServerKeeper::Unknown,
        }
    }

    /// Tells whether it takes work and is heard of.
    fn lives(&self) -> bool {
        self.notice.standing == ServerStanding::Ready && !self.silent
    }
}

/// All servers known.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: HashMap<Box<str>, DirectoryRecord>,
    /// Notices taken so far.
    taken: u64,
}

impl ServerDirectory {
    /// Takes a notice.
    pub fn apply(&mut self, notice: ServerNotice, now: Duration) -> NoticeEffect {
        self.taken += 1;
        let place = self.taken;
        let Some(record) = self.records.get_mut(&notice.id) else {
            let id = notice.id.clone();
            let record = DirectoryRecord::new(notice, now, place);
            self.records.insert(id, record);
            return NoticeEffect::Changed;
        };
        let known = &mut record.notice;
        if notice.born > known.born {
            // It started again under its id: nothing of before holds.
            *record = DirectoryRecord::new(notice, now, place);
            return NoticeEffect::Changed;
        }
        if notice.born != 0 && notice.born < known.born {
            return NoticeEffect::Stale;
        }
        if notice.contradicts(known) {
            return NoticeEffect::Foreign;
        }
        if notice.standing > known.standing {
            let sequence = known.sequence.max(notice.sequence);
            known.standing = notice.standing;
            known.sequence = sequence;
            record.heard = now;
            record.remembered = false;
            return NoticeEffect::Changed;
        }
        if notice.sequence <= known.sequence || known.standing == ServerStanding::Gone {
            return NoticeEffect::Stale;
        }
        let was_cold = now < record.heard + Duration::from_millis(known.cold_ms);
        let is_cold_again = notice.cold_ms > 0 && !was_cold;
        known.sequence = notice.sequence;
        known.cold_ms = notice.cold_ms;
        record.heard = now;
        record.remembered = false;
        if record.silent || is_cold_again {
            record.silent = false;
            return NoticeEffect::Changed;
        }
        NoticeEffect::Renewed
    }

    /// Takes a server that was known before a restart, unless something newer
    /// is known. It is believed to live for a moment only: it may have left.
    pub fn remember(&mut self, notice: ServerNotice, now: Duration) {
        self.taken += 1;
        let id = notice.id.clone();
        self.records.entry(id).or_insert(DirectoryRecord {
            remembered: true,
            ..DirectoryRecord::new(notice, now, self.taken)
        });
    }

    /// Iterates over the notices of the servers that take work and are heard
    /// of: what to remember over a restart.
    pub fn living(&self) -> impl Iterator<Item = &ServerNotice> {
        let records = self.records.values();
        let living = records.filter(|record| record.lives() && !record.remembered);
        living.map(|record| &record.notice)
    }

    /// Takes a peer's word that a server was heard of. What it says of another
    /// lifetime than the one that is known says nothing of this one.
    pub fn renew(&mut self, id: &str, mark: LifeMark, now: Duration) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        let is_newer = mark.born == record.notice.born && mark > record.notice.mark();
        if is_newer && record.notice.standing != ServerStanding::Gone {
            record.notice.sequence = mark.sequence;
            record.heard = now;
            record.silent = false;
            record.remembered = false;
        }
    }

    /// Tells whether a lifetime of a server, or a later one, is known.
    pub fn knows(&self, id: &str, mark: LifeMark) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| record.notice.born >= mark.born)
    }

    /// Takes over that this instance hears a server. Returns whether another one
    /// did before.
    pub fn keep(&mut self, id: &str) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let was_own = record.keeper == ServerKeeper::Own;
        record.keeper = ServerKeeper::Own;
        !was_own
    }

    /// Takes over that another instance hears a server.
    pub fn keep_at(&mut self, id: &str, peer: SocketAddr) {
        if let Some(record) = self.records.get_mut(id) {
            record.keeper = ServerKeeper::Peer(peer);
        }
    }

    /// Takes over that another instance hears these servers and no others.
    /// Those that it heard before have a whole lease from now on.
    pub fn keep_only(&mut self, peer: SocketAddr, ids: &HashSet<Box<str>>, now: Duration) {
        for (id, record) in &mut self.records {
            if record.keeper == ServerKeeper::Peer(peer) && !ids.contains(id) {
                record.keeper = ServerKeeper::Unknown;
                record.leased = now;
            }
        }
    }

    /// Iterates over the servers that this instance hears, with how new that is.
    pub fn kept(&self) -> impl Iterator<Item = (&str, LifeMark)> {
        let own = self.records.iter();
        let own = own.filter(|(_, record)| record.keeper == ServerKeeper::Own && record.lives());
        own.map(|(id, record)| (&**id, record.notice.mark()))
    }

    /// Returns a digest of the servers that a control instance hears. It does not
    /// depend on how new that is.
    pub fn digest(&self, keeper: ServerKeeper) -> u64 {
        let kept = self.records.iter();
        let kept = kept.filter(|(_, record)| record.keeper == keeper && record.lives());
        let digests = kept.map(|(id, _)| xxh3_64(id.as_bytes()));
        digests.fold(0, u64::wrapping_add)
    }

    /// Takes another instance's word that it does not hear a server any more.
    /// Returns whether that is news.
    pub fn lapse(&mut self, id: &str, mark: LifeMark, peer: SocketAddr) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        let is_its = record.keeper == ServerKeeper::Peer(peer);
        if !is_its || record.notice.born != mark.born || !record.lives() {
            return false;
        }
        record.notice.sequence = record.notice.sequence.max(mark.sequence);
        record.silent = true;
        true
    }

    /// Marks servers that were not heard of for `lease` as silent and returns
    /// those that newly are; forgets what left long ago. A server that another
    /// instance hears counts as heard of while that one is (`heard_peer`).
    pub fn sweep(
        &mut self,
        now: Duration,
        lease: Duration,
        heard_peer: impl Fn(&SocketAddr) -> Option<Duration>,
    ) -> Vec<Box<str>> {
        self.records.retain(|_, record| {
            let lives = record.notice.standing == ServerStanding::Ready && !record.silent;
            lives || now < record.heard + REMEMBER_TIME
        });
        let mut silent = Vec::new();
        for (id, record) in &mut self.records {
            let lease = if record.remembered {
                lease.mul_f64(BELIEVE_PART)
            } else {
                lease
            };
            let heard = match record.keeper {
                ServerKeeper::Peer(peer) => heard_peer(&peer).unwrap_or(Duration::ZERO),
                ServerKeeper::Own | ServerKeeper::Unknown => Duration::ZERO,
            };
            let heard = record.heard.max(record.leased).max(heard);
            let is_late = now > heard + lease;
            if is_late && !record.silent && record.notice.standing == ServerStanding::Ready {
                record.silent = true;
                silent.push(id.clone());
            }
        }
        silent
    }

    /// Returns digests of the servers that take work, by part of their ids. Two
    /// directories that have a digest in common know the same servers there.
    pub fn part_digests(&self) -> Vec<u64> {
        let mut digests = vec![0_u64; DIGEST_PARTS];
        for (id, record) in &self.records {
            if record.notice.standing == ServerStanding::Ready {
                let digest = xxh3_64_with_seed(id.as_bytes(), record.notice.born);
                let part = &mut digests[part_of(id)];
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
    pub fn lacking(&self, digests: &[u64]) -> Vec<&DirectoryRecord> {
        let own = self.part_digests();
        let records = self.records.iter();
        let lacking = records.filter(|(id, _)| {
            let part = part_of(id);
            digests.get(part) != Some(&own[part])
        });
        let mut lacking: Vec<&DirectoryRecord> = lacking.map(|(_, record)| record).collect();
        lacking.sort_by_key(|record| (record.lives(), record.heard, record.place));
        lacking
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
