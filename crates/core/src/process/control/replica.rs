//! A replica of the control group, as a pure state machine.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::process::control::log::{EntryLog, HardState, LogEntry, LogPlace, ReplicaId};
use crate::process::control::message::{
    ReplicaAction, ReplicaInput, ReplicaMessage, ReplicaTiming,
};
use crate::process::control::publish::PendingResult;
use crate::process::control::read::PendingRead;
use crate::process::control::state::{ControlState, MemberRecord};

/// Longest wait of a replica that has just started, as a part of the election
/// time. Nobody was heard yet, and a pre-vote disturbs no leader that is; chance
/// keeps those that start together from standing at the same moment.
const FIRST_WAIT: f64 = 0.25;

/// Part of the election time that goes by before another election, while no
/// leader was heard of since the start: a split vote is soon mended, and there
/// is no leader to disturb.
const FIRST_ELECTION: f64 = 0.4;

/// The rules that keep accepted changes. All are on in a running replica; a
/// test switches one off to show that the loss would be noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaRules {
    /// Only an entry of the current term is committed by counting.
    pub current_term_only: bool,
    /// A vote is kept and given once a term.
    pub one_vote: bool,
    /// A vote is given only to a log that is not behind.
    pub up_to_date: bool,
    /// A majority commits, not fewer.
    pub majority: bool,
    /// A learner has no vote and does not count.
    pub learners_apart: bool,
    /// The replicas change one at a time.
    pub one_change: bool,
    /// A read is confirmed by a quorum.
    pub confirmed_reads: bool,
    /// What comes in force is acknowledged once a quorum knows that it does.
    pub known_commits: bool,
}

