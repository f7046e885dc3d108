//! Messages between replicas, and the inputs, actions and timing of the replica
//! state machine.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::control::log::{HardState, LogEntry, LogPosition, ReplicaId};
use crate::process::control::state::{CommandOutcome, ControlCommand, ControlState, MemberRecord};

/// A message between replicas. The variants follow the remote calls of Raft:
/// pre-vote, RequestVote, AppendEntries, InstallSnapshot and TimeoutNow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks whether the receiver would vote for the sender in `term`. Sent before
    /// a candidate raises its term, so that a replica that was cut off does not
    /// disturb the current leader with a higher term.
    AskPreVote {
        /// Term that the election would have.
        term: u64,
        /// Position of the sender's last entry.
        last: LogPosition,
    },
    /// Answers [`ReplicaMessage::AskPreVote`].
    PreVote {
        /// The requested term if granted; the sender's term if refused.
        term: u64,
        /// Whether the sender would vote for the candidate.
        granted: bool,
    },
    /// Requests the receiver's vote in `term` (RequestVote in Raft).
    AskVote {
        /// The candidate's term.
        term: u64,
        /// Position of the candidate's last entry.
        last: LogPosition,
    },
    /// Answers [`ReplicaMessage::AskVote`].
    Vote {
        /// The voter's term.
        term: u64,
        /// Whether the voter grants the vote.
        granted: bool,
    },
    /// Sends entries to append (AppendEntries in Raft). Without entries, the
    /// message is a heartbeat.
    Append {
        /// The leader's term.
        term: u64,
        /// Position of the entry before the first of `entries`.
        previous: LogPosition,
        /// Entries to append, in the order of their indexes.
        entries: Vec<LogEntry>,
        /// The leader's commit index.
        commit: u64,
        /// Number of the leader's confirmation round, repeated in the answer. A
        /// quorum of answers confirms the reads and commits of that round.
        round: u64,
    },
    /// Answers [`ReplicaMessage::Append`] and [`ReplicaMessage::Snapshot`].
    Appended {
        /// The follower's term.
        term: u64,
        /// Whether the follower's log contained `previous`, so that the entries
        /// could be appended.
        fitted: bool,
        /// If `fitted`, the last index known to match the leader's log; otherwise
        /// the index to try as `previous` next.
        index: u64,
        /// Round number of the answered message; 0 in an answer to a snapshot.
        round: u64,
    },
    /// Asks the receiver to start an election at once, without a pre-vote,
    /// because the leader is shutting down (TimeoutNow in Raft).
    Lead {
        /// The leader's term.
        term: u64,
    },
    /// Sends the whole state to a follower whose next entry is compacted away
    /// (InstallSnapshot in Raft).
    Snapshot {
        /// The leader's term.
        term: u64,
        /// Position of the last entry included in the state.
        place: LogPosition,
        /// The state after that entry.
        state: Box<ControlState>,
    },
}

/// An input of the replica state machine.
#[derive(Debug, Clone)]
pub enum ReplicaInput {
    /// No event; runs the timers that are due.
    Wake,
    /// A message from another replica arrived.
    Message {
        /// Identity of the sender.
        from: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// This instance proposes a command.
    Propose {
        /// Number that the driver chose for the proposal.
        tag: u64,
        /// The proposed command.
        command: ControlCommand,
    },
    /// This instance asks for confirmation that its state is up to date (a
    /// linearizable read).
    Read {
        /// Number that the driver chose for the read.
        tag: u64,
    },
    /// A replica without a vote asks the leader to replicate the log to it.
    AddLearner(MemberRecord),
    /// This replica, which has an empty log, starts a new group alone.
    Bootstrap(MemberRecord),
    /// This replica is about to shut down. If it leads, it asks a follower to
    /// take over.
    TransferLeadership,
}

/// Result of a proposal or a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalResult {
    /// The command is committed and had this outcome, or the read is confirmed.
    Done(CommandOutcome),
    /// This replica is not the leader and did nothing. Holds the leader, if this
    /// replica knows the leader.
    NotLeader(Option<ReplicaId>),
    /// The leader changed, and this replica does not know whether the command
    /// will be committed. The caller should resend the command with the same
    /// change identity.
    Unknown,
}

/// An action that a replica requests from its driver.
///
/// The driver may process the actions of several steps together. It must write
/// and sync all `Persist...` actions before it performs any of the others.
#[derive(Debug, Clone)]
pub enum ReplicaAction {
    /// Write the term and the vote to disk.
    PersistHardState(HardState),
    /// Write a log entry to disk. The entry replaces all stored entries with the
    /// same or a higher index.
    PersistEntry(LogEntry),
    /// Write the commit index to disk, so that the changes that took effect on
    /// this replica are in effect again after a restart.
    PersistCommitIndex(u64),
    /// Write a snapshot to disk and remove the stored entries that the snapshot
    /// includes.
    PersistSnapshot {
        /// Position of the last entry included in the state.
        place: LogPosition,
        /// The state after that entry.
        state: Box<ControlState>,
        /// Whether the snapshot came from the leader. If so, the stored entries
        /// after `place` are removed as well.
        is_installed: bool,
    },
    /// Send a message to another replica.
    Send {
        /// Identity of the receiver.
        to: ReplicaId,
        /// The message.
        message: ReplicaMessage,
    },
    /// Report the result of a proposal or a read.
    Complete {
        /// Number that the driver chose for the proposal or the read.
        tag: u64,
        /// The result.
        result: ProposalResult,
    },
    /// The applied state changed: a new version is in effect or the membership
    /// changed.
    StateChanged,
    /// This replica became the leader or stepped down.
    RoleChanged {
        /// Current term.
        term: u64,
        /// Whether this replica is the leader now.
        leads: bool,
    },
}

impl ReplicaAction {
    /// Returns whether the driver must write and sync this action before it
    /// performs actions of another kind.
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

/// Heartbeat interval and election timeout of a replica.
#[derive(Debug, Clone, Copy)]
pub struct ReplicaTiming {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Minimum time without contact to a leader before a follower starts a
    /// pre-vote. The actual time is random between this value and its double.
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
