//! The data folder of a control replica: its lock file, its identity file and
//! the names of its log files. The lock keeps a second process out; the identity
//! keeps a replica from using the folder of another one.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use serde::{Deserialize, Serialize};
use wheelmast_core::process::control::log::ReplicaId;

/// Name of the file that a process locks while it uses the folder.
const LOCK_FILE: &str = "lock";
/// Name of the identity file of a replica whose identity comes from its settings.
const IDENTITY_FILE: &str = "identity.json";

/// Name of the identity file of a replica with a random identity.
const REPLICA_IDENTITY_FILE: &str = "replica.json";

/// The random identity of a replica, generated when its folder is created.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct ReplicaIdentity {
    instance: String,
    replica: ReplicaId,
    format: u32,
}

/// The instance that a data folder belongs to, as written in the identity file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Name of the deployment's control group.
    pub cluster: String,
    /// Name of the instance.
    pub instance: String,
    /// Version of the folder format.
    pub format: u32,
}

/// Version of the folder format that this program writes.
pub const FOLDER_FORMAT: u32 = 1;

/// A data folder locked by this process. Dropping the value releases the lock.
#[derive(Debug)]
pub struct DataFolder {
    /// Path of the folder.
    pub path: PathBuf,
    _lock: File,
}

impl DataFolder {
    /// Creates a data folder with the given identity.
    ///
    /// # Errors
    ///
    /// Fails if the folder already holds an identity or cannot be written.
    pub fn create(path: &Path, identity: &FolderIdentity) -> anyhow::Result<DataFolder> {
        std::fs::create_dir_all(path)
            .with_context(|| format!("could not create data folder {}", path.display()))?;
        let folder = DataFolder::lock(path)?;
        let file_path = path.join(IDENTITY_FILE);
        if file_path.exists() {
            bail!(
                "could not initialize {}: it already holds data; start without --init",
                path.display()
            );
        }
        let text = serde_json::to_vec_pretty(identity)?;
        folder.replace_file(IDENTITY_FILE, &text)?;
        Ok(folder)
    }

    /// Opens the existing data folder of the instance `identity`.
    ///
    /// # Errors
    ///
    /// Fails if the folder is locked, empty, belongs to another instance, or has
    /// a newer format.
    pub fn open(path: &Path, identity: &FolderIdentity) -> anyhow::Result<DataFolder> {
        let file_path = path.join(IDENTITY_FILE);
        let text = std::fs::read(&file_path).with_context(|| {
            format!(
                "could not read {}; a replica that lost its disk must not come back under its \
                 old identity, as it may have voted; use --init only for a new control group",
                file_path.display()
            )
        })?;
        let stored_identity: FolderIdentity = serde_json::from_slice(&text)
            .with_context(|| format!("could not read identity {}", file_path.display()))?;
        if stored_identity.format > FOLDER_FORMAT {
            bail!(
                "could not use {}: format {} is newer than {FOLDER_FORMAT}; use a newer version \
                 of the program",
                path.display(),
                stored_identity.format
            );
        }
        if stored_identity != *identity {
            bail!(
                "could not use {}: it belongs to instance {} of cluster {}",
                path.display(),
                stored_identity.instance,
                stored_identity.cluster
            );
        }
        DataFolder::lock(path)
    }

    /// Opens the folder of a replica with a random identity. Generates the
    /// identity if the folder holds none, so a replica that lost its disk never
    /// returns under its old identity. Returns the folder, the identity, and
    /// whether the identity is new.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written, or is locked.
    pub fn open_or_create(
        path: &Path,
        instance: &str,
    ) -> anyhow::Result<(DataFolder, ReplicaId, bool)> {
        std::fs::create_dir_all(path)
            .with_context(|| format!("could not create data folder {}", path.display()))?;
        let folder = DataFolder::lock(path)?;
        let file_path = path.join(REPLICA_IDENTITY_FILE);
        match std::fs::read(&file_path) {
            Ok(text) => {
                let replica_identity: ReplicaIdentity = serde_json::from_slice(&text)
                    .with_context(|| format!("could not read identity {}", file_path.display()))?;
                Ok((folder, replica_identity.replica, false))
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                let replica_identity = ReplicaIdentity {
                    instance: instance.to_string(),
                    replica: rand::random(),
                    format: FOLDER_FORMAT,
                };
                folder.replace_file(
                    REPLICA_IDENTITY_FILE,
                    &serde_json::to_vec_pretty(&replica_identity)?,
                )?;
                Ok((folder, replica_identity.replica, true))
            }
            Err(error) => Err(error)
                .with_context(|| format!("could not read identity {}", file_path.display())),
        }
    }

