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

use crate::process::store::folder::{log_name, DataFolder};
use crate::process::store::record::{read_records, write_record, RecordKind, FILE_HEADER};

/// What a replica has kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KeptState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The last entry the snapshot includes.
    pub place: LogPosition,
    /// The snapshot.
    pub state: ControlState,
    /// The entries after it.
    pub entries: Vec<LogEntry>,
    /// The commit index.
    pub commit: u64,
}

impl KeptState {
    fn keep_entry(&mut self, entry: LogEntry) {
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

    fn keep_snapshot(&mut self, place: LogPosition, state: ControlState, is_installed: bool) {
        self.place = place;
        self.state = state;
        self.commit = self.commit.max(place.index);
        if is_installed {
            self.entries.clear();
        } else {
            self.entries.retain(|entry| entry.index > place.index);
        }
    }

    fn take(&mut self, kind: RecordKind, body: &[u8]) -> anyhow::Result<()> {
        match kind {
            RecordKind::Hard => self.hard_state = read(body)?,
            RecordKind::Entry => self.keep_entry(read(body)?),
            RecordKind::Commit => self.commit = read(body)?,
            RecordKind::Batch => {}
            RecordKind::Snapshot | RecordKind::Installed => {
                let (place, state) = read_snapshot(body)?;
                self.keep_snapshot(place, state, kind == RecordKind::Installed);
            }
        }
        Ok(())
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> anyhow::Result<T> {
    decode(body).context("could not read a record of good checksum")
}

/// Reads a snapshot. One that an earlier program wrote lacks what is kept at its
/// end since, and that was empty then.
fn read_snapshot(body: &[u8]) -> anyhow::Result<(LogPosition, ControlState)> {
    let evacuations = encode(&EvacuationRegistry::default())?;
    let rollouts = encode(&RolloutRegistry::default())?;
    let since_evacuations = [&*evacuations, &rollouts].concat();
    read(body).or_else(|error| {
        let mut ends = [rollouts, since_evacuations].into_iter();
        let found = ends.find_map(|end| read(&[body, &end].concat()).ok());
        found.ok_or(error)
    })
}

/// The log file of a replica, open for appending.
#[derive(Debug)]
pub struct ReplicaStore {
    folder: DataFolder,
    number: u64,
    file: File,
    kept: KeptState,
    buffer: Vec<u8>,
    /// Syncs made, for measurements.
    syncs: u64,
}

impl ReplicaStore {
    /// Opens what a folder holds. A torn tail is cut and logged.
    ///
    /// # Errors
    ///
    /// Fails on damage, with file and offset.
    pub fn open(folder: DataFolder) -> anyhow::Result<ReplicaStore> {
        let numbers = folder.logs()?;
        let Some(number) = numbers.last().copied() else {
            return ReplicaStore::begin(folder);
        };
        let path = folder.path.join(log_name(number));
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
        let mut kept = KeptState::default();
        for record in &found.records {
            kept.take(record.kind, record.body).with_context(|| {
                format!(
                    "could not use {}: record at offset {}",
                    path.display(),
                    record.offset
                )
            })?;
        }
        let mut file = OpenOptions::new().write(true).open(&path)?;
        if found.good < bytes.len() {
            tracing::warn!(
                "store: torn tail of {} bytes cut at offset {} of {}",
                bytes.len() - found.good,
                found.good,
                path.display()
            );
            file.set_len(found.good as u64)?;
            file.sync_all()?;
        }
        file.seek(SeekFrom::End(0))?;
        // Left behind by a crash between two steps of a compaction.
        for old in &numbers[..numbers.len() - 1] {
            std::fs::remove_file(folder.path.join(log_name(*old)))?;
        }
        Ok(ReplicaStore {
            folder,
            number,
            file,
            kept,
            buffer: Vec::new(),
            syncs: 0,
        })
    }

    fn begin(folder: DataFolder) -> anyhow::Result<ReplicaStore> {
        let number = 1;
        folder.replace(&log_name(number), FILE_HEADER)?;
        let path = folder.path.join(log_name(number));
        let mut file = OpenOptions::new().write(true).open(path)?;
        file.seek(SeekFrom::End(0))?;
        Ok(ReplicaStore {
            folder,
            number,
            file,
            kept: KeptState::default(),
            buffer: Vec::new(),
            syncs: 0,
        })
    }

    /// Returns what is kept.
    pub fn kept(&self) -> &KeptState {
        &self.kept
    }

    /// Returns the folder it is kept in.
    pub fn folder(&self) -> &DataFolder {
        &self.folder
    }

    /// Returns the number of syncs made.
    pub fn syncs(&self) -> u64 {
        self.syncs
    }

    /// Takes an action that is to be kept; [`ReplicaStore::sync`] makes it
    /// last. Other actions are left alone.
    ///
    /// # Errors
    ///
    /// Fails if a snapshot cannot be written.
    pub fn keep(&mut self, action: &ReplicaAction) -> anyhow::Result<()> {
        match action {
            ReplicaAction::PersistHardState(hard_state) => {
                self.kept.hard_state = *hard_state;
                self.append(RecordKind::Hard, hard_state)
            }
            ReplicaAction::PersistEntry(entry) => {
                self.kept.keep_entry(entry.clone());
                self.append(RecordKind::Entry, entry)
            }
            ReplicaAction::PersistCommitIndex(commit) => {
                self.kept.commit = *commit;
                self.append(RecordKind::Commit, commit)
            }
            ReplicaAction::PersistSnapshot {
                place,
                state,
                is_installed,
            } => {
                let state = (**state).clone();
                self.kept.keep_snapshot(*place, state, *is_installed);
                self.rewrite()
            }
            _ => Ok(()),
        }
    }

    fn append<T: Serialize>(&mut self, kind: RecordKind, value: &T) -> anyhow::Result<()> {
        write_record(kind, &encode(value)?, &mut self.buffer);
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
        write_record(RecordKind::Batch, &[], &mut self.buffer);
        self.file
            .write_all(&self.buffer)
            .and_then(|()| self.file.sync_data())
            .with_context(|| format!("could not keep {}", log_name(self.number)))?;
        self.buffer.clear();
        self.syncs += 1;
        Ok(())
    }

    /// Writes all that is kept into a new file, which takes the old one's
    /// place.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot write or sync.
    pub fn rewrite(&mut self) -> anyhow::Result<()> {
        let mut bytes = FILE_HEADER.to_vec();
        let snapshot = encode(&(self.kept.place, &self.kept.state))?;
        write_record(RecordKind::Snapshot, &snapshot, &mut bytes);
        write_record(
            RecordKind::Hard,
            &encode(&self.kept.hard_state)?,
            &mut bytes,
        );
        for entry in &self.kept.entries {
            write_record(RecordKind::Entry, &encode(entry)?, &mut bytes);
        }
        write_record(RecordKind::Commit, &encode(&self.kept.commit)?, &mut bytes);
        write_record(RecordKind::Batch, &[], &mut bytes);
        let old = self.folder.path.join(log_name(self.number));
        self.number += 1;
        let name = log_name(self.number);
        self.folder.replace(&name, &bytes)?;
        let path = self.folder.path.join(&name);
        self.file = OpenOptions::new().write(true).open(path)?;
        self.file.seek(SeekFrom::End(0))?;
        // All of it is in the new file.
        self.buffer.clear();
        self.syncs += 1;
        std::fs::remove_file(&old).with_context(|| format!("could not remove {}", old.display()))
    }
}
