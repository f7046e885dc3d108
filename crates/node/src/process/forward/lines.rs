//! The connections of an entry to control instances, and which of these is its
//! source. The choice itself is made in
//! [`wheelmast_core::process::forward::source`].

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::process::forward::place::DomainProximity;
use wheelmast_core::process::forward::source::{
    choose_control_connections, choose_source, ControlCandidate, ControlPeer, ControlSite,
    CONTROL_CONNECTIONS,
};
use wheelmast_wire::group::GroupMessage;

use crate::process::clock::ProcessClock;
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Time without a message after which an instance is no good source: it says
/// how it is once a second.
pub const QUIET_TIME: Duration = Duration::from_millis(1500);
/// Longest time to wait for a source of the own region.
const NEAR_TIME: Duration = Duration::from_millis(1500);
/// Time after the start in which a source is chosen only if it is settled.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Tries without success after which an instance that nobody names is forgotten.
const MOST_TRIES: u32 = 60;
/// Time for which an instance that failed is avoided: a near one that is back is
/// used again.
const DOUBT_TIME: Duration = Duration::from_secs(5);
/// Wishes that may wait for a connection.
const WISH_RING: usize = 64;

/// What a control instance says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineState {
    /// Whether it stands in the entry's failure domain.
    pub is_near: bool,
    /// Whether it is in contact with the group.
    pub has_quorum: bool,
    /// Whether it has started a moment ago.
    pub started_recently: bool,
    /// Version of the route table in force there; 0 for none.
    pub version: u64,
}

/// A connection to a control instance.
#[derive(Debug)]
struct FeedLine {
    peer: ControlPeer,
    version: u64,
    /// When it was last heard.
    heard: Duration,
    wishes: RingSender<GroupMessage>,
}

/// A control instance that the entry knows of.
#[derive(Debug, Default)]
struct KnownSite {
    /// Its failure domain, and how far off that is, if known.
    place: Option<(Box<str>, DomainProximity)>,
    /// How often in a row it could not be reached.
    failures: u32,
    /// When it last failed, or said that it is out of contact with its group,
    /// unless it was heard to be well since.
    last_failed_at: Option<Duration>,
    /// Whether a task keeps the connection to it.
    is_followed: bool,
    /// Whether a connection to it is wanted.
    is_wanted: bool,
}

/// The control instances that an entry knows of, and its connections to some.
#[derive(Debug)]
pub struct LineBook {
    own: Box<str>,
    sites: BTreeMap<SocketAddr, KnownSite>,
    lines: HashMap<SocketAddr, FeedLine>,
    source: Option<SocketAddr>,
    /// Since when a source is looked for.
    lacking_since: Option<Duration>,
    clock: ProcessClock,
}

impl LineBook {
    /// Returns a book without connections, by the identity and the clock of an
    /// entry.
    pub fn new(own: Box<str>, clock: ProcessClock) -> LineBook {
        LineBook {
            own,
            sites: BTreeMap::new(),
            lines: HashMap::new(),
            source: None,
            lacking_since: None,
            clock,
        }
    }

    /// Takes note of a control instance, and of where it stands if that is known.
    pub fn learn_site(&mut self, address: SocketAddr, place: Option<(Box<str>, DomainProximity)>) {
        let site = self.sites.entry(address).or_default();
        if place.is_some() {
            site.place = place;
        }
    }

    /// Forgets the control instances that are not named any more and could not
    /// be reached for long.
    pub fn forget_sites(&mut self, named: &[ControlSite]) {
        self.sites.retain(|address, site| {
            let is_named = named.iter().any(|named| named.address == *address);
            is_named || site.is_followed || site.failures < MOST_TRIES
        });
    }

    /// Takes note that an instance could not be reached, or broke off.
    pub fn fail_site(&mut self, address: SocketAddr) {
        let site = self.sites.entry(address).or_default();
        site.failures = site.failures.saturating_add(1);
        site.last_failed_at = Some(self.clock.elapsed());
    }

