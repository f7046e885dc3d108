//! Persistent state of a control replica: the replica's actions are appended to
//! a log file, and the log file is read back at the start.

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

/// The persistent state of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Position of the last log entry that the snapshot includes.
    pub snapshot_position: LogPosition,
    /// The control state in the snapshot.
    pub state: ControlState,
    /// The log entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Index of the last committed log entry.
    pub commit: u64,
}

impl PersistedState {
    /// Adds a log entry, in place of all entries with the same or a later index.
    fn apply_entry(&mut self, entry: LogEntry) {
        // An entry usually goes at the end, but a new leader may replace the
        // last entries.
        while self
            .entries
            .last()
            .is_some_and(|last| last.index >= entry.index)
        {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    /// Sets the snapshot and drops the entries that it includes, or all entries if
    /// the snapshot came from the leader.
    fn apply_snapshot(&mut self, position: LogPosition, state: ControlState, is_installed: bool) {
        self.snapshot_position = position;
        self.state = state;
        self.commit = self.commit.max(position.index);
        if is_installed {
            self.entries.clear();
        } else {
            self.entries.retain(|entry| entry.index > position.index);
        }
    }

    /// Applies a record read from the log file.
    fn apply_record(&mut self, kind: RecordKind, body: &[u8]) -> anyhow::Result<()> {
        match kind {
            RecordKind::HardState => self.hard_state = decode_record(body)?,
            RecordKind::Entry => self.apply_entry(decode_record(body)?),
            RecordKind::Commit => self.commit = decode_record(body)?,
            RecordKind::BatchEnd => {}
            RecordKind::Snapshot | RecordKind::InstalledSnapshot => {
                let (position, state) = decode_snapshot(body)?;
                self.apply_snapshot(position, state, kind == RecordKind::InstalledSnapshot);
            }
        }
        Ok(())
    }
}

/// Decodes the body of a record.
fn decode_record<T: DeserializeOwned>(body: &[u8]) -> anyhow::Result<T> {
    decode(body).context("could not decode a record with a valid checksum")
}

/// Decodes a snapshot. Earlier program versions wrote snapshots without the
/// roll-outs, or without the evacuations and roll-outs, at the end. These parts
/// are empty in the decoded state.
fn decode_snapshot(body: &[u8]) -> anyhow::Result<(LogPosition, ControlState)> {
    let evacuations = encode(&EvacuationRegistry::default())?;
    let rollouts = encode(&RolloutRegistry::default())?;
    let empty_evacuations_and_rollouts = [&*evacuations, &rollouts].concat();
    decode_record(body).or_else(|error| {
        let mut missing_ends = [rollouts, empty_evacuations_and_rollouts].into_iter();
        let decoded = missing_ends.find_map(|end| decode_record(&[body, &end].concat()).ok());
        decoded.ok_or(error)
    })
}

/// The open log file of a replica, and the state that the file holds.
#[derive(Debug)]
pub struct ReplicaStore {
    folder: DataFolder,
    log_number: u64,
    file: File,
    persisted_state: PersistedState,
    buffer: Vec<u8>,
    /// Number of syncs, for measurements.
    sync_count: u64,
}

impl ReplicaStore {
    /// Opens the newest log file of a folder, or creates the first one. Cuts off a
    /// torn tail, which is a batch that a crash interrupted, and logs a warning.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written, or if the file is damaged;
    /// the error then names the file and the offset.
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
                "could not use {}: {damage}; the replica must not run with this file: restore \
                 the file, or replace the replica",
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
                "store: cut off a torn tail of {} bytes at offset {} of {}",
                bytes.len() - found.valid_length,
                found.valid_length,
                path.display()
            );
            file.set_len(found.valid_length as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::End(0))?;
        // A crash during a compaction can leave older log files behind.
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

    /// Creates the first log file of a folder.
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

    /// Returns the state written so far, including actions not synced yet.
    pub fn persisted_state(&self) -> &PersistedState {
        &self.persisted_state
    }

    /// Returns the data folder that holds the log file.
    pub fn folder(&self) -> &DataFolder {
        &self.folder
    }

    /// Returns the number of syncs since the log file was opened.
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Buffers a `Persist...` action for the log file; [`ReplicaStore::sync`]
    /// makes it durable. A snapshot is written and synced at once. Ignores all
    /// other actions.
    ///
    /// # Errors
    ///
    /// Fails if the action cannot be encoded or a snapshot cannot be written.
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

    /// Encodes a record into the buffer, which the next sync writes.
    fn append<T: Serialize>(&mut self, kind: RecordKind, value: &T) -> anyhow::Result<()> {
        append_record(kind, &encode(value)?, &mut self.buffer);
        Ok(())
    }

    /// Writes the buffered records to the log file as one batch and syncs the
    /// file. After a failure the store must not be used any more, because the
    /// contents of the disk are unknown.
    ///
    /// # Errors
    ///
    /// Fails if the log file cannot be written or synced.
    pub fn sync(&mut self) -> anyhow::Result<()> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        append_record(RecordKind::BatchEnd, &[], &mut self.buffer);
        self.file
            .write_all(&self.buffer)
            .and_then(|()| self.file.sync_data())
            .with_context(|| format!("could not write {}", log_file_name(self.log_number)))?;
        self.buffer.clear();
        self.sync_count += 1;
        Ok(())
    }

    /// Compacts the log: writes the persisted state to a new log file and removes
    /// the previous one.
    ///
    /// # Errors
    ///
    /// Fails if the new file cannot be written or synced, or the previous file
    /// cannot be removed.
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
        let previous_path = self.folder.path.join(log_file_name(self.log_number));
        self.log_number += 1;
        let name = log_file_name(self.log_number);
        self.folder.replace_file(&name, &bytes)?;
        let path = self.folder.path.join(&name);
        self.file = OpenOptions::new().write(true).open(path)?;
        self.file.seek(SeekFrom::End(0))?;
        // The new file already includes the buffered records.
        self.buffer.clear();
        self.sync_count += 1;
        std::fs::remove_file(&previous_path)
            .with_context(|| format!("could not remove {}", previous_path.display()))
    }
}
