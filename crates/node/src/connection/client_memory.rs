//! Limit on the memory that clients make a process hold: requests that are received or wait,
//! and answers that are received from servers or not read by clients yet.
//!
//! When the limit is reached, the request or answer is given up whose client has kept this
//! instance waiting for longest. A part of the memory is reserved for small requests and
//! answers, so that large ones that wait for servers don't keep them out.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;
use wheelmast_core::arena::{SlotArena, SlotKey};

use crate::connection::client::Eviction;
use crate::connection::log_limit::LogLimit;
use crate::settings::model::ClientLimits;

/// Maximum size of a request or an answer that may use the reserved part, in bytes.
const SMALL_BYTES: usize = 32 * 1024;
/// The part of the memory that is not reserved for small requests and answers.
const LARGE_FRACTION: f64 = 0.75;

/// Part of the memory that is for requests; the rest is for answers.
const REQUEST_FRACTION: f64 = 1.0 / 3.0;
/// Size up to which an answer is not counted while it is received, in bytes. Small answers are
/// thus received also while the memory is used up by large ones.
const UNCOUNTED_ANSWER_BYTES: usize = 16 * 1024;

/// Marks a response, as an extension, whose body is an answer that is counted since it was
/// received.
#[derive(Debug, Clone, Copy)]
pub struct CountedBody;

impl CountedBody {
    /// Returns the mark for a complete answer of `bytes` bytes, if it is counted.
    pub fn of_answer(bytes: usize) -> Option<CountedBody> {
        (bytes > UNCOUNTED_ANSWER_BYTES).then_some(CountedBody)
    }
}

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryUse {
    /// A request that is received or waits for servers.
    Request,
    /// An answer that is received, or that its client has not read completely.
    Answer,
}

/// Failure to reserve memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryExhausted;

/// Memory held for one request or answer.
#[derive(Debug)]
struct Holding {
    bytes: usize,
    /// Since when the client has kept this instance waiting. `None` while it does not.
    waiting_since: Option<Instant>,
    eviction: Arc<Eviction>,
    is_evicted: bool,
}

/// Result of an attempt to change the memory of a holding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Resized {
    Done,
    /// There will be enough memory once evicted holdings are released.
    Awaited,
    Exhausted,
}

/// Memory held for one use.
#[derive(Debug, Default)]
struct HoldingTable {
    max_bytes: usize,
    used_bytes: usize,
    /// The part of `used_bytes` that belongs to evicted holdings.
    evicted_bytes: usize,
    holdings: SlotArena<Holding>,
}

impl HoldingTable {
    /// Changes the memory of a holding to `bytes`. Evicts others if there is too little.
    fn resize(&mut self, key: SlotKey, bytes: usize) -> Resized {
        let holding = self.holdings.get(key);
        let Some(held) = holding
            .filter(|holding| !holding.is_evicted)
            .map(|holding| holding.bytes)
        else {
            return Resized::Exhausted;
        };
        if bytes > held && !self.fits(self.used_bytes - held, bytes) {
            return self.make_room(key, held, bytes);
        }
        if let Some(holding) = self.holdings.get_mut(key) {
            holding.bytes = bytes;
            self.used_bytes = self.used_bytes - held + bytes;
        }
        Resized::Done
    }

    /// Evicts holdings until one of `held` bytes may grow to `bytes`.
    fn make_room(&mut self, key: SlotKey, held: usize, bytes: usize) -> Resized {
        while !self.fits(self.used_bytes - self.evicted_bytes - held, bytes) {
            if !self.evict_oldest(key) {
                return Resized::Exhausted;
            }
        }
        Resized::Awaited
    }

    /// Returns whether a holding may grow to `bytes` beside others that take `other_bytes`. A
    /// single one may, whatever its size, which has a limit of its own.
    fn fits(&self, other_bytes: usize, bytes: usize) -> bool {
        let max_bytes = if bytes <= SMALL_BYTES {
            self.max_bytes
        } else {
            (self.max_bytes as f64 * LARGE_FRACTION) as usize
        };
        other_bytes == 0 || other_bytes + bytes <= max_bytes
    }

