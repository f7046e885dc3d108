//! Durable storage of a control replica, under its data folder.
//!
//! One file at a time, `control-N.log`: a header, then records with length
//! and checksums. What a replica keeps is appended and synced; when the log
//! is compacted, a new file is written beside the old one, synced, renamed,
//! and only then the old one is removed.

pub mod folder;
pub mod record;
pub mod remembered;
pub mod replica_store;
