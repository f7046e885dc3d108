//! The journal thread. It receives the decisions of the entry machine,
//! optionally logs them, and stores the latest ones for look-ups and streams by
//! operators.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::broadcast;
use wheelmast_core::prelude::{DecisionEvent, RequestId};
use wheelmast_wire::prelude::DecisionLine;

/// Maximum number of decisions queued for the journal thread.
const QUEUE_LENGTH: usize = 16_384;
/// Maximum number of decisions stored for look-ups.
const MAX_STORED_DECISIONS: usize = 50_000;
/// Maximum number of decisions that a slow subscriber may lag behind before it
/// misses some.
const SUBSCRIBER_QUEUE_LENGTH: usize = 4_096;

/// The sending end of the journal's queue. When the queue is full, decisions
/// are dropped and counted, so that the request path never waits.
#[derive(Debug, Clone)]
pub struct JournalSender {
    sender: SyncSender<DecisionEvent>,
    dropped: Arc<AtomicU64>,
}

impl JournalSender {
    /// Queues a decision for the journal thread.
    pub fn record(&self, event: DecisionEvent) {
        if self.sender.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The latest decisions of an instance, shared between the journal thread and
/// the operators thread.
#[derive(Debug, Clone)]
pub struct DecisionHistory {
    stored: Arc<Mutex<VecDeque<DecisionEvent>>>,
    subscribers: broadcast::Sender<Arc<DecisionLine>>,
    dropped: Arc<AtomicU64>,
}

impl DecisionHistory {
    /// Locks the stored decisions.
    fn stored(&self) -> MutexGuard<'_, VecDeque<DecisionEvent>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the stored decisions about one request, oldest first.
    pub fn explain(&self, request: RequestId) -> Vec<DecisionLine> {
        let stored = self.stored();
        let events = stored.iter();
        events
            .filter(|event| event.request == Some(request))
            .map(to_decision_line)
            .collect()
    }

    /// Returns the latest `count` decisions, oldest first.
    pub fn list_latest(&self, count: usize) -> Vec<DecisionLine> {
        let stored = self.stored();
        let skipped = stored.len().saturating_sub(count);
        stored.iter().skip(skipped).map(to_decision_line).collect()
    }

    /// Subscribes to future decisions.
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<DecisionLine>> {
        self.subscribers.subscribe()
    }

    /// Returns how many decisions were dropped because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Stores a decision. Removes the oldest one if the store is full.
    fn store(&self, event: DecisionEvent) {
        let mut stored = self.stored();
        if stored.len() == MAX_STORED_DECISIONS {
            stored.pop_front();
        }
        stored.push_back(event);
    }
}

/// The receiving end of the journal; runs in the journal thread.
#[derive(Debug)]
pub struct JournalWriter {
    receiver: Receiver<DecisionEvent>,
    history: DecisionHistory,
    writes_log: bool,
}

/// Creates a journal: its sending end, the decision history and the writer.
/// With `writes_log`, each decision is also logged.
pub fn new_journal(writes_log: bool) -> (JournalSender, DecisionHistory, JournalWriter) {
    let (sender, receiver) = sync_channel(QUEUE_LENGTH);
    let dropped = Arc::new(AtomicU64::new(0));
    let (subscribers, _) = broadcast::channel(SUBSCRIBER_QUEUE_LENGTH);
    let history = DecisionHistory {
        stored: Arc::default(),
        subscribers,
        dropped: dropped.clone(),
    };
    let writer = JournalWriter {
        receiver,
        history: history.clone(),
        writes_log,
    };
    (JournalSender { sender, dropped }, history, writer)
}

impl JournalWriter {
    /// Runs until all senders are dropped.
    pub fn run(self) {
        for event in self.receiver {
            if self.writes_log {
                log_decision(&event);
            }
            if self.history.subscribers.receiver_count() > 0 {
                // Sending fails only if the last subscriber left in the
                // meantime.
                let _ = self
                    .history
                    .subscribers
                    .send(Arc::new(to_decision_line(&event)));
            }
            self.history.store(event);
        }
    }
}

/// Logs a decision, with the request's id if it has one.
fn log_decision(event: &DecisionEvent) {
    match event.request {
        Some(request) => tracing::info!(%request, "{}", event.decision),
        None => tracing::info!("{}", event.decision),
    }
}

/// Converts a decision into the line that operators see.
fn to_decision_line(event: &DecisionEvent) -> DecisionLine {
    DecisionLine {
        at_ms: event.at.as_secs_f64() * 1e3,
        request: event.request.map(|request| request.to_string()),
        part: event.decision.prefix().to_string(),
        text: event.decision.to_string(),
    }
}
