//! The connections of an entry to control instances, and which of these is its
//! source. The choice itself is made in
//! [`wheelmast_core::process::forward::source`].

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use wheelmast_core::process::forward::source::{choose_source, ControlPeer};
use wheelmast_wire::group::GroupMessage;

use crate::process::clock::ProcessClock;
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Time without a message after which an instance is no good source: it says
/// how it is once a second.
pub const QUIET_TIME: Duration = Duration::from_millis(1500);
/// Time after the start in which a source is chosen only if it is settled.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Wishes that may wait for a connection.
const WISH_RING: usize = 64;

/// What a control instance says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineState {
    /// Whether it stands in the entry's failure domain.
    pub is_near: bool,
    /// Whether it is in contact with the group.
    pub is_settled: bool,
    /// Whether it has started a moment ago.
    pub is_fresh: bool,
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

/// The connections of an entry to control instances.
#[derive(Debug)]
pub struct LineBook {
    lines: HashMap<SocketAddr, FeedLine>,
    source: Option<SocketAddr>,
    clock: ProcessClock,
}

impl LineBook {
    /// Returns a book without connections, by the clock of an entry.
    pub fn new(clock: ProcessClock) -> LineBook {
        LineBook {
            lines: HashMap::new(),
            source: None,
            clock,
        }
    }

    /// Returns the source.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// Adds a connection that was opened in `way`. Returns what is wished
    /// from it.
    pub fn add_line(&mut self, address: SocketAddr, way: Duration) -> RingReceiver<GroupMessage> {
        let (wishes, ring) = bounded_ring(WISH_RING);
        let line = FeedLine {
            peer: ControlPeer {
                address,
                is_near: false,
                is_settled: false,
                is_fresh: true,
                way,
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
        let known = line.peer;
        line.peer.is_near = state.is_near;
        line.peer.is_settled = state.is_settled;
        line.peer.is_fresh = state.is_fresh;
        line.version = state.version;
        line.peer != known || self.source.is_none()
    }

    /// Chooses the source, for an entry that has a table of version `have`.
    /// Returns whether there is another one now.
    pub fn choose(&mut self, have: u64) -> bool {
        let now = self.clock.elapsed();
        let peers: Vec<ControlPeer> = self
            .lines
            .values()
            .map(|line| ControlPeer {
                is_settled: line.peer.is_settled && now < line.heard + QUIET_TIME,
                ..line.peer
            })
            .collect();
        let former = self.source;
        let is_early = now < SETTLE_TIME;
        if former.is_none() && is_early && !peers.iter().any(|peer| peer.is_settled) {
            // All have just started; who is near is not known yet.
            return false;
        }
        let source = choose_source(&peers, former);
        if source == former {
            return false;
        }
        self.source = source;
        if let Some(line) = former.and_then(|former| self.lines.get(&former)) {
            // A full ring: the connection stands still and will end.
            let _ = line.wishes.offer(GroupMessage::Urgent);
        }
        let Some(line) = source.and_then(|source| self.lines.get(&source)) else {
            return false;
        };
        let _ = line.wishes.offer(GroupMessage::Whole { have });
        let ControlPeer {
            address,
            is_near,
            is_settled,
            ..
        } = line.peer;
        tracing::info!(target: "entry", control = %address, near = is_near, settled = is_settled, candidates = peers.len(), "source: chosen");
        true
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
        let Some(line) = able.min_by_key(|line| line.peer.way) else {
            return false;
        };
        tried.insert(line.peer.address);
        tracing::warn!(target: "entry", control = %line.peer.address, table_version = version, "table: fetched, as the source did not bring it");
        let _ = line.wishes.offer(GroupMessage::Fetch { have });
        true
    }
}
