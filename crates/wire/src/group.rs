//! Messages between control instances, and between a control instance and the entries
//! connected to it.
//!
//! Each message is encoded as bincode and sent in a frame: the message's length in
//! bytes (u32, big-endian), then the message.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use wheelmast_core::process::cap::{TokenGrant, TokenRequest};
use wheelmast_core::process::control::log::ReplicaId;
use wheelmast_core::process::control::message::ReplicaMessage;
use wheelmast_core::process::control::state::{CommandOutcome, ControlCommand, MemberRecord};
use wheelmast_core::process::forward::directory::{AnnouncementPosition, ServerAnnouncement};
use wheelmast_core::process::forward::input::EntryPeer;
use wheelmast_core::process::forward::source::ControlSite;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::load::{LoadReport, LoadSummary};
use wheelmast_core::process::rollout::{RolloutView, VersionOutcomes};

/// Maximum length of the message in a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Message of a connection between instances. An entry connects to several control
/// instances and subscribes to each; it takes the full state from only one of them,
/// its source.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GroupMessage {
    /// From a control instance to another: describes the sender and lists the control
    /// instances that it knows. The digests let the receiver detect that it missed
    /// updates, and request them.
    Hello {
        /// Replica id and address of the sender.
        from: MemberRecord,
        /// Failure domain of the sender.
        domain: Box<str>,
        /// Address where the sender accepts the calls of servers and operators.
        calls: SocketAddr,
        /// Whether the sender asks to join the replicated log as a learner.
        learns: bool,
        /// Addresses of the control instances that the sender knows.
        known: Vec<SocketAddr>,
        /// Digest of the entries that are subscribed to the sender.
        followers: u64,
        /// Digest of the servers that the sender observes: those that announce themselves
        /// to it.
        servers: u64,
    },
    /// Message of the replicated log, from one replica to another.
    Replica {
        /// Id of the replica that sends the message.
        from: ReplicaId,
        /// Id of the replica that is to receive the message; a replica with another id
        /// at the same address ignores it.
        to: ReplicaId,
        /// Message for the receiver's replica.
        message: ReplicaMessage,
    },
    /// Announcements of servers, to other control instances and to entries.
    Notices(Vec<ServerAnnouncement>),
    /// Announcement of a server that drains or leaves, from the control instance that
    /// received it to the others. The sender confirms it to the server only after
    /// enough of them have replied with [`GroupMessage::Kept`].
    Keep {
        /// Number that identifies this message in the reply.
        tag: u64,
        /// Announcement of the server.
        #[serde(rename = "notice")]
        announcement: Box<ServerAnnouncement>,
    },
    /// Acknowledges the [`GroupMessage::Keep`] with this tag: the sender has recorded the
    /// announcement.
    Kept(u64),
    /// From a control instance to the others: the servers that the sender observes, each
    /// with the position of its latest announcement. The sender lists all of them when
    /// a connection is made, then those newly observed.
    Renewals {
        /// Whether the message lists all servers that the sender observes.
        whole: bool,
        /// Server ids and the positions of their latest announcements.
        servers: Vec<(Box<str>, AnnouncementPosition)>,
    },
    /// From a control instance to another: requests a complete
    /// [`GroupMessage::Renewals`].
    AskRenewals,
    /// From a control instance to the others: servers that the sender observed and whose
    /// leases have expired, each with the position of its latest announcement.
    Lapsed(Vec<(Box<str>, AnnouncementPosition)>),
    /// To entries: servers whose leases have expired (`true`) or have been renewed after
    /// that (`false`).
    #[serde(rename = "Silent")]
    LeaseExpiry(Vec<(Box<str>, bool)>),
    /// From a control instance to the leader of the control group: a request.
    Ask {
        /// Number that identifies the request in the reply.
        tag: u64,
        /// Request to the leader.
        ask: LeaderRequest,
    },
    /// Reply to [`GroupMessage::Ask`].
    Told {
        /// Tag of the request.
        tag: u64,
        /// Reply of the leader.
        tell: LeaderReply,
    },
    /// From an entry: subscribes to urgent updates only: departures of servers, versions
    /// of the route table and the list of control instances.
    Subscribe {
        /// Identity and address of the entry, to be passed to the other entries.
        peer: EntryPeer,
        /// Whether the entry requests a [`GroupMessage::Confirmed`].
        confirm: bool,
    },
    /// From a subscribed entry: requests the full state, and all updates from then on.
    /// The entry sends this to its source.
    Whole {
        /// Version of the route table that the entry has; 0 for none.
        have: u64,
        /// Digests of the servers that the entry knows, one for each group of server ids;
        /// empty if it knows none. Groups with equal digests are not sent again.
        servers: Vec<u64>,
    },
    /// From a subscribed entry: returns to urgent updates only.
    Urgent,
    /// From a subscribed entry: requests the route table, if it is newer than `have`.
    Fetch {
        /// Version of the route table that the entry has; 0 for none.
        have: u64,
    },
    /// Status of a control instance, to the entries subscribed to it.
    Here {
        /// Failure domain of the control instance.
        domain: Box<str>,
        /// Whether the control instance is connected to a quorum with a leader.
        settled: bool,
        /// Whether the control instance started recently, and so may not have received
        /// the state of the other control instances yet.
        fresh: bool,
        /// Version of the route table in effect at the control instance; 0 for none.
        version: u64,
    },
    /// To entries: the control instances that the sender is in contact with, and itself.
    Control(Vec<ControlSite>),
    /// From an entry: it accepts no more requests from other entries.
    Leaving,
    /// To entries: a version of the route table that took effect.
    Routes {
        /// Version number.
        version: u64,
        /// Text of the table as the operator sent it, compressed by
        /// [`crate::pack::pack`].
        packed: Vec<u8>,
    },
    /// To entries, when they subscribe and at each change: the evacuated failure domains
    /// (those that operators took out of use).
    Evacuations {
        /// Revision number, which increases with each change.
        revision: u64,
        /// Names of all evacuated failure domains.
        domains: Vec<Box<str>>,
    },
    /// To an entry: a quorum has confirmed that, when the entry subscribed, no version of
    /// the route table above this one had been acknowledged to an operator.
    Confirmed {
        /// Version of the route table; 0 if there is none yet.
        version: u64,
    },
    /// To an entry: which entries accept requests, all of them in the first message after
    /// [`GroupMessage::Whole`], then the changes.
    Members {
        /// Number of entries among which the servers' limits are divided.
        entries: u32,
        /// Entries that began to accept requests.
        joined: Vec<EntryPeer>,
        /// Ids of the entries that no longer accept requests.
        left: Vec<Box<str>>,
    },
    /// From a control instance to the others: the entries subscribed to the sender, called
    /// its followers. The sender lists all of them when a connection is made, then the
    /// changes.
    Followers {
        /// Whether the message lists all followers.
        whole: bool,
        /// Entries that subscribed or changed, and whether each accepts requests.
        joined: Vec<(EntryPeer, bool)>,
        /// Ids of the entries that are no longer subscribed.
        left: Vec<Box<str>>,
    },
    /// From a control instance to another: requests a complete
    /// [`GroupMessage::Followers`].
    AskFollowers,
    /// Records of suspect requests (requests under which servers crashed): all that the
    /// sender knows when a connection is made, then the changed ones.
    Suspects(Vec<SuspectRecord>),
    /// Keep-alive without content.
    Ping,
    /// To entries, when they subscribe and at each change: the last roll-out of each
    /// service.
    Rollouts {
        /// Revision number, which increases with each change.
        revision: u64,
        /// State of every roll-out.
        views: Vec<RolloutView>,
    },
    /// Outcome counts of an entry for the versions of services that are being rolled out.
    Tallies(Vec<VersionOutcomes>),
    /// From an entry to its source: requests tokens for workspaces with a usage cap. Each
    /// token admits one request.
    AskCaps {
        /// Number that identifies the message in the reply.
        tag: u64,
        /// Requested tokens, by workspace.
        asks: Vec<TokenRequest>,
    },
    /// Reply to [`GroupMessage::AskCaps`].
    Caps {
        /// Tag of the request.
        tag: u64,
        /// Granted tokens, in the order of the requests.
        grants: Vec<TokenGrant>,
    },
    /// From a control instance to another: requests the announcements of the servers with
    /// these ids.
    AskNotices(Vec<Box<str>>),
    /// From an entry to its source: its load.
    LoadReport(LoadReport),
    /// From a control instance to the others: the merged load reports of the entries that
    /// follow it.
    LoadShare(LoadReport),
    /// To entries: the load merged from all control instances' reports.
    LoadSummary(LoadSummary),
}

