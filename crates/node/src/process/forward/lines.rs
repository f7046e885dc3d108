//! Connections of an entry to control instances, and the selection of its source.
//!
//! Each connected control instance sends small, urgent updates. One of them, the
//! source, also sends large state: route tables, all servers, all entries.
//! [`wheelmast_core::process::forward::source`] holds the rules of selection.

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

/// Time without a message after which a control instance counts as unresponsive.
/// Each instance reports its status once a second.
pub const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time to wait for a source in the entry's region.
const LOCAL_SOURCE_WAIT: Duration = Duration::from_millis(1500);
/// Time after the process started in which the first source is selected only once some
/// connected instance has a quorum.
const INITIAL_QUORUM_WAIT: Duration = Duration::from_secs(1);
/// Consecutive failures to connect after which an instance is forgotten, if the control
/// group no longer lists the instance.
const MAX_CONNECT_FAILURES: u32 = 60;
/// Time for which an instance that failed is avoided. The time is limited, so that a
/// near instance is used again once it is back.
const FAILURE_AVOIDANCE_TIME: Duration = Duration::from_secs(5);
/// Maximum number of messages queued for a connection.
const OUTBOUND_RING_LENGTH: usize = 64;

/// Status that a control instance reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ControlStatus {
    /// Whether the instance is in the entry's failure domain.
    pub is_near: bool,
    /// Whether the instance is connected to a quorum of the control group with a leader.
    pub has_quorum: bool,
    /// Whether the instance has just started, so that it may still lack state that the
    /// other instances have.
    pub started_recently: bool,
    /// Version of the route table in force at the instance; 0 for none.
    pub version: u64,
}

/// A connection to a control instance.
#[derive(Debug)]
struct ControlConnection {
    peer: ControlPeer,
    /// Version of the route table in force at the instance; 0 for none.
    table_version: u64,
    /// Time of the last message from the instance.
    last_seen_at: Duration,
    /// Messages to the instance.
    outbound: RingSender<GroupMessage>,
}

/// A control instance whose address the entry knows.
#[derive(Debug, Default)]
struct KnownInstance {
    /// Failure domain of the instance and its proximity to the entry, if known.
    place: Option<(Box<str>, DomainProximity)>,
    /// Number of consecutive failures of the connection.
    consecutive_failures: u32,
    /// Time at which the connection last failed, or the instance last reported that it
    /// has no quorum. `None` if the instance has reported a quorum since.
    last_failed_at: Option<Duration>,
    /// Whether a task maintains the connection to the instance.
    is_followed: bool,
    /// Whether the entry wants a connection to the instance.
    is_wanted: bool,
}

/// The control instances that an entry knows, and its connections to some of them.
#[derive(Debug)]
pub struct ControlConnections {
    /// Identity of the entry.
    local_id: Box<str>,
    /// Known control instances by address.
    instances: BTreeMap<SocketAddr, KnownInstance>,
    /// Open connections by the address of the instance.
    connections: HashMap<SocketAddr, ControlConnection>,
    /// Address of the current source.
    source: Option<SocketAddr>,
    /// Time at which the entry began to wait for a source in its region; `None` while the
    /// entry does not wait.
    awaiting_local_since: Option<Duration>,
    clock: ProcessClock,
}

impl ControlConnections {
    /// Returns an empty set of connections for an entry with this identity and clock.
    pub fn new(local_id: Box<str>, clock: ProcessClock) -> ControlConnections {
        ControlConnections {
            local_id,
            instances: BTreeMap::new(),
            connections: HashMap::new(),
            source: None,
            awaiting_local_since: None,
            clock,
        }
    }

    /// Records a control instance, with its failure domain and proximity if known.
    pub fn record_instance(
        &mut self,
        address: SocketAddr,
        place: Option<(Box<str>, DomainProximity)>,
    ) {
        let instance = self.instances.entry(address).or_default();
        if place.is_some() {
            instance.place = place;
        }
    }

    /// Forgets the control instances that are not in `listed` and failed at
    /// least `MAX_CONNECT_FAILURES` times in a row.
    pub fn forget_lost_instances(&mut self, listed: &[ControlSite]) {
        self.instances.retain(|address, instance| {
            let is_listed = listed.iter().any(|site| site.address == *address);
            is_listed
                || instance.is_followed
                || instance.consecutive_failures < MAX_CONNECT_FAILURES
        });
    }

    /// Records that an instance could not be reached, or that its connection broke.
    pub fn record_failure(&mut self, address: SocketAddr) {
        let instance = self.instances.entry(address).or_default();
        instance.consecutive_failures = instance.consecutive_failures.saturating_add(1);
        instance.last_failed_at = Some(self.clock.elapsed());
    }

