//! Connections of clients: their number is limited, and a client that stops is disconnected.
//!
//! A client that is not trusted may open many connections and stop at any point of a request.
//! Over the limit, the connection is closed whose client has kept this instance waiting for
//! longest, so that a new client gets a place.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nix::sys::resource::{getrlimit, Resource};
use tokio::sync::Notify;
use tokio::time::Instant;
use wheelmast_core::arena::{SlotArena, SlotKey};

use crate::connection::log_limit::LogLimit;

/// Returns `connections`, or fewer if that is more than `fraction` of the files that the process
/// may open. The others are left for connections to servers and other instances.
pub fn fit_descriptors(connections: u32, fraction: f64) -> usize {
    let connections = connections as usize;
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((limit, _)) => connections.min((limit as f64 * fraction) as usize).max(1),
        Err(_) => connections,
    }
}

/// Tells the tasks of a connection or a request that it must end, to give its place or its
/// memory to another client.
#[derive(Debug, Default)]
pub struct Eviction {
    is_evicted: AtomicBool,
    notify: Notify,
}

impl Eviction {
    /// Makes the connection or request end.
    pub fn evict(&self) {
        self.is_evicted.store(true, Ordering::Release);
        self.notify.notify_waiters();
    }

    /// Returns whether the connection or request must end.
    pub fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Acquire)
    }

    /// Waits until the connection or request must end.
    pub async fn wait(&self) {
        loop {
            let notified = self.notify.notified();
            if self.is_evicted() {
                return;
            }
            notified.await;
        }
    }
}

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClientPhase {
    /// No byte of the next request has arrived. The last answer may not be read yet.
    Idle,
    /// A part of a request's head has arrived.
    Head,
    /// The head is complete and the body is not.
    Body,
}

impl ClientPhase {
    fn from_index(index: usize) -> ClientPhase {
        [ClientPhase::Idle, ClientPhase::Head, ClientPhase::Body][index]
    }
}

/// Time limits for clients. The time for a body is limited where the body is read.
#[derive(Debug, Clone, Copy)]
pub struct ClientTimeouts {
    /// Maximum time from the first byte of a head to its end.
    pub head: Duration,
    /// Maximum time without a request, or without reading a part of an answer.
    pub idle: Duration,
}

/// State of a connection, shared by its tasks.
#[derive(Debug)]
pub struct ClientState {
    opened_at: Instant,
    phase: AtomicUsize,
    /// When the phase began, in microseconds since `opened_at`.
    phase_began: AtomicU64,
    /// When a part of an answer was last written, in microseconds since `opened_at`.
    last_written: AtomicU64,
    /// Number of complete requests that are being worked on.
    requests: AtomicUsize,
    /// Whether the head of a request has arrived only in part.
    is_head_unfinished: AtomicBool,
    /// Signals that `is_head_unfinished` was set.
    head_unfinished: Notify,
    /// Ends the connection.
    pub eviction: Arc<Eviction>,
}

impl Default for ClientState {
    /// Returns the state of a connection that has just been accepted.
    fn default() -> ClientState {
        ClientState {
            opened_at: Instant::now(),
            phase: AtomicUsize::new(ClientPhase::Idle as usize),
            phase_began: AtomicU64::new(0),
            last_written: AtomicU64::new(0),
            requests: AtomicUsize::new(0),
            is_head_unfinished: AtomicBool::new(false),
            head_unfinished: Notify::new(),
            eviction: Arc::default(),
        }
    }
}

impl ClientState {
    fn now(&self) -> u64 {
        self.opened_at.elapsed().as_micros() as u64
    }

    fn phase(&self) -> ClientPhase {
        ClientPhase::from_index(self.phase.load(Ordering::Relaxed))
    }

    fn begin_phase(&self, phase: ClientPhase) {
        self.phase.store(phase as usize, Ordering::Relaxed);
        self.phase_began.store(self.now(), Ordering::Relaxed);
    }

    /// Records that bytes of the client were read.
    pub fn record_read(&self) {
        if self.phase() == ClientPhase::Idle {
            self.is_head_unfinished.store(false, Ordering::Relaxed);
            self.begin_phase(ClientPhase::Head);
        }
    }

    /// Records that more bytes are wanted and none have arrived.
    pub fn record_read_wait(&self) {
        let is_unfinished = self.phase() == ClientPhase::Head;
        // Signalled once, as the signal makes the task of the connection read again.
        if is_unfinished && !self.is_head_unfinished.swap(true, Ordering::Relaxed) {
            self.head_unfinished.notify_one();
        }
    }

    /// Records that a part of an answer was written.
    pub fn record_write(&self) {
        self.last_written.store(self.now(), Ordering::Relaxed);
    }

    /// Records that the head of a request is complete.
    pub fn begin_body(&self) {
        // The time since the first byte of the head still counts.
        self.phase
            .store(ClientPhase::Body as usize, Ordering::Relaxed);
    }

    /// Records that a request is complete. The client is not waited for until the returned
    /// value is dropped, when the answer is ready.
    pub fn begin_work(self: &Arc<Self>) -> ClientWork {
        self.requests.fetch_add(1, Ordering::Relaxed);
        ClientWork(self.clone())
    }

    /// Records that the answer to a request was handed over for writing.
    pub fn end_request(&self) {
        self.begin_phase(ClientPhase::Idle);
    }

    /// Records that the bytes read since the last request were the end of its body, not the
    /// beginning of a head.
    pub fn end_late_body(&self) {
        if self.phase() == ClientPhase::Head {
            self.begin_phase(ClientPhase::Idle);
        }
    }

    /// Returns whether a part of a request's head has arrived.
    pub fn is_receiving_head(&self) -> bool {
        self.phase() == ClientPhase::Head
    }