impl Default for ReplicaRules {
    fn default() -> Self {
        ReplicaRules {
            current_term_only: true,
            one_vote: true,
            up_to_date: true,
            majority: true,
            learners_apart: true,
            one_change: true,
            confirmed_reads: true,
            known_commits: true,
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
    pub size: usize,
    /// Its hard state.
    pub hard: HardState,
    /// Its snapshot, and the last entry that includes.
    pub snapshot: (LogPlace, ControlState),
    /// Its entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Its commit index, as far as it was kept.
    pub commit: u64,
    /// Its timing.
    pub timing: ReplicaTiming,
    /// Its rules; all on but in tests.
    pub rules: ReplicaRules,
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
    pub(super) matched: u64,
    pub(super) next: u64,
    pub(super) heard: Duration,
    /// Last round of heartbeats it answered.
    pub(super) round: u64,
    /// When the whole state may be sent to it again.
    pub(super) snapshot_due: Duration,
}

/// One replica.
#[derive(Debug)]
pub struct ReplicaMachine {
    pub(super) id: ReplicaId,
    pub(super) members: Vec<ReplicaId>,
    /// Replicas that the start named.
    pub(super) named: Vec<ReplicaId>,
    /// The replicas, where the log keeps them, and the index that says so.
    pub(super) records: Vec<MemberRecord>,
    pub(super) records_index: u64,
    pub(super) size: usize,
    /// Replicas without a vote that are kept up to date.
    pub(super) learners: BTreeMap<ReplicaId, MemberRecord>,
    pub(super) round: u64,
    pub(super) reads: Vec<PendingRead>,
    pub(super) ends: Vec<PendingResult>,
    pub(super) timing: ReplicaTiming,
    pub(super) rules: ReplicaRules,
    pub(super) rng: SmallRng,
    pub(super) hard: HardState,
    pub(super) log: EntryLog,
    pub(super) state: ControlState,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: ReplicaRole,
    pub(super) leader: Option<ReplicaId>,
    /// When a leader was last heard of in this lifetime.
    pub(super) heard: Option<Duration>,
    pub(super) election_at: Duration,
    pub(super) heartbeat_at: Duration,
    /// When a leader looks after the group again. What it sends otherwise puts
    /// heartbeats off, and must not put this off.
    pub(super) tend_at: Duration,
    pub(super) proposals: BTreeMap<u64, (u64, u64)>,
}

impl ReplicaMachine {
    /// Returns a replica at time `now`.
    pub fn new(start: ReplicaStart, now: Duration) -> ReplicaMachine {
        let (place, state) = start.snapshot;
        let mut replica = ReplicaMachine {
            id: start.id,
            members: start.members.clone(),
            named: start.members,
            records: Vec::new(),
            records_index: 0,
            size: start.size,
            learners: BTreeMap::new(),
            round: 0,
            reads: Vec::new(),
            ends: Vec::new(),
            timing: start.timing,
            rules: start.rules,
            rng: SmallRng::seed_from_u64(start.seed),
            hard: start.hard,
            log: EntryLog::new(place, start.entries),
            state,
            commit: place.index,
            applied: place.index,
            role: ReplicaRole::Follower,
            leader: None,
            heard: None,
            election_at: now,
            heartbeat_at: now,
            tend_at: now,
            proposals: BTreeMap::new(),
        };
        let wait = FIRST_WAIT * replica.rng.random::<f64>();
        replica.election_at = now + replica.timing.election.mul_f64(wait);
        replica.commit = start.commit.clamp(place.index, replica.log.last().index);
        replica.replay();
        replica.reload_members();
        replica
    }

    /// Applies what was committed before the start.
    fn replay(&mut self) {
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
            ReplicaInput::Message { from, message } => self.take(from, message, now, out),
            ReplicaInput::Propose { tag, command } => self.propose(tag, command, now, out),
            ReplicaInput::Read { tag } => self.read(tag, now, out),
            ReplicaInput::Learner(record) => self.add_learner(record, now),
            ReplicaInput::Found(record) => self.bootstrap(record, out),
            ReplicaInput::HandOver => self.transfer_leadership(now, out),
        }
        self.run_timers(now, out);
    }

    /// Returns when the next timer is due.
    pub fn next_wake(&self) -> Duration {
        match self.role {
            ReplicaRole::Leader(_) => self.heartbeat_at.min(self.tend_at),
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
        self.hard.term
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

    fn take(
        &mut self,
        from: ReplicaId,
        message: ReplicaMessage,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // Somebody who is not a member has no say, whatever it claims; but
        // where the log keeps the members, it may know more of them than this
        // replica does, and the log itself decides.
        if self.size == 0 && !self.members.contains(&from) {
            return;
        }
        match message {
            ReplicaMessage::AskPreVote { term, last } => {
                self.answer_pre_vote(from, term, last, now, out);
            }
            ReplicaMessage::PreVote { term, granted } => {
                self.count_pre_vote(from, term, granted, now, out);
            }
            ReplicaMessage::AskVote { term, last } => self.answer_vote(from, term, last, now, out),
            ReplicaMessage::Vote { term, granted } => {
                self.count_vote(from, term, granted, now, out);
            }
            ReplicaMessage::Append {
                term,
                previous,
                entries,
                commit,
                round,
            } => {
                if self.follow(from, term, now, out) {
                    let index = self.append(previous, entries, commit, out);
                    self.answer_append(from, index, round, out);
                }
            }
            ReplicaMessage::Lead { term } => {
                if term == self.hard.term && self.is_voter() {
                    self.stand(now, out);
                }
            }
            ReplicaMessage::Appended {
                term,
                fitted,
                index,
                round,
            } => {
                let index = if fitted { Ok(index) } else { Err(index) };
                self.appended(from, term, index, round, now, out);
            }
            ReplicaMessage::Snapshot { term, place, state } => {
                if self.follow(from, term, now, out) {
                    self.install(from, place, *state, out);
                }
            }
        }
    }

    fn run_timers(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        if self.is_leader() {
            if now >= self.tend_at {
                self.tend(now, out);
            }
            if self.is_leader() && now >= self.heartbeat_at {
                self.send_all(now, out);
            }
        } else if now >= self.election_at {
            if self.is_voter() {
                self.ask_pre_votes(now, out);
            } else {
                // It says whom it follows, and must not say that of one it has lost.
                self.leader = None;
                self.reset_election(now);
            }
        }
    }

    pub(super) fn reset_election(&mut self, now: Duration) {
        let part = if self.heard.is_none() {
            FIRST_ELECTION
        } else {
            1.0
        };
        let wait = part * (1.0 + self.rng.random::<f64>());
        self.election_at = now + self.timing.election.mul_f64(wait);
    }

    /// Returns the number of replicas that decides.
    pub(super) fn quorum(&self) -> usize {
        if self.rules.majority {
            self.members.len() / 2 + 1
        } else {
            1
        }
    }

    /// Becomes a follower, in a higher term if `term` is one.
    pub(super) fn step_down(&mut self, term: u64, out: &mut Vec<ReplicaAction>) {
        if term > self.hard.term {
            self.hard = HardState { term, vote: None };
            out.push(ReplicaAction::KeepHard(self.hard));
            self.leader = None;
        }
        if self.is_leader() {
            out.push(ReplicaAction::Role {
                term: self.hard.term,
                leads: false,
            });
            self.drop_proposals(out);
        }
        self.role = ReplicaRole::Follower;
        self.learners.clear();
    }
}
