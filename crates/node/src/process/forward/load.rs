//! Load reports of an entry to its source, and the log of shortage levels.

use std::rc::Rc;

use wheelmast_core::process::forward::shortage::{LevelChange, LOAD_REPORT_INTERVAL};
use wheelmast_core::process::load::LoadReport;
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::group::GroupMessage;

use crate::process::forward::entry::ForwardDriver;
use crate::process::forward::feed::GroupFeed;

impl<D: ForwardDialect> ForwardDriver<D> {
    /// Logs changes of shortage levels, and signals that a load report may be due.
    pub(super) fn record_level_changes(&self, changes: Vec<LevelChange>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let LevelChange {
                service,
                level,
                own_level,
                merged_level,
                pressure,
                objective,
            } = change;
            let objective_ms = objective.as_millis() as u64;
            tracing::info!(target: "entry", %service, level, own_level, merged_level, pressure = (pressure * 1000.0).round() / 1000.0, objective_ms, "shortage: level changed");
        }
        self.load_changed.notify_one();
    }

    /// Returns the load report for the source, or `None` if none is due.
    fn take_load_report(&self) -> Option<LoadReport> {
        let now = self.clock.elapsed();
        let (report, changes) = {
            let mut machine = self.machine.borrow_mut();
            let report = machine.take_load_report(now);
            (report, machine.take_level_changes())
        };
        self.record_level_changes(changes);
        report
    }
}

impl<D: ForwardDialect> GroupFeed<D> {
    /// Sends the entry's load to the source once a second while there is anything to
    /// report, and when a shortage level changes, until the entry ends.
    pub async fn publish_load(self: Rc<Self>) {
        loop {
            if let Some(report) = self.entry.take_load_report() {
                self.load_sent_at.set(Some(self.entry.clock.elapsed()));
                let message = GroupMessage::LoadReport(report);
                self.connections.borrow().send_to_source(message);
                tokio::time::sleep(LOAD_REPORT_INTERVAL).await;
                continue;
            }
            tokio::select! {
                () = self.entry.load_changed.notified() => {}
                () = tokio::time::sleep(LOAD_REPORT_INTERVAL) => {}
            }
        }
    }

    /// Returns whether a load report was sent so recently that it stands for a ping to
    /// the source.
    pub(super) fn is_load_recent(&self) -> bool {
        let sent_at = self.load_sent_at.get();
        sent_at.is_some_and(|sent_at| self.entry.clock.elapsed() < sent_at + LOAD_REPORT_INTERVAL)
    }
}
