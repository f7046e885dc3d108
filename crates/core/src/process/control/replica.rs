//! A replica of the control group, as a pure state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::process::control::log::{EntryLog, HardState, LogEntry, LogPosition, ReplicaId};
use crate::process::control::message::{
    ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use crate::process::control::publish::PendingEnd;
use crate::process::control::read::PendingRead;
use crate::process::control::state::{ControlState, MemberRecord};

/// Longest wait of a replica that has just started, as a part of the election
/// time. Nobody was heard yet, and a pre-vote disturbs no leader that is; chance
/// keeps those that start together from standing at the same moment.
const MAX_START_DELAY: f64 = 0.25;

/// Part of the election time that goes by before another election, while no
/// leader was heard of since the start: a split vote is soon mended, and there
/// is no leader to disturb.
const INITIAL_TIMEOUT_SCALE: f64 = 0.4;

/// The rules that keep accepted changes. All are on in a running replica; a
/// test switches one off to show that the loss would be noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SafetyChecks {
    /// Only an entry of the current term is committed by counting.
    pub commits_current_term_only: bool,
    /// A vote is kept and given once a term.
    pub votes_once_per_term: bool,
    /// A vote is given only to a log that is not behind.
    pub requires_up_to_date_log: bool,
    /// A majority commits, not fewer.
    pub requires_majority: bool,
    /// A learner has no vote and does not count.
    pub excludes_learners: bool,
    /// The replicas change one at a time.
    pub changes_one_member: bool,
    /// A read is confirmed by a quorum.
    pub confirms_reads: bool,
    /// What comes in force is acknowledged once a quorum knows that it does.
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

/// What a replica starts with: what its disk kept, and who the others are.
#[derive(Debug, Clone)]
pub struct ReplicaStart {
    /// Its identity.
    pub id: ReplicaId,
    /// All replicas, this one among them, for a group that does not keep them
    /// in its log.
    pub members: Vec<ReplicaId>,
    /// Replicas that a group which keeps them in its log should have; 0 for
    /// one that never changes.
    pub target_size: usize,
    /// Its hard state.
    pub hard_state: HardState,
    /// Its snapshot, and the last entry that includes.
    pub snapshot: (LogPosition, ControlState),
    /// Its entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Its commit index, as far as it was kept.
    pub commit: u64,
    /// Its timing.
    pub timing: ReplicaTiming,
    /// Its rules; all on but in tests.
    pub safety_checks: SafetyChecks,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// What a replica does in the group.
#[derive(Debug)]
pub(super) enum ReplicaRole {
    Follower,
    /// It asks who would vote for it, and counts.
    PreCandidate(Vec<ReplicaId>),
    /// It stands for election and counts votes.
    Candidate(Vec<ReplicaId>),
    Leader(BTreeMap<ReplicaId, PeerProgress>),
}

/// How far a leader knows a follower's log.
#[derive(Debug, Clone, Copy)]
pub(super) struct PeerProgress {
    pub(super) match_index: u64,
    pub(super) next_index: u64,
    pub(super) last_seen_at: Duration,
    /// Last round of heartbeats it answered.
    pub(super) round: u64,
    /// When the whole state may be sent to it again.
    pub(super) next_snapshot_at: Duration,
}

/// One replica.
#[derive(Debug)]
pub struct ReplicaMachine {
    pub(super) id: ReplicaId,
    pub(super) members: Vec<ReplicaId>,
    /// Replicas that the start named.
    pub(super) configured_members: Vec<ReplicaId>,
    /// The replicas, where the log keeps them, and the index that says so.
    pub(super) records: Vec<MemberRecord>,
    pub(super) members_index: u64,
    pub(super) target_size: usize,
    /// Replicas without a vote that are kept up to date.
    pub(super) learners: BTreeMap<ReplicaId, MemberRecord>,
    pub(super) round: u64,
    pub(super) pending_reads: Vec<PendingRead>,
    pub(super) pending_results: Vec<PendingEnd>,
    pub(super) timing: ReplicaTiming,
    pub(super) safety_checks: SafetyChecks,
    pub(super) rng: SmallRng,
    pub(super) hard_state: HardState,
    pub(super) log: EntryLog,
    pub(super) state: ControlState,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<ReplicaId>,
    /// When a leader was last heard of in this lifetime.
    pub(super) leader_seen_at: Option<Duration>,
    pub(super) election_at: Duration,
    pub(super) heartbeat_at: Duration,
    /// When a leader looks after the group again. What it sends otherwise puts
    /// heartbeats off, and must not put this off.
    pub(super) maintain_at: Duration,
    pub(super) pending_proposals: BTreeMap<u64, (u64, u64)>,
}

impl ReplicaMachine {
    /// Returns a replica at time `now`.
    pub fn new(start: ReplicaStart, now: Duration) -> ReplicaMachine {
        let (place, state) = start.snapshot;
        let mut replica = ReplicaMachine {
            id: start.id,
            members: start.members.clone(),
            configured_members: start.members,
            records: Vec::new(),
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
        replica.find_members();
        replica
    }

    /// Applies what was committed before the start.
    fn apply_recovered(&mut self) {
        while let Some(entry) = self.log.get(self.applied + 1) {
            if entry.index > self.commit {
                return;
            }
            self.state.apply(&entry.command);
            self.applied = entry.index;
        }
    }

    /// Takes one input at time `now` and appends what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: ReplicaInput, out: &mut Vec<ReplicaAction>) {
        match input {
            ReplicaInput::Wake => {}
            ReplicaInput::Message { from, message } => self.handle_message(from, message, now, out),
            ReplicaInput::Propose { tag, command } => self.propose(tag, command, now, out),
            ReplicaInput::Read { tag } => self.start_read(tag, now, out),
            ReplicaInput::AddLearner(record) => self.take_learner(record, now),
            ReplicaInput::Bootstrap(record) => self.found(record, out),
            ReplicaInput::TransferLeadership => self.hand_over(now, out),
        }
        self.run_timers(now, out);
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Duration {
        match self.role {
            ReplicaRole::Leader(_) => self.heartbeat_at.min(self.maintain_at),
            _ => self.election_at,
        }
    }

    /// Returns the state as far as this replica knows it to be committed.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// Returns the identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Tells whether this replica leads.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Returns the leader, as far as this replica knows.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the index up to which entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the bytes of the entries held in the log.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the number of entries held in the log.
    pub fn log_length(&self) -> usize {
        self.log.len()
    }

    fn handle_message(
        &mut self,
        from: ReplicaId,
        message: ReplicaMessage,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // Somebody who is not a member has no say, whatever it claims; but
        // where the log keeps the members, it may know more of them than this
        // replica does, and the log itself decides.
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
                // It says whom it follows, and must not say that of one it has lost.
                self.leader = None;
                self.reset_election_timer(now);
            }
        }
    }

    pub(super) fn reset_election_timer(&mut self, now: Duration) {
        let part = if self.leader_seen_at.is_none() {
            INITIAL_TIMEOUT_SCALE
        } else {
            1.0
        };
        let wait = part * (1.0 + self.rng.random::<f64>());
        self.election_at = now + self.timing.election.mul_f64(wait);
    }

    /// Returns the number of replicas that decides.
    pub(super) fn quorum_size(&self) -> usize {
        if self.safety_checks.requires_majority {
            self.members.len() / 2 + 1
        } else {
            1
        }
    }

    /// Becomes a follower, in a higher term if `term` is one.
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
