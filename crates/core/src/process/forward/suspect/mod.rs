//! Requests under which servers ended.
//!
//! A request may end each server that begins to run it. It is known by its mark
//! when it comes again; what one entry has seen of it, all are told.

use std::time::Duration;

pub mod crash_watch;
pub mod record;
pub mod registry;

/// Least time between two messages of news, of an entry or a control instance:
/// well under the time that a trial is waited for at other entries.
pub const SUSPECT_REPORT_INTERVAL: Duration = Duration::from_millis(30);
