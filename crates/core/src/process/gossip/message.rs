//! Messages that members of the gossip group send to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::gossip::member::MemberState;
use crate::process::news::UpstreamAnnouncement;

/// Version of a server's announced state: incarnation, sequence number, and
/// whether a lease tracker reported that the lease has expired.
///
/// Versions compare as tuples; the greater one replaces the lesser one.
pub type UpdateVersion = (u64, u64, bool);

/// A change of an upstream server's state that members disseminate.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The server's announcement.
    pub news: UpstreamAnnouncement,
    /// Whether the server's lease expired at a lease tracker after this
    /// announcement.
    pub expired: bool,
}

impl ServerUpdate {
    /// Returns the version that decides which of two updates is newer.
    pub fn version(&self) -> UpdateVersion {
        (self.news.incarnation, self.news.sequence, self.expired)
    }
}

/// The purpose of a message, with the data that only this purpose needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipPurpose {
    /// Probes the receiver, which replies with `Ack`.
    Ping {
        /// Number of the probe, unique at the sender.
        probe: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// Number of the acknowledged probe.
        probe: u64,
    },
    /// Asks the receiver to probe a member that did not acknowledge the
    /// sender's direct probe (SWIM's `ping-req`).
    PingFor {
        /// Number of the sender's probe, which the `Ack` returns.
        probe: u64,
        /// Address of the member to probe.
        target: SocketAddr,
    },
    /// Carries nothing but the updates in the message.
    Updates,
    /// Forwards a server's announcement, which renews its lease, to a lease
    /// tracker of the server.
    Renewal(Box<UpstreamAnnouncement>),
    /// Starts an anti-entropy exchange: digests of the state that the sender
    /// has.
    Digest {
        /// Digest of the members.
        members: u64,
        /// Digest of the servers in each hash bucket.
        servers: Vec<u64>,
    },
    /// Replies to a digest: lists the versions that the sender has in the
    /// differing buckets, so that the receiver can send back newer ones.
    Known {
        /// All members that the sender knows, if the member digests differ.
        members: Vec<MemberState>,
        /// Indexes of the buckets whose digests differ.
        buckets: Vec<u16>,
        /// Hash of the name and last disseminated version of each server in
        /// these buckets.
        servers: Vec<(u64, UpdateVersion)>,
    },
}

/// A message between members.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own state.
    pub from: MemberState,
    /// The purpose of the message.
    pub purpose: GossipPurpose,
    /// Piggybacked member updates.
    pub members: Vec<MemberState>,
    /// Piggybacked server updates.
    pub servers: Vec<ServerUpdate>,
}