    /// Chooses the instances to connect to, and drops unwanted connections. Returns the
    /// instances for which the caller must start a task that maintains the connection.
    ///
    /// While fewer than `CONTROL_CONNECTIONS` of the chosen instances are connected
    /// with a quorum and responsive, the other open connections are kept.
    pub fn plan_connections(&mut self) -> Vec<SocketAddr> {
        let now = self.clock.elapsed();
        let connections = &self.connections;
        let is_unresponsive = |address: &SocketAddr| {
            let connection = connections.get(address);
            connection
                .is_some_and(|connection| now > connection.last_seen_at + UNRESPONSIVE_TIMEOUT)
        };
        let candidates = self.instances.iter().map(|(address, instance)| {
            let place = instance.place.as_ref();
            let recent_failure = instance
                .last_failed_at
                .filter(|last_failed_at| now < *last_failed_at + FAILURE_AVOIDANCE_TIME);
            ControlCandidate {
                address: *address,
                place: place.map(|(domain, place)| (&**domain, *place)),
                last_failed_at: if is_unresponsive(address) {
                    Some(now)
                } else {
                    recent_failure
                },
            }
        });
        let candidates: Vec<_> = candidates.collect();
        let chosen = choose_control_connections(&self.local_id, &candidates);
        let is_healthy = |address: &&SocketAddr| {
            let connection = connections.get(address);
            connection.is_some_and(|connection| connection.peer.has_quorum)
                && !is_unresponsive(address)
        };
        let healthy_count = chosen.iter().filter(is_healthy).count();
        let should_keep_others = healthy_count < CONTROL_CONNECTIONS.min(self.instances.len());
        let mut newly_wanted = Vec::new();
        for (address, instance) in &mut self.instances {
            let is_kept = should_keep_others && connections.contains_key(address);
            instance.is_wanted = chosen.contains(address) || is_kept;
            if instance.is_wanted && !instance.is_followed {
                instance.is_followed = true;
                newly_wanted.push(*address);
            }
        }
        let instances = &self.instances;
        self.connections.retain(|address, _| {
            instances
                .get(address)
                .is_some_and(|instance| instance.is_wanted)
        });
        if self
            .source
            .is_some_and(|source| !self.connections.contains_key(&source))
        {
            self.source = None;
        }
        newly_wanted
    }

    /// Returns whether the task of an instance should maintain its connection. If not,
    /// records that the task ends.
    pub fn should_follow(&mut self, address: SocketAddr) -> bool {
        let Some(instance) = self.instances.get_mut(&address) else {
            return false;
        };
        instance.is_followed = instance.is_wanted;
        instance.is_wanted
    }

    /// Returns the number of consecutive connection failures of an instance.
    pub fn consecutive_failures(&self, address: SocketAddr) -> u32 {
        self.instances
            .get(&address)
            .map_or(0, |instance| instance.consecutive_failures)
    }

    /// Returns the address of the current source.
    pub fn source(&self) -> Option<SocketAddr> {
        self.source
    }

    /// Adds a connection that took `connect_time` to open. Returns the receiver of the
    /// messages to send on it.
    pub fn add_connection(
        &mut self,
        address: SocketAddr,
        connect_time: Duration,
    ) -> RingReceiver<GroupMessage> {
        let (outbound, ring) = bounded_ring(OUTBOUND_RING_LENGTH);
        let connection = ControlConnection {
            peer: ControlPeer {
                address,
                is_near: false,
                has_quorum: false,
                started_recently: true,
                connect_time,
            },
            table_version: 0,
            last_seen_at: self.clock.elapsed(),
            outbound,
        };
        self.connections.insert(address, connection);
        ring
    }

    /// Removes a connection. Returns whether the connection was that of the source.
    pub fn remove_connection(&mut self, address: SocketAddr) -> bool {
        self.connections.remove(&address);
        let was_source = self.source == Some(address);
        if was_source {
            self.source = None;
        }
        was_source
    }

    /// Records that a message was received from an instance.
    pub fn received_message(&mut self, address: SocketAddr) {
        if let Some(connection) = self.connections.get_mut(&address) {
            connection.last_seen_at = self.clock.elapsed();
        }
    }

    /// Records the status that an instance reported. Returns whether the source should
    /// be selected again.
    pub fn update_status(&mut self, address: SocketAddr, status: ControlStatus) -> bool {
        let Some(connection) = self.connections.get_mut(&address) else {
            return false;
        };
        if let Some(instance) = self.instances.get_mut(&address) {
            instance.last_failed_at = (!status.has_quorum).then(|| self.clock.elapsed());
            instance.consecutive_failures = 0;
        }
        let previous_peer = connection.peer;
        connection.peer.is_near = status.is_near;
        connection.peer.has_quorum = status.has_quorum;
        connection.peer.started_recently = status.started_recently;
        connection.table_version = status.version;
        connection.peer != previous_peer || self.source.is_none()
    }

