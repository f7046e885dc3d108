//! Changes of the table, as operators make them at any instance.

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

/// Longest time an instance tries to find the leader.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// Pause between two rounds of asking all replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

/// Reaches the control group from any instance.
#[derive(Debug, Clone)]
pub struct ChangeDesk {
    /// The control thread of this instance.
    pub control: RingSender<ControlMessage>,
    /// The other replicas of the control group.
    pub replicas: Vec<PeerLink>,
}

/// What an operator's change came to, or that it is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeResult {
    /// It is decided.
    Decided(TableChangeResult),
    /// No leader was reached: nothing was proposed.
    NoLeader,
    /// It was proposed, and its end was not learned.
    Unknown,
}

impl ChangeDesk {
    /// Applies a change, at whatever replica leads. A change that was decided
    /// before gets its first outcome again.
    pub async fn apply(&self, change: TableChange) -> ChangeResult {
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
        match self.command(&command, APPLY_TIME).await {
            CommandReply::Done(CommandOutcome::Change(outcome)) => self.decided(outcome).await,
            CommandReply::NotLeader => ChangeResult::NoLeader,
            CommandReply::Done(_) | CommandReply::Unknown => ChangeResult::Unknown,
        }
    }

    /// Has a command committed, at whatever replica leads, within `time`. It
    /// may be sent more than once, so the command must be idempotent.
    pub async fn command(&self, command: &ControlCommand, time: Duration) -> CommandReply {
        let until = Instant::now() + time;
        let mut last = CommandReply::NotLeader;
        while Instant::now() < until {
            match self.round(command).await {
                CommandReply::NotLeader => {}
                CommandReply::Unknown => last = CommandReply::Unknown,
                done => return done,
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
        last
    }

    /// Returns the versions of the table that are kept, oldest first.
    pub async fn history(&self) -> Vec<TableVersion> {
        let mut best = match self.ask_own(PeerRequest::AskHistory).await {
            Some(PeerReply::History(history)) => history,
            _ => Vec::new(),
        };
        for peer in &self.replicas {
            if let Ok(PeerReply::History(history)) = peer.ask(PeerRequest::AskHistory).await {
                if newest(&history) > newest(&best) {
                    best = history;
                }
            }
        }
        best
    }

    /// Returns the table in force at this instance.
    pub async fn table(&self) -> Option<TableVersion> {
        match self.ask_own(PeerRequest::AskTable { have: 0 }).await {
            Some(PeerReply::Table(table)) => table,
            _ => None,
        }
    }

    /// Asks this instance, then the other replicas, until one leads.
    async fn round(&self, command: &ControlCommand) -> CommandReply {
        let mut last = CommandReply::NotLeader;
        let own = self.ask_own(PeerRequest::Command(command.clone())).await;
        if let Some(PeerReply::Command(reply)) = own {
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

    async fn decided(&self, outcome: ChangeOutcome) -> ChangeResult {
        ChangeResult::Decided(match outcome {
            ChangeOutcome::Accepted(version) => TableChangeResult::Accepted { version },
            ChangeOutcome::Conflict(version) => {
                let history = self.history().await;
                let stands = history.iter().find(|table| table.version == version);
                TableChangeResult::Conflict {
                    version,
                    csv: stands.map(|table| table.csv.clone()).unwrap_or_default(),
                }
            }
        })
    }

    async fn ask_own(&self, request: PeerRequest) -> Option<PeerReply> {
        let (reply, answer) = oneshot::channel();
        self.control
            .put(ControlMessage::Peer { request, reply })
            .await;
        answer.await.ok()
    }
}

/// Returns the newest version of a history; 0 for none.
fn newest(history: &[TableVersion]) -> u64 {
    history.last().map_or(0, |table| table.version)
}
