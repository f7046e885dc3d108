//! The upstreams thread: carries subqueries to the servers and replies back.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use tokio::task::{AbortHandle, JoinSet};
use wheelmast_core::prelude::{AttemptReply, EntryInput, SendOrder, SlotKey};

use crate::connection::attempt::run_attempt;
use crate::connection::pool::ConnectionPool;
use crate::process::clock::ProcessClock;
use crate::process::entry::EntryMessage;
use crate::ring::{RingReceiver, RingSender};

/// Interval at which idle connections are looked over.
const REAP_INTERVAL: Duration = Duration::from_secs(1);

/// An order to the upstreams thread.
#[derive(Debug)]
pub enum UpstreamCommand {
    /// Send a subquery.
    Send(SendOrder),
    /// Cancel the subquery of this attempt.
    Cancel(SlotKey),
}

/// What the upstreams thread needs.
#[derive(Debug)]
pub struct UpstreamDriver {
    /// Its orders.
    pub ring: RingReceiver<UpstreamCommand>,
    /// Where replies go.
    pub entry: RingSender<EntryMessage>,
    /// Address its connections come from.
    pub source: Option<IpAddr>,
    /// The clock of the thread that decides.
    pub clock: ProcessClock,
}

impl UpstreamDriver {
    /// Runs until the entry thread is gone.
    pub async fn run(mut self) {
        let pool = ConnectionPool::default();
        let mut tasks: JoinSet<AttemptReply> = JoinSet::new();
        let mut running_attempts: HashMap<SlotKey, AbortHandle> = HashMap::new();
        let mut reap = tokio::time::interval(REAP_INTERVAL);
        loop {
            tokio::select! {
                command = self.ring.recv() => match command {
                    Some(UpstreamCommand::Send(order)) => {
                        let key = order.attempt;
                        let attempt = run_attempt(pool.clone(), self.source, self.clock, order);
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
                    // A cancelled attempt has no reply to hand on.
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

    async fn send_to_entry(&self, input: EntryInput) {
        self.entry.put(EntryMessage::Input(input)).await;
    }
}
