//! Log lines on workspaces that are limited to their share, and released.

use std::time::Duration;

use wheelmast_core::process::load::share_gate::{ShareBasis, ShareChange};

/// Writes the log line of a change.
pub(super) fn write_share_change(change: &ShareChange) {
    match change {
        ShareChange::Limited {
            workspace,
            limit,
            total_ms,
            served_ms,
        } => {
            let (fraction, basis) = (limit.fraction, limit.basis.label());
            let age_ms = summary_age_ms(limit.basis);
            let (total_ms, served_ms) = (total_ms.round(), served_ms.round());
            tracing::info!(target: "entry", %workspace, fraction, basis, age_ms, total_ms, served_ms, "share: limited");
        }
        ShareChange::Released {
            workspace,
            admitted,
            refused,
            lasted,
        } => {
            let lasted_ms = millis(*lasted);
            tracing::info!(target: "entry", %workspace, admitted, refused, lasted_ms, "share: released");
        }
    }
}

/// Returns the age of the summary that a decision is based on, in milliseconds.
pub(super) fn summary_age_ms(basis: ShareBasis) -> Option<u64> {
    match basis {
        ShareBasis::Summary { age } => Some(millis(age)),
        ShareBasis::Local => None,
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}
