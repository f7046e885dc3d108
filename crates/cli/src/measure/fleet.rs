//! What entries and control instances say to each other at a size, by kind of
//! message: counted from the choices and the encoding that instances use, without
//! a network.

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

/// Failure domains, and the region of each.
const DOMAINS: [(&str, &str); 6] = [
    ("north-1", "north"),
    ("middle-1", "middle"),
    ("south-1", "south"),
    ("north-2", "north"),
    ("middle-2", "middle"),
    ("south-2", "south"),
];
/// Bytes before each message.
const FRAME_HEADER_BYTES: usize = 4;
/// Signs of life a second that an entry sends on a connection.
const PINGS_PER_S: f64 = 1.25;
/// Signs of life a second that a control instance sends on a connection.
const STATE_REPORTS_PER_S: f64 = 1.0;
/// Control instances that have a vote, where two losses are borne.
const VOTERS: usize = 5;
/// Greetings a second of an instance with a vote to another control instance.
const HELLOS_PER_S: f64 = 0.5;
/// The same of one without: it asks with each to be kept up to date.
const LEARNER_HELLOS_PER_S: f64 = 4.0;
/// Heartbeats a second of the leader to each other replica.
const HEARTBEATS_PER_S: f64 = 8.3;

/// A size of the deployment.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Entries.
    pub entries: usize,
    /// Control instances.
    pub control: usize,
    /// Servers.
    pub servers: usize,
}

/// Messages of one kind, and how many bytes of them cross regions.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindCount {
    /// Messages.
    pub messages: f64,
    /// Bytes, as encoded.
    pub bytes: f64,
    /// Bytes between regions among them.
    pub cross_region_bytes: f64,
}

/// What an event, or a second without any, costs.
pub type EventCounts = BTreeMap<&'static str, KindCount>;

/// A deployment at one size.
pub struct FleetModel {
    size: FleetSize,
    regions: RegionMap,
    entries: Vec<EntryPeer>,
    control: Vec<(SocketAddr, &'static str)>,
    /// Control instances that each entry is connected to; the first is its source.
    connections: Vec<Vec<usize>>,
}

impl FleetModel {
    /// Lays a deployment out and lets each entry choose its connections.
    pub fn new(size: FleetSize) -> FleetModel {
        let regions = DOMAINS.map(|(domain, region)| (domain.into(), region.into()));
        let regions = RegionMap::new(regions);
        let control: Vec<_> = (0..size.control)
            .map(|place| (address(place), domain_of(place)))
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
            let place = |chosen| control.iter().position(|(address, _)| *address == chosen);
            chosen.into_iter().filter_map(place).collect()
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

    /// Counts a second in which nothing happens.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_idle_second(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let state_report = GroupMessage::Here {
            domain: DOMAINS[0].0.into(),
            settled: true,
            fresh: false,
            version: 40,
        };
        self.count_to_entries(&mut counts, &GroupMessage::Ping, PINGS_PER_S)?;
        self.count_to_entries(&mut counts, &state_report, STATE_REPORTS_PER_S)?;
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
        // Each is answered.
        self.count_to_control(&mut counts, &heartbeat, HEARTBEATS_PER_S * 2.0)?;
        Ok(counts)
    }

    /// Counts that a server leaves.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_server_leave(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let notice = ServerAnnouncement {
            standing: ServerLifecycle::Draining,
            ..server(1)
        };
        let lifecycle_only = GroupMessage::Notices(vec![notice.lifecycle_only()]);
        self.count_to_entries(&mut counts, &lifecycle_only, 1.0)?;
        let observation = GroupMessage::Keep {
            tag: 400,
            notice: Box::new(notice),
        };
        self.count_to_control(&mut counts, &observation, 1.0)?;
        self.count_to_control(&mut counts, &GroupMessage::Kept(400), 1.0)?;
        Ok(counts)
    }

    /// Counts that a server comes.
    ///
    /// # Errors
    ///
    /// Fails if a message can't be encoded.
    pub fn count_server_join(&self) -> anyhow::Result<EventCounts> {
        let mut counts = EventCounts::new();
        let notice = server(1);
        let renewal = GroupMessage::Renewals {
            whole: false,
            servers: vec![(notice.id.clone(), notice.position())],
        };
        let notices = GroupMessage::Notices(vec![notice]);
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

    /// Counts that an entry joins.
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
        let view = select_known_peers(joined, &self.entries);
        let whole = [
            members(view.into_iter().cloned().collect()),
            GroupMessage::Notices(notices),
        ];
        for message in &whole {
            self.count_message(
                &mut counts,
                message,
                &joined.domain,
                connections.first(),
                1.0,
            )?;
        }
        // The others of its failure domain are told of it; of other domains some.
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

    /// Counts messages on all connections of entries.
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

    /// Counts messages of one control instance to all others.
    fn count_to_control(
        &self,
        counts: &mut EventCounts,
        message: &GroupMessage,
        times: f64,
    ) -> anyhow::Result<()> {
        for place in 1..self.control.len() {
            self.count_message(counts, message, DOMAINS[0].0, Some(&place), times)?;
        }
        Ok(())
    }

    /// Counts a message between a failure domain and a control instance.
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

fn domain_of(place: usize) -> &'static str {
    DOMAINS[place % DOMAINS.len()].0
}

fn address(place: usize) -> SocketAddr {
    let [high, low] = (place as u16).to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7380))
}

fn entry(place: usize) -> EntryPeer {
    EntryPeer {
        instance: format!("entry-{}-{place}", domain_of(place)).into(),
        incarnation: u64::MAX - place as u64,
        domain: domain_of(place).into(),
        address: address(place),
    }
}

fn member(place: usize) -> MemberRecord {
    MemberRecord {
        id: u64::MAX,
        instance: format!("control-{}-{place}", domain_of(place)).into(),
        address: address(place),
    }
}

fn server(place: usize) -> ServerAnnouncement {
    ServerAnnouncement {
        id: format!("i-{place:010x}").into(),
        service: format!("service{}", place / 21).into(),
        address: Some(address(place)),
        domain: domain_of(place).into(),
        version: "v1".into(),
        slots: 3,
        standing: ServerLifecycle::Ready,
        born: 1_780_000_000_000,
        sequence: 40,
        cold_ms: 0,
    }
}