    /// Opens the folder of a replica with a random identity, without creating
    /// anything. Returns the folder and the identity.
    ///
    /// # Errors
    ///
    /// Fails if the folder holds no identity, or if another process uses it.
    pub fn open_existing(path: &Path) -> anyhow::Result<(DataFolder, ReplicaId)> {
        let file_path = path.join(REPLICA_IDENTITY_FILE);
        let text = std::fs::read(&file_path)
            .with_context(|| format!("could not read identity {}", file_path.display()))?;
        let replica_identity: ReplicaIdentity = serde_json::from_slice(&text)
            .with_context(|| format!("could not read identity {}", file_path.display()))?;
        Ok((DataFolder::lock(path)?, replica_identity.replica))
    }

    /// Locks the folder for this process.
    fn lock(path: &Path) -> anyhow::Result<DataFolder> {
        let file_path = path.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&file_path)
            .with_context(|| format!("could not open {}", file_path.display()))?;
        if lock.try_lock().is_err() {
            bail!("could not lock {}: another process uses it", path.display());
        }
        Ok(DataFolder {
            path: path.to_path_buf(),
            _lock: lock,
        })
    }

    /// Replaces a file atomically: writes a temporary file, syncs it, and renames
    /// it to `name`.
    ///
    /// # Errors
    ///
    /// Fails if a step fails. If the rename was not reached, the old file is
    /// unchanged.
    pub fn replace_file(&self, name: &str, bytes: &[u8]) -> anyhow::Result<()> {
        let target_path = self.path.join(name);
        let temporary_path = self.path.join(format!("{name}.new"));
        let context = || format!("could not write {}", target_path.display());
        std::fs::write(&temporary_path, bytes).with_context(context)?;
        File::open(&temporary_path)
            .and_then(|file| file.sync_all())
            .with_context(context)?;
        std::fs::rename(&temporary_path, &target_path).with_context(context)?;
        self.sync_folder()
    }

    /// Returns the contents of a file, or `None` if the file does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file exists and cannot be read.
    pub fn read_file(&self, name: &str) -> anyhow::Result<Option<Vec<u8>>> {
        let file_path = self.path.join(name);
        match std::fs::read(&file_path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(error) => {
                Err(error).with_context(|| format!("could not read {}", file_path.display()))
            }
        }
    }

    /// Syncs the folder itself, so that created and renamed files survive a crash.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be opened or synced.
    pub fn sync_folder(&self) -> anyhow::Result<()> {
        File::open(&self.path)
            .and_then(|folder| folder.sync_all())
            .with_context(|| format!("could not sync {}", self.path.display()))
    }

    /// Returns the numbers of the log files in ascending order.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read.
    pub fn list_log_numbers(&self) -> anyhow::Result<Vec<u64>> {
        let entries = std::fs::read_dir(&self.path)
            .with_context(|| format!("could not read {}", self.path.display()))?;
        let mut numbers: Vec<u64> = entries
            .filter_map(|entry| entry.ok()?.file_name().into_string().ok())
            .filter_map(|name| parse_log_number(&name))
            .collect();
        numbers.sort_unstable();
        Ok(numbers)
    }
}

/// Returns the file name of the log file with this number.
pub fn log_file_name(number: u64) -> String {
    format!("control-{number}.log")
}

/// Returns the number in the file name of a log file, or `None` for other names.
fn parse_log_number(name: &str) -> Option<u64> {
    let number = name.strip_prefix("control-")?.strip_suffix(".log")?;
    number.parse().ok()
}