    /// Selects the source, and subscribes to all state from a new one. Returns whether
    /// the entry has a new source.
    ///
    /// `have` is the version of the entry's route table; `servers` returns the digests
    /// of the servers that the entry knows.
    pub fn select_source(&mut self, have: u64, servers: impl FnOnce() -> Vec<u64>) -> bool {
        let now = self.clock.elapsed();
        let peers: Vec<ControlPeer> = self
            .connections
            .values()
            .map(|connection| ControlPeer {
                has_quorum: connection.peer.has_quorum
                    && now < connection.last_seen_at + UNRESPONSIVE_TIMEOUT,
                ..connection.peer
            })
            .collect();
        let previous = self.source;
        let is_starting = now < INITIAL_QUORUM_WAIT;
        if previous.is_none() && is_starting && !peers.iter().any(|peer| peer.has_quorum) {
            // All instances have just started, and it is not known yet which are near.
            return false;
        }
        let source = choose_source(&peers, previous);
        if source == previous {
            return false;
        }
        if source.is_some_and(|source| self.should_await_local_source(source, now)) {
            return false;
        }
        self.source = source;
        self.awaiting_local_since = None;
        if let Some(connection) = previous.and_then(|previous| self.connections.get(&previous)) {
            // If the ring is full, the connection is stalled and will be closed.
            let _ = connection.outbound.offer(GroupMessage::Urgent);
        }
        let Some(connection) = source.and_then(|source| self.connections.get(&source)) else {
            return false;
        };
        let _ = connection.outbound.offer(GroupMessage::Whole {
            have,
            servers: servers(),
        });
        let ControlPeer {
            address,
            is_near,
            has_quorum,
            ..
        } = connection.peer;
        tracing::info!(target: "entry", control = %address, near = is_near, settled = has_quorum, candidates = peers.len(), "source: chosen");
        true
    }

    /// Returns whether to wait before `source`, an instance of another region, becomes
    /// the source, because a connection to an instance of the entry's region is being
    /// opened. Otherwise the state of all servers would be sent between regions, and
    /// then once more by the nearer instance.
    fn should_await_local_source(&mut self, source: SocketAddr, now: Duration) -> bool {
        let awaiting_local_since = *self.awaiting_local_since.get_or_insert(now);
        let is_in_region = |instance: &KnownInstance| {
            let place = instance.place.as_ref();
            place.is_some_and(|(_, place)| *place <= DomainProximity::Region)
        };
        let is_near = self.instances.get(&source).is_some_and(is_in_region);
        if is_near || now > awaiting_local_since + LOCAL_SOURCE_WAIT {
            return false;
        }
        let mut instances = self.instances.iter();
        instances.any(|(address, instance)| {
            let is_connecting = instance.is_wanted && instance.consecutive_failures == 0;
            is_connecting && is_in_region(instance) && !self.connections.contains_key(address)
        })
    }

    /// Sends a message to all connected instances.
    pub fn send_to_all(&self, message: &GroupMessage) {
        for connection in self.connections.values() {
            // If the ring is full, the connection is stalled and will be closed. The
            // next connection starts with the complete state.
            let _ = connection.outbound.offer(message.clone());
        }
    }

    /// Sends a message to the source.
    pub fn send_to_source(&self, message: GroupMessage) {
        let connection = self.source.and_then(|source| self.connections.get(&source));
        if let Some(connection) = connection {
            // If the ring is full, the connection is stalled and will be closed.
            let _ = connection.outbound.offer(message);
        }
    }

    /// Requests the route table from the instance with the shortest connect time that
    /// has at least `version` and is not in `tried`. Returns whether there is one.
    ///
    /// `have` is the version of the entry's own route table.
    pub fn fetch(&self, version: u64, have: u64, tried: &mut HashSet<SocketAddr>) -> bool {
        let holders = self.connections.values().filter(|connection| {
            connection.table_version >= version && !tried.contains(&connection.peer.address)
        });
        let Some(connection) = holders.min_by_key(|connection| connection.peer.connect_time) else {
            return false;
        };
        tried.insert(connection.peer.address);
        tracing::warn!(target: "entry", control = %connection.peer.address, table_version = version, "table: fetched, as the source did not bring it");
        let _ = connection.outbound.offer(GroupMessage::Fetch { have });
        true
    }
}
