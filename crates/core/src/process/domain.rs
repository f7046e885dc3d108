//! Silence of a whole failure domain.
//!
//! A cut takes all servers of a domain away at once, without a word. Waiting
//! until each of them has failed often enough to be ejected would cost many
//! queries; a few timeouts at different servers, with nothing heard from the
//! domain in between, tell it sooner. See `docs/design/health.md`.

use std::time::Duration;

use arrayvec::ArrayVec;

use crate::arena::{ArenaKey, ServerKey};

/// Servers that must have timed out before a domain is suspected.
pub const TIMED_OUT_SERVERS_TO_SUSPECT: usize = 3;
/// Time for which a suspected domain is avoided.
pub const SUSPECT_PERIOD: Duration = Duration::from_secs(1);

/// Key of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DomainKey(u32);

impl ArenaKey for DomainKey {
    fn from_index(index: usize) -> Self {
        DomainKey(index as u32)
    }

    fn index(self) -> usize {
        self.0 as usize
    }
}

/// What is known of a failure domain.
#[derive(Debug)]
pub struct DomainRecord {
    /// Its name.
    pub name: Box<str>,
    /// Its servers.
    pub servers: Vec<ServerKey>,
    last_reply_at: Duration,
    timed_out_servers: ArrayVec<ServerKey, TIMED_OUT_SERVERS_TO_SUSPECT>,
}

impl DomainRecord {
    /// Returns a domain without servers.
    pub fn new(name: &str) -> DomainRecord {
        DomainRecord {
            name: name.into(),
            servers: Vec::new(),
            last_reply_at: Duration::ZERO,
            timed_out_servers: ArrayVec::new(),
        }
    }

    /// Takes note that something was heard from a server of the domain.
    pub fn record_reply(&mut self, now: Duration) {
        self.last_reply_at = now;
        self.timed_out_servers.clear();
    }

    /// Takes a timeout of an attempt sent at `sent_at`. Returns true if the
    /// domain is to be suspected.
    pub fn record_timeout(&mut self, server: ServerKey, sent_at: Duration) -> bool {
        if sent_at < self.last_reply_at || self.timed_out_servers.contains(&server) {
            return false;
        }
        // Cannot be full: it is emptied as soon as it is.
        let _ = self.timed_out_servers.try_push(server);
        let is_suspected = self.timed_out_servers.is_full();
        if is_suspected {
            self.timed_out_servers.clear();
        }
        is_suspected
    }
}
