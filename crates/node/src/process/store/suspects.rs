//! The requests under which servers ended, over a restart: whoever sends one
//! again does so after a loss of all power as well.

use anyhow::Context;
use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_wire::peer::{decode, encode};

use crate::process::store::folder::DataFolder;

/// Name of the file.
const SUSPECTS_NAME: &str = "suspects";

/// Encodes records for [`DataFolder::remember_suspects`].
///
/// # Errors
///
/// Fails if the codec does.
pub fn encode_suspects(records: &[&SuspectRecord]) -> anyhow::Result<Vec<u8>> {
    Ok(encode(&records)?)
}

impl DataFolder {
    /// Keeps encoded records in place of those kept before.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn remember_suspects(&self, records: &[u8]) -> anyhow::Result<()> {
        self.replace(SUSPECTS_NAME, records)
    }

    /// Returns the records kept; none if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is none of these.
    pub fn remembered_suspects(&self) -> anyhow::Result<Vec<SuspectRecord>> {
        match self.read_whole(SUSPECTS_NAME)? {
            Some(bytes) => decode(&bytes).context("could not decode the suspects"),
            None => Ok(Vec::new()),
        }
    }
}
