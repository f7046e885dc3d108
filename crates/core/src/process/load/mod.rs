//! Load of services and workspaces, as entries report it to the control group and the
//! control group reports it back to all entries.
//!
//! An entry sees only a few requests per second, while a shortage is at the servers, which
//! all entries share. The merged reports let all entries apply the same limits.

pub mod board;
pub mod share;
pub mod share_gate;
pub mod shortage;
pub mod usage;
pub mod usage_board;

use serde::{Deserialize, Serialize};

/// Shortage of one service, as seen by one entry or merged from several.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceShortage {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of ranks, starting from the lowest, that are restricted; 0 if none is.
    pub level: u8,
    /// Requests that used the service in the last second.
    pub uses: u16,
}

/// Work that one workspace asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkspaceWork {
    /// Name of the workspace.
    pub workspace: Box<str>,
    /// Work per second, in milliseconds of service time.
    pub work_ms: u32,
}

/// Load report of an entry to its source, or the merged reports of the entries that follow
/// a control instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Services that are short or were used while others report them as short. In the
    /// merged report of a control instance, a service has up to two rows for each level:
    /// one if one entry reported the level, two if several did.
    pub services: Vec<ServiceShortage>,
    /// Workspaces with the most work.
    pub workspaces: Vec<WorkspaceWork>,
    /// Work per second that all workspaces asked for, in milliseconds of service time.
    pub total_work_ms: u32,
    /// Work per second that was admitted, in milliseconds of service time.
    pub served_work_ms: u32,
}

/// Shortage level of one service, merged from the reports of all entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Name of the service.
    pub service: Box<str>,
    /// Number of ranks, starting from the lowest, that are restricted.
    pub level: u8,
}

/// Share of a workspace that asks for more than its fair share of a short service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceShare {
    /// Name of the workspace.
    pub workspace: Box<str>,
    /// Fraction of the workspace's requests to be admitted while a service is short, from
    /// 0 to 1.
    pub fraction: f32,
}

/// Merged load, sent by a control instance to the entries that follow it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Services that an entry reports as short, also those with the merged level 0: the
    /// entries that use them report that they see no shortage.
    pub services: Vec<ServiceLevel>,
    /// Workspaces above their share.
    pub workspaces: Vec<WorkspaceShare>,
}