impl GroupMessage {
    /// Returns the name of the message's kind, for counters and logs.
    pub fn kind(&self) -> &'static str {
        match self {
            GroupMessage::Hello { .. } => "hello",
            GroupMessage::Replica { .. } => "replica",
            GroupMessage::Notices(_) => "notices",
            GroupMessage::Keep { .. } => "keep",
            GroupMessage::Kept(_) => "kept",
            GroupMessage::Renewals { .. } => "renewals",
            GroupMessage::AskRenewals => "ask_renewals",
            GroupMessage::Lapsed(_) => "lapsed",
            GroupMessage::LeaseExpiry(_) => "silent",
            GroupMessage::Ask { .. } => "ask",
            GroupMessage::Told { .. } => "told",
            GroupMessage::Subscribe { .. } => "subscribe",
            GroupMessage::Whole { .. } => "whole",
            GroupMessage::Urgent => "urgent",
            GroupMessage::Fetch { .. } => "fetch",
            GroupMessage::Here { .. } => "here",
            GroupMessage::Control(_) => "control",
            GroupMessage::Leaving => "leaving",
            GroupMessage::Routes { .. } => "routes",
            GroupMessage::Evacuations { .. } => "evacuations",
            GroupMessage::Confirmed { .. } => "confirmed",
            GroupMessage::Members { .. } => "members",
            GroupMessage::Followers { .. } => "followers",
            GroupMessage::AskFollowers => "ask_followers",
            GroupMessage::Suspects(_) => "suspects",
            GroupMessage::Ping => "ping",
            GroupMessage::Rollouts { .. } => "rollouts",
            GroupMessage::Tallies(_) => "tallies",
            GroupMessage::AskCaps { .. } => "ask_caps",
            GroupMessage::Caps { .. } => "caps",
            GroupMessage::AskNotices(_) => "ask_notices",
            GroupMessage::LoadReport(_) => "load_report",
            GroupMessage::LoadShare(_) => "load_share",
            GroupMessage::LoadSummary(_) => "load_summary",
        }
    }
}

/// Revisions of the three parts of the replicated state, to compare how recent the
/// states of two instances are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlRevisions {
    /// Version of the route table; 0 before the first table.
    pub version: u64,
    /// Revision of the list of evacuated failure domains; 0 before the first change.
    pub evacuations: u64,
    /// Revision of the list of roll-outs; 0 before the first change.
    pub rollouts: u64,
}

/// Request to the leader of the control group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Proposes a command for the replicated log.
    Propose(ControlCommand),
    /// Requests the current revisions, confirmed by a quorum (a linearizable read).
    Read,
    /// Requests tokens for workspaces with a usage cap.
    Caps(Vec<TokenRequest>),
}

/// Reply of the leader to a [`LeaderRequest`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The command is committed, with this outcome.
    Done(CommandOutcome),
    /// Current revisions, confirmed by a quorum.
    Mark(ControlRevisions),
    /// The request failed or its result is unknown, for example because there is no
    /// leader or the reply timed out.
    Unknown,
    /// Granted tokens, in the order of the requests.
    Caps(Vec<TokenGrant>),
}
