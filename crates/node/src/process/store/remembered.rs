//! What a control instance knew besides the log, over a restart: a file each,
//! replaced as a whole.

use anyhow::Context;
use serde::de::DeserializeOwned;
use serde::Serialize;
use wheelmast_wire::peer::{decode, encode};

use crate::process::store::folder::DataFolder;

/// A file of remembered records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RememberedFile {
    /// The servers. They announce themselves again within seconds; until then a
    /// group that lost all power would serve nothing. No promise rests on this
    /// file: who is in it is believed for a moment, and every request names the
    /// server that is meant.
    Servers,
    /// The requests under which servers ended: whoever sends one again does so
    /// after a loss of all power as well.
    Suspects,
}

impl RememberedFile {
    /// Returns its name in the folder.
    fn file_name(self) -> &'static str {
        match self {
            RememberedFile::Servers => "servers",
            RememberedFile::Suspects => "suspects",
        }
    }
}

/// Encodes records for [`DataFolder::replace_remembered`].
///
/// # Errors
///
/// Fails if the codec does.
pub fn encode_records<T: Serialize>(records: &[&T]) -> anyhow::Result<Vec<u8>> {
    Ok(encode(&records)?)
}

impl DataFolder {
    /// Keeps encoded records in place of those kept before.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn replace_remembered(&self, file: RememberedFile, records: &[u8]) -> anyhow::Result<()> {
        self.replace_file(file.file_name(), records)
    }

    /// Returns the records kept; none if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is none of these.
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
