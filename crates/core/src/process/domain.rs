//! Detects that a whole failure domain has become unreachable.
//!
//! A network partition cuts off all servers of a domain at once. Ejecting each
//! of them after its own failures would cost many queries. Therefore a domain is
//! suspected as soon as attempts time out at a few different servers without any
//! reply from the domain in between. See `docs/design/health.md`.

use std::time::Duration;

use arrayvec::ArrayVec;

use crate::arena::{ArenaKey, ServerKey};

/// Number of different servers at which attempts must time out before the
/// domain is suspected.
pub const TIMED_OUT_SERVERS_TO_SUSPECT: usize = 3;
/// Time for which the servers of a suspected domain get no requests.
pub const SUSPECT_PERIOD: Duration = Duration::from_secs(1);

/// Key of a failure domain in the upstream roster.
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

/// State of one failure domain: its servers and the timeouts since its last
/// reply.
#[derive(Debug)]
pub struct DomainRecord {
    /// Name of the domain.
    pub name: Box<str>,
    /// Servers in the domain.
    pub servers: Vec<ServerKey>,
    last_reply_at: Duration,
    /// Servers at which an attempt timed out since the last reply.
    timed_out_servers: ArrayVec<ServerKey, TIMED_OUT_SERVERS_TO_SUSPECT>,
}

impl DomainRecord {
    /// Creates a domain without servers.
    pub fn new(name: &str) -> DomainRecord {
        DomainRecord {
            name: name.into(),
            servers: Vec::new(),
            last_reply_at: Duration::ZERO,
            timed_out_servers: ArrayVec::new(),
        }
    }

    /// Records that a server of the domain replied.
    pub fn record_reply(&mut self, now: Duration) {
        self.last_reply_at = now;
        self.timed_out_servers.clear();
    }

    /// Records that an attempt sent at `sent_at` timed out. Returns whether the
    /// domain must now be suspected. Ignores attempts sent before the last reply.
    pub fn record_timeout(&mut self, server: ServerKey, sent_at: Duration) -> bool {
        if sent_at < self.last_reply_at || self.timed_out_servers.contains(&server) {
            return false;
        }
        // The push cannot fail: the list is cleared below when it becomes full.
        let _ = self.timed_out_servers.try_push(server);
        let is_suspected = self.timed_out_servers.is_full();
        if is_suspected {
            self.timed_out_servers.clear();
        }
        is_suspected
    }
}
