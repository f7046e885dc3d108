//! Changes of the table, as operators make them at any instance.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use wheelmast_core::prelude::ServiceTable;
use wheelmast_core::process::control::state::{
    ChangeOutcome, CommandOutcome, ControlCommand, TableVersion,
};
use wheelmast_wire::operator::{ApplyBody, TableChange};
use wheelmast_wire::peer::{CommandReply, PeerReply, PeerRequest};

use crate::connection::peer::PeerLink;
use crate::process::control::ControlMessage;
use crate::ring::RingSender;

/// Longest time an instance tries to find the leader.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two rounds of asking all replicas.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// Reaches the control group from any instance.
#[derive(Debug, Clone)]
pub struct ControlClient {
    /// The control thread of this instance.
    pub control: RingSender<ControlMessage>,
    /// The other replicas of the control group.
    pub replicas: Vec<PeerLink>,
}

/// What an operator's change came to, or that it is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeResult {
    /// It is decided.
    Decided(ApplyBody),
    /// No leader was reached: nothing was proposed.
    NoLeader,
    /// It was proposed, and its end was not learned.
    Unknown,
}

impl ControlClient {
    /// Applies a change, at whatever replica leads. A change that was decided
    /// before gets its first outcome again.
    pub async fn apply_change(&self, change: TableChange) -> ChangeResult {
        if let Err(findings) = ServiceTable::parse(&change.csv, 1) {
            let findings = findings.items().iter().map(ToString::to_string);
            return ChangeResult::Decided(ApplyBody::Rejected {
                findings: findings.collect(),
            });
        }
        let command = ControlCommand::Change {
            change: change.change,
            base: change.base,
            note: change.note,
            csv: change.csv,
        };
        match self.commit_command(&command, CHANGE_TIMEOUT).await {
            CommandReply::Done(CommandOutcome::Change(outcome)) => {
                self.to_change_result(outcome).await
            }
            CommandReply::NotLeader => ChangeResult::NoLeader,
            CommandReply::Done(_) | CommandReply::Unknown => ChangeResult::Unknown,
        }
    }

    /// Has a command committed, at whatever replica leads, within `time`. It
    /// may be sent more than once, so the command must be idempotent.
    pub async fn commit_command(&self, command: &ControlCommand, time: Duration) -> CommandReply {
        let deadline = Instant::now() + time;
        let mut last = CommandReply::NotLeader;
        while Instant::now() < deadline {
            match self.try_replicas(command).await {
                CommandReply::NotLeader => {}
                CommandReply::Unknown => last = CommandReply::Unknown,
                done => return done,
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        last
    }

    /// Returns the versions of the table that are kept, oldest first.
    pub async fn fetch_history(&self) -> Vec<TableVersion> {
        let mut newest_history = match self.send_to_local(PeerRequest::AskHistory).await {
            Some(PeerReply::History(history)) => history,
            _ => Vec::new(),
        };
        for peer in &self.replicas {
            if let Ok(PeerReply::History(history)) = peer.ask(PeerRequest::AskHistory).await {
                if newest_version(&history) > newest_version(&newest_history) {
                    newest_history = history;
                }
            }
        }
        newest_history
    }

    /// Returns the table in force at this instance.
    pub async fn fetch_table(&self) -> Option<TableVersion> {
        match self.send_to_local(PeerRequest::AskTable { have: 0 }).await {
            Some(PeerReply::Table(table)) => table,
            _ => None,
        }
    }

    /// Asks this instance, then the other replicas, until one leads.
    async fn try_replicas(&self, command: &ControlCommand) -> CommandReply {
        let mut last = CommandReply::NotLeader;
        let local_reply = self
            .send_to_local(PeerRequest::Command(command.clone()))
            .await;
        if let Some(PeerReply::Command(reply)) = local_reply {
            if reply != CommandReply::NotLeader {
                return reply;
            }
        }
        for peer in &self.replicas {
            match peer.ask(PeerRequest::Command(command.clone())).await {
                Ok(PeerReply::Command(CommandReply::NotLeader)) => {}
                Ok(PeerReply::Command(reply)) => return reply,
                // It may have been proposed there before the answer was lost.
                _ => last = CommandReply::Unknown,
            }
        }
        last
    }

    async fn to_change_result(&self, outcome: ChangeOutcome) -> ChangeResult {
        ChangeResult::Decided(match outcome {
            ChangeOutcome::Accepted(version) => ApplyBody::Accepted { version },
            ChangeOutcome::Conflict(version) => {
                let history = self.fetch_history().await;
                let current = history.iter().find(|table| table.version == version);
                ApplyBody::Conflict {
                    version,
                    csv: current.map(|table| table.csv.clone()).unwrap_or_default(),
                }
            }
        })
    }

    async fn send_to_local(&self, request: PeerRequest) -> Option<PeerReply> {
        let (reply, answer) = oneshot::channel();
        self.control
            .put(ControlMessage::Peer { request, reply })
            .await;
        answer.await.ok()
    }
}

/// Returns the newest version of a history; 0 for none.
fn newest_version(history: &[TableVersion]) -> u64 {
    history.last().map_or(0, |table| table.version)
}
