//! The journal thread: decisions become log lines and can be looked up.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::broadcast;
use wheelmast_core::prelude::{DecisionEvent, RequestId};
use wheelmast_wire::prelude::DecisionLine;

/// Decisions that may wait for the journal thread.
const QUEUE_LENGTH: usize = 16_384;
/// Decisions kept to be looked up.
const MAX_STORED_DECISIONS: usize = 50_000;
/// Decisions a slow watcher may lag behind before it misses some.
const WATCHER_QUEUE_LENGTH: usize = 4_096;

/// The sending end of the journal; decisions that find it full are counted
/// and not recorded, so that the request path never waits.
#[derive(Debug, Clone)]
pub struct JournalSender {
    sender: SyncSender<DecisionEvent>,
    dropped: Arc<AtomicU64>,
}

impl JournalSender {
    /// Records a decision.
    pub fn record(&self, event: DecisionEvent) {
        if self.sender.try_send(event).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The decisions of an instance, as far as they are kept.
#[derive(Debug, Clone)]
pub struct DecisionHistory {
    stored: Arc<Mutex<VecDeque<DecisionEvent>>>,
    watchers: broadcast::Sender<Arc<DecisionLine>>,
    dropped: Arc<AtomicU64>,
}

impl DecisionHistory {
    fn stored(&self) -> MutexGuard<'_, VecDeque<DecisionEvent>> {
        self.stored.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the decisions of one request, oldest first.
    pub fn explain(&self, request: RequestId) -> Vec<DecisionLine> {
        let stored = self.stored();
        let events = stored.iter();
        events
            .filter(|event| event.request == Some(request))
            .map(to_decision_line)
            .collect()
    }

    /// Returns the last decisions, oldest first.
    pub fn list_latest(&self, count: usize) -> Vec<DecisionLine> {
        let stored = self.stored();
        let skipped = stored.len().saturating_sub(count);
        stored.iter().skip(skipped).map(to_decision_line).collect()
    }

    /// Returns a stream of the decisions to come.
    pub fn subscribe(&self) -> broadcast::Receiver<Arc<DecisionLine>> {
        self.watchers.subscribe()
    }

    /// Returns how many decisions were not recorded.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn store(&self, event: DecisionEvent) {
        let mut stored = self.stored();
        if stored.len() == MAX_STORED_DECISIONS {
            stored.pop_front();
        }
        stored.push_back(event);
    }
}

/// The journal thread's part of a journal.
#[derive(Debug)]
pub struct JournalWriter {
    receiver: Receiver<DecisionEvent>,
    history: DecisionHistory,
    writes_log: bool,
}

/// Makes a journal. With `writes_log`, each decision is a log line as well.
pub fn new_journal(writes_log: bool) -> (JournalSender, DecisionHistory, JournalWriter) {
    let (sender, receiver) = sync_channel(QUEUE_LENGTH);
    let dropped = Arc::new(AtomicU64::new(0));
    let (watchers, _) = broadcast::channel(WATCHER_QUEUE_LENGTH);
    let history = DecisionHistory {
        stored: Arc::default(),
        watchers,
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
    /// Runs until all senders are gone.
    pub fn run(self) {
        for event in self.receiver {
            if self.writes_log {
                log_decision(&event);
            }
            if self.history.watchers.receiver_count() > 0 {
                // Fails only if the last watcher left just now.
                let _ = self
                    .history
                    .watchers
                    .send(Arc::new(to_decision_line(&event)));
            }
            self.history.store(event);
        }
    }
}

fn log_decision(event: &DecisionEvent) {
    match event.request {
        Some(request) => tracing::info!(%request, "{}", event.decision),
        None => tracing::info!("{}", event.decision),
    }
}

fn to_decision_line(event: &DecisionEvent) -> DecisionLine {
    DecisionLine {
        at_ms: event.at.as_secs_f64() * 1e3,
        request: event.request.map(|request| request.to_string()),
        part: event.decision.prefix().to_string(),
        text: event.decision.to_string(),
    }
}
