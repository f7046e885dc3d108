//! Departures of servers: stores them on the disks of this control instance and of others
//! before they are acknowledged, and restores them after a restart.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use wheelmast_core::process::forward::directory::{ServerAnnouncement, ServerLifecycle};
use wheelmast_wire::group::GroupMessage;

use crate::process::group::disk::{DepartureWrite, DiskWrite};
use crate::process::group::node::GroupNode;
use crate::process::group::state::ReplicationWait;
use crate::process::store::remembered::encode_records;

/// Longest wait until this instance, or enough others, have a departure on disk.
const STORE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time to collect further departures before they are written to disk.
const PERSIST_DELAY: Duration = Duration::from_millis(5);

impl GroupNode {
    /// Stores a server's departure on the disks of this instance and of enough others.
    /// Returns whether that succeeded in time.
    pub(super) async fn store_departure(self: &Rc<Self>, announcement: ServerAnnouncement) -> bool {
        let (is_replicated, is_synced) = tokio::join!(
            self.replicate_departure(announcement),
            self.wait_departures_synced()
        );
        is_replicated && is_synced
    }

    /// Sends a server's departure to the other control instances. Returns whether as many
    /// of them as replicas may be lost (`tolerate`) acknowledged it in time.
    async fn replicate_departure(self: &Rc<Self>, announcement: ServerAnnouncement) -> bool {
        let missing_acks = self.settings.tolerate;
        if missing_acks == 0 {
            return true;
        }
        let tag = self.next_tag();
        let (completed, receiver) = oneshot::channel();
        {
            let mut state = self.state.borrow_mut();
            state.pending_replications.insert(
                tag,
                ReplicationWait {
                    missing_acks,
                    completed,
                },
            );
            let announcement = Box::new(announcement);
            state.send_to_control(&GroupMessage::Keep { tag, announcement });
        }
        let replicated = tokio::time::timeout(STORE_TIMEOUT, receiver).await;
        self.state.borrow_mut().pending_replications.remove(&tag);
        matches!(replicated, Ok(Ok(())))
    }

    /// Waits for a limited time until all departures recorded so far are synced to disk.
    /// Returns whether that succeeded.
    pub async fn wait_departures_synced(&self) -> bool {
        let recorded = self.state.borrow().departures_recorded;
        if self.state.borrow().departures_synced < recorded {
            // An earlier write may have been dropped because the disk stalled.
            self.departures_to_persist.notify_one();
        }
        let wait = async {
            loop {
                let synced = self.departures_synced.notified();
                if self.state.borrow().departures_synced >= recorded {
                    return;
                }
                synced.await;
            }
        };
        tokio::time::timeout(STORE_TIMEOUT, wait).await.is_ok()
    }

    /// Records that the first `recorded` departures are synced to disk.
    pub fn record_departures_synced(&self, recorded: u64) {
        let mut state = self.state.borrow_mut();
        state.departures_synced = state.departures_synced.max(recorded);
        self.departures_synced.notify_waiters();
    }

    /// Writes the servers that are draining or have left to disk whenever one was added,
    /// until the instance ends.
    pub async fn persist_departures(self: Rc<Self>) {
        loop {
            self.departures_to_persist.notified().await;
            tokio::time::sleep(PERSIST_DELAY).await;
            let state = self.state.borrow();
            let records = state.directory.iter();
            let departed = records
                .map(|record| &record.announcement)
                .filter(|announcement| announcement.standing != ServerLifecycle::Ready);
            let departed: Vec<ServerAnnouncement> =
                departed.map(ServerAnnouncement::lifecycle_only).collect();
            let departed: Vec<&ServerAnnouncement> = departed.iter().collect();
            let Ok(servers) = encode_records(&departed) else {
                continue;
            };
            let departures = DepartureWrite {
                recorded: state.departures_recorded,
                servers,
            };
            let write = DiskWrite {
                departures: Some(departures),
                ..state.new_disk_write()
            };
            if self.disk.try_send(write).is_err() {
                // The disk stalls. The departures are not acknowledged; their servers
                // announce them again.
                tracing::warn!(target: "group", "disk: write queue is full; departures not saved");
            }
        }
    }

    /// Restores the departures that were known before a restart. They go before the
    /// servers that [`GroupNode::restore_servers`] has restored.
    pub fn restore_departures(&self, departed: Vec<ServerAnnouncement>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        tracing::info!(target: "group", servers = departed.len(), "server: departures remembered");
        for announcement in departed {
            state.directory.apply(announcement, now);
        }
    }

    /// Records that another control instance has stored a server's departure.
    pub fn record_replication_ack(&self, tag: u64) {
        let mut state = self.state.borrow_mut();
        let Some(wait) = state.pending_replications.get_mut(&tag) else {
            return;
        };
        wait.missing_acks -= 1;
        if wait.missing_acks > 0 {
            return;
        }
        if let Some(wait) = state.pending_replications.remove(&tag) {
            // The server's call may have timed out.
            let _ = wait.completed.send(());
        }
    }
}
