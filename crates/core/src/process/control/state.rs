//! What the log is applied to: the table, its history, and the outcomes of
//! changes. The same entries give the same state on every replica.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::control::evacuation::{
    EvacuationChange, EvacuationOutcome, EvacuationRegistry,
};
use crate::process::control::fence::{ClaimOutcome, ClaimRegistry, ClaimRequest, ExecutionResult};
use crate::process::control::log::ReplicaId;
use crate::process::control::rollout::{RolloutChange, RolloutOutcome, RolloutRegistry};

/// Outcomes of changes that are kept, so that a resent change gets its first
/// outcome. At 410 changes a day this is more than three weeks.
pub const MAX_OUTCOMES: usize = 10_000;
/// Versions whose text is kept for the history.
pub const MAX_VERSIONS: usize = 20;
/// Bytes that a command takes besides its texts, about.
const COMMAND_OVERHEAD_BYTES: usize = 64;

/// What a log entry does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Nothing; a new leader's first entry, which lets it commit older ones.
    Nothing,
    /// A change of the table.
    Change {
        /// Identity of the change, chosen by the operator's client.
        change: String,
        /// Version it is based on.
        base: u64,
        /// Who made it, and why.
        note: String,
        /// The whole new table as CSV, without findings.
        csv: String,
    },
    /// A change of the route table.
    Route {
        /// Its version.
        version: u64,
        /// Version it must be based on, if the operator says so; without, the
        /// highest version wins.
        base: Option<u64>,
        /// The whole document, checked before and packed.
        text: Vec<u8>,
    },
    /// Who the replicas are; in force as soon as it is in a replica's log.
    Members {
        /// All that vote.
        members: Vec<MemberRecord>,
        /// Whether the group has the size it needs.
        is_whole: bool,
    },
    /// A claim on an idempotency key.
    Claim(ClaimRequest),
    /// The end of a claim; `None` if the request is known not to have run.
    EndClaim {
        /// The key.
        key: String,
        /// Who claimed it.
        claimant: u64,
        /// What became of the request.
        end: Option<ExecutionResult>,
    },
    /// A failure domain is taken out of use, or back into use.
    Evacuate(EvacuationChange),
    /// A roll-out of a service begins or goes on.
    Rollout(RolloutChange),
}

impl ControlCommand {
    /// Tells whether the command is for something that instances put in force.
    pub fn changes_published_state(&self) -> bool {
        matches!(
            self,
            ControlCommand::Change { .. }
                | ControlCommand::Route { .. }
                | ControlCommand::Evacuate(_)
                | ControlCommand::Rollout(_)
        )
    }

    /// Returns about how many bytes the command takes.
    pub fn bytes(&self) -> usize {
        let text = match self {
            ControlCommand::Change { note, csv, .. } => note.len() + csv.len(),
            ControlCommand::Route { text, .. } => text.len(),
            ControlCommand::EndClaim { end: Some(end), .. } => end.bytes(),
            ControlCommand::Evacuate(change) => change.domain.len(),
            ControlCommand::Rollout(RolloutChange::Start {
                service, target, ..
            }) => service.len() + target.len(),
            _ => 0,
        };
        COMMAND_OVERHEAD_BYTES + text
    }
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// Nothing to tell.
    Done,
    /// What came of a change.
    Change(ChangeOutcome),
    /// The answer to a claim.
    Claim(ClaimOutcome),
    /// What came of a change of the route table.
    Route(RouteOutcome),
    /// What came of a change of a failure domain's use.
    Evacuate(EvacuationOutcome),
    /// What came of a change of a roll-out.
    Rollout(RolloutOutcome),
}

/// What came of a change of the route table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteOutcome {
    /// It is in force.
    Accepted,
    /// This version, not a lower one, was in force already; nothing changed.
    Overtaken(u64),
    /// It was based on another version than this, which is in force.
    Conflict(u64),
}

/// A replica of the control group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its identity.
    pub id: ReplicaId,
    /// Name of its instance.
    pub instance: Box<str>,
    /// Where other instances reach it.
    pub address: SocketAddr,
}

/// What came of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// It is in force as this version.
    Accepted(u64),
    /// Another change stood when it was applied, as this version.
    Conflict(u64),
}

/// A version of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersion {
    /// Its number.
    pub version: u64,
    /// The change that made it.
    pub change: String,
    /// Who made it, and why.
    pub note: String,
    /// The table as CSV.
    pub csv: String,
}

