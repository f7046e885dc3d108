//! The servers that a control instance knew, over a restart.
//!
//! They announce themselves again within seconds; until then a group that lost
//! all power would serve nothing. No promise rests on this file: who is in it is
//! believed for a moment, and every request names the server that is meant.

use anyhow::Context;
use wheelmast_core::process::forward::directory::ServerNotice;
use wheelmast_wire::peer::{decode, encode};

use crate::process::store::folder::DataFolder;

/// Name of the file.
const SERVERS_NAME: &str = "servers";

/// Encodes servers for [`DataFolder::remember_servers`].
///
/// # Errors
///
/// Fails if the codec does.
pub fn encode_servers(servers: &[&ServerNotice]) -> anyhow::Result<Vec<u8>> {
    Ok(encode(&servers)?)
}

impl DataFolder {
    /// Keeps encoded servers in place of those kept before.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn remember_servers(&self, servers: &[u8]) -> anyhow::Result<()> {
        self.replace(SERVERS_NAME, servers)
    }

    /// Returns the servers kept; none if there is no file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is none of these.
    pub fn remembered_servers(&self) -> anyhow::Result<Vec<ServerNotice>> {
        match self.read_whole(SERVERS_NAME)? {
            Some(bytes) => decode(&bytes).context("could not decode the servers"),
            None => Ok(Vec::new()),
        }
    }
}
