//! One replica of the control group: a Raft state machine without I/O.
//!
//! Each call of [`ReplicaMachine::step`] takes an input (a message, a proposal,
//! a timer) and returns the actions that the caller, the driver, must perform:
//! writes to disk, messages, results of proposals.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::process::control::log::{EntryLog, HardState, LogEntry, LogPosition, ReplicaId};
use crate::process::control::message::{
    ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use crate::process::control::publish::PendingResult;
use crate::process::control::read::PendingRead;
use crate::process::control::state::{ControlState, MemberRecord};

/// Longest delay before the first pre-vote after a start, as a fraction of the
/// election timeout. It may be short although the replica has had no contact
/// with a leader yet, because a pre-vote does not disturb an existing leader.
/// The actual delay is random, so that replicas that start together do not
/// become candidates at the same moment.
const MAX_START_DELAY: f64 = 0.25;

/// Factor on the election timeout while this replica has had no contact with a
/// leader since its start. The shorter timeout resolves a split vote sooner,
/// and there is no leader that an early election could disturb.
const INITIAL_TIMEOUT_SCALE: f64 = 0.4;

/// The safety checks that protect accepted changes from loss.
///
/// All are on in production. Tests switch one off to show that they detect the
/// loss which follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyChecks {
    /// The leader counts replicas only for entries of its own term. Entries of
    /// earlier terms are committed along with them.
    pub commits_current_term_only: bool,
    /// A replica votes for at most one candidate in a term.
    pub votes_once_per_term: bool,
    /// A replica votes only for a candidate whose log is at least as up to date
    /// as its own.
    pub requires_up_to_date_log: bool,
    /// Elections and commits need a majority of the voters. When off, one
    /// replica is enough.
    pub requires_majority: bool,
    /// Learners (replicas without a vote) do not count towards a quorum.
    pub excludes_learners: bool,
    /// The leader adds or removes one member at a time, and only after the
    /// previous membership change is committed.
    pub changes_one_member: bool,
    /// The leader answers a read only after a quorum has confirmed its
    /// leadership.
    pub confirms_reads: bool,
    /// A change that takes effect is reported as accepted only after a quorum
    /// knows that the change is committed.
    pub awaits_known_commit: bool,
}

impl Default for SafetyChecks {
    fn default() -> Self {
        SafetyChecks {
            commits_current_term_only: true,
            votes_once_per_term: true,
            requires_up_to_date_log: true,
            requires_majority: true,
            excludes_learners: true,
            changes_one_member: true,
            confirms_reads: true,
            awaits_known_commit: true,
        }
    }
}

/// What a replica starts with: its configuration and the state recovered from
/// its disk.
#[derive(Debug, Clone)]
pub struct ReplicaStart {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// All replicas, including this one, of a group with a fixed membership.
    /// A group that records its members in the log uses that record instead.
    pub members: Vec<ReplicaId>,
    /// Number of replicas that a group with changing membership should have;
    /// 0 for a group with a fixed membership.
    pub target_size: usize,
    /// Term and vote recovered from the disk.
    pub hard_state: HardState,
    /// State recovered from the snapshot, and the position of the last entry
    /// included in that state.
    pub snapshot: (LogPosition, ControlState),
    /// Log entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Last commit index on the disk. The actual commit index may have been
    /// higher, because not every advance is written.
    pub commit: u64,
    /// Heartbeat interval and election timeout.
    pub timing: ReplicaTiming,
    /// Safety checks; all on except in tests.
    pub safety_checks: SafetyChecks,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Role of a replica in the current term.
#[derive(Debug)]
pub(super) enum ReplicaRole {
    /// Follows a leader, or waits for one to appear.
    Follower,
    /// Collects pre-votes; holds the replicas that granted one.
    PreCandidate(Vec<ReplicaId>),
    /// Collects votes; holds the replicas that granted one.
    Candidate(Vec<ReplicaId>),
    /// Leads the group; holds the replication progress of each other member and
    /// learner.
    Leader(BTreeMap<ReplicaId, PeerProgress>),
}

/// A leader's knowledge of the log and the acknowledgements of one peer.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerProgress {
    /// Index up to which the peer's log is known to match the leader's.
    pub(super) match_index: u64,
    /// Index of the next entry to send to the peer.
    pub(super) next_index: u64,
    /// Time of the last answer from the peer; at first the time at which the
    /// leader began to track the peer.
    pub(super) last_seen_at: Duration,
    /// Highest round number that the peer has answered; see
    /// [`ReplicaMachine::round`].
    pub(super) round: u64,
    /// Earliest time at which the leader sends the peer another snapshot.
    pub(super) next_snapshot_at: Duration,
}

