//! Durable storage of a control replica, in its data folder.
//!
//! The replica's state is in one log file, `control-N.log`: a header, then
//! records with length and checksums. Changes are appended and synced.
//! Compaction writes a new file under a temporary name, syncs and renames the
//! new file, and only then removes the previous log file.

pub mod folder;
pub mod record;
pub mod remembered;
pub mod replica_store;