    /// Returns whether a request's body has not arrived completely.
    pub fn is_receiving_body(&self) -> bool {
        self.phase() == ClientPhase::Body && self.requests.load(Ordering::Relaxed) == 0
    }

    /// Returns since when the client has kept this instance waiting. Returns `None` while this
    /// instance works on a request of the client.
    fn waiting_since(&self) -> Option<Instant> {
        if self.requests.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let began = self.phase_began.load(Ordering::Relaxed);
        Some(self.opened_at + Duration::from_micros(began))
    }

    /// Returns when the client's time limit passes, as far as it is known now, and whether the
    /// client is being waited for.
    fn deadline(&self, timeouts: ClientTimeouts) -> (Instant, bool) {
        let began = self.phase_began.load(Ordering::Relaxed);
        let (since, limit, is_waiting) = match self.phase() {
            ClientPhase::Idle => {
                let last_written = self.last_written.load(Ordering::Relaxed);
                (began.max(last_written), timeouts.idle, true)
            }
            ClientPhase::Head => (began, timeouts.head, true),
            ClientPhase::Body => (self.now(), timeouts.idle, false),
        };
        let is_waiting = is_waiting && self.requests.load(Ordering::Relaxed) == 0;
        (
            self.opened_at + Duration::from_micros(since) + limit,
            is_waiting,
        )
    }

    /// Waits until the client has exceeded a time limit. `timeouts` returns those in force.
    async fn wait_expired(&self, timeouts: impl Fn() -> ClientTimeouts) {
        loop {
            let (deadline, is_waiting) = self.deadline(timeouts());
            if is_waiting && deadline <= Instant::now() {
                return;
            }
            // A phase may change to one that ends earlier only by the beginning of a head.
            let latest = Instant::now() + timeouts().idle;
            tokio::select! {
                () = tokio::time::sleep_until(deadline.min(latest)) => {}
                () = self.head_unfinished.notified() => {}
            }
        }
    }

    /// Waits until the connection must be closed: its client has exceeded a time limit, or
    /// another one gets its place.
    pub async fn wait_disconnect(&self, timeouts: impl Fn() -> ClientTimeouts) {
        tokio::select! {
            () = self.eviction.wait() => {}
            () = self.wait_expired(timeouts) => {}
        }
    }
}

/// A complete request that this instance works on. Dropping the value ends the work.
#[derive(Debug)]
pub struct ClientWork(Arc<ClientState>);

impl Drop for ClientWork {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
        self.0.phase_began.store(self.0.now(), Ordering::Relaxed);
    }
}

/// The connections to one listener.
#[derive(Debug)]
struct ClientTable {
    max_connections: usize,
    connections: Mutex<SlotArena<Arc<ClientState>>>,
    /// Signals that a connection has ended.
    released: Notify,
    log_limit: LogLimit,
}

impl ClientTable {
    fn connections(&self) -> MutexGuard<'_, SlotArena<Arc<ClientState>>> {
        let connections = self.connections.lock();
        connections.unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs that a new connection found no free place.
    fn log_full(&self) {
        let limit = self.max_connections;
        self.log_limit.count(|count| {
            tracing::warn!(target: "clients", count, limit, "clients: connections at their limit");
        });
    }
}

/// Whether there is a place for a new connection.
enum Place {
    Free(ClientConnection),
    /// A connection was evicted and has not ended yet.
    Awaited,
    None,
}

/// Limits the number of connections to a listener. Clones share the limit.
#[derive(Debug, Clone)]
pub struct ConnectionLimiter {
    table: Arc<ClientTable>,
}

impl ConnectionLimiter {
    /// Allows at most `max_connections` connections at a time.
    pub fn new(max_connections: usize) -> ConnectionLimiter {
        ConnectionLimiter {
            table: Arc::new(ClientTable {
                max_connections,
                connections: Mutex::default(),
                released: Notify::new(),
                log_limit: LogLimit::default(),
            }),
        }
    }

    /// Counts a new connection. At the limit, the connection is evicted whose client has kept
    /// this instance waiting for longest, and this method waits until it has ended. Returns
    /// `None` if there is none such: the new connection must then be closed.
    pub async fn admit(&self) -> Option<ClientConnection> {
        loop {
            let released = self.table.released.notified();
            match self.find_place() {
                Place::Free(connection) => return Some(connection),
                Place::Awaited => released.await,
                Place::None => return None,
            }
        }
    }

    fn find_place(&self) -> Place {
        let mut connections = self.table.connections();
        if connections.len() < self.table.max_connections {
            let state = Arc::<ClientState>::default();
            let key = connections.insert(state.clone());
            return Place::Free(ClientConnection {
                state,
                table: self.table.clone(),
                key,
            });
        }
        let mut clients = connections.iter().map(|(_, client)| client);
        if clients.any(|client| client.eviction.is_evicted()) {
            return Place::Awaited;
        }
        self.table.log_full();
        let clients = connections.iter().map(|(_, client)| client);
        let waiting = clients.filter_map(|client| Some((client.waiting_since()?, client)));
        match waiting.min_by_key(|(since, _)| *since) {
            Some((_, client)) => {
                client.eviction.evict();
                Place::Awaited
            }
            None => Place::None,
        }
    }
}

/// A counted connection of a client. Dropping the value gives its place back.
#[derive(Debug)]
pub struct ClientConnection {
    /// State of the connection.
    pub state: Arc<ClientState>,
    table: Arc<ClientTable>,
    key: SlotKey,
}

impl Drop for ClientConnection {
    fn drop(&mut self) {
        self.table.connections().remove(self.key);
        self.table.released.notify_waiters();
    }
}
