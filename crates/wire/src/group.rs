//! Messages between the control group and the entries, as bincode in frames.
//!
//! A frame is the length of the message (u32, big-endian) and the message.

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
use wheelmast_core::process::rollout::{RolloutView, VersionOutcomes};

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// One message.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A control instance says who it is, and which others it knows.
    Hello {
        /// The sender.
        from: MemberRecord,
        /// Its failure domain.
        domain: Box<str>,
        /// Where it takes the calls of servers and operators.
        calls: SocketAddr,
        /// Whether it asks to be kept up to date.
        learns: bool,
        /// Addresses of the control instances that it knows.
        known: Vec<SocketAddr>,
        /// Digest of the entries that follow it.
        followers: u64,
        /// Digest of the servers that it hears.
        servers: u64,
    },
    /// A message between replicas.
    Replica {
        /// The sender.
        from: ReplicaId,
        /// The receiver; another identity at its address takes no notice.
        to: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// News of servers.
    Notices(Vec<ServerAnnouncement>),
    /// News of a server that the sender will acknowledge once others hold it.
    Keep {
        /// The sender's name for it.
        tag: u64,
        /// The news.
        notice: Box<ServerAnnouncement>,
    },
    /// The news of this tag are held.
    Kept(u64),
    /// Servers that the sender hears from now on, with how new that is: all of
    /// them when a connection is made, then what changes.
    Renewals {
        /// Whether it names all.
        whole: bool,
        /// The servers.
        servers: Vec<(Box<str>, AnnouncementPosition)>,
    },
    /// A control instance asks another one for all the servers that it hears.
    AskRenewals,
    /// Servers that the sender heard and does not hear any more.
    Lapsed(Vec<(Box<str>, AnnouncementPosition)>),
    /// Servers that are silent, or no longer.
    Silent(Vec<(Box<str>, bool)>),
    /// A question to the leader.
    Ask {
        /// The sender's name for it.
        tag: u64,
        /// The question.
        ask: LeaderRequest,
    },
    /// The answer to [`GroupMessage::Ask`].
    Told {
        /// The asker's name for it.
        tag: u64,
        /// The answer.
        tell: LeaderReply,
    },
    /// An entry asks for what is urgent: servers that leave, versions of the
    /// route table, control instances.
    Subscribe {
        /// Who it is, for the other entries.
        peer: EntryPeer,
        /// Whether it asks for a quorum's word on the route table.
        confirm: bool,
    },
    /// An entry that subscribed asks for all that is known, and for all that
    /// changes.
    Whole {
        /// Version of the route table it has; 0 for none.
        have: u64,
        /// Digests of the servers that it knows, by part; none if it knows none.
        servers: Vec<u64>,
    },
    /// An entry asks for no more than what is urgent from now on.
    Urgent,
    /// An entry asks for the route table alone.
    Fetch {
        /// Version of the route table it has; 0 for none.
        have: u64,
    },
    /// A control instance says to an entry how it is.
    Here {
        /// Its failure domain.
        domain: Box<str>,
        /// Whether it is in contact with the group.
        settled: bool,
        /// Whether it has started a moment ago, and may not know yet what the
        /// others know.
        fresh: bool,
        /// Version of the route table in force there; 0 for none.
        version: u64,
    },
    /// The control instances known.
    Control(Vec<ControlSite>),
    /// The entry takes no more requests of other entries.
    Leaving,
    /// A version of the route table that came in force.
    Routes {
        /// The version.
        version: u64,
        /// The table as the operator sent it, packed.
        packed: Vec<u8>,
    },
    /// The failure domains that are out of use. To every entry, when it
    /// subscribes and at each change.
    Evacuations {
        /// Grows with each change.
        revision: u64,
        /// All of them.
        domains: Vec<Box<str>>,
    },
    /// A quorum has confirmed that no version above this one was
    /// acknowledged when the entry subscribed.
    Confirmed {
        /// The version; 0 if there is none yet.
        version: u64,
    },
    /// What has changed of the entries that are subscribed, since the entry
    /// asked for all that is known.
    Members {
        /// Entries that share the servers' limits.
        entries: u32,
        /// Entries that take requests now.
        joined: Vec<EntryPeer>,
        /// Identities of those that no longer do.
        left: Vec<Box<str>>,
    },
    /// Entries that follow the sender, to another control instance: all of them
    /// when a connection is made, then what changes.
    Followers {
        /// Whether it names all.
        whole: bool,
        /// Entries that follow it now, and whether each takes requests.
        joined: Vec<(EntryPeer, bool)>,
        /// Identities of those that no longer do.
        left: Vec<Box<str>>,
    },
    /// A control instance asks another one for all that follow it.
    AskFollowers,
    /// What the sender knows of requests under which servers ended: all of it
    /// when a connection is made, then what is news.
    Suspects(Vec<SuspectRecord>),
    /// A sign of life.
    Ping,
    /// The last roll-outs of the services. To every entry, when it subscribes and
    /// at each change.
    Rollouts {
        /// Grows with each change.
        revision: u64,
        /// All of them.
        views: Vec<RolloutView>,
    },
    /// How the versions of services that are rolled out answered at an entry.
    Tallies(Vec<VersionOutcomes>),
    /// An entry asks its source for tokens of capped workspaces.
    AskCaps {
        /// The sender's name for it.
        tag: u64,
        /// What it asks for.
        asks: Vec<TokenRequest>,
    },
    /// The answer to [`GroupMessage::AskCaps`].
    Caps {
        /// The asker's name for it.
        tag: u64,
        /// What is granted, in the order of the questions.
        grants: Vec<TokenGrant>,
    },
    /// A control instance asks another one for the notices of servers, by their ids.
    AskNotices(Vec<Box<str>>),
}

impl GroupMessage {
    /// Returns a word for its kind, for counters and logs.
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
            GroupMessage::Silent(_) => "silent",
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
        }
    }
}

/// How far the state that the control group agreed on has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ControlRevisions {
    /// Version of the route table; 0 for none.
    pub version: u64,
    /// Revision of the failure domains out of use; 0 for none yet.
    pub evacuations: u64,
    /// Revision of the roll-outs; 0 for none yet.
    pub rollouts: u64,
}

/// A question to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderRequest {
    /// Make this change.
    Propose(ControlCommand),
    /// What is in force for sure?
    Read,
    /// Which of these tokens are granted?
    Caps(Vec<TokenRequest>),
}

/// The leader's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The change is made, with this outcome.
    Done(CommandOutcome),
    /// This is in force.
    Mark(ControlRevisions),
    /// It cannot be said now.
    Unknown,
    /// What is granted, in the order of the questions.
    Caps(Vec<TokenGrant>),
}
