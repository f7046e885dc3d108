//! A client of the control group. It sends commands, such as changes of the
//! service table, to the leader from any instance, and reads the table and its
//! history.

use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use wheelmast_core::prelude::ServiceTable;
use wheelmast_core::process::control::state::{
    ChangeOutcome, CommandOutcome, ControlCommand, TableVersion,
};
use wheelmast_wire::operator::{TableChange, TableChangeResult};
use wheelmast_wire::peer::{CommandReply, PeerReply, PeerRequest};

use crate::connection::peer::PeerLink;
use crate::process::control::ControlMessage;
use crate::ring::RingSender;

/// Time within which a change must reach the leader and be decided.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between two rounds of trying all replicas.
const ROUND_INTERVAL: Duration = Duration::from_millis(60);

/// A client that reaches the control group from any instance.
#[derive(Debug, Clone)]
pub struct ControlClient {
    /// The ring to the control thread of this instance.
    pub control: RingSender<ControlMessage>,
    /// The other replicas of the control group.
    pub replicas: Vec<PeerLink>,
}

/// The result of an operator's change of the service table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeResult {
    /// The control group accepted or rejected the change.
    Decided(TableChangeResult),
    /// No leader was reached, so the change was not proposed.
    NoLeader,
    /// The change may have been proposed, but its result was not received.
    Unknown,
}

impl ControlClient {
    /// Proposes a change of the service table to the leader. A change id that
    /// was decided before gets its first result again.
    pub async fn apply_change(&self, change: TableChange) -> ChangeResult {
        if let Err(findings) = ServiceTable::parse(&change.csv, 1) {
            let findings = findings.items().iter().map(ToString::to_string);
            return ChangeResult::Decided(TableChangeResult::Rejected {
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

    /// Sends a command to the leader, whichever replica that is, and retries
    /// until the command is committed or `time` has passed. The command may be
    /// sent more than once, so it must be idempotent.
    pub async fn commit_command(&self, command: &ControlCommand, time: Duration) -> CommandReply {
        let deadline = Instant::now() + time;
        let mut last_reply = CommandReply::NotLeader;
        while Instant::now() < deadline {
            match self.try_replicas(command).await {
                CommandReply::NotLeader => {}
                CommandReply::Unknown => last_reply = CommandReply::Unknown,
                done => return done,
            }
            tokio::time::sleep(ROUND_INTERVAL).await;
        }
        last_reply
    }

    /// Returns the stored versions of the service table, oldest first, from the
    /// reachable replica with the newest version.
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

    /// Returns the service table that this instance uses.
    pub async fn fetch_table(&self) -> Option<TableVersion> {
        match self.send_to_local(PeerRequest::AskTable { have: 0 }).await {
            Some(PeerReply::Table(table)) => table,
            _ => None,
        }
    }

    /// Sends the command to this instance and then to the other replicas, one
    /// after the other, until one of them is the leader.
    async fn try_replicas(&self, command: &ControlCommand) -> CommandReply {
        let mut last_reply = CommandReply::NotLeader;
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
                // The replica may have proposed the command before its reply
                // was lost.
                _ => last_reply = CommandReply::Unknown,
            }
        }
        last_reply
    }

    /// Converts a committed outcome. A conflict includes the text of the
    /// version that the change conflicts with.
    async fn to_change_result(&self, outcome: ChangeOutcome) -> ChangeResult {
        ChangeResult::Decided(match outcome {
            ChangeOutcome::Accepted(version) => TableChangeResult::Accepted { version },
            ChangeOutcome::Conflict(version) => {
                let history = self.fetch_history().await;
                let current = history.iter().find(|table| table.version == version);
                TableChangeResult::Conflict {
                    version,
                    csv: current.map(|table| table.csv.clone()).unwrap_or_default(),
                }
            }
        })
    }

    /// Sends a request to the control thread of this instance; `None` if that
    /// thread has ended.
    async fn send_to_local(&self, request: PeerRequest) -> Option<PeerReply> {
        let (reply, reply_receiver) = oneshot::channel();
        self.control
            .put(ControlMessage::Peer { request, reply })
            .await;
        reply_receiver.await.ok()
    }
}

/// Returns the newest version number in `history`; 0 if it is empty.
fn newest_version(history: &[TableVersion]) -> u64 {
    history.last().map_or(0, |table| table.version)
}
