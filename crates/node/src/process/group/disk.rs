//! The disk thread of a replica.
//!
//! Orders that wait together are synced together. After a failure nothing is
//! tried again as if it could still succeed: the store is opened anew from
//! what the disk holds, and written into a new file, before the replica goes
//! on.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender};
use std::time::Duration;

use wheelmast_core::process::control::message::ReplicaAction;

use crate::process::duty::start_thread;
use crate::process::store::folder::DataFolder;
use crate::process::store::remembered::RememberedFile;
use crate::process::store::replica_store::{KeptState, ReplicaStore};
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Orders that may wait for the disk.
const WRITE_RING_LENGTH: usize = 4096;
/// Notes that may wait for the replica.
const EVENT_RING_LENGTH: usize = 64;
/// Time between two tries to open a store that failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(400);

/// What is to be kept.
#[derive(Debug)]
pub struct DiskWrite {
    /// Which opening of the store it is for.
    pub epoch: u64,
    /// Number of the batch.
    pub batch: u64,
    /// The actions to keep.
    pub actions: Vec<ReplicaAction>,
    /// The servers that live, encoded, to remember over a restart. No promise
    /// rests on it.
    pub servers: Option<Vec<u8>>,
    /// The requests under which servers ended, encoded, to remember over a
    /// restart.
    pub suspects: Option<Vec<u8>>,
}

/// What became of orders.
#[derive(Debug)]
pub enum DiskEvent {
    /// All batches up to this one last.
    Synced(u64),
    /// The disk failed; nothing later lasts.
    Failed(String),
    /// The store was opened anew, for this epoch, with what it holds.
    Reopened(u64, Box<KeptState>),
}

/// The replica's end of the disk thread.
#[derive(Debug)]
pub struct DiskHandle {
    /// Takes orders.
    pub writes: SyncSender<DiskWrite>,
    /// Gives notes.
    pub events: RingReceiver<DiskEvent>,
}

/// Starts the disk thread for a store.
///
/// # Errors
///
/// Fails if the system gives no thread.
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
                    // The folder's lock goes with the store.
                    drop(store);
                    store = self.reopen();
                }
            }
        }
    }

    /// Keeps an order and all that wait behind it with one sync.
    fn persist_batch(
        &self,
        store: &mut ReplicaStore,
        first: DiskWrite,
    ) -> anyhow::Result<Option<u64>> {
        let mut last_batch = None;
        let mut servers = None;
        let mut suspects = None;
        let mut next = Some(first);
        while let Some(write) = next {
            if write.epoch == self.epoch {
                for action in &write.actions {
                    store.keep(action)?;
                }
                last_batch = Some(write.batch);
                servers = write.servers.or(servers);
                suspects = write.suspects.or(suspects);
            }
            next = self.writes.try_recv().ok();
        }
        store.sync()?;
        let folder = store.folder();
        let remembered = servers.map(|servers| folder.remember(RememberedFile::Servers, &servers));
        if let Some(Err(error)) = remembered {
            // They announce themselves in any case.
            tracing::warn!(target: "group", "disk: servers not remembered, {error:#}");
        }
        if let Some(suspects) = suspects {
            folder.remember(RememberedFile::Suspects, &suspects)?;
        }
        Ok(last_batch)
    }

    fn reopen(&mut self) -> ReplicaStore {
        loop {
            std::thread::sleep(REOPEN_INTERVAL);
            let opened = DataFolder::open_own(&self.path, &self.instance);
            let opened = opened.and_then(|(folder, _, _)| {
                let mut store = ReplicaStore::open(folder)?;
                store.rewrite()?;
                Ok(store)
            });
            let Ok(store) = opened else {
                continue;
            };
            self.epoch += 1;
            let kept = Box::new(store.kept().clone());
            self.events
                .put_blocking(DiskEvent::Reopened(self.epoch, kept));
            return store;
        }
    }
}
