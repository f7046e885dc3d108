//! JSON bodies that an instance exchanges with operators: recorded decisions, status
//! reports, and changes of the service table.

use serde::{Deserialize, Serialize};

/// Decision that an instance recorded.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Time of the decision, in milliseconds since the process started.
    pub at_ms: f64,
    /// Id of the request that the decision was made for, if any.
    pub request: Option<String>,
    /// Component that made the decision.
    pub part: String,
    /// Description of the decision.
    pub text: String,
}

/// State of an upstream server, as an instance knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Server name.
    pub server: String,
    /// Failure domain of the server.
    pub domain: String,
    /// `starting`, `serving`, `draining` or `left`; `expired` if the server's lease has
    /// expired.
    pub phase: String,
    /// Whether the server is ejected: gets no requests for some time because of failures.
    pub ejected: bool,
    /// Number of this instance's subqueries that the server has not answered yet.
    pub outstanding: u32,
    /// Maximum number of outstanding subqueries that this instance may have at the
    /// server.
    pub share_outstanding: u32,
    /// Maximum number of connections that this instance may have to the server.
    pub share_connections: u32,
    /// Number of snapshots that the server holds.
    pub snapshots: u32,
}

/// Load of a service at an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Service name.
    pub service: String,
    /// Number of requests that are running.
    pub running: u32,
    /// Number of requests that wait in the queue.
    pub queued: u32,
}

/// Status that an instance reports of itself.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Instance name.
    pub instance: String,
    /// Failure domain of the instance.
    pub domain: String,
    /// Version of the service table in effect.
    pub table_version: u64,
    /// Whether the instance accepts new requests.
    pub ready: bool,
    /// Number of decisions that were not recorded because the ring buffer was full.
    pub decisions_dropped: u64,
    /// Services of the service table.
    pub services: Vec<ServiceStatus>,
    /// Upstream servers that the instance knows.
    pub servers: Vec<ServerStatus>,
}

/// State of a cluster member, as an instance knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Member name.
    pub name: String,
    /// Failure domain of the member.
    pub domain: String,
    /// Address where the member accepts messages of other instances.
    pub address: std::net::SocketAddr,
    /// Incarnation of the member.
    pub incarnation: u64,
    /// Liveness of the member: `alive`, `suspect`, `dead` or `left`.
    pub standing: String,
}

/// Change of the service table, sent by an operator's client.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableChange {
    /// Version that the change is based on.
    pub base: u64,
    /// Id of the change, chosen by the operator's client.
    pub change: String,
    /// Who made the change, and why.
    #[serde(default)]
    pub note: String,
    /// Complete new table as CSV.
    pub csv: String,
}

/// Result of a [`TableChange`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum TableChangeResult {
    /// The change was accepted.
    Accepted {
        /// Version that the change created.
        version: u64,
    },
    /// The change was refused because another change based on the same version was
    /// accepted first.
    Conflict {
        /// Current version.
        version: u64,
        /// Current table as CSV.
        csv: String,
    },
    /// The change was rejected because the new table is invalid.
    Rejected {
        /// Errors found in the table.
        findings: Vec<String>,
    },
}

/// Entry of the service table's history.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableHistoryEntry {
    /// Version number.
    pub version: u64,
    /// Id of the change that created the version.
    pub change: String,
    /// Who made the change, and why.
    pub note: String,
}

/// Service table in effect at an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TableStatus {
    /// Version of the table.
    pub version: u64,
    /// Complete table as CSV.
    pub csv: String,
}
