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
use crate::process::store::replica_store::{PersistedState, ReplicaStore};
use crate::ring::{bounded_ring, RingReceiver, RingSender};

/// Orders that may wait for the disk.
const ORDER_RING: usize = 4096;
/// Notes that may wait for the replica.
const NOTE_RING: usize = 64;
/// Time between two tries to open a store that failed.
const REOPEN_TIME: Duration = Duration::from_millis(400);

/// What is to be kept.
#[derive(Debug)]
pub struct DiskOrder {
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
pub enum DiskNote {
    /// All batches up to this one last.
    Done(u64),
    /// The disk failed; nothing later lasts.
    Failed(String),
    /// The store was opened anew, for this epoch, with what it holds.
    Opened(u64, Box<PersistedState>),
}

/// The replica's end of the disk thread.
#[derive(Debug)]
pub struct DiskLine {
    /// Takes orders.
    pub orders: SyncSender<DiskOrder>,
    /// Gives notes.
    pub notes: RingReceiver<DiskNote>,
}

/// Starts the disk thread for a store.
///
/// # Errors
///
/// Fails if the system gives no thread.
pub fn start_disk(store: ReplicaStore, path: PathBuf, instance: &str) -> anyhow::Result<DiskLine> {
    let (orders, receiver) = std::sync::mpsc::sync_channel(ORDER_RING);
    let (sender, notes) = bounded_ring(NOTE_RING);
    let duty = DiskDuty {
        path,
        instance: instance.to_string(),
        orders: receiver,
        notes: sender,
        epoch: 0,
    };
    start_thread("disk", move || duty.run(store))?;
    Ok(DiskLine { orders, notes })
}

struct DiskDuty {
    path: PathBuf,
    instance: String,
    orders: Receiver<DiskOrder>,
    notes: RingSender<DiskNote>,
    epoch: u64,
}

impl DiskDuty {
    fn run(mut self, mut store: ReplicaStore) {
        while let Ok(order) = self.orders.recv() {
            match self.persist(&mut store, order) {
                Ok(Some(batch)) => self.notes.put_blocking(DiskNote::Done(batch)),
                Ok(None) => {}
                Err(error) => {
                    self.notes
                        .put_blocking(DiskNote::Failed(format!("{error:#}")));
                    // The folder's lock goes with the store.
                    drop(store);
                    store = self.reopen();
                }
            }
        }
    }

    /// Keeps an order and all that wait behind it with one sync.
    fn persist(&self, store: &mut ReplicaStore, first: DiskOrder) -> anyhow::Result<Option<u64>> {
        let mut last = None;
        let mut servers = None;
        let mut suspects = None;
        let mut next = Some(first);
        while let Some(order) = next {
            if order.epoch == self.epoch {
                for action in &order.actions {
                    store.persist(action)?;
                }
                last = Some(order.batch);
                servers = order.servers.or(servers);
                suspects = order.suspects.or(suspects);
            }
            next = self.orders.try_recv().ok();
        }
        store.sync()?;
        let folder = store.folder();
        let remembered =
            servers.map(|servers| folder.replace_remembered(RememberedFile::Servers, &servers));
        if let Some(Err(error)) = remembered {
            // They announce themselves in any case.
            tracing::warn!(target: "group", "disk: servers not remembered, {error:#}");
        }
        if let Some(suspects) = suspects {
            folder.replace_remembered(RememberedFile::Suspects, &suspects)?;
        }
        Ok(last)
    }

    fn reopen(&mut self) -> ReplicaStore {
        loop {
            std::thread::sleep(REOPEN_TIME);
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
            self.notes
                .put_blocking(DiskNote::Opened(self.epoch, persisted_state));
            return store;
        }
    }
}
