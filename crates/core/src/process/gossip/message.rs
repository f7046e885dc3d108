//! What members say to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::gossip::member::MemberNews;
use crate::process::news::UpstreamAnnouncement;

/// Order of a server's news: incarnation, sequence, and whether it is the
/// word of a home that the lease ran out.
pub type ServerOrder = (u64, u64, bool);

/// A change of an upstream server, as it spreads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// What the server announced.
    pub news: UpstreamAnnouncement,
    /// Whether its lease ran out since, at a home.
    pub expired: bool,
}

impl ServerUpdate {
    /// Returns the order of the update.
    pub fn order(&self) -> ServerOrder {
        (self.news.incarnation, self.news.sequence, self.expired)
    }
}

/// What a message is for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipPurpose {
    /// Are you there?
    Ping {
        /// Number of the probe.
        probe: u64,
    },
    /// I am.
    Ack {
        /// Number of the probe.
        probe: u64,
    },
    /// Is that one there? I did not hear from it.
    PingFor {
        /// Number of the asker's probe.
        probe: u64,
        /// Whom to ask.
        target: SocketAddr,
    },
    /// Only carries updates.
    Updates,
    /// A renewal of a server, for its homes.
    Renewal(Box<UpstreamAnnouncement>),
    /// What the sender knows, as a digest of each bucket.
    Digest {
        /// Digest of the members.
        members: u64,
        /// Digests of the servers, by bucket.
        servers: Vec<u64>,
    },
    /// The answer to a digest: what the sender knows in buckets that differ,
    /// so that the other side can send what is newer.
    Known {
        /// All members, if their digests differ.
        members: Vec<MemberNews>,
        /// Buckets that differ.
        buckets: Vec<u16>,
        /// Servers in those buckets by the hash of their name, with the order
        /// of their last change.
        servers: Vec<(u64, ServerOrder)>,
    },
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender, as it sees itself.
    pub from: MemberNews,
    /// What it is for.
    pub purpose: GossipPurpose,
    /// News of members that rides along.
    pub members: Vec<MemberNews>,
    /// News of servers that rides along.
    pub servers: Vec<ServerUpdate>,
}
