//! Elections: pre-votes, votes, and when a leader stops.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::process::control::log::{HardState, LogPosition, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{PeerProgress, ReplicaMachine, ReplicaRole};
use crate::process::control::state::ControlCommand;

/// Time before pre-votes are asked for again, as a part of the election time:
/// the least, and what chance adds at most.
const PRE_VOTE_RETRY: (f64, f64) = (0.3, 0.5);
/// The same for a replica that has heard of no leader since its start: the
/// others start as well, and their connections are about to open.
const INITIAL_PRE_VOTE_RETRY: (f64, f64) = (0.08, 0.16);

impl ReplicaMachine {
    pub(super) fn start_pre_vote(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        // The question disturbs nobody, so that it is soon asked again.
        let (least, spread) = if self.leader_seen_at.is_none() {
            INITIAL_PRE_VOTE_RETRY
        } else {
            PRE_VOTE_RETRY
        };
        let wait = least + spread * self.rng.random::<f64>();
        self.election_at = now + self.timing.election.mul_f64(wait);
        self.leader = None;
        self.role = ReplicaRole::PreCandidate(vec![self.id]);
        let message = ReplicaMessage::AskPreVote {
            term: self.hard_state.term + 1,
            last: self.log.last(),
        };
        self.send_to_members(&message, out);
        self.start_election_if_pre_elected(now, out);
    }

    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPosition,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // Whoever heard of a leader a short while ago wants no other.
        let hears = self
            .leader_seen_at
            .is_some_and(|seen_at| now < seen_at + self.timing.election);
        let is_led = self.is_leader() || hears;
        let granted = !is_led && term > self.hard_state.term && self.is_log_current(last);
        // A refusal tells the own term: a candidate that is behind in terms and
        // ahead in its log would ask for a term that is over for ever.
        let term = if granted { term } else { self.hard_state.term };
        out.push(ReplicaAction::Send {
            to: from,
            message: ReplicaMessage::PreVote { term, granted },
        });
    }

    pub(super) fn handle_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !granted && term > self.hard_state.term {
            return self.step_down(term, out);
        }
        if !granted || term != self.hard_state.term + 1 {
            return;
        }
        let is_voter = self.members.contains(&from);
        if let ReplicaRole::PreCandidate(granted) = &mut self.role {
            if is_voter && !granted.contains(&from) {
                granted.push(from);
            }
            self.start_election_if_pre_elected(now, out);
        }
    }

    fn start_election_if_pre_elected(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::PreCandidate(granted) = &self.role else {
            return;
        };
        if granted.len() < self.quorum_size() {
            return;
        }
        self.start_election(now, out);
    }

    /// Stands for election.
    pub(super) fn start_election(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.hard_state = HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.id),
        };
        out.push(ReplicaAction::PersistHardState(self.hard_state));
        self.role = ReplicaRole::Candidate(vec![self.id]);
        self.reset_election_timer(now);
        let message = ReplicaMessage::AskVote {
            term: self.hard_state.term,
            last: self.log.last(),
        };
        self.send_to_members(&message, out);
        self.become_leader_if_elected(now, out);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPosition,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard_state.term {
            self.step_down(term, out);
        }
        let is_free = !self.safety_checks.votes_once_per_term
            || self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && is_free && self.is_log_current(last);
        if granted {
            self.hard_state.vote = Some(from);
            out.push(ReplicaAction::PersistHardState(self.hard_state));
            self.reset_election_timer(now);
        }
        out.push(ReplicaAction::Send {
            to: from,
            message: ReplicaMessage::Vote {
                term: self.hard_state.term,
                granted,
            },
        });
    }

    pub(super) fn handle_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard_state.term {
            return self.step_down(term, out);
        }
        if !granted || term != self.hard_state.term {
            return;
        }
        let is_voter = self.members.contains(&from);
        if let ReplicaRole::Candidate(votes) = &mut self.role {
            if is_voter && !votes.contains(&from) {
                votes.push(from);
            }
            self.become_leader_if_elected(now, out);
        }
    }

    fn become_leader_if_elected(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::Candidate(votes) = &self.role else {
            return;
        };
        if votes.len() < self.quorum_size() {
            return;
        }
        let others = self.members.iter().filter(|member| **member != self.id);
        let peers: BTreeMap<ReplicaId, PeerProgress> = others
            .map(|member| (*member, self.new_progress(now)))
            .collect();
        self.role = ReplicaRole::Leader(peers);
        self.leader = Some(self.id);
        out.push(ReplicaAction::RoleChanged {
            term: self.hard_state.term,
            leads: true,
        });
        self.append_command(ControlCommand::Nothing, out);
        self.replicate_to_all(now, out);
        self.advance_commit(out);
    }

    /// Mends the group, or stops leading without a quorum: a leader that is
    /// cut off must not take its old table for the current one.
    pub(super) fn maintain_group(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.maintain_at = now + self.timing.heartbeat;
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let patience = self.timing.election * 2;
        let voters = peers.iter().filter(|(peer, _)| self.members.contains(peer));
        let responsive = voters.filter(|(_, peer)| now < peer.last_seen_at + patience);
        if responsive.count() + usize::from(self.is_voter()) < self.quorum_size() {
            self.leader = None;
            self.step_down(self.hard_state.term, out);
            return self.reset_election_timer(now);
        }
        self.mend_group(now, out);
    }

    /// Returns what a leader knows of a replica at first.
    pub(super) fn new_progress(&self, now: Duration) -> PeerProgress {
        PeerProgress {
            match_index: 0,
            next_index: self.log.last().index + 1,
            last_seen_at: now,
            round: 0,
            next_snapshot_at: Duration::ZERO,
        }
    }

    /// Takes note of a leader. Returns false if it is an old one.
    pub(super) fn accept_leader(
        &mut self,
        from: ReplicaId,
        term: u64,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) -> bool {
        if term < self.hard_state.term {
            out.push(ReplicaAction::Send {
                to: from,
                message: ReplicaMessage::Appended {
                    term: self.hard_state.term,
                    fitted: false,
                    index: 0,
                    round: 0,
                },
            });
            return false;
        }
        self.step_down(term, out);
        self.leader = Some(from);
        self.leader_seen_at = Some(now);
        self.reset_election_timer(now);
        true
    }

    fn is_log_current(&self, last: LogPosition) -> bool {
        !self.safety_checks.requires_up_to_date_log || last >= self.log.last()
    }

    pub(super) fn send_to_members(&self, message: &ReplicaMessage, out: &mut Vec<ReplicaAction>) {
        for member in self.members.iter().filter(|member| **member != self.id) {
            out.push(ReplicaAction::Send {
                to: *member,
                message: message.clone(),
            });
        }
    }
}