/// The Raft state machine of one replica.
#[derive(Debug)]
pub struct ReplicaMachine {
    pub(super) id: ReplicaId,
    /// The voting replicas, including this one if it votes.
    pub(super) members: Vec<ReplicaId>,
    /// Members given at the start; used while neither log nor snapshot records
    /// any.
    pub(super) configured_members: Vec<ReplicaId>,
    /// The members as the newest membership entry or the snapshot records them;
    /// empty in a group with a fixed membership.
    pub(super) member_records: Vec<MemberRecord>,
    /// Index of the entry that `member_records` was taken from.
    pub(super) members_index: u64,
    /// See [`ReplicaStart::target_size`].
    pub(super) target_size: usize,
    /// Replicas without a vote that this leader replicates the log to.
    pub(super) learners: BTreeMap<ReplicaId, MemberRecord>,
    /// Number of the current confirmation round. The leader raises the number
    /// when a quorum must confirm a read or learn of a commit. Every append and
    /// heartbeat carries the number and its answer repeats it, so that the
    /// leader knows which followers answered a message of that round or later.
    pub(super) round: u64,
    /// Reads that wait for a quorum to confirm this replica's leadership.
    pub(super) pending_reads: Vec<PendingRead>,
    /// Committed proposals that are reported once a quorum knows the commit.
    pub(super) pending_results: Vec<PendingResult>,
    pub(super) timing: ReplicaTiming,
    pub(super) safety_checks: SafetyChecks,
    pub(super) rng: SmallRng,
    pub(super) hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) state: ControlState,
    /// Index of the last entry known to be committed.
    pub(super) commit: u64,
    /// Index of the last entry applied to `state`.
    pub(super) applied: u64,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<ReplicaId>,
    /// Time of the last message from a leader; `None` if there was none since
    /// this replica started.
    pub(super) leader_seen_at: Option<Duration>,
    /// Time at which a replica that does not lead starts the next pre-vote.
    pub(super) election_at: Duration,
    /// Time at which a leader sends the next heartbeat.
    pub(super) heartbeat_at: Duration,
    /// Time at which a leader next checks its quorum and the membership. This
    /// timer is separate because proposals postpone the heartbeat but must not
    /// postpone these checks.
    pub(super) maintain_at: Duration,
    /// Proposals that are not committed yet: the tag of the proposal and the
    /// term in which it was appended, by log index.
    pub(super) pending_proposals: BTreeMap<u64, (u64, u64)>,
}

impl ReplicaMachine {
    /// Creates a follower from the recovered state and applies the entries that
    /// are known to be committed.
    pub fn new(start: ReplicaStart, now: Duration) -> ReplicaMachine {
        let (place, state) = start.snapshot;
        let mut replica = ReplicaMachine {
            id: start.id,
            members: start.members.clone(),
            configured_members: start.members,
            member_records: Vec::new(),
            members_index: 0,
            target_size: start.target_size,
            learners: BTreeMap::new(),
            round: 0,
            pending_reads: Vec::new(),
            pending_results: Vec::new(),
            timing: start.timing,
            safety_checks: start.safety_checks,
            rng: SmallRng::seed_from_u64(start.seed),
            hard_state: start.hard_state,
            log: EntryLog::new(place, start.entries),
            state,
            commit: place.index,
            applied: place.index,
            role: ReplicaRole::Follower,
            leader: None,
            leader_seen_at: None,
            election_at: now,
            heartbeat_at: now,
            maintain_at: now,
            pending_proposals: BTreeMap::new(),
        };
        let wait = MAX_START_DELAY * replica.rng.random::<f64>();
        replica.election_at = now + replica.timing.election.mul_f64(wait);
        replica.commit = start.commit.clamp(place.index, replica.log.last().index);
        replica.apply_recovered();
        replica.reload_members();
        replica
    }

    /// Applies the recovered entries up to the recovered commit index.
    fn apply_recovered(&mut self) {
        while let Some(entry) = self.log.get(self.applied + 1) {
            if entry.index > self.commit {
                return;
            }
            self.state.apply(&entry.command);
            self.applied = entry.index;
        }
    }