    /// Evicts the holding whose client has kept this instance waiting for longest. Returns false
    /// if that is `key`, or if there is none.
    fn evict_oldest(&mut self, key: SlotKey) -> bool {
        let holdings = self.holdings.iter();
        let waiting = holdings.filter_map(|(key, holding)| {
            let is_useful = holding.bytes > 0 && !holding.is_evicted;
            Some((holding.waiting_since.filter(|_| is_useful)?, key))
        });
        let oldest = waiting.min().map(|(_, oldest)| oldest);
        let Some(oldest) = oldest.filter(|oldest| *oldest != key) else {
            return false;
        };
        if let Some(holding) = self.holdings.get_mut(oldest) {
            holding.is_evicted = true;
            holding.eviction.evict();
            self.evicted_bytes += holding.bytes;
        }
        true
    }

    /// Releases a holding.
    fn release(&mut self, key: SlotKey) {
        if let Some(holding) = self.holdings.remove(key) {
            self.used_bytes -= holding.bytes;
            if holding.is_evicted {
                self.evicted_bytes -= holding.bytes;
            }
        }
    }
}

#[derive(Debug)]
struct MemoryTables {
    requests: Mutex<HoldingTable>,
    answers: Mutex<HoldingTable>,
    /// Signals that a holding was released.
    released: Notify,
    log_limit: LogLimit,
}

impl MemoryTables {
    fn lock(&self, memory_use: MemoryUse) -> MutexGuard<'_, HoldingTable> {
        let table = match memory_use {
            MemoryUse::Request => &self.requests,
            MemoryUse::Answer => &self.answers,
        };
        table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The memory that a process holds for its clients. Clones share it.
#[derive(Debug, Clone)]
pub struct ClientMemory {
    tables: Arc<MemoryTables>,
}

impl ClientMemory {
    /// Limits the memory to `max_bytes`, a third for requests and the rest for answers.
    pub fn new(max_bytes: usize) -> ClientMemory {
        let request_bytes = (max_bytes as f64 * REQUEST_FRACTION) as usize;
        let new_table = |max_bytes| {
            Mutex::new(HoldingTable {
                max_bytes,
                ..HoldingTable::default()
            })
        };
        ClientMemory {
            tables: Arc::new(MemoryTables {
                requests: new_table(request_bytes),
                answers: new_table(max_bytes - request_bytes),
                released: Notify::new(),
                log_limit: LogLimit::default(),
            }),
        }
    }

    /// Begins to hold a request or an answer, without any memory yet, whose client is waited
    /// for. `eviction` is signalled if it must be given up.
    pub fn hold(&self, memory_use: MemoryUse, eviction: Arc<Eviction>) -> MemoryReservation {
        let holding = Holding {
            bytes: 0,
            waiting_since: Some(Instant::now()),
            eviction,
            is_evicted: false,
        };
        let key = self.tables.lock(memory_use).holdings.insert(holding);
        MemoryReservation {
            tables: self.tables.clone(),
            memory_use,
            key,
        }
    }

    /// Returns `bytes` as the body of an answer, which counts until it is written completely.
    /// `eviction` must close the client's connection.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory.
    pub async fn hold_answer(
        &self,
        bytes: Bytes,
        eviction: &Arc<Eviction>,
    ) -> Result<Bytes, MemoryExhausted> {
        if bytes.is_empty() {
            return Ok(bytes);
        }
        let mut memory = self.hold(MemoryUse::Answer, eviction.clone());
        memory.resize(bytes.len()).await?;
        Ok(memory.attach(bytes))
    }

