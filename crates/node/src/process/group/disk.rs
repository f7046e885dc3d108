//! Disk thread of a replica: writes the replicated log, the known servers, their
//! departures and the suspect requests.
//!
//! All batches that wait in the queue are written with a single sync. After a failed
//! write or sync, the thread does not retry it, because a later success would not prove
//! that the earlier data is on disk. It reopens the store from what the disk holds and
//! rewrites that into a new file before the replica continues.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaAction;

use crate::process::duty::start_thread;
use crate::process::store::folder::DataFolder;
use crate::process::store::remembered::RememberedFile;
use crate::process::store::replica_store::{PersistedState, ReplicaStore};
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Writes that may wait for the disk thread.
const WRITE_RING_LENGTH: usize = 4096;
/// Events of the disk thread that may wait for the control instance.
const EVENT_RING_LENGTH: usize = 64;
/// Time between two attempts to reopen a store that failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(400);

/// Data that the disk thread writes and syncs.
#[derive(Debug)]
pub struct DiskWrite {
    /// Counts how often the store was reopened. A write from before the last reopening
    /// is dropped.
    pub epoch: u64,
    /// Number of the batch; grows with each batch of replica actions.
    pub batch: u64,
    /// The replica's `Persist...` actions (log entries, hard state, commit index,
    /// snapshots).
    pub actions: Vec<ReplicaAction>,
    /// The live servers, encoded, to restore after a restart. Correctness does not
    /// depend on this copy, since servers announce themselves again.
    pub servers: Option<Vec<u8>>,
    /// The suspect requests (requests under which servers crashed), encoded, to restore
    /// after a restart.
    pub suspects: Option<Vec<u8>>,
    /// The servers that are draining or have left.
    pub departures: Option<DepartureWrite>,
}

/// Servers that are draining or have left, to restore after a restart.
#[derive(Debug)]
pub struct DepartureWrite {
    /// Number of departures recorded so far, all of which this list covers.
    pub recorded: u64,
    /// The servers, encoded.
    pub servers: Vec<u8>,
}

/// What the disk thread reports to the control instance.
#[derive(Debug)]
pub enum DiskEvent {
    /// All batches up to this number are synced to disk.
    Synced(u64),
    /// As many departures of servers as this are synced to disk.
    DeparturesSynced(u64),
    /// A write or sync failed; no later batch of this epoch will be synced.
    Failed(String),
    /// The store was reopened; holds the new epoch and the state that the disk holds.
    Reopened(u64, Box<PersistedState>),
}

/// The control instance's end of the channels to the disk thread.
#[derive(Debug)]
pub struct DiskHandle {
    /// Sends writes to the disk thread.
    pub writes: SyncSender<DiskWrite>,
    /// Receives the events of the disk thread.
    pub events: RingReceiver<DiskEvent>,
}

/// Starts the disk thread for a store.
///
/// # Errors
///
/// Fails if the operating system cannot start a thread.
pub fn start_disk(
    store: ReplicaStore,
    path: PathBuf,
    instance: &str,
) -> anyhow::Result<DiskHandle> {
    let (writes, receiver) = std::sync::mpsc::sync_channel(WRITE_RING_LENGTH);
    let (sender, events) = bounded_ring(EVENT_RING_LENGTH);
    let worker = DiskWorker {
        path,
        instance: instance.to_string(),
        writes: receiver,
        events: sender,
        epoch: 0,
    };
    start_thread("disk", move || worker.run(store))?;
    Ok(DiskHandle { writes, events })
}

/// The disk thread.
struct DiskWorker {
    path: PathBuf,
    instance: String,
    writes: Receiver<DiskWrite>,
    events: RingSender<DiskEvent>,
    epoch: u64,
}

impl DiskWorker {
    fn run(mut self, mut store: ReplicaStore) {
        while let Ok(write) = self.writes.recv() {
            match self.persist_batch(&mut store, write) {
                Ok(Some(batch)) => self.events.put_blocking(DiskEvent::Synced(batch)),
                Ok(None) => {}
                Err(error) => {
                    self.events
                        .put_blocking(DiskEvent::Failed(format!("{error:#}")));
                    // Dropping the store also releases the lock of the data folder.
                    drop(store);
                    store = self.reopen();
                }
            }
        }
    }

    /// Writes `first` and all writes that wait in the queue, with a single sync.
    /// Returns the number of the last batch written, if one was of the current epoch.
    fn persist_batch(
        &self,
        store: &mut ReplicaStore,
        first: DiskWrite,
    ) -> anyhow::Result<Option<u64>> {
        let mut last_batch = None;
        let mut servers = None;
        let mut suspects = None;
        let mut departures = None;
        let mut next = Some(first);
        while let Some(write) = next {
            if write.epoch == self.epoch {
                for action in &write.actions {
                    store.persist(action)?;
                }
                last_batch = Some(write.batch);
                servers = write.servers.or(servers);
                suspects = write.suspects.or(suspects);
                departures = write.departures.or(departures);
            }
            next = self.writes.try_recv().ok();
        }
        store.sync()?;
        let folder = store.folder();
        let saved =
            servers.map(|servers| folder.replace_remembered(RememberedFile::Servers, &servers));
        if let Some(Err(error)) = saved {
            // The servers announce themselves again after a restart in any case.
            tracing::warn!(target: "group", "disk: known servers could not be saved, {error:#}");
        }
        if let Some(suspects) = suspects {
            folder.replace_remembered(RememberedFile::Suspects, &suspects)?;
        }
        if let Some(departures) = departures {
            folder.replace_remembered(RememberedFile::Departures, &departures.servers)?;
            let event = DiskEvent::DeparturesSynced(departures.recorded);
            self.events.put_blocking(event);
        }
        Ok(last_batch)
    }

    /// Reopens the store, retrying until that succeeds, and starts a new epoch.
    fn reopen(&mut self) -> ReplicaStore {
        loop {
            std::thread::sleep(REOPEN_INTERVAL);
            let opened = DataFolder::open_or_create(&self.path, &self.instance);
            let opened = opened.and_then(|(folder, _, _)| {
                let mut store = ReplicaStore::open(folder)?;
                store.rewrite_log()?;
                Ok(store)
            });
            let Ok(store) = opened else {
                continue;
            };
            self.epoch += 1;
            let persisted_state = Box::new(store.persisted_state().clone());
            self.events
                .put_blocking(DiskEvent::Reopened(self.epoch, persisted_state));
            return store;
        }
    }
}