    /// Handles one input at time `now`, runs the timers that are due, and
    /// appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: ReplicaInput, out: &mut Vec<ReplicaAction>) {
        match input {
            ReplicaInput::Wake => {}
            ReplicaInput::Message { from, message } => self.handle_message(from, message, now, out),
            ReplicaInput::Propose { tag, command } => self.propose(tag, command, now, out),
            ReplicaInput::Read { tag } => self.start_read(tag, now, out),
            ReplicaInput::AddLearner(record) => self.add_learner(record, now),
            ReplicaInput::Bootstrap(record) => self.bootstrap(record, out),
            ReplicaInput::TransferLeadership => self.transfer_leadership(now, out),
        }
        self.run_timers(now, out);
    }

    /// Returns the time at which the next timer is due.
    pub fn next_wake(&self) -> Duration {
        match self.role {
            ReplicaRole::Leader(_) => self.heartbeat_at.min(self.maintain_at),
            _ => self.election_at,
        }
    }

    /// Returns the state after all entries that this replica knows to be
    /// committed. The leader may have committed more.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Returns the leader of the current term, if this replica knows the leader.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the size in bytes of the entries in the log after the snapshot.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the number of entries in the log after the snapshot.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    /// Dispatches a message from another replica to its handler.
    fn handle_message(
        &mut self,
        from: ReplicaId,
        message: ReplicaMessage,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // With a fixed membership, messages from non-members are ignored. With
        // the membership in the log they are not: the sender may be a member
        // that this replica's log does not list yet, and the terms and logs
        // that the handlers compare decide.
        if self.target_size == 0 && !self.members.contains(&from) {
            return;
        }
        match message {
            ReplicaMessage::AskPreVote { term, last } => {
                self.handle_pre_vote_request(from, term, last, now, out);
            }
            ReplicaMessage::PreVote { term, granted } => {
                self.handle_pre_vote_reply(from, term, granted, now, out);
            }
            ReplicaMessage::AskVote { term, last } => {
                self.handle_vote_request(from, term, last, now, out)
            }
            ReplicaMessage::Vote { term, granted } => {
                self.handle_vote_reply(from, term, granted, now, out);
            }
            ReplicaMessage::Append {
                term,
                previous,
                entries,
                commit,
                round,
            } => {
                if self.accept_leader(from, term, now, out) {
                    let index = self.append_entries(previous, entries, commit, out);
                    self.send_append_reply(from, index, round, out);
                }
            }
            ReplicaMessage::Lead { term } => {
                if term == self.hard_state.term && self.is_voter() {
                    self.start_election(now, out);
                }
            }
            ReplicaMessage::Appended {
                term,
                fitted,
                index,
                round,
            } => {
                let index = if fitted { Ok(index) } else { Err(index) };
                self.handle_append_reply(from, term, index, round, now, out);
            }
            ReplicaMessage::Snapshot { term, place, state } => {
                if self.accept_leader(from, term, now, out) {
                    self.install_snapshot(from, place, *state, out);
                }
            }
        }
    }

    /// Runs the timers that are due: quorum check and heartbeat of a leader,
    /// the pre-vote of the other roles.
    fn run_timers(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.is_leader() {
            if now >= self.maintain_at {
                self.maintain_group(now, out);
            }
            if self.is_leader() && now >= self.heartbeat_at {
                self.replicate_to_all(now, out);
            }
        } else if now >= self.election_at {
            if self.is_voter() {
                self.start_pre_vote(now, out);
            } else {
                // A replica without a vote starts no election. It only forgets
                // the leader, so that it does not report a lost one as current.
                self.leader = None;
                self.reset_election_timer(now);
            }
        }
    }

    /// Restarts the election timer with a random timeout.
    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        let scale = if self.leader_seen_at.is_none() {
            INITIAL_TIMEOUT_SCALE
        } else {
            1.0
        };
        let wait = scale * (1.0 + self.rng.random::<f64>());
        self.election_at = now + self.timing.election.mul_f64(wait);
    }

    /// Returns the number of replicas that make up a quorum.
    pub(super) fn quorum_size(&self) -> usize {
        if self.safety_checks.requires_majority {
            self.members.len() / 2 + 1
        } else {
            1
        }
    }

    /// Becomes a follower. Adopts `term` if it is higher than the current term.
    /// A leader that steps down reports its pending proposals and reads as
    /// `ProposalResult::Unknown`.
    pub(super) fn step_down(&mut self, term: u64, out: &mut Vec<ReplicaAction>) {
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            out.push(ReplicaAction::PersistHardState(self.hard_state));
            self.leader = None;
        }
        if self.is_leader() {
            out.push(ReplicaAction::RoleChanged {
                term: self.hard_state.term,
                leads: false,
            });
            self.abort_pending(out);
        }
        self.role = ReplicaRole::Follower;
        self.learners.clear();
    }
}
