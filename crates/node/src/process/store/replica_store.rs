//! What a control replica keeps.

use std::fs::{File, OpenOptions};
use std::io::{Seek, SeekFrom, Write};

use anyhow::{bail, Context};
use serde::de::DeserializeOwned;
use serde::Serialize;
use wheelmast_core::process::control::evacuation::EvacuationRegistry;
use wheelmast_core::process::control::log::{HardState, LogEntry, LogPosition};
use wheelmast_core::process::control::message::ReplicaAction;
use wheelmast_core::process::control::rollout::RolloutRegistry;
use wheelmast_core::process::control::state::ControlState;
use wheelmast_wire::peer::{decode, encode};

use crate::process::store::folder::{log_file_name, DataFolder};
use crate::process::store::record::{append_record, read_records, RecordKind, FILE_HEADER};

/// What a replica has kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The last entry the snapshot includes.
    pub snapshot_position: LogPosition,
    /// The snapshot.
    pub state: ControlState,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
    /// The commit index.
    pub commit: u64,
}

impl PersistedState {
    fn apply_entry(&mut self, entry: LogEntry) {
        // Mostly it goes at the end; a new leader may replace the last ones.
        while self
            .entries
            .last()
            .is_some_and(|last| last.index >= entry.index)
        {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    fn apply_snapshot(&mut self, place: LogPosition, state: ControlState, is_installed: bool) {
        self.snapshot_position = place;
        self.state = state;
        self.commit = self.commit.max(place.index);
        if is_installed {
            self.entries.clear();
        } else {
            self.entries.retain(|entry| entry.index > place.index);
        }
    }

    fn apply_record(&mut self, kind: RecordKind, body: &[u8]) -> anyhow::Result<()> {
        match kind {
            RecordKind::HardState => self.hard_state = decode_record(body)?,
            RecordKind::Entry => self.apply_entry(decode_record(body)?),
            RecordKind::Commit => self.commit = decode_record(body)?,
            RecordKind::BatchEnd => {}
            RecordKind::Snapshot | RecordKind::InstalledSnapshot => {
                let (place, state) = decode_snapshot(body)?;
                self.apply_snapshot(place, state, kind == RecordKind::InstalledSnapshot);
            }
        }
        Ok(())
    }
}

fn decode_record<T: DeserializeOwned>(body: &[u8]) -> anyhow::Result<T> {
    decode(body).context("could not read a record of good checksum")
}

/// Reads a snapshot. One that an earlier program wrote lacks what is kept at its
/// end since, and that was empty then.
fn decode_snapshot(body: &[u8]) -> anyhow::Result<(LogPosition, ControlState)> {
    let evacuations = encode(&EvacuationRegistry::default())?;
    let rollouts = encode(&RolloutRegistry::default())?;
    let from_evacuations = [&*evacuations, &rollouts].concat();
    decode_record(body).or_else(|error| {
        let mut ends = [rollouts, from_evacuations].into_iter();
        let found = ends.find_map(|end| decode_record(&[body, &end].concat()).ok());
        found.ok_or(error)
    })
}

/// The log file of a replica, open for appending.
#[derive(Debug)]
pub struct ReplicaStore {
    folder: DataFolder,
    log_number: u64,
    file: File,
    persisted_state: PersistedState,
    buffer: Vec<u8>,
    /// Syncs made, for measurements.
    sync_count: u64,
}

impl ReplicaStore {
    /// Opens what a folder holds. A torn tail is cut and logged.
    ///
    /// # Errors
    ///
    /// Fails on damage, with file and offset.
    pub fn open(folder: DataFolder) -> anyhow::Result<ReplicaStore> {
        let log_numbers = folder.list_log_numbers()?;
        let Some(log_number) = log_numbers.last().copied() else {
            return ReplicaStore::create_log(folder);
        };
        let path = folder.path.join(log_file_name(log_number));
        let bytes =
            std::fs::read(&path).with_context(|| format!("could not read {}", path.display()))?;
        let found = match read_records(&bytes) {
            Ok(found) => found,
            Err(damage) => bail!(
                "could not use {}: {damage}; the replica must not go on with it: restore the \
                 file, or replace the replica",
                path.display()
            ),
        };
        let mut persisted_state = PersistedState::default();
        for record in &found.records {
            persisted_state
                .apply_record(record.kind, record.body)
                .with_context(|| {
                    format!(
                        "could not use {}: record at offset {}",
                        path.display(),
                        record.offset
                    )
                })?;
        }
        let mut file = OpenOptions::new().write(true).open(&path)?;
        if found.valid_length < bytes.len() {
            tracing::warn!(
                "store: torn tail of {} bytes cut at offset {} of {}",
                bytes.len() - found.valid_length,
                found.valid_length,
                path.display()
            );
            file.set_len(found.valid_length as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::End(0))?;
        // Left behind by a crash between two steps of a compaction.
        for old in &log_numbers[..log_numbers.len() - 1] {
            std::fs::remove_file(folder.path.join(log_file_name(*old)))?;
        }
        Ok(ReplicaStore {
            folder,
            log_number,
            file,
            persisted_state,
            buffer: Vec::new(),
            sync_count: 0,
        })
    }

    fn create_log(folder: DataFolder) -> anyhow::Result<ReplicaStore> {
        let log_number = 1;
        folder.replace_file(&log_file_name(log_number), FILE_HEADER)?;
        let path = folder.path.join(log_file_name(log_number));
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.seek(SeekFrom::End(0))?;
        Ok(ReplicaStore {
            folder,
            log_number,
            file,
            persisted_state: PersistedState::default(),
            buffer: Vec::new(),
            sync_count: 0,
        })
    }

    /// Returns what is kept.
    pub fn persisted_state(&self) -> &PersistedState {
        &self.persisted_state
    }

    /// Returns the folder it is kept in.
    pub fn folder(&self) -> &DataFolder {
        &self.folder
    }

    /// Returns the number of syncs made.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Takes an action that is to be kept; [`ReplicaStore::sync`] makes it
    /// last. Other actions are left alone.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be written.
    pub fn persist(&mut self, action: &ReplicaAction) -> anyhow::Result<()> {
        match action {
            ReplicaAction::PersistHardState(hard_state) => {
                self.persisted_state.hard_state = *hard_state;
                self.append(RecordKind::HardState, hard_state)
            }
            ReplicaAction::PersistEntry(entry) => {
                self.persisted_state.apply_entry(entry.clone());
                self.append(RecordKind::Entry, entry)
            }
            ReplicaAction::PersistCommitIndex(commit) => {
                self.persisted_state.commit = *commit;
                self.append(RecordKind::Commit, commit)
            }
            ReplicaAction::PersistSnapshot {
                place,
                state,
                is_installed,
            } => {
                let state = (**state).clone();
                self.persisted_state
                    .apply_snapshot(*place, state, *is_installed);
                self.rewrite_log()
            }
            _ => Ok(()),
        }
    }

    fn append<T: Serialize>(&mut self, kind: RecordKind, value: &T) -> anyhow::Result<()> {
        append_record(kind, &encode(value)?, &mut self.buffer);
        Ok(())
    }

    /// Makes all that was taken last. After a failure the store must not be
    /// used any more: what is on the disk is not known.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot write or sync.
    pub fn sync(&mut self) -> anyhow::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        append_record(RecordKind::BatchEnd, &[], &mut self.buffer);
        self.file
            .write_all(&self.buffer)
            .and_then(|()| self.file.sync_data())
            .with_context(|| format!("could not keep {}", log_file_name(self.log_number)))?;
        self.buffer.clear();
        self.sync_count += 1;
        Ok(())
    }

    /// Writes all that is kept into a new file, which takes the old one's
    /// place.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot write or sync.
    pub fn rewrite_log(&mut self) -> anyhow::Result<()> {
        let mut bytes = FILE_HEADER.to_vec();
        let snapshot = encode(&(
            self.persisted_state.snapshot_position,
            &self.persisted_state.state,
        ))?;
        append_record(RecordKind::Snapshot, &snapshot, &mut bytes);
        append_record(
            RecordKind::HardState,
            &encode(&self.persisted_state.hard_state)?,
            &mut bytes,
        );
        for entry in &self.persisted_state.entries {
            append_record(RecordKind::Entry, &encode(entry)?, &mut bytes);
        }
        append_record(
            RecordKind::Commit,
            &encode(&self.persisted_state.commit)?,
            &mut bytes,
        );
        append_record(RecordKind::BatchEnd, &[], &mut bytes);
        let old = self.folder.path.join(log_file_name(self.log_number));
        self.log_number += 1;
        let name = log_file_name(self.log_number);
        self.folder.replace_file(&name, &bytes)?;
        let path = self.folder.path.join(&name);
        self.file = OpenOptions::new().write(true).open(path)?;
        self.file.seek(SeekFrom::End(0))?;
        // All of it is in the new file.
        self.buffer.clear();
        self.sync_count += 1;
        std::fs::remove_file(&old).with_context(|| format!("could not remove {}", old.display()))
    }
}