/// The state that all replicas share.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    version: u64,
    versions: VecDeque<TableVersion>,
    outcomes: BTreeMap<String, ChangeOutcome>,
    order: VecDeque<String>,
    claims: ClaimRegistry,
    route_version: u64,
    route_text: Vec<u8>,
    members: Vec<MemberRecord>,
    is_founded: bool,
    evacuations: EvacuationRegistry,
    rollouts: RolloutRegistry,
}

impl ControlState {
    /// Applies a command and returns its outcome.
    pub fn apply(&mut self, command: &ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::Nothing => CommandOutcome::Done,
            ControlCommand::Change {
                change,
                base,
                note,
                csv,
            } => CommandOutcome::Change(self.change(change, *base, note, csv)),
            ControlCommand::Route {
                version,
                base,
                text,
            } => CommandOutcome::Route(self.route(*version, *base, text)),
            ControlCommand::Members { members, is_whole } => {
                self.members.clone_from(members);
                self.is_founded |= is_whole;
                CommandOutcome::Done
            }
            ControlCommand::Claim(request) => CommandOutcome::Claim(self.claims.claim(request)),
            ControlCommand::EndClaim { key, claimant, end } => {
                self.claims.end_claim(key, *claimant, end.clone());
                CommandOutcome::Done
            }
            ControlCommand::Evacuate(change) => {
                CommandOutcome::Evacuate(self.evacuations.apply(change))
            }
            ControlCommand::Rollout(change) => CommandOutcome::Rollout(self.rollouts.apply(change)),
        }
    }

    fn route(&mut self, version: u64, base: Option<u64>, text: &[u8]) -> RouteOutcome {
        if base.is_some_and(|base| base != self.route_version) {
            return RouteOutcome::Conflict(self.route_version);
        }
        if version <= self.route_version {
            return RouteOutcome::Overtaken(self.route_version);
        }
        self.route_version = version;
        self.route_text = text.to_vec();
        RouteOutcome::Accepted
    }

    /// Returns the version of the route table; 0 before the first.
    pub fn route_version(&self) -> u64 {
        self.route_version
    }

    /// Returns the route table, packed as it was proposed.
    pub fn route_text(&self) -> &[u8] {
        &self.route_text
    }

    /// Returns the replicas, if the group keeps them in its log.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members
    }

    /// Tells whether the group ever had the size it needs.
    pub fn is_founded(&self) -> bool {
        self.is_founded
    }

    /// Returns the failure domains out of use.
    pub fn evacuations(&self) -> &EvacuationRegistry {
        &self.evacuations
    }

    /// Returns the last roll-outs of the services.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.rollouts
    }

    /// Returns how far all that the group publishes has come: the table, the
    /// route table, the failure domains out of use, and the roll-outs.
    pub(super) fn published_revisions(&self) -> [u64; 4] {
        [
            self.version,
            self.route_version,
            self.evacuations.revision(),
            self.rollouts.revision(),
        ]
    }

    /// Returns the claims.
    pub fn claims(&self) -> &ClaimRegistry {
        &self.claims
    }

    fn change(&mut self, change: &str, base: u64, note: &str, csv: &str) -> ChangeOutcome {
        if let Some(outcome) = self.outcomes.get(change) {
            return *outcome;
        }
        let outcome = if base == self.version {
            self.version += 1;
            self.push_version(TableVersion {
                version: self.version,
                change: change.to_string(),
                note: note.to_string(),
                csv: csv.to_string(),
            });
            ChangeOutcome::Accepted(self.version)
        } else {
            ChangeOutcome::Conflict(self.version)
        };
        self.record_outcome(change, outcome);
        outcome
    }

    /// Returns the version in force; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the table in force.
    pub fn current(&self) -> Option<&TableVersion> {
        self.versions.back()
    }

    /// Returns the kept versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &TableVersion> {
        self.versions.iter()
    }

    /// Returns the number of outcomes kept.
    pub fn outcome_count(&self) -> usize {
        self.outcomes.len()
    }

    fn push_version(&mut self, version: TableVersion) {
        self.versions.push_back(version);
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }

    fn record_outcome(&mut self, change: &str, outcome: ChangeOutcome) {
        self.outcomes.insert(change.to_string(), outcome);
        self.order.push_back(change.to_string());
        if self.order.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }
}
