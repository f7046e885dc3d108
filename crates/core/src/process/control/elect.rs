//! Elections: pre-votes, votes, and when a leader stops.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use crate::process::control::log::{HardState, LogPlace, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{PeerProgress, ReplicaMachine, ReplicaRole};
use crate::process::control::state::ControlCommand;

/// Time before pre-votes are asked for again, as a part of the election time:
/// the least, and what chance adds at most.
const ASK_AGAIN: (f64, f64) = (0.3, 0.5);
/// The same for a replica that has heard of no leader since its start: the
/// others start as well, and their connections are about to open.
const FIRST_ASK_AGAIN: (f64, f64) = (0.08, 0.16);

impl ReplicaMachine {
    pub(super) fn ask_pre_votes(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        // The question disturbs nobody, so that it is soon asked again.
        let (least, spread) = if self.heard.is_none() {
            FIRST_ASK_AGAIN
        } else {
            ASK_AGAIN
        };
        let wait = least + spread * self.rng.random::<f64>();
        self.election_at = now + self.timing.election.mul_f64(wait);
        self.leader = None;
        self.role = ReplicaRole::PreCandidate(vec![self.id]);
        let message = ReplicaMessage::AskPreVote {
            term: self.hard.term + 1,
            last: self.log.last(),
        };
        self.send_others(&message, out);
        self.stand_if_wanted(now, out);
    }

    pub(super) fn answer_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPlace,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        // Whoever heard of a leader a short while ago wants no other.
        let hears = self
            .heard
            .is_some_and(|heard| now < heard + self.timing.election);
        let is_led = self.is_leader() || hears;
        let granted = !is_led && term > self.hard.term && self.accepts_log(last);
        // A refusal tells the own term: a candidate that is behind in terms and
        // ahead in its log would ask for a term that is over for ever.
        let term = if granted { term } else { self.hard.term };
        out.push(ReplicaAction::Send {
            to: from,
            message: ReplicaMessage::PreVote { term, granted },
        });
    }

    pub(super) fn count_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if !granted && term > self.hard.term {
            return self.step_down(term, out);
        }
        if !granted || term != self.hard.term + 1 {
            return;
        }
        let is_voter = self.members.contains(&from);
        if let ReplicaRole::PreCandidate(granted) = &mut self.role {
            if is_voter && !granted.contains(&from) {
                granted.push(from);
            }
            self.stand_if_wanted(now, out);
        }
    }

    fn stand_if_wanted(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::PreCandidate(granted) = &self.role else {
            return;
        };
        if granted.len() < self.quorum() {
            return;
        }
        self.stand(now, out);
    }

    /// Stands for election.
    pub(super) fn stand(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.hard = HardState {
            term: self.hard.term + 1,
            vote: Some(self.id),
        };
        out.push(ReplicaAction::KeepHard(self.hard));
        self.role = ReplicaRole::Candidate(vec![self.id]);
        self.reset_election(now);
        let message = ReplicaMessage::AskVote {
            term: self.hard.term,
            last: self.log.last(),
        };
        self.send_others(&message, out);
        self.lead_if_elected(now, out);
    }

    pub(super) fn answer_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LogPlace,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard.term {
            self.step_down(term, out);
        }
        let is_free = !self.rules.one_vote || self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && is_free && self.accepts_log(last);
        if granted {
            self.hard.vote = Some(from);
            out.push(ReplicaAction::KeepHard(self.hard));
            self.reset_election(now);
        }
        out.push(ReplicaAction::Send {
            to: from,
            message: ReplicaMessage::Vote {
                term: self.hard.term,
                granted,
            },
        });
    }

    pub(super) fn count_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) {
        if term > self.hard.term {
            return self.step_down(term, out);
        }
        if !granted || term != self.hard.term {
            return;
        }
        let is_voter = self.members.contains(&from);
        if let ReplicaRole::Candidate(votes) = &mut self.role {
            if is_voter && !votes.contains(&from) {
                votes.push(from);
            }
            self.lead_if_elected(now, out);
        }
    }

    fn lead_if_elected(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        let ReplicaRole::Candidate(votes) = &self.role else {
            return;
        };
        if votes.len() < self.quorum() {
            return;
        }
        let others = self.members.iter().filter(|member| **member != self.id);
        let peers: BTreeMap<ReplicaId, PeerProgress> = others
            .map(|member| (*member, self.new_progress(now)))
            .collect();
        self.role = ReplicaRole::Leader(peers);
        self.leader = Some(self.id);
        out.push(ReplicaAction::Role {
            term: self.hard.term,
            leads: true,
        });
        self.add_entry(ControlCommand::Nothing, out);
        self.send_all(now, out);
        self.advance_commit(out);
    }

    /// Mends the group, or stops leading without a quorum: a leader that is
    /// cut off must not take its old table for the current one.
    pub(super) fn tend(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.tend_at = now + self.timing.heartbeat;
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let patience = self.timing.election * 2;
        let voters = peers.iter().filter(|(peer, _)| self.members.contains(peer));
        let heard = voters.filter(|(_, peer)| now < peer.heard + patience);
        if heard.count() + usize::from(self.is_voter()) < self.quorum() {
            self.leader = None;
            self.step_down(self.hard.term, out);
            return self.reset_election(now);
        }
        self.reconcile_members(now, out);
    }

    /// Returns what a leader knows of a replica at first.
    pub(super) fn new_progress(&self, now: Duration) -> PeerProgress {
        PeerProgress {
            matched: 0,
            next: self.log.last().index + 1,
            heard: now,
            round: 0,
            snapshot_due: Duration::ZERO,
        }
    }

    /// Takes note of a leader. Returns false if it is an old one.
    pub(super) fn follow(
        &mut self,
        from: ReplicaId,
        term: u64,
        now: Duration,
        out: &mut Vec<ReplicaAction>,
    ) -> bool {
        if term < self.hard.term {
            out.push(ReplicaAction::Send {
                to: from,
                message: ReplicaMessage::Appended {
                    term: self.hard.term,
                    fitted: false,
                    index: 0,
                    round: 0,
                },
            });
            return false;
        }
        self.step_down(term, out);
        self.leader = Some(from);
        self.heard = Some(now);
        self.reset_election(now);
        true
    }

    fn accepts_log(&self, last: LogPlace) -> bool {
        !self.rules.up_to_date || last >= self.log.last()
    }

    pub(super) fn send_others(&self, message: &ReplicaMessage, out: &mut Vec<ReplicaAction>) {
        for member in self.members.iter().filter(|member| **member != self.id) {
            out.push(ReplicaAction::Send {
                to: *member,
                message: message.clone(),
            });
        }
    }
}
