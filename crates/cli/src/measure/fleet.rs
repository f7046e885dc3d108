//! Counts the messages and bytes between entries and control instances in a
//! deployment of a given size, by kind of message. The counts come from the same
//! selection of connections and the same encoding that instances use; no network is
//! involved.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use wheelmast_core::process::control::log::LogPosition;
use wheelmast_core::process::control::message::ReplicaMessage;
use wheelmast_core::process::control::state::MemberRecord;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::place::{DomainProximity, RegionMap};
use wheelmast_core::process::forward::roll::select_known_peers;
use wheelmast_core::process::forward::source::{choose_control_connections, ControlCandidate};
use wheelmast_wire::group::GroupMessage;
use wheelmast_wire::peer::encode;

/// Failure domains with their regions.
const DOMAINS: [(&str, &str); 6] = [
    ("north-1", "north"),
    ("middle-1", "middle"),
    ("south-1", "south"),
    ("north-2", "north"),
    ("middle-2", "middle"),
    ("south-2", "south"),
];
/// Bytes of the frame header that precedes each message.
const FRAME_HEADER_BYTES: usize = 4;
/// Pings per second that an entry sends on each connection.
const PINGS_PER_S: f64 = 1.25;
/// Status messages (`Here`) per second that a control instance sends on each
/// connection to an entry.
const STATUS_MESSAGES_PER_S: f64 = 1.0;
/// Number of voting control instances. Five voters tolerate the loss of two.
const VOTERS: usize = 5;
/// Hello messages per second from a voting control instance to each other control
/// instance.
const HELLOS_PER_S: f64 = 0.5;
/// Hello messages per second from a learner (a control instance without a vote) to
/// each other control instance. Each hello of a learner also requests log updates.
const LEARNER_HELLOS_PER_S: f64 = 4.0;
/// Heartbeats per second from the leader to each other replica.
const HEARTBEATS_PER_S: f64 = 8.3;

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of control instances.
    pub control: usize,
    /// Number of servers.
    pub servers: usize,
}

/// Count of messages of one kind and of their bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindCount {
    /// Number of messages.
    pub messages: f64,
    /// Encoded bytes, frame headers included.
    pub bytes: f64,
    /// The part of `bytes` that crosses from one region to another.
    pub cross_region_bytes: f64,
}

/// Counts of the messages caused by an event or sent in an idle second, by kind.
pub type EventCounts = BTreeMap<&'static str, KindCount>;

/// Model of a deployment of one size.
pub struct FleetModel {
    size: FleetSize,
    regions: RegionMap,
    entries: Vec<EntryPeer>,
    control: Vec<(SocketAddr, &'static str)>,
    /// For each entry, the indices of the control instances that it is connected
    /// to. The first one is the entry's source: the only one that sends large state
    /// (route tables, all servers, all entries) to the entry.
    connections: Vec<Vec<usize>>,
}

impl FleetModel {
    /// Distributes the instances over the failure domains and chooses the control
    /// connections of each entry.
    pub fn new(size: FleetSize) -> FleetModel {
        let regions = DOMAINS.map(|(domain, region)| (domain.into(), region.into()));
        let regions = RegionMap::new(regions);
        let control: Vec<_> = (0..size.control)
            .map(|index| (address(index), domain_of(index)))
            .collect();
        let entries: Vec<EntryPeer> = (0..size.entries).map(entry).collect();
        let connections = entries.iter().map(|entry| {
            let candidates = control.iter().map(|(address, domain)| ControlCandidate {
                address: *address,
                place: Some((*domain, regions.proximity(&entry.domain, domain))),
                last_failed_at: None,
            });
            let candidates: Vec<_> = candidates.collect();
            let chosen = choose_control_connections(&entry.id(), &candidates);
            let index_of = |chosen| control.iter().position(|(address, _)| *address == chosen);
            chosen.into_iter().filter_map(index_of).collect()
        });
        let connections = connections.collect();
        FleetModel {
            size,
            regions,
            entries,
            control,
            connections,
        }
    }

