//! Who the replicas are: founding, learners, and changes one at a time.
//!
//! A replica is told apart by the identity it drew when its data folder was
//! made. One that lost its disk is another one: it learns first, and votes
//! only once it holds what a quorum acknowledged.

use std::time::Duration;

use crate::process::control::log::{HardState, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{ReplicaMachine, ReplicaRole};
use crate::process::control::state::{ControlCommand, MemberRecord};

/// Time without a word after which a replica is replaced, if another is ready.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);
/// Time without a word after which a learner is dropped.
const DROP_LEARNER_AFTER: Duration = Duration::from_secs(5);
/// Entries that a learner may lack when it gets its vote. The entry that
/// names it is committed only once a quorum with it holds everything before.
const MAX_LEARNER_LAG_ENTRIES: u64 = 4;

impl ReplicaMachine {
    /// Tells whether this replica has a vote.
    pub fn is_voter(&self) -> bool {
        self.members.contains(&self.id)
    }

    /// Tells whether this replica asks to be kept up to date: it has no vote, or
    /// it hears no leader and may have been replaced while it was away.
    pub fn should_join_as_learner(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// Returns the replicas, where the log keeps them.
    pub fn member_records(&self) -> &[MemberRecord] {
        &self.records
    }

    /// Returns the replicas without a vote that the leader keeps up to date.
    pub fn learners(&self) -> impl Iterator<Item = &MemberRecord> {
        self.learners.values()
    }

    /// Finds the newest entry that names the replicas.
    pub(super) fn reload_members(&mut self) {
        let base = self.log.base().index;
        let last = self.log.last().index;
        let newest_membership = (base + 1..=last).rev().find_map(|index| {
            let entry = self.log.get(index)?;
            match &entry.command {
                ControlCommand::Members { members, .. } => Some((index, members.clone())),
                _ => None,
            }
        });
        let (index, records) = newest_membership.unwrap_or((base, self.state.members().to_vec()));
        self.members = if records.is_empty() {
            self.named.clone()
        } else {
            records.iter().map(|record| record.id).collect()
        };
        self.records = records;
        self.records_index = index;
    }

    /// Founds the group with this replica alone; the others join it.
    pub(super) fn bootstrap(&mut self, record: MemberRecord, out: &mut Vec<ReplicaAction>) {
        let is_empty = self.log.last().index == 0 && self.members.is_empty();
        if !is_empty || self.hard.term > 0 {
            return;
        }
        self.hard = HardState {
            term: 1,
            vote: Some(self.id),
        };
        out.push(ReplicaAction::KeepHard(self.hard));
        self.role = ReplicaRole::Leader(Default::default());
        self.leader = Some(self.id);
        out.push(ReplicaAction::Role {
            term: self.hard.term,
            leads: true,
        });
        self.propose_members(vec![record], out);
    }

    /// Takes note of a replica that asks to be kept up to date.
    pub(super) fn add_learner(&mut self, record: MemberRecord, now: Duration) {
        if self.size == 0 || self.members.contains(&record.id) {
            return;
        }
        let progress = self.new_progress(now);
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        peers.entry(record.id).or_insert(progress);
        self.learners.insert(record.id, record);
    }

    /// Changes the replicas by one, where that brings the group nearer to what
    /// it should be.
    pub(super) fn reconcile_members(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.drop_unresponsive_learners(now);
        let is_previous_change_committed = self.records_index <= self.commit
            && self.log.term_at(self.commit) == Some(self.hard.term);
        if self.size == 0 || (self.rules.one_change && !is_previous_change_committed) {
            return;
        }
        if let Some(members) = self.plan_member_change(now) {
            self.propose_members(members, out);
            self.track_new_members(now);
        }
    }

    fn drop_unresponsive_learners(&mut self, now: Duration) {
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        let members = &self.members;
        peers.retain(|id, peer| members.contains(id) || now < peer.heard + DROP_LEARNER_AFTER);
        self.learners
            .retain(|id, _| peers.contains_key(id) && !members.contains(id));
    }

    fn plan_member_change(&self, now: Duration) -> Option<Vec<MemberRecord>> {
        let caught_up = self.find_caught_up_learner(now);
        if let Some(learner) = caught_up {
            let former_position = self
                .records
                .iter()
                .position(|record| record.instance == learner.instance);
            if let Some(former_position) = former_position {
                // The instance itself came back with an empty disk: its former
                // identity will never vote again, so that one step is safe.
                let mut members = self.records.clone();
                members[former_position] = learner.clone();
                return Some(members);
            }
            let is_below_target_size = self.records.len() < self.size;
            if is_below_target_size || self.find_unresponsive_member(now).is_some() {
                let mut members = self.records.clone();
                members.push(learner.clone());
                return Some(members);
            }
        }
        if self.records.len() <= self.size {
            return None;
        }
        let removed_id = self.find_unresponsive_member(now)?;
        let remaining = self.records.iter().filter(|record| record.id != removed_id);
        Some(remaining.cloned().collect())
    }

    /// Returns a learner that holds nearly all and answers.
    fn find_caught_up_learner(&self, now: Duration) -> Option<&MemberRecord> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let last = self.log.last().index;
        self.learners.values().find(|learner| {
            let progress = peers.get(&learner.id);
            progress.is_some_and(|progress| {
                progress.matched > 0
                    && progress.matched + MAX_LEARNER_LAG_ENTRIES >= last
                    && now < progress.heard + self.timing.election
            })
        })
    }

    /// Returns the member that has been silent longest, if too long.
    fn find_unresponsive_member(&self, now: Duration) -> Option<ReplicaId> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let unresponsive = self.members.iter().filter_map(|id| {
            let progress = peers.get(id)?;
            (now > progress.heard + REPLACE_AFTER).then_some((progress.heard, *id))
        });
        unresponsive.min().map(|(_, id)| id)
    }

    fn propose_members(&mut self, members: Vec<MemberRecord>, out: &mut Vec<ReplicaAction>) {
        let is_whole = members.len() >= self.size;
        self.add_entry(ControlCommand::Members { members, is_whole }, out);
        self.advance_commit(out);
    }

    /// Keeps up with replicas that are new.
    fn track_new_members(&mut self, now: Duration) {
        let progress = self.new_progress(now);
        let local_id = self.id;
        let members = self.members.clone();
        if let ReplicaRole::Leader(peers) = &mut self.role {
            for member in members.into_iter().filter(|member| *member != local_id) {
                peers.entry(member).or_insert(progress);
            }
        }
    }

    /// Lets the follower that holds most lead.
    pub(super) fn transfer_leadership(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.send_all(now, out);
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let voters = peers.iter().filter(|(id, _)| self.members.contains(id));
        let best_follower = voters.max_by_key(|(_, peer)| (peer.matched, peer.heard));
        if let Some((id, _)) = best_follower {
            out.push(ReplicaAction::Send {
                to: *id,
                message: ReplicaMessage::Lead {
                    term: self.hard.term,
                },
            });
        }
    }
}
