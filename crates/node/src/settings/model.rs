//! Settings of an instance that answers queries from snapshots, and a builder
//! for programs that embed such an instance.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Log settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum level, or a filter like `info,wheelmast_node=debug`.
    pub level: String,
    /// Whether each recorded decision is written to the log.
    pub decisions: bool,
}

/// Limits on what clients make an instance hold, all of them together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum number of open connections to the listener for callers, or to that for
    /// servers and operators of a control instance.
    pub connections: u32,
    /// Maximum size of the requests and answers held for clients, in MiB: a third for
    /// requests, the rest for answers.
    pub memory_mb: u32,
}

impl ClientLimits {
    /// Returns the maximum size of requests and answers in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb as usize * 1024 * 1024
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        ClientLimits {
            connections: 2048,
            memory_mb: 72,
        }
    }
}

/// Settings that connect an instance to the other instances of its deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// Name of the deployment's control group.
    pub cluster: String,
    /// Address of the listener for other instances.
    pub listen: SocketAddr,
    /// The other instances of the deployment.
    pub peers: Vec<PeerSettings>,
    /// Source of the key that all instances of the deployment share.
    pub key: KeySource,
    /// The data folder. An instance with a data folder is a control replica.
    pub data_folder: Option<PathBuf>,
}

/// Settings for another instance of the deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSettings {
    /// Name of the other instance.
    pub name: String,
    /// Address at which the other instance listens for peers.
    pub address: SocketAddr,
    /// Whether the other instance is a control replica.
    pub is_replica: bool,
}

/// Source of a secret key. Debug output omits the key, so that it is never
/// logged.
#[derive(Clone, PartialEq, Eq)]
pub enum KeySource {
    /// The key is the first line of this file.
    File(PathBuf),
    /// The key itself, passed by a program that embeds an instance.
    Key(String),
}

impl std::fmt::Debug for KeySource {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            KeySource::File(path) => write!(f, "File({})", path.display()),
            KeySource::Key(_) => f.write_str("Key(..)"),
        }
    }
}

/// Settings of one instance that answers queries from snapshots.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the deployment.
    pub instance: String,
    /// Failure domain (zone) that the instance runs in.
    pub domain: String,
    /// Region that the instance runs in.
    pub region: String,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// Address of the listener for upstream servers' announcements.
    pub upstreams: SocketAddr,
    /// Local address that outgoing connections are bound to, if set.
    pub source: Option<IpAddr>,
    /// Connection to the other instances; `None` for an instance that runs alone.
    pub cluster: Option<ClusterSettings>,
    /// Source of the token that operators must send with a change, if any.
    pub operator_token: Option<KeySource>,
    /// File with the service table to use, for an instance that runs alone.
    pub table: Option<PathBuf>,
    /// Number of instances that divide each upstream server's limits among them.
    pub instances: u32,
    /// Maximum number of requests in progress.
    pub in_flight: u32,
    /// Limits on what clients make the instance hold.
    pub clients: ClientLimits,
    /// Maximum number of request decisions recorded per second.
    pub decisions_per_second: u32,
    /// Time during shutdown between the first "not ready" answer and the first
    /// refused request.
    pub drain_notice: Duration,
    /// Log settings.
    pub log: LogSettings,
}

/// Default instance name, failure domain and region.
const UNNAMED: &str = "unnamed";
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

impl Default for InstanceSettings {
    fn default() -> Self {
        InstanceSettings {
            instance: UNNAMED.to_string(),
            domain: UNNAMED.to_string(),
            region: UNNAMED.to_string(),
            callers: SocketAddr::new(LOOPBACK, 0),
            operators: SocketAddr::new(LOOPBACK, 0),
            upstreams: SocketAddr::new(LOOPBACK, 0),
            source: None,
            cluster: None,
            operator_token: None,
            table: None,
            instances: 1,
            in_flight: 512,
            clients: ClientLimits::default(),
            decisions_per_second: 2000,
            drain_notice: Duration::from_millis(500),
            log: LogSettings {
                format: LogFormat::Text,
                level: "info".to_string(),
                decisions: true,
            },
        }
    }
}

impl InstanceSettings {
    /// Returns a builder with default settings for an instance with this name.
    pub fn builder(instance: impl Into<String>) -> InstanceSettingsBuilder {
        InstanceSettingsBuilder {
            settings: InstanceSettings {
                instance: instance.into(),
                ..InstanceSettings::default()
            },
        }
    }
}

/// Builds [`InstanceSettings`].
#[derive(Debug, Clone)]
pub struct InstanceSettingsBuilder {
    settings: InstanceSettings,
}

impl InstanceSettingsBuilder {
    /// Sets the failure domain that the instance runs in.
    pub fn domain(mut self, domain: impl Into<String>) -> Self {
        self.settings.domain = domain.into();
        self
    }

    /// Sets the address of the listener for callers.
    pub fn callers(mut self, address: SocketAddr) -> Self {
        self.settings.callers = address;
        self
    }

    /// Sets the address of the listener for operators.
    pub fn operators(mut self, address: SocketAddr) -> Self {
        self.settings.operators = address;
        self
    }

    /// Sets the address of the listener for upstream servers' announcements.
    pub fn upstreams(mut self, address: SocketAddr) -> Self {
        self.settings.upstreams = address;
        self
    }

    /// Sets the local address that outgoing connections are bound to.
    pub fn source(mut self, source: IpAddr) -> Self {
        self.settings.source = Some(source);
        self
    }

    /// Connects the instance to the other instances of a deployment.
    pub fn cluster(mut self, cluster: ClusterSettings) -> Self {
        self.settings.cluster = Some(cluster);
        self
    }

    /// Sets the number of instances that divide each upstream server's limits.
    pub fn instances(mut self, instances: u32) -> Self {
        self.settings.instances = instances;
        self
    }

    /// Sets the maximum number of requests in progress.
    pub fn in_flight(mut self, in_flight: u32) -> Self {
        self.settings.in_flight = in_flight;
        self
    }

    /// Sets the maximum number of callers' connections.
    pub fn connections(mut self, connections: u32) -> Self {
        self.settings.clients.connections = connections;
        self
    }

    /// Sets the maximum number of request decisions recorded per second.
    pub fn decisions_per_second(mut self, decisions: u32) -> Self {
        self.settings.decisions_per_second = decisions;
        self
    }

    /// Sets the time during shutdown between the first "not ready" answer and
    /// the first refused request.
    pub fn drain_notice(mut self, drain_notice: Duration) -> Self {
        self.settings.drain_notice = drain_notice;
        self
    }

    /// Sets whether each recorded decision is written to the log.
    pub fn log_decisions(mut self, decisions: bool) -> Self {
        self.settings.log.decisions = decisions;
        self
    }

    /// Returns the finished settings.
    pub fn build(self) -> InstanceSettings {
        self.settings
    }
}
