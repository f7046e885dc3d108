//! Simulated disk of a control-group replica for tests.

use wheelmast_core::process::control::log::{HardState, LogEntry, LogPosition};
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::state::ControlState;

/// In-memory disk: holds the replica's persisted hard state, snapshot, log entries
/// and commit index.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    pub(crate) hard_state: HardState,
    pub(crate) place: LogPosition,
    pub(crate) state: ControlState,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) commit: u64,
}

impl Disk {
    /// Stores what a persistence action of the replica writes; ignores other actions.
    pub(crate) fn persist_action(&mut self, action: &ReplicaAction) {
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
                let drops_all = *is_installed;
                self.entries
                    .retain(|kept| !drops_all && kept.index > place.index);
            }
            _ => {}
        }
    }
}
