//! Load of services and workspaces at a control instance: the reports of its entries, the
//! exchange with the other control instances, and the summary for entries.

use std::net::SocketAddr;

use wheelmast_core::process::load::share::ShareWeights;
use wheelmast_core::process::load::usage_board::ListChange;
use wheelmast_core::process::load::LoadReport;
use wheelmast_wire::group::GroupMessage;

use crate::process::group::node::GroupNode;

impl GroupNode {
    /// Records the load report of a subscribed entry.
    pub(super) fn record_load_report(&self, key: u64, report: LoadReport) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(subscriber) = state.subscribers.get(&key) else {
            return;
        };
        let services = &state.services;
        let is_known = |service: &str| services.contains(service);
        state
            .load_board
            .record_report(&subscriber.peer.id(), report, is_known, now);
    }

    /// Records the merged load report of another control instance.
    pub(super) fn record_load_share(&self, peer: SocketAddr, share: LoadReport) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.load_board.record_share(peer, share, now);
    }

    /// Sends the merged report to the other control instances, and the summary to the
    /// entries whose source this instance is. Sends nothing while there is nothing to
    /// report.
    pub(super) fn exchange_load(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.load_board.drop_expired(now);
        if let Some(share) = state.load_board.build_share(now) {
            state.send_to_control(&GroupMessage::LoadShare(share));
        }
        let weights = ShareWeights::of_sharing(&state.workspaces);
        let summary = state.load_board.build_summary(weights, now);
        write_share_changes(&state.load_board.take_share_changes());
        let Some((summary, changes)) = summary else {
            return;
        };
        let reporters = state.load_board.reporter_count();
        for change in changes {
            tracing::info!(target: "group", service = %change.service, level = change.level, reporters, "shortage: merged level changed");
        }
        state.send_to_full_subscribers(GroupMessage::LoadSummary(summary));
    }
}

/// Logs the workspaces that are limited to their share, and those that no longer are.
fn write_share_changes(changes: &[ListChange]) {
    for change in changes {
        match change {
            ListChange::Added(over) => {
                let (work_ms, share_ms) = (over.work_ms.round(), over.share_ms.round());
                let fraction = over.fraction;
                tracing::info!(target: "group", workspace = %over.workspace, work_ms, share_ms, fraction, "share: listed");
            }
            ListChange::Removed(workspace) => {
                tracing::info!(target: "group", %workspace, "share: no longer listed");
            }
        }
    }
}
