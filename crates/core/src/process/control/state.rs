//! The replicated state machine to which committed log entries are applied.
//!
//! The state holds the service table with its history, the route table, the
//! members, the idempotency claims, the evacuations and the roll-outs. Applying
//! the same entries in the same order gives the same state on every replica.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::control::evacuation::{
    EvacuationChange, EvacuationOutcome, EvacuationRegistry,
};
use crate::process::control::fence::{ClaimOutcome, ClaimRegistry, ClaimRequest, ExecutionResult};
use crate::process::control::log::ReplicaId;
use crate::process::control::rollout::{RolloutChange, RolloutOutcome, RolloutRegistry};

/// Maximum number of stored outcomes of service table changes. A resent change
/// gets its first outcome again; at 410 changes a day, outcomes are available for
/// more than three weeks.
pub const MAX_OUTCOMES: usize = 10_000;
/// Number of service table versions whose text is retained for the history.
pub const MAX_VERSIONS: usize = 20;
/// Approximate size of a command without its texts, in bytes.
const COMMAND_OVERHEAD_BYTES: usize = 64;

/// A command, the content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// No operation. A new leader appends this entry first, because only an entry of
    /// its own term lets the leader commit older entries.
    Nothing,
    /// A change of the service table, which has a row of settings per service.
    Change {
        /// Identity of the change, chosen by the operator's client.
        change: String,
        /// Table version that the change is based on.
        base: u64,
        /// Who made the change, and why.
        note: String,
        /// The complete new table as CSV, already validated without findings.
        csv: String,
    },
    /// A new version of the route table, which says how requests reach services.
    Route {
        /// The new version number.
        version: u64,
        /// Version that must be current for the change to be accepted, if the
        /// operator gave one; otherwise the highest version wins.
        base: Option<u64>,
        /// The complete route document, already validated, in compressed form.
        text: Vec<u8>,
    },
    /// New members of the control group. A replica uses them as soon as the entry
    /// is in its log, before the commit.
    Members {
        /// All replicas with a vote.
        members: Vec<MemberRecord>,
        /// Whether the group has reached its target size.
        is_whole: bool,
    },
    /// A claim of an idempotency key.
    Claim(ClaimRequest),
    /// The result of a claimed request.
    EndClaim {
        /// The claimed key.
        key: String,
        /// Identity of the request that claimed the key.
        claimant: u64,
        /// The request's result; `None` if the request is known not to have run.
        end: Option<ExecutionResult>,
    },
    /// Takes a failure domain out of use, or puts it back into use.
    Evacuate(EvacuationChange),
    /// Starts a roll-out of a service, or moves one to its next state.
    Rollout(RolloutChange),
}

impl ControlCommand {
    /// Returns whether the command changes state that the group publishes to other
    /// instances.
    pub fn changes_published_state(&self) -> bool {
        matches!(
            self,
            ControlCommand::Change { .. }
                | ControlCommand::Route { .. }
                | ControlCommand::Evacuate(_)
                | ControlCommand::Rollout(_)
        )
    }

    /// Returns the approximate size of the command in bytes.
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

/// Outcome of applying a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command was applied and has no outcome of its own.
    Done,
    /// Outcome of a change of the service table.
    Change(ChangeOutcome),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Outcome of a change of the route table.
    Route(RouteOutcome),
    /// Outcome of taking a failure domain out of use or putting it back.
    Evacuate(EvacuationOutcome),
    /// Outcome of a change of a roll-out.
    Rollout(RolloutOutcome),
}

/// Outcome of a change of the route table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteOutcome {
    /// The new version is current.
    Accepted,
    /// Nothing changed: the current version, given here, is the same or higher.
    Overtaken(u64),
    /// Nothing changed: the current version, given here, is not the one that the
    /// change was based on.
    Conflict(u64),
}

/// A member of the control group, or a learner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identity that the replica drew when its data folder was created.
    pub id: ReplicaId,
    /// Name of the instance that runs the replica.
    pub instance: Box<str>,
    /// Address at which other instances reach the replica.
    pub address: SocketAddr,
}

/// Outcome of a change of the service table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The change is current, as this version.
    Accepted(u64),
    /// Nothing changed: the current version, given here, is not the one that the
    /// change was based on.
    Conflict(u64),
}

/// A version of the service table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersion {
    /// Version number.
    pub version: u64,
    /// Identity of the change that made this version.
    pub change: String,
    /// Who made the change, and why.
    pub note: String,
    /// The table as CSV.
    pub csv: String,
}

/// The replicated state, equal on all replicas that have applied the same entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlState {
    /// Current version of the service table; 0 before the first change.
    version: u64,
    /// The last [`MAX_VERSIONS`] service table versions, oldest first.
    versions: VecDeque<TableVersion>,
    /// Outcomes of service table changes, by the change's identity.
    outcomes: BTreeMap<String, ChangeOutcome>,
    /// Identities in `outcomes`, oldest first; used to evict in that order.
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

    /// Replaces the route table if the version is higher and the base matches.
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

    /// Returns the current version of the route table; 0 before the first.
    pub fn route_version(&self) -> u64 {
        self.route_version
    }

    /// Returns the route table in the compressed form in which it was proposed.
    pub fn route_text(&self) -> &[u8] {
        &self.route_text
    }

    /// Returns the members of the group, if the group records them in its log.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members
    }

    /// Returns whether the group has ever reached its target size.
    pub fn is_founded(&self) -> bool {
        self.is_founded
    }

    /// Returns the registry of failure domains that operators took out of use.
    pub fn evacuations(&self) -> &EvacuationRegistry {
        &self.evacuations
    }

    /// Returns the registry of the services' most recent roll-outs.
    pub fn rollouts(&self) -> &RolloutRegistry {
        &self.rollouts
    }

    /// Returns the revisions of everything that the group publishes: the service
    /// table, the route table, the evacuations and the roll-outs.
    pub(super) fn published_revisions(&self) -> [u64; 4] {
        [
            self.version,
            self.route_version,
            self.evacuations.revision(),
            self.rollouts.revision(),
        ]
    }

    /// Returns the registry of idempotency claims.
    pub fn claims(&self) -> &ClaimRegistry {
        &self.claims
    }

    /// Adds a service table version if the base is the current version. A change
    /// that was applied before gets its first outcome again.
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

    /// Returns the current version of the service table; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the current service table.
    pub fn current(&self) -> Option<&TableVersion> {
        self.versions.back()
    }

    /// Iterates over the retained service table versions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &TableVersion> {
        self.versions.iter()
    }

    /// Returns the number of stored outcomes of service table changes.
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