    /// Begins to receive an answer from a server. `eviction` must close the connection of the
    /// client that the answer is passed on to.
    pub fn receive_answer(&self, eviction: Arc<Eviction>) -> AnswerMemory {
        AnswerMemory {
            memory: self.clone(),
            eviction,
            covered_bytes: UNCOUNTED_ANSWER_BYTES,
            reservation: None,
        }
    }
}

impl Default for ClientMemory {
    fn default() -> ClientMemory {
        ClientMemory::new(ClientLimits::default().memory_bytes())
    }
}

/// Memory of an answer that is received from a server, beyond the size that is not counted.
#[derive(Debug)]
pub struct AnswerMemory {
    memory: ClientMemory,
    eviction: Arc<Eviction>,
    /// Greatest size that was counted, in bytes.
    covered_bytes: usize,
    reservation: Option<MemoryReservation>,
}

impl AnswerMemory {
    /// Counts an answer that takes `bytes` bytes now. A size once counted stays so.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory.
    pub async fn cover(&mut self, bytes: usize) -> std::io::Result<()> {
        if bytes <= self.covered_bytes {
            return Ok(());
        }
        self.covered_bytes = bytes;
        let reservation = self.reservation.get_or_insert_with(|| {
            let reservation = self.memory.hold(MemoryUse::Answer, self.eviction.clone());
            // A server is waited for, not a client.
            reservation.end_wait();
            reservation
        });
        let resized = reservation.resize(bytes).await;
        resized.map_err(|MemoryExhausted| {
            let message = "answers hold too much memory";
            std::io::Error::new(std::io::ErrorKind::OutOfMemory, message)
        })
    }

    /// Returns the complete body `bytes`, which count as held until the last reference to them is
    /// dropped. They are passed on to the client at once, which is waited for from now on.
    pub fn attach_for_client(self, bytes: Bytes) -> Bytes {
        if let Some(reservation) = &self.reservation {
            reservation.begin_wait();
        }
        self.attach(bytes)
    }

    /// Returns `bytes`, which count as held until the last reference to them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.reservation {
            Some(reservation) => reservation.attach(bytes),
            None => bytes,
        }
    }
}

/// Memory held for one request or answer. Dropping the value releases it.
#[derive(Debug)]
pub struct MemoryReservation {
    tables: Arc<MemoryTables>,
    memory_use: MemoryUse,
    key: SlotKey,
}

impl MemoryReservation {
    /// Changes the number of bytes that are held. Waits for memory that others give up.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory, or if this holding was evicted.
    pub async fn resize(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        loop {
            let tables = self.tables.clone();
            let released = tables.released.notified();
            match self.resize_once(bytes) {
                Resized::Done => return Ok(()),
                Resized::Awaited => released.await,
                Resized::Exhausted => return Err(MemoryExhausted),
            }
        }
    }

    /// Changes the number of bytes that are held, if there is enough memory now.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory, or if this holding was evicted.
    pub fn resize_now(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        match self.resize_once(bytes) {
            Resized::Done => Ok(()),
            Resized::Awaited | Resized::Exhausted => Err(MemoryExhausted),
        }
    }

    fn resize_once(&mut self, bytes: usize) -> Resized {
        let resized = self.tables.lock(self.memory_use).resize(self.key, bytes);
        if resized != Resized::Done {
            let memory_use = self.memory_use;
            self.tables.log_limit.count(|count| {
                tracing::warn!(target: "clients", count, ?memory_use, "clients: memory at its limit");
            });
        }
        resized
    }

    /// Returns `bytes`, which count as held until the last reference to them is dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            bytes,
            _memory: self,
        })
    }

    /// Records that the client is waited for from now on.
    fn begin_wait(&self) {
        self.set_waiting_since(Some(Instant::now()));
    }

    /// Records that the client is not waited for any more, so that this holding is not evicted.
    pub fn end_wait(&self) {
        self.set_waiting_since(None);
    }

    fn set_waiting_since(&self, waiting_since: Option<Instant>) {
        let mut table = self.tables.lock(self.memory_use);
        if let Some(holding) = table.holdings.get_mut(self.key) {
            holding.waiting_since = waiting_since;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.tables.lock(self.memory_use).release(self.key);
        self.tables.released.notify_waiters();
    }
}

/// Bytes that count as held until the last reference to them is dropped.
struct HeldBytes {
    bytes: Bytes,
    _memory: MemoryReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