    /// Chooses the instances that the entry is connected to. Returns those that
    /// a task is to follow from now on; connections that are not wanted end.
    ///
    /// While fewer than the usual number of the chosen are connected and in
    /// contact with their group, the others are kept.
    pub fn plan(&mut self) -> Vec<SocketAddr> {
        let now = self.clock.elapsed();
        let lines = &self.lines;
        let is_quiet = |address: &SocketAddr| {
            let line = lines.get(address);
            line.is_some_and(|line| now > line.heard + QUIET_TIME)
        };
        let candidates = self.sites.iter().map(|(address, site)| {
            let place = site.place.as_ref();
            let lately = site
                .last_failed_at
                .filter(|last_failed_at| now < *last_failed_at + DOUBT_TIME);
            ControlCandidate {
                address: *address,
                place: place.map(|(domain, place)| (&**domain, *place)),
                last_failed_at: if is_quiet(address) { Some(now) } else { lately },
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = choose_control_connections(&self.own, &candidates);
        let is_good = |address: &&SocketAddr| {
            let line = lines.get(address);
            line.is_some_and(|line| line.peer.has_quorum) && !is_quiet(address)
        };
        let good = chosen.iter().filter(is_good).count();
        let keeps = good < CONTROL_CONNECTIONS.min(self.sites.len());
        let mut begun = Vec::new();
        for (address, site) in &mut self.sites {
            let is_kept = keeps && lines.contains_key(address);
            site.is_wanted = chosen.contains(address) || is_kept;
            if site.is_wanted && !site.is_followed {
                site.is_followed = true;
                begun.push(*address);
            }
        }
        let sites = &self.sites;
        self.lines
            .retain(|address, _| sites.get(address).is_some_and(|site| site.is_wanted));
        if self
            .source
            .is_some_and(|source| !self.lines.contains_key(&source))
        {
            self.source = None;
        }
        begun
    }

    /// Tells whether an instance is to be followed on. If not, its task ends.
    pub fn keeps_following(&mut self, address: SocketAddr) -> bool {
        let Some(site) = self.sites.get_mut(&address) else {
            return false;
        };
        site.is_followed = site.is_wanted;
        site.is_wanted
    }

    /// Returns how often in a row an instance could not be reached.
    pub fn failures(&self, address: SocketAddr) -> u32 {
        self.sites.get(&address).map_or(0, |site| site.failures)
    }

    /// Returns the source.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// Adds a connection that was opened in `connect_time`. Returns what is wished
    /// from it.
    pub fn add_line(
        &mut self,
        address: SocketAddr,
        connect_time: Duration,
    ) -> RingReceiver<GroupMessage> {
        let (wishes, ring) = bounded_ring(WISH_RING);
        let line = FeedLine {
            peer: ControlPeer {
                address,
                is_near: false,
                has_quorum: false,
                started_recently: true,
                connect_time,
            },
            version: 0,
            heard: self.clock.elapsed(),
            wishes,
        };
        self.lines.insert(address, line);
        ring
    }

    /// Drops a connection. Returns whether that was the source's.
    pub fn drop_line(&mut self, address: SocketAddr) -> bool {
        self.lines.remove(&address);
        let was_source = self.source == Some(address);
        if was_source {
            self.source = None;
        }
        was_source
    }

    /// Takes note of a message.
    pub fn heard(&mut self, address: SocketAddr) {
        if let Some(line) = self.lines.get_mut(&address) {
            line.heard = self.clock.elapsed();
        }
    }

    /// Takes what an instance says of itself. Returns whether the source
    /// should be chosen anew.
    pub fn take_state(&mut self, address: SocketAddr, state: LineState) -> bool {
        let Some(line) = self.lines.get_mut(&address) else {
            return false;
        };
        if let Some(site) = self.sites.get_mut(&address) {
            site.last_failed_at = (!state.has_quorum).then(|| self.clock.elapsed());
            site.failures = 0;
        }
        let known = line.peer;
        line.peer.is_near = state.is_near;
        line.peer.has_quorum = state.has_quorum;
        line.peer.started_recently = state.started_recently;
        line.version = state.version;
        line.peer != known || self.source.is_none()
    }

    /// Chooses the source, for an entry that has a table of version `have`.
    /// Returns whether there is another one now.
    pub fn choose(&mut self, have: u64, servers: impl FnOnce() -> Vec<u64>) -> bool {
        let now = self.clock.elapsed();
        let peers: Vec<ControlPeer> = self
            .lines
            .values()
            .map(|line| ControlPeer {
                has_quorum: line.peer.has_quorum && now < line.heard + QUIET_TIME,
                ..line.peer
            })
            .collect();
        let former = self.source;
        let is_early = now < SETTLE_TIME;
        if former.is_none() && is_early && !peers.iter().any(|peer| peer.has_quorum) {
            // All have just started; who is near is not known yet.
            return false;
        }
        let source = choose_source(&peers, former);
        if source == former {
            return false;
        }
        if source.is_some_and(|source| self.awaits_nearer(source, now)) {
            return false;
        }
        self.source = source;
        self.lacking_since = None;
        if let Some(line) = former.and_then(|former| self.lines.get(&former)) {
            // A full ring: the connection stands still and will end.
            let _ = line.wishes.offer(GroupMessage::Urgent);
        }
        let Some(line) = source.and_then(|source| self.lines.get(&source)) else {
            return false;
        };
        let _ = line.wishes.offer(GroupMessage::Whole {
            have,
            servers: servers(),
        });
        let ControlPeer {
            address,
            is_near,
            has_quorum,
            ..
        } = line.peer;
        tracing::info!(target: "entry", control = %address, near = is_near, settled = has_quorum, candidates = peers.len(), "source: chosen");
        true
    }

    /// Tells whether an instance of another region is not to be the source yet, as
    /// one of the own region is about to be connected: all that is known of the
    /// servers would cross regions, and be told again by the nearer one.
    fn awaits_nearer(&mut self, source: SocketAddr, now: Duration) -> bool {
        let lacking_since = *self.lacking_since.get_or_insert(now);
        let is_in_region = |site: &KnownSite| {
            let place = site.place.as_ref();
            place.is_some_and(|(_, place)| *place <= DomainProximity::Region)
        };
        let is_near = self.sites.get(&source).is_some_and(is_in_region);
        if is_near || now > lacking_since + NEAR_TIME {
            return false;
        }
        let mut sites = self.sites.iter();
        sites.any(|(address, site)| {
            let is_coming = site.is_wanted && site.failures == 0;
            is_coming && is_in_region(site) && !self.lines.contains_key(address)
        })
    }

    /// Tells all instances.
    pub fn tell_all(&self, message: &GroupMessage) {
        for line in self.lines.values() {
            // A full ring: the connection stands still and will end, and the
            // next one begins with all that is known.
            let _ = line.wishes.offer(message.clone());
        }
    }

    /// Tells the source.
    pub fn tell_source(&self, message: GroupMessage) {
        let line = self.source.and_then(|source| self.lines.get(&source));
        if let Some(line) = line {
            // A full ring: the connection stands still and will end.
            let _ = line.wishes.offer(message);
        }
    }

    /// Asks the nearest instance that has a version, and was not tried, for its
    /// table. Returns whether there is one.
    pub fn fetch(&self, version: u64, have: u64, tried: &mut HashSet<SocketAddr>) -> bool {
        let able = self
            .lines
            .values()
            .filter(|line| line.version >= version && !tried.contains(&line.peer.address));
        let Some(line) = able.min_by_key(|line| line.peer.connect_time) else {
            return false;
        };
        tried.insert(line.peer.address);
        tracing::warn!(target: "entry", control = %line.peer.address, table_version = version, "table: fetched, as the source did not bring it");
        let _ = line.wishes.offer(GroupMessage::Fetch { have });
        true
    }
}
