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
const DROP_LEARNER: Duration = Duration::from_secs(5);
/// Entries that a learner may lack when it gets its vote. The entry that
/// names it is committed only once a quorum with it holds everything before.
const LEARNER_LAG: u64 = 4;

impl ReplicaMachine {
    /// Tells whether this replica has a vote.
    pub fn is_voter(&self) -> bool {
        self.members.contains(&self.id)
    }

    /// Tells whether this replica asks to be kept up to date: it has no vote, or
    /// it hears no leader and may have been replaced while it was away.
    pub fn asks_to_learn(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// Returns the replicas, where the log keeps them.
    pub fn member_records(&self) -> &[MemberRecord] {
        &self.member_records
    }

    /// Returns the replicas without a vote that the leader keeps up to date.
    pub fn learners(&self) -> impl Iterator<Item = &MemberRecord> {
        self.learners.values()
    }

    /// Finds the newest entry that names the replicas.
    pub(super) fn find_members(&mut self) {
        let base = self.log.base().index;
        let last = self.log.last().index;
        let newest = (base + 1..=last).rev().find_map(|index| {
            let entry = self.log.get(index)?;
            match &entry.command {
                ControlCommand::Members { members, .. } => Some((index, members.clone())),
                _ => None,
            }
        });
        let (index, member_records) = newest.unwrap_or((base, self.state.members().to_vec()));
        self.members = if member_records.is_empty() {
            self.configured_members.clone()
        } else {
            member_records.iter().map(|record| record.id).collect()
        };
        self.member_records = member_records;
        self.members_index = index;
    }

    /// Founds the group with this replica alone; the others join it.
    pub(super) fn found(&mut self, record: MemberRecord, out: &mut Vec<ReplicaAction>) {
        let is_empty = self.log.last().index == 0 && self.members.is_empty();
        if !is_empty || self.hard_state.term > 0 {
            return;
        }
        self.hard_state = HardState {
            term: 1,
            vote: Some(self.id),
        };
        out.push(ReplicaAction::PersistHardState(self.hard_state));
        self.role = ReplicaRole::Leader(Default::default());
        self.leader = Some(self.id);
        out.push(ReplicaAction::RoleChanged {
            term: self.hard_state.term,
            leads: true,
        });
        self.name_members(vec![record], out);
    }

    /// Takes note of a replica that asks to be kept up to date.
    pub(super) fn take_learner(&mut self, record: MemberRecord, now: Duration) {
        if self.target_size == 0 || self.members.contains(&record.id) {
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
    pub(super) fn mend_group(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.drop_learners(now);
        let is_settled = self.members_index <= self.commit
            && self.log.term_at(self.commit) == Some(self.hard_state.term);
        if self.target_size == 0 || (self.safety_checks.changes_one_member && !is_settled) {
            return;
        }
        if let Some(members) = self.next_members(now) {
            self.name_members(members, out);
            self.join_peers(now);
        }
    }

    fn drop_learners(&mut self, now: Duration) {
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        let members = &self.members;
        peers.retain(|id, peer| members.contains(id) || now < peer.last_seen_at + DROP_LEARNER);
        self.learners
            .retain(|id, _| peers.contains_key(id) && !members.contains(id));
    }

    fn next_members(&self, now: Duration) -> Option<Vec<MemberRecord>> {
        let ready = self.ready_learner(now);
        if let Some(learner) = ready {
            let former = self
                .member_records
                .iter()
                .position(|record| record.instance == learner.instance);
            if let Some(former) = former {
                // The instance itself came back with an empty disk: its former
                // identity will never vote again, so that one step is safe.
                let mut members = self.member_records.clone();
                members[former] = learner.clone();
                return Some(members);
            }
            let is_short = self.member_records.len() < self.target_size;
            if is_short || self.lost_member(now).is_some() {
                let mut members = self.member_records.clone();
                members.push(learner.clone());
                return Some(members);
            }
        }
        if self.member_records.len() <= self.target_size {
            return None;
        }
        let surplus = self.lost_member(now)?;
        let keeps = self
            .member_records
            .iter()
            .filter(|record| record.id != surplus);
        Some(keeps.cloned().collect())
    }

    /// Returns a learner that holds nearly all and answers.
    fn ready_learner(&self, now: Duration) -> Option<&MemberRecord> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let last = self.log.last().index;
        self.learners.values().find(|learner| {
            let progress = peers.get(&learner.id);
            progress.is_some_and(|progress| {
                progress.match_index > 0
                    && progress.match_index + LEARNER_LAG >= last
                    && now < progress.last_seen_at + self.timing.election
            })
        })
    }

    /// Returns the member that has been silent longest, if too long.
    fn lost_member(&self, now: Duration) -> Option<ReplicaId> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let silent = self.members.iter().filter_map(|id| {
            let progress = peers.get(id)?;
            (now > progress.last_seen_at + REPLACE_AFTER).then_some((progress.last_seen_at, *id))
        });
        silent.min().map(|(_, id)| id)
    }

    fn name_members(&mut self, members: Vec<MemberRecord>, out: &mut Vec<ReplicaAction>) {
        let is_whole = members.len() >= self.target_size;
        self.append_command(ControlCommand::Members { members, is_whole }, out);
        self.advance_commit(out);
    }

    /// Keeps up with replicas that are new.
    fn join_peers(&mut self, now: Duration) {
        let progress = self.new_progress(now);
        let own = self.id;
        let members = self.members.clone();
        if let ReplicaRole::Leader(peers) = &mut self.role {
            for member in members.into_iter().filter(|member| *member != own) {
                peers.entry(member).or_insert(progress);
            }
        }
    }

    /// Lets the follower that holds most lead.
    pub(super) fn hand_over(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.replicate_to_all(now, out);
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let voters = peers.iter().filter(|(id, _)| self.members.contains(id));
        let best = voters.max_by_key(|(_, peer)| (peer.match_index, peer.last_seen_at));
        if let Some((id, _)) = best {
            out.push(ReplicaAction::Send {
                to: *id,
                message: ReplicaMessage::Lead {
                    term: self.hard_state.term,
                },
            });
        }
    }
}
