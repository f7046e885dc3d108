//! Messages between an instance and its operators, as JSON.

use serde::{Deserialize, Serialize};

/// One recorded decision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Milliseconds since the process started.
    pub at_ms: f64,
    /// Identity of the request, if it was made for one.
    pub request: Option<String>,
    /// Part that decided.
    pub part: String,
    /// The decision in words.
    pub text: String,
}

/// An upstream server as an instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Its name.
    pub server: String,
    /// Its failure domain.
    pub domain: String,
    /// Its phase, or `expired`.
    pub phase: String,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Subqueries outstanding there.
    pub outstanding: u32,
    /// Most subqueries this instance may have outstanding there.
    pub share_outstanding: u32,
    /// Most connections this instance may have to it.
    pub share_connections: u32,
    /// Number of snapshots it holds.
    pub snapshots: u32,
}

/// A service as an instance treats it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Requests at work.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
}

/// An instance as it sees itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: String,
    /// Its failure domain.
    pub domain: String,
    /// Version of the table in force.
    pub table_version: u64,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Decisions that found the ring full and were not recorded.
    pub decisions_dropped: u64,
    /// Its services.
    pub services: Vec<ServiceStatus>,
    /// The upstream servers it knows.
    pub servers: Vec<ServerStatus>,
}

/// A member as an instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its listener for peers.
    pub address: std::net::SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub standing: String,
}

/// A change to the table.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableChange {
    /// Version the change is based on.
    pub base: u64,
    /// Identity of the change, chosen by the operator's client.
    pub change: String,
    /// Who made it, and why.
    #[serde(default)]
    pub note: String,
    /// The whole new table as CSV.
    pub csv: String,
}

/// What came of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum TableChangeResult {
    /// It is accepted as this version.
    Accepted {
        /// The version.
        version: u64,
    },
    /// Another change was based on the same version and won.
    Conflict {
        /// The version that stands.
        version: u64,
        /// The table that stands, as CSV.
        csv: String,
    },
    /// The table has findings.
    Rejected {
        /// The findings.
        findings: Vec<String>,
    },
}

/// One version of the table in its history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableHistoryEntry {
    /// Its number.
    pub version: u64,
    /// The change that made it.
    pub change: String,
    /// Who made it, and why.
    pub note: String,
}

/// The table in force at an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableStatus {
    /// Its version.
    pub version: u64,
    /// The table as CSV.
    pub csv: String,
}
