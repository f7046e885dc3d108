//! Detection of suspect requests ("queries of death"): requests under which servers crash.
//!
//! A suspect request may crash every server that starts to run it. The fingerprint of
//! its content and caller identifies the request when it is sent again. Entries exchange
//! their crash records through the control group, so that all of them treat it alike.

use std::time::Duration;

pub mod crash_watch;
pub mod record;
pub mod registry;

/// Minimum time between two messages with suspect records from one entry or control
/// instance. It is well below the time for which other entries wait for the outcome of a
/// canary attempt.
pub const SUSPECT_REPORT_INTERVAL: Duration = Duration::from_millis(30);
