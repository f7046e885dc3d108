//! Fair shares among workspaces at the admission of a request.
//!
//! Applies where the table names two workspaces or more. The entry that the caller asked
//! counts the work and decides; an entry that a request is relayed to does neither.

use std::time::Duration;

use crate::process::forward::admit::SCARCE_THRESHOLD;
use crate::process::forward::answer::{ForwardAction, ForwardDecision, ForwardFailure};
use crate::process::forward::call::{CallState, PartState};
use crate::process::forward::machine::ForwardMachine;
use crate::process::load::share::ShareWeights;
use crate::process::load::{LoadReport, WorkspaceShare};
use crate::version::route_table::RouteTable;

/// Returns the weights of the table's workspaces, or `None` if there are too few for
/// shares.
fn share_weights(table: &RouteTable) -> Option<ShareWeights<'_>> {
    table.workspaces().and_then(ShareWeights::of_sharing)
}

impl ForwardMachine {
    /// Counts the work of a new request, and returns the failure with which to refuse it
    /// if its workspace is over its share of a service that is short.
    pub(super) fn check_share(
        &mut self,
        state: &mut CallState,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> Option<ForwardFailure> {
        if state.is_relayed {
            return None;
        }
        let weights = share_weights(&state.table)?;
        let typical = self.timings[state.timing].typical(state.rule());
        let work_ms = typical.as_secs_f64() * 1000.0 * state.parts.len() as f64;
        self.shares
            .record_request(state.workspace.as_ref(), work_ms, now);
        let is_refused = self.is_over_share(state, weights, now, out);
        state.work_ms = work_ms;
        self.report_share_changes(out);
        is_refused.then_some(ForwardFailure::OverShare)
    }

    /// Returns whether a request is refused because its workspace is over its share.
    fn is_over_share(
        &mut self,
        state: &CallState,
        weights: ShareWeights<'_>,
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) -> bool {
        let Some(workspace) = &state.workspace else {
            return false;
        };
        let Some(limit) = self.shares.find_limit(workspace, weights, now) else {
            return false;
        };
        if !self.needs_short_service(state, now) {
            return false;
        }
        let is_admitted = self
            .shares
            .admit(workspace, state.timing, limit, now, &mut self.rng);
        if !is_admitted {
            self.counters.over_share += 1;
            self.record_decision(state.tag, out, || ForwardDecision::OverShare {
                workspace: workspace.clone(),
                limit,
            });
        }
        !is_admitted
    }

    /// Returns whether a request cannot reach its minimum coverage without a service that
    /// is short.
    fn needs_short_service(&self, state: &CallState, now: Duration) -> bool {
        let is_short = |part: &&PartState| {
            let upstream = &self.upstreams[part.upstream];
            upstream.shortage_rate.value_at(now) > SCARCE_THRESHOLD
        };
        let short = state.parts.iter().filter(is_short).count();
        let part_count = state.parts.len() as f64;
        let min_coverage = if state.is_scatter_gather {
            state.rule().least_coverage
        } else {
            1.0
        };
        ((state.parts.len() - short) as f64) < min_coverage * part_count - 1e-9
    }

    /// Counts the work of a request that was admitted as served.
    pub(super) fn record_admitted_work(&mut self, state: &CallState, now: Duration) {
        if state.work_ms > 0.0 {
            self.shares.record_served(state.work_ms, now);
        }
    }

    /// Takes back the work of a request that ended for lack of capacity: it waited or was
    /// rejected, and no server ran it.
    pub(super) fn retract_unserved_work(&mut self, state: &CallState, now: Duration) {
        let mut parts = state.parts.iter();
        let lacked_capacity =
            !state.may_have_run() && parts.any(|part| part.is_open() || part.arrivals > 0);
        if state.work_ms > 0.0 && lacked_capacity {
            self.shares.retract_served(state.work_ms, now);
        }
    }

    /// Applies the workspace part of a load summary of the control group.
    pub(super) fn apply_workspace_shares(
        &mut self,
        shares: &[WorkspaceShare],
        now: Duration,
        out: &mut Vec<ForwardAction>,
    ) {
        self.shares.apply_summary(shares, now);
        self.report_share_changes(out);
    }

    /// Emits the workspaces that were limited or released, for the log.
    fn report_share_changes(&mut self, out: &mut Vec<ForwardAction>) {
        let changes = self.shares.take_changes();
        out.extend(changes.into_iter().map(ForwardAction::RecordShareChange));
    }

    /// Writes the workspace part of this entry's load report. Writes nothing where the
    /// table names too few workspaces for shares.
    pub fn fill_workspace_report(&mut self, report: &mut LoadReport, now: Duration) {
        let table = self.table.as_deref();
        if table.and_then(share_weights).is_some() {
            self.shares.fill_report(report, now);
        }
    }

    /// Returns whether a workspace is over its share by this entry's own view, which is a
    /// reason to send a load report.
    pub fn has_workspace_over_share(&mut self, now: Duration) -> bool {
        let table = self.table.as_deref();
        let Some(weights) = table.and_then(share_weights) else {
            return false;
        };
        self.shares.has_over_share(weights, now)
    }

    /// Returns the number of workspaces that had a request refused recently because they
    /// were over their share.
    pub fn limited_workspaces(&self, now: Duration) -> usize {
        self.shares.limited_count(now)
    }
}
