//! Membership of the control group: bootstrap, learners, and changes of one
//! member at a time, as in Raft.
//!
//! A replica draws a random identity when its data folder is created. A replica
//! that lost its disk therefore counts as a new one: it joins as a learner
//! (without a vote), and becomes a voter only once it holds everything that a
//! quorum acknowledged.

use std::time::Duration;

use crate::process::control::log::{HardState, ReplicaId};
use crate::process::control::message::{ReplicaAction, ReplicaMessage};
use crate::process::control::replica::{ReplicaMachine, ReplicaRole};
use crate::process::control::state::{ControlCommand, MemberRecord};

/// Time without contact after which the leader replaces a voter, if a learner is
/// caught up.
const REPLACE_AFTER: Duration = Duration::from_millis(2500);
/// Time without contact after which the leader drops a learner.
const DROP_LEARNER_AFTER: Duration = Duration::from_secs(5);
/// Maximum number of log entries that a learner may lack when it becomes a voter.
/// This is safe because the membership entry that adds the learner is committed
/// only once a quorum of the new members holds all earlier entries.
const MAX_LEARNER_LAG_ENTRIES: u64 = 4;

impl ReplicaMachine {
    /// Returns whether this replica has a vote.
    pub fn is_voter(&self) -> bool {
        self.members.contains(&self.id)
    }

    /// Returns whether this replica should ask the leader to replicate the log to
    /// it as to a learner: it has no vote, or it knows no leader and may have been
    /// replaced while it was unreachable.
    pub fn should_join_as_learner(&self) -> bool {
        !self.is_voter() || self.leader.is_none()
    }

    /// Returns the members of the group as recorded in the log. Empty for a group
    /// whose members are configured at start instead.
    pub fn member_records(&self) -> &[MemberRecord] {
        &self.member_records
    }

    /// Returns the replicas without a vote to which this leader replicates the log.
    pub fn learners(&self) -> impl Iterator<Item = &MemberRecord> {
        self.learners.values()
    }

    /// Sets the members from the newest membership entry in the log, else from the
    /// snapshot, else from the configuration.
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
        let (index, member_records) =
            newest_membership.unwrap_or((base, self.state.members().to_vec()));
        self.members = if member_records.is_empty() {
            self.configured_members.clone()
        } else {
            member_records.iter().map(|record| record.id).collect()
        };
        self.member_records = member_records;
        self.members_index = index;
    }

    /// Bootstraps the group with this replica as its only member and leader; other
    /// replicas join later. Does nothing if the replica has a log, members or a term.
    pub(super) fn bootstrap(&mut self, record: MemberRecord, out: &mut Vec<ReplicaAction>) {
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
        self.propose_members(vec![record], out);
    }

    /// Adds a learner: a replica that asks for the log but has no vote. Only a
    /// leader of a group with recorded members does so.
    pub(super) fn add_learner(&mut self, record: MemberRecord, now: Duration) {
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

    /// Proposes a change of one member if that brings the group closer to its target
    /// size with reachable members. Waits until the previous change is committed,
    /// and until an entry of the current term is.
    pub(super) fn reconcile_members(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.drop_unresponsive_learners(now);
        let is_previous_change_committed = self.members_index <= self.commit
            && self.log.term_at(self.commit) == Some(self.hard_state.term);
        if self.target_size == 0
            || (self.safety_checks.changes_one_member && !is_previous_change_committed)
        {
            return;
        }
        if let Some(members) = self.plan_member_change(now) {
            self.propose_members(members, out);
            self.track_new_members(now);
        }
    }

    /// Drops learners without contact for [`DROP_LEARNER_AFTER`], and those that
    /// have become members.
    fn drop_unresponsive_learners(&mut self, now: Duration) {
        let ReplicaRole::Leader(peers) = &mut self.role else {
            return;
        };
        let members = &self.members;
        peers.retain(|id, peer| {
            members.contains(id) || now < peer.last_seen_at + DROP_LEARNER_AFTER
        });
        self.learners
            .retain(|id, _| peers.contains_key(id) && !members.contains(id));
    }

    /// Returns the members after the next change, or `None` if none is needed.
    fn plan_member_change(&self, now: Duration) -> Option<Vec<MemberRecord>> {
        let caught_up = self.find_caught_up_learner(now);
        if let Some(learner) = caught_up {
            let former_position = self
                .member_records
                .iter()
                .position(|record| record.instance == learner.instance);
            if let Some(former_position) = former_position {
                // The same instance came back with an empty disk. Its former
                // identity will never vote again, so replacing the member in
                // one step is safe.
                let mut members = self.member_records.clone();
                members[former_position] = learner.clone();
                return Some(members);
            }
            let is_below_target_size = self.member_records.len() < self.target_size;
            if is_below_target_size || self.find_unresponsive_member(now).is_some() {
                let mut members = self.member_records.clone();
                members.push(learner.clone());
                return Some(members);
            }
        }
        if self.member_records.len() <= self.target_size {
            return None;
        }
        let removed_id = self.find_unresponsive_member(now)?;
        let remaining = self
            .member_records
            .iter()
            .filter(|record| record.id != removed_id);
        Some(remaining.cloned().collect())
    }

    /// Returns a learner that lacks at most [`MAX_LEARNER_LAG_ENTRIES`] and answered
    /// within the election time-out.
    fn find_caught_up_learner(&self, now: Duration) -> Option<&MemberRecord> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let last = self.log.last().index;
        self.learners.values().find(|learner| {
            let progress = peers.get(&learner.id);
            progress.is_some_and(|progress| {
                progress.match_index > 0
                    && progress.match_index + MAX_LEARNER_LAG_ENTRIES >= last
                    && now < progress.last_seen_at + self.timing.election
            })
        })
    }

    /// Returns the member without contact for the longest time, if that exceeds
    /// [`REPLACE_AFTER`].
    fn find_unresponsive_member(&self, now: Duration) -> Option<ReplicaId> {
        let ReplicaRole::Leader(peers) = &self.role else {
            return None;
        };
        let unresponsive = self.members.iter().filter_map(|id| {
            let progress = peers.get(id)?;
            (now > progress.last_seen_at + REPLACE_AFTER).then_some((progress.last_seen_at, *id))
        });
        unresponsive.min().map(|(_, id)| id)
    }

    /// Appends a membership entry to the log.
    fn propose_members(&mut self, members: Vec<MemberRecord>, out: &mut Vec<ReplicaAction>) {
        let is_whole = members.len() >= self.target_size;
        self.append_command(ControlCommand::Members { members, is_whole }, out);
        self.advance_commit(out);
    }

    /// Starts to track the replication progress of new members.
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

    /// Transfers leadership: asks the voter with the longest matching log (the most
    /// recently seen one, if several are equal) to start an election at once.
    pub(super) fn transfer_leadership(&mut self, now: Duration, out: &mut Vec<ReplicaAction>) {
        self.replicate_to_all(now, out);
        let ReplicaRole::Leader(peers) = &self.role else {
            return;
        };
        let voters = peers.iter().filter(|(id, _)| self.members.contains(id));
        let best_follower = voters.max_by_key(|(_, peer)| (peer.match_index, peer.last_seen_at));
        if let Some((id, _)) = best_follower {
            out.push(ReplicaAction::Send {
                to: *id,
                message: ReplicaMessage::Lead {
                    term: self.hard_state.term,
                },
            });
        }
    }
}
