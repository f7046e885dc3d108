//! What replicas say to each other, and what goes in and out of a replica.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::control::log::{HardState, LogEntry, LogPosition, ReplicaId};
use crate::process::control::state::{CommandOutcome, ControlCommand, ControlState, MemberRecord};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Would you vote for me in `term`? Asked before a candidate raises its
    /// term, so that one that was cut off disturbs nobody.
    AskPreVote {
        /// The term it would stand in.
        term: u64,
        /// Its last entry.
        last: LogPosition,
    },
    /// The answer to [`ReplicaMessage::AskPreVote`].
    PreVote {
        /// The term asked for, or the own one with a refusal.
        term: u64,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me in `term`.
    AskVote {
        /// The candidate's term.
        term: u64,
        /// Its last entry.
        last: LogPosition,
    },
    /// The answer to [`ReplicaMessage::AskVote`].
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries to append; without entries, a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// The place before the first entry.
        previous: LogPosition,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the round of heartbeats; the answer repeats it.
        round: u64,
    },
    /// The answer to [`ReplicaMessage::Append`] and
    /// [`ReplicaMessage::Snapshot`].
    Appended {
        /// The follower's term.
        term: u64,
        /// Whether the entries fitted.
        fitted: bool,
        /// Last index known to match, or where to try next.
        index: u64,
        /// The round it answers.
        round: u64,
    },
    /// Stand for election at once: the leader is leaving.
    Lead {
        /// The leader's term.
        term: u64,
    },
    /// The whole state, for a follower whose next entry is compacted away.
    Snapshot {
        /// The leader's term.
        term: u64,
        /// The last entry the state includes.
        place: LogPosition,
        /// The state.
        state: Box<ControlState>,
    },
}

/// What comes into a replica.
#[derive(Debug, Clone)]
pub enum ReplicaInput {
    /// A timer may be due.
    Wake,
    /// A message of another replica.
    Message {
        /// The sender.
        from: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Somebody here proposes a command.
    Propose {
        /// The driver's name for it.
        tag: u64,
        /// The command.
        command: ControlCommand,
    },
    /// Somebody here asks whether the state is the newest.
    Read {
        /// The driver's name for it.
        tag: u64,
    },
    /// A replica without a vote asks to be kept up to date.
    AddLearner(MemberRecord),
    /// This replica, which holds nothing, founds the group.
    Bootstrap(MemberRecord),
    /// This replica is leaving for a while: another should lead.
    TransferLeadership,
}

/// What becomes of a proposal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// It is committed, with this outcome.
    Done(CommandOutcome),
    /// This replica does not lead; it knows who may.
    NotLeader(Option<ReplicaId>),
    /// The leader changed; whether it will be committed is not known. Resend
    /// it with the same change identity.
    Unknown,
}

/// What a replica asks its driver to do.
///
/// The driver takes the actions of one or more steps together. It must write
/// and sync all `Keep…` actions before it does any other of them.
#[derive(Debug, Clone)]
pub enum ReplicaAction {
    /// Keep the hard state.
    PersistHardState(HardState),
    /// Keep an entry; it replaces any entry kept at or after its index.
    PersistEntry(LogEntry),
    /// Keep the commit index: what was in force here must be so again after a
    /// restart.
    PersistCommitIndex(u64),
    /// Keep a snapshot and drop the entries it includes.
    PersistSnapshot {
        /// The last entry the state includes.
        place: LogPosition,
        /// The state.
        state: Box<ControlState>,
        /// Whether entries after `place` are dropped as well.
        is_installed: bool,
    },
    /// Send a message.
    Send {
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// A proposal has ended.
    Complete {
        /// The driver's name for it.
        tag: u64,
        /// What became of it.
        result: ProposalResult,
    },
    /// The state changed: a version came in force, or the replicas are others.
    StateChanged,
    /// The role changed.
    RoleChanged {
        /// The term.
        term: u64,
        /// Whether this replica leads now.
        leads: bool,
    },
}

impl ReplicaAction {
    /// Tells whether it is to be written and synced before any other action.
    pub fn must_persist_first(&self) -> bool {
        matches!(
            self,
            ReplicaAction::PersistHardState(_)
                | ReplicaAction::PersistEntry(_)
                | ReplicaAction::PersistCommitIndex(_)
                | ReplicaAction::PersistSnapshot { .. }
        )
    }
}

/// Timing of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTiming {
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Least time without a leader before a follower stands for election; the
    /// actual time is drawn between this and its double.
    pub election: Duration,
}

impl Default for ReplicaTiming {
    fn default() -> Self {
        ReplicaTiming {
            heartbeat: Duration::from_millis(75),
            election: Duration::from_millis(400),
        }
    }
}
