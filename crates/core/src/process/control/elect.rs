//! Leader election: pre-votes, votes, and the quorum check by which a leader
//! without a quorum steps down.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::process::control::log::{HardState, LogPosition, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{PeerProgress, ReplicaMachine, ReplicaRole};
use crate::process::control::state::ControlCommand;

/// Delay before pre-votes are requested again, in fractions of the election
/// timeout: the minimum, and the maximum of the random part that is added.
const PRE_VOTE_RETRY: (f64, f64) = (0.3, 0.5);
/// The same delay for a replica that has had no contact with a leader since its
/// start. It is shorter because the other replicas are probably starting too
/// and their connections are about to open.
const INITIAL_PRE_VOTE_RETRY: (f64, f64) = (0.08, 0.16);

impl ReplicaMachine {
    /// Becomes a pre-candidate and asks the other members for a pre-vote, which
    /// shows whether an election could succeed before any term is raised.
    pub(super) fn start_pre_vote(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        // A pre-vote request disturbs no leader, so that the next attempt may
        // follow soon.
        let (min, jitter) = if self.leader_seen_at.is_none() {
            INITIAL_PRE_VOTE_RETRY
        } else {
            PRE_VOTE_RETRY
        };
        let wait = min + jitter * self.rng.random::<f64>();
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

    /// Grants a pre-vote if this replica would vote for the sender and has had
    /// no contact with a leader within the election timeout.
    pub(super) fn handle_pre_vote_request(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPosition,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // A replica with recent contact to a leader supports no other one.
        let has_recent_leader = self
            .leader_seen_at
            .is_some_and(|seen_at| now < seen_at + self.timing.election);
        let has_leader = self.is_leader() || has_recent_leader;
        let granted = !has_leader && term > self.hard_state.term && self.is_log_current(last);
        // A refusal carries this replica's term. Otherwise a candidate with the
        // newest log but an old term would request past terms for ever.
        let term = if granted { term } else { self.hard_state.term };
        out.push(ReplicaAction::Send {
            to: from,
            message: ReplicaMessage::PreVote { term, granted },
        });
    }

    /// Counts a pre-vote and starts the election once a quorum granted one.
    /// Adopts the higher term that a refusal carries.
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

    /// Starts an election if a quorum granted a pre-vote.
    fn start_election_if_pre_elected(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::PreCandidate(granted) = &self.role else {
            return;
        };
        if granted.len() < self.quorum_size() {
            return;
        }
        self.start_election(now, out);
    }

    /// Becomes a candidate: raises the term, votes for itself, and requests the
    /// votes of the other members.
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

    /// Answers a vote request. Grants the vote if this replica has not voted for
    /// another candidate in the term and the candidate's log is current enough.
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
        let may_vote = !self.safety_checks.votes_once_per_term
            || self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && may_vote && self.is_log_current(last);
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

    /// Counts a vote and becomes the leader once a quorum granted one.
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

    /// Becomes the leader if a quorum voted for this candidate. Appends an empty
    /// entry, because a leader commits earlier entries only together with one
    /// of its own term.
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

    /// Steps down if no quorum has answered within two election timeouts: a
    /// leader cut off from the others must not take its old route table for
    /// the current one. Otherwise checks whether the membership must change.
    pub(super) fn maintain_group(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.maintain_at = now + self.timing.heartbeat;
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let response_timeout = self.timing.election * 2;
        let voters = peers.iter().filter(|(peer, _)| self.members.contains(peer));
        let responsive = voters.filter(|(_, peer)| now < peer.last_seen_at + response_timeout);
        if responsive.count() + usize::from(self.is_voter()) < self.quorum_size() {
            self.leader = None;
            self.step_down(self.hard_state.term, out);
            return self.reset_election_timer(now);
        }
        self.reconcile_members(now, out);
    }

    /// Returns the initial progress of a peer: nothing is known to match, and
    /// sending starts after the leader's last entry.
    pub(super) fn new_progress(&self, now: Duration) -> PeerProgress {
        PeerProgress {
            match_index: 0,
            next_index: self.log.last().index + 1,
            last_seen_at: now,
            round: 0,
            next_snapshot_at: Duration::ZERO,
        }
    }

    /// Records `from` as the leader of `term`, becomes its follower, and returns
    /// true. If `term` is over, answers with the current term and returns
    /// false.
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

    /// Returns whether a candidate's log, which ends at `last`, is at least as up
    /// to date as this replica's log.
    fn is_log_current(&self, last: LogPosition) -> bool {
        !self.safety_checks.requires_up_to_date_log || last >= self.log.last()
    }

    /// Sends `message` to all members except this replica.
    pub(super) fn send_to_members(&self, message: &ReplicaMessage, out: &mut Vec<ReplicaAction>) {
        for member in self.members.iter().filter(|member| **member != self.id) {
            out.push(ReplicaAction::Send {
                to: *member,
                message: message.clone(),
            });
        }
    }
}
