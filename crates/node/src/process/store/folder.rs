//! The data folder: its lock, its identity, and its log files.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use serde::{Deserialize, Serialize};
use wheelmast_core::process::control::log::ReplicaId;

/// Name of the lock file.
const LOCK_NAME: &str = "lock";
/// Name of the identity file.
const IDENTITY_NAME: &str = "identity.json";

/// Name of the identity file of a replica that draws its own identity.
const REPLICA_NAME: &str = "replica.json";

/// The identity that a replica drew when its folder was made.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct OwnIdentity {
    instance: String,
    replica: ReplicaId,
    format: u32,
}

/// Whose folder it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// The deployment's control group.
    pub cluster: String,
    /// The instance.
    pub instance: String,
    /// Format of the folder.
    pub format: u32,
}

/// The format this program writes.
pub const FOLDER_FORMAT: u32 = 1;

/// A data folder that this process holds the lock of.
#[derive(Debug)]
pub struct DataFolder {
    /// Its path.
    pub path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Makes a new folder for an instance; fails if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the folder holds an identity already or cannot be written.
    pub fn create(path: &Path, identity: &FolderIdentity) -> anyhow::Result<DataFolder> {
        std::fs::create_dir_all(path)
            .with_context(|| format!("could not make data folder {}", path.display()))?;
        let folder = DataFolder::lock(path)?;
        let file = path.join(IDENTITY_NAME);
        if file.exists() {
            bail!(
                "could not initialize {}: it holds data already; start without --init",
                path.display()
            );
        }
        let text = serde_json::to_vec_pretty(identity)?;
        folder.replace(IDENTITY_NAME, &text)?;
        Ok(folder)
    }

    /// Opens the folder of an instance.
    ///
    /// # Errors
    ///
    /// Fails if it is locked, empty, another's, or of a newer format.
    pub fn open(path: &Path, identity: &FolderIdentity) -> anyhow::Result<DataFolder> {
        let file = path.join(IDENTITY_NAME);
        let text = std::fs::read(&file).with_context(|| {
            format!(
                "could not read {}; a replica that lost its disk must not come back as itself, \
                 as it may have voted; only a new control group is started with --init",
                file.display()
            )
        })?;
        let found: FolderIdentity = serde_json::from_slice(&text)
            .with_context(|| format!("could not read identity {}", file.display()))?;
        if found.format > FOLDER_FORMAT {
            bail!(
                "could not use {}: format {} is newer than {FOLDER_FORMAT}; start a newer program",
                path.display(),
                found.format
            );
        }
        if found != *identity {
            bail!(
                "could not use {}: it belongs to instance {} of cluster {}",
                path.display(),
                found.instance,
                found.cluster
            );
        }
        DataFolder::lock(path)
    }

    /// Opens the folder of a replica that draws its own identity, or makes it
    /// if it holds none. Returns the folder, the identity, and whether it is
    /// new: an empty disk never comes back as who it was.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written, or is locked.
    pub fn open_own(path: &Path, instance: &str) -> anyhow::Result<(DataFolder, ReplicaId, bool)> {
        std::fs::create_dir_all(path)
            .with_context(|| format!("could not make data folder {}", path.display()))?;
        let folder = DataFolder::lock(path)?;
        let file = path.join(REPLICA_NAME);
        match std::fs::read(&file) {
            Ok(text) => {
                let own: OwnIdentity = serde_json::from_slice(&text)
                    .with_context(|| format!("could not read identity {}", file.display()))?;
                Ok((folder, own.replica, false))
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                let own = OwnIdentity {
                    instance: instance.to_string(),
                    replica: rand::random(),
                    format: FOLDER_FORMAT,
                };
                folder.replace(REPLICA_NAME, &serde_json::to_vec_pretty(&own)?)?;
                Ok((folder, own.replica, true))
            }
            Err(error) => {
                Err(error).with_context(|| format!("could not read identity {}", file.display()))
            }
        }
    }

    /// Opens the folder of a replica that drew its own identity, and makes
    /// none.
    ///
    /// # Errors
    ///
    /// Fails if it is none, or if another process uses it.
    pub fn open_existing(path: &Path) -> anyhow::Result<(DataFolder, ReplicaId)> {
        let file = path.join(REPLICA_NAME);
        let text = std::fs::read(&file)
            .with_context(|| format!("could not read identity {}", file.display()))?;
        let own: OwnIdentity = serde_json::from_slice(&text)
            .with_context(|| format!("could not read identity {}", file.display()))?;
        Ok((DataFolder::lock(path)?, own.replica))
    }

    fn lock(path: &Path) -> anyhow::Result<DataFolder> {
        let file = path.join(LOCK_NAME);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&file)
            .with_context(|| format!("could not open {}", file.display()))?;
        if lock.try_lock().is_err() {
            bail!("could not lock {}: another process uses it", path.display());
        }
        Ok(DataFolder {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }

    /// Writes a file beside its place, syncs it, and puts it in place.
    ///
    /// # Errors
    ///
    /// Fails if any step does; the old file then still stands.
    pub fn replace(&self, name: &str, bytes: &[u8]) -> anyhow::Result<()> {
        let place = self.path.join(name);
        let beside = self.path.join(format!("{name}.new"));
        let context = || format!("could not write {}", place.display());
        std::fs::write(&beside, bytes).with_context(context)?;
        File::open(&beside)
            .and_then(|file| file.sync_all())
            .with_context(context)?;
        std::fs::rename(&beside, &place).with_context(context)?;
        self.sync_entries()
    }

    /// Reads a file whole; none if there is none.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be read.
    pub fn read_whole(&self, name: &str) -> anyhow::Result<Option<Vec<u8>>> {
        let file = self.path.join(name);
        match std::fs::read(&file) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error).with_context(|| format!("could not read {}", file.display())),
        }
    }

    /// Syncs the folder's own entries.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot.
    pub fn sync_entries(&self) -> anyhow::Result<()> {
        File::open(&self.path)
            .and_then(|folder| folder.sync_all())
            .with_context(|| format!("could not sync {}", self.path.display()))
    }

    /// Returns the numbers of the log files, in order.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read.
    pub fn logs(&self) -> anyhow::Result<Vec<u64>> {
        let entries = std::fs::read_dir(&self.path)
            .with_context(|| format!("could not read {}", self.path.display()))?;
        let mut numbers: Vec<u64> = entries
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter_map(|name| log_number(&name))
            .collect();
        numbers.sort_unstable();
        Ok(numbers)
    }
}

/// Returns the name of a log file.
pub fn log_name(number: u64) -> String {
    format!("control-{number}.log")
}

fn log_number(name: &str) -> Option<u64> {
    let number = name.strip_prefix("control-")?.strip_suffix(".log")?;
    number.parse().ok()
}
