//! The upstreams thread. It sends subqueries to upstream servers, one task per
//! attempt, and passes the replies to the entry thread.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use wheelmast_core::prelude::{AttemptReply, EntryInput, SendOrder, SlotKey};

use crate::connection::attempt::run_attempt;
use crate::connection::client_memory::ClientMemory;
use crate::connection::pool::ConnectionPool;
use crate::process::clock::ProcessClock;
use crate::process::entry::EntryMessage;
use crate::ring::{RingReceiver, RingSender};

/// Interval at which idle connections are checked and closed ones are reported.
const REAP_INTERVAL: Duration = Duration::from_secs(1);

/// A command to the upstreams thread.
#[derive(Debug)]
pub enum UpstreamCommand {
    /// Sends a subquery to a server.
    Send(SendOrder),
    /// Cancels the subquery of this attempt.
    Cancel(SlotKey),
}

/// The state of the upstreams thread.
#[derive(Debug)]
pub struct UpstreamDriver {
    /// The receiving end of the thread's ring.
    pub ring: RingReceiver<UpstreamCommand>,
    /// The ring to the entry thread, for replies and connection changes.
    pub entry: RingSender<EntryMessage>,
    /// Local address that connections are opened from; `None` lets the system
    /// choose.
    pub source: Option<IpAddr>,
    /// The clock of the entry thread, because attempts carry times of that
    /// clock.
    pub entry_clock: ProcessClock,
    /// Memory for the replies that are being received.
    pub memory: ClientMemory,
}

impl UpstreamDriver {
    /// Runs until the ring is closed, when the entry thread has ended.
    pub async fn run(mut self) {
        let pool = ConnectionPool::new(self.memory.clone());
        let mut tasks: JoinSet<AttemptReply> = JoinSet::new();
        let mut running_attempts: HashMap<SlotKey, AbortHandle> = HashMap::new();
        let mut reap = tokio::time::interval(REAP_INTERVAL);
        loop {
            tokio::select! {
                command = self.ring.recv() => match command {
                    Some(UpstreamCommand::Send(order)) => {
                        let key = order.attempt;
                        let attempt = run_attempt(pool.clone(), self.source, self.entry_clock, order);
                        let task = tasks.spawn(attempt);
                        running_attempts.insert(key, task);
                    }
                    Some(UpstreamCommand::Cancel(key)) => {
                        if let Some(task) = running_attempts.remove(&key) {
                            task.abort();
                        }
                    }
                    None => return,
                },
                Some(ended) = tasks.join_next(), if !tasks.is_empty() => {
                    // A cancelled attempt has no reply to pass on.
                    if let Ok(reply) = ended {
                        running_attempts.remove(&reply.attempt);
                        self.send_to_entry(EntryInput::Reply(reply)).await;
                    }
                }
                _ = reap.tick() => {
                    for change in pool.reap() {
                        self.send_to_entry(EntryInput::Connection(change)).await;
                    }
                }
            }
        }
    }

    /// Sends an input to the entry thread.
    async fn send_to_entry(&self, input: EntryInput) {
        self.entry.put(EntryMessage::Input(input)).await;
    }
}
