//! Suspect requests: requests under which servers crashed, identified by a fingerprint.
//! A control instance merges the records that entries report, sends changes to entries
//! and to other control instances, and writes them to disk.

use std::rc::Rc;
use std::time::Duration;

use wheelmast_core::process::forward::suspect::record::SuspectRecord;
use wheelmast_core::process::forward::suspect::SUSPECT_REPORT_INTERVAL;
use wheelmast_wire::group::GroupMessage;

use crate::process::group::disk::DiskWrite;
use crate::process::group::node::GroupNode;
use crate::process::store::remembered::encode_records;

/// Time to collect further changes before the records are written to disk. Many reports
/// of a request that crashes many servers arrive at almost the same time.
const PERSIST_DELAY: Duration = Duration::from_millis(15);

/// The sender of records of suspect requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectSource {
    /// An entry.
    Entry,
    /// Another control instance, which sends its records to all control instances
    /// itself.
    Control,
}

impl GroupNode {
    /// Returns a message with all records of suspect requests.
    pub fn build_all_suspects(&self) -> GroupMessage {
        let state = self.state.borrow();
        GroupMessage::Suspects(state.suspects.records().cloned().collect())
    }

    /// Merges the records that an entry or another control instance sent. Schedules
    /// changed records for entries, and, if an entry sent them, for the other control
    /// instances.
    pub fn merge_suspects(&self, records: Vec<SuspectRecord>, from: SuspectSource) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let mut changed_records = Vec::new();
        for record in &records {
            if state.suspects.merge(record, now) {
                changed_records.extend(state.suspects.record(record.mark).cloned());
            }
        }
        if changed_records.is_empty() {
            return;
        }
        for record in &changed_records {
            tracing::warn!(target: "group", mark = %record.mark, round = record.round, ends = record.crash_count(), tried = record.has_failed_canaries(), "request: suspect");
        }
        let fingerprints = changed_records.iter().map(|record| record.mark);
        if from == SuspectSource::Entry {
            state.suspects_for_control.extend(fingerprints.clone());
        }
        state.suspects_for_entries.extend(fingerprints);
        drop(state);
        self.suspects_to_send.notify_one();
        self.suspects_to_persist.notify_one();
    }

    /// Sends changed records until the instance ends: the first change at once, and
    /// changes that follow within the report interval together. An entry receives each
    /// crash from every control instance that it is subscribed to, so one message per
    /// crash would add up to many per entry.
    pub async fn send_suspects(self: Rc<Self>) {
        loop {
            self.suspects_to_send.notified().await;
            self.send_unsent_suspects();
            tokio::time::sleep(SUSPECT_REPORT_INTERVAL).await;
        }
    }

    fn send_unsent_suspects(&self) {
        let mut state = self.state.borrow_mut();
        let fingerprints = std::mem::take(&mut state.suspects_for_control);
        if !fingerprints.is_empty() {
            let message = state.build_suspects_message(&fingerprints);
            state.send_to_control(&message);
        }
        let fingerprints = std::mem::take(&mut state.suspects_for_entries);
        let message = state.build_suspects_message(&fingerprints);
        state.send_to_entries(message);
    }

    /// Restores the records that were known before a restart.
    pub fn restore_suspects(&self, records: Vec<SuspectRecord>) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        for record in &records {
            state.suspects.merge(record, now);
        }
    }

    /// Writes all records to disk whenever one changed.
    pub async fn persist_suspects(self: Rc<Self>) {
        loop {
            self.suspects_to_persist.notified().await;
            tokio::time::sleep(PERSIST_DELAY).await;
            let state = self.state.borrow();
            let records: Vec<&SuspectRecord> = state.suspects.records().collect();
            let Ok(suspects) = encode_records(&records) else {
                continue;
            };
            let write = DiskWrite {
                suspects: Some(suspects),
                ..state.new_disk_write()
            };
            if self.disk.try_send(write).is_err() {
                // The disk stalls. The records are written with the next change, and
                // other control instances hold them too.
                tracing::warn!(target: "group", "disk: write queue is full; suspects not saved");
            }
        }
    }
}
