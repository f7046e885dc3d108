//! Files that carry a control instance's knowledge of servers and suspect
//! requests over a restart. This knowledge is not in the replicated log. Each
//! write replaces the whole file.

use anyhow::Context;
use serde::de::DeserializeOwned;
use serde::Serialize;
use wheelmast_wire::peer::{decode, encode};

use crate::process::store::folder::DataFolder;

/// A file with records that a control instance reads back after a restart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RememberedFile {
    /// The known servers. Servers announce themselves again within seconds, but
    /// without this file a control group that lost all power would serve
    /// nothing until then. No guarantee depends on this file: the servers
    /// listed in it are trusted only briefly, and every request names the
    /// server that it is meant for.
    Servers,
    /// The servers that are draining or have left, without details. A departure is
    /// acknowledged once it is in this file, because [`RememberedFile::Servers`] may be
    /// older than the departure and list the server as live.
    Departures,
    /// The suspect requests, under which servers crashed. A caller may send such
    /// a request again after a loss of all power, so the list must outlive it.
    Suspects,
}

impl RememberedFile {
    /// Returns the name of this file within the data folder.
    fn file_name(self) -> &'static str {
        match self {
            RememberedFile::Servers => "servers",
            RememberedFile::Departures => "departures",
            RememberedFile::Suspects => "suspects",
        }
    }
}

/// Encodes records for [`DataFolder::replace_remembered`].
///
/// # Errors
///
/// Fails if the records cannot be encoded.
pub fn encode_records<T: Serialize>(records: &[&T]) -> anyhow::Result<Vec<u8>> {
    Ok(encode(&records)?)
}

impl DataFolder {
    /// Replaces the contents of `file` with encoded records.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn replace_remembered(&self, file: RememberedFile, records: &[u8]) -> anyhow::Result<()> {
        self.replace_file(file.file_name(), records)
    }

    /// Returns the records in `file`, or an empty list if the file does not exist.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or decoded.
    pub fn remembered<T: DeserializeOwned>(&self, file: RememberedFile) -> anyhow::Result<Vec<T>> {
        let file_name = file.file_name();
        match self.read_file(file_name)? {
            Some(bytes) => {
                decode(&bytes).with_context(|| format!("could not decode the {file_name}"))
            }
            None => Ok(Vec::new()),
        }
    }
}