    /// Counts the messages of a second without any event.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_idle_second(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let status = GroupMessage::Here {
            domain: DOMAINS[0].0.into(),
            settled: true,
            fresh: false,
            version: 40,
        };
        self.count_to_entries(&mut counts, &GroupMessage::Ping, PINGS_PER_S)?;
        self.count_to_entries(&mut counts, &status, STATUS_MESSAGES_PER_S)?;
        let known = self.control.iter().map(|(address, _)| *address);
        let hello = GroupMessage::Hello {
            from: member(0),
            domain: DOMAINS[0].0.into(),
            calls: address(0),
            learns: false,
            known: known.collect(),
            followers: u64::MAX,
            servers: u64::MAX,
        };
        let voters = self.size.control.min(VOTERS);
        let learners = self.size.control - voters;
        let hellos = HELLOS_PER_S * voters as f64 + LEARNER_HELLOS_PER_S * learners as f64;
        self.count_to_control(&mut counts, &hello, hellos)?;
        let heartbeat = GroupMessage::Replica {
            from: u64::MAX,
            to: u64::MAX,
            message: ReplicaMessage::Append {
                term: 4,
                previous: LogPosition {
                    term: 4,
                    index: 400,
                },
                entries: Vec::new(),
                commit: 400,
                round: 4000,
            },
        };
        // Factor 2: each heartbeat is answered.
        self.count_to_control(&mut counts, &heartbeat, HEARTBEATS_PER_S * 2.0)?;
        Ok(counts)
    }

    /// Counts the messages sent when a server leaves.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_server_leave(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let announcement = ServerAnnouncement {
            standing: ServerLifecycle::Draining,
            ..server(1)
        };
        let lifecycle_only = GroupMessage::Notices(vec![announcement.lifecycle_only()]);
        self.count_to_entries(&mut counts, &lifecycle_only, 1.0)?;
        let observation = GroupMessage::Keep {
            tag: 400,
            announcement: Box::new(announcement),
        };
        self.count_to_control(&mut counts, &observation, 1.0)?;
        self.count_to_control(&mut counts, &GroupMessage::Kept(400), 1.0)?;
        Ok(counts)
    }

    /// Counts the messages sent when a server joins.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_server_join(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let announcement = server(1);
        let renewal = GroupMessage::Renewals {
            whole: false,
            servers: vec![(announcement.id.clone(), announcement.position())],
        };
        let notices = GroupMessage::Notices(vec![announcement]);
        for (entry, connections) in self.entries.iter().zip(&self.connections) {
            self.count_message(
                &mut counts,
                &notices,
                &entry.domain,
                connections.first(),
                1.0,
            )?;
        }
        self.count_to_control(&mut counts, &notices, 1.0)?;
        self.count_to_control(&mut counts, &renewal, 1.0)?;
        Ok(counts)
    }

    /// Counts the messages sent when an entry joins.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_entry_join(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let (Some(joined), Some(connections)) = (self.entries.first(), self.connections.first())
        else {
            return Ok(counts);
        };
        let members = |joined: Vec<EntryPeer>| GroupMessage::Members {
            entries: self.size.entries as u32,
            joined,
            left: Vec::new(),
        };
        let notices = (0..self.size.servers).map(server).collect();
        let known_peers = select_known_peers(joined, &self.entries);
        let initial_messages = [
            members(known_peers.into_iter().cloned().collect()),
            GroupMessage::Notices(notices),
        ];
        for message in &initial_messages {
            self.count_message(
                &mut counts,
                message,
                &joined.domain,
                connections.first(),
                1.0,
            )?;
        }
        // All other entries in its failure domain are notified of the new entry. In
        // other domains, only the entries whose known peers include the new entry are.
        let update = members(vec![joined.clone()]);
        for (entry, connections) in self.entries.iter().zip(&self.connections).skip(1) {
            let is_in_view = select_known_peers(entry, &self.entries).contains(&joined);
            if is_in_view || entry.domain == joined.domain {
                self.count_message(
                    &mut counts,
                    &update,
                    &entry.domain,
                    connections.first(),
                    1.0,
                )?;
            }
        }
        let followers = GroupMessage::Followers {
            whole: false,
            joined: vec![(joined.clone(), true)],
            left: Vec::new(),
        };
        self.count_to_control(&mut counts, &followers, connections.len() as f64)?;
        Ok(counts)
    }

    /// Counts a message sent `times` times on every connection of every entry.
    fn count_to_entries(
        &self,
        counts: &mut EventCounts,
        message: &GroupMessage,
        times: f64,
    ) -> anyhow::Result<()> {
        for (entry, connections) in self.entries.iter().zip(&self.connections) {
            for connection in connections {
                self.count_message(counts, message, &entry.domain, Some(connection), times)?;
            }
        }
        Ok(())
    }

    /// Counts a message sent `times` times from the first control instance to each
    /// other control instance.
    fn count_to_control(
        &self,
        counts: &mut EventCounts,
        message: &GroupMessage,
        times: f64,
    ) -> anyhow::Result<()> {
        for index in 1..self.control.len() {
            self.count_message(counts, message, DOMAINS[0].0, Some(&index), times)?;
        }
        Ok(())
    }

    /// Counts a message sent `times` times between a failure domain and a control
    /// instance. Counts nothing if there is no such control instance.
    fn count_message(
        &self,
        counts: &mut EventCounts,
        message: &GroupMessage,
        domain: &str,
        connection: Option<&usize>,
        times: f64,
    ) -> anyhow::Result<()> {
        let Some((_, other)) = connection.and_then(|connection| self.control.get(*connection))
        else {
            return Ok(());
        };
        let bytes = times * (encode(message)?.len() + FRAME_HEADER_BYTES) as f64;
        let count = counts.entry(message.kind()).or_default();
        count.messages += times;
        count.bytes += bytes;
        if self.regions.proximity(domain, other) == DomainProximity::Elsewhere {
            count.cross_region_bytes += bytes;
        }
        Ok(())
    }
}

/// Returns the failure domain of the instance or server with this index.
fn domain_of(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()].0
}

/// Returns a distinct address for each index.
fn address(index: usize) -> SocketAddr {
    let [high, low] = (index as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7380))
}

/// Returns the entry with this index.
fn entry(index: usize) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{}-{index}", domain_of(index)).into(),
        incarnation: u64::MAX - index as u64,
        domain: domain_of(index).into(),
        address: address(index),
    }
}

/// Returns the membership record of the control instance with this index.
fn member(index: usize) -> MemberRecord {
    MemberRecord {
        id: u64::MAX,
        instance: format!("control-{}-{index}", domain_of(index)).into(),
        address: address(index),
    }
}

/// Returns the announcement of the server with this index, 21 servers per service.
fn server(index: usize) -> ServerAnnouncement {
    ServerAnnouncement {
        id: format!("i-{index:010x}").into(),
        service: format!("service{}", index / 21).into(),
        address: Some(address(index)),
        domain: domain_of(index).into(),
        version: "v1".into(),
        slots: 3,
        standing: ServerLifecycle::Ready,
        born: 1_780_000_000_000,
        sequence: 40,
        cold_ms: 0,
    }
}
