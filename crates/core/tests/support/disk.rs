//! What a replica's disk has kept.

use wheelmast_core::process::control::log::{HardState, LogEntry, LogPosition};
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::state::ControlState;

/// A disk that keeps what it is told.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    pub(crate) hard_state: HardState,
    pub(crate) place: LogPosition,
    pub(crate) state: ControlState,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) commit: u64,
}

impl Disk {
    pub(crate) fn keep(&mut self, action: &ReplicaAction) {
        match action {
            ReplicaAction::PersistHardState(hard_state) => self.hard_state = *hard_state,
            ReplicaAction::PersistCommitIndex(commit) => self.commit = *commit,
            ReplicaAction::PersistEntry(entry) => {
                self.entries.retain(|kept| kept.index < entry.index);
                self.entries.push(entry.clone());
            }
            ReplicaAction::PersistSnapshot {
                place,
                state,
                is_installed,
            } => {
                self.place = *place;
                self.state = (**state).clone();
                let all = *is_installed;
                self.entries.retain(|kept| !all && kept.index > place.index);
            }
            _ => {}
        }
    }
}
