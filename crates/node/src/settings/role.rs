//! Settings of an instance with a role: an entry, which forwards callers'
//! requests to the upstream, or a member of the control group.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use jsonc_parser::ast::Object;
use wheelmast_core::finding::{FindingList, FindingPlace};
use wheelmast_core::process::cap::CapBound;
use wheelmast_core::process::forward::cold::ColdBound;
use wheelmast_core::process::forward::directory::lease_for;
use wheelmast_core::process::forward::extra::ExtraBound;
use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_core::process::forward::slowness::SlownessStrategy;
use wheelmast_core::process::forward::stall::StallStrategy;
use wheelmast_core::process::rollout::share::CanaryBound;

use crate::settings::model::ClientLimits;
use crate::settings::reader::{read_client_limits, ObjectReader};

/// Description of a valid address, for findings.
const ADDRESS_FORMAT: &str = "an IP address and port, like \"127.0.0.1:7400\"";
/// Default of [`RoleSettings::log_plain_every`].
const DEFAULT_LOG_PLAIN_EVERY: u32 = 64;
/// Valid values of the minimum log level.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Default time between two announcements of a server.
const DEFAULT_ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1200);
/// Default time for a graceful shutdown.
const DEFAULT_GRACE_PERIOD: Duration = Duration::from_secs(6);

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleKind {
    /// Accepts callers' requests and forwards them to the upstream.
    Entry,
    /// Accepts servers' announcements and operators' changes, and stores them.
    Control,
}

/// The header names and message formats that an instance uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialectKind {
    /// The names and formats of wheelmast.
    Native,
    /// The names and formats of the users' platform.
    Platform,
}

/// Settings of an entry or a control instance.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleSettings {
    /// Role of the instance.
    pub role: RoleKind,
    /// Name of the instance.
    pub instance: String,
    /// Failure domain (zone) that the instance runs in.
    pub domain: String,
    /// Region of each failure domain whose region is known.
    pub regions: RegionMap,
    /// Header names and message formats that the instance uses.
    pub dialect: DialectKind,
    /// Address of an entry's listener for callers.
    pub callers: Option<SocketAddr>,
    /// Address of an entry's listener for the load balancer's readiness checks.
    pub ready: Option<SocketAddr>,
    /// Address of a control instance's listener for servers and operators.
    pub control: Option<SocketAddr>,
    /// IP address at which other instances reach this one.
    pub address: IpAddr,
    /// Port at which control instances listen for other instances.
    pub peer_port: u16,
    /// Address of the listener for metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Control instances to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system is starting for the first time.
    pub first_start: bool,
    /// Data folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// Number of control instances that may fail at the same time.
    pub tolerate: usize,
    /// Limit on the load from extra attempts, such as retries and hedges.
    pub extra: ExtraBound,
    /// Limit on the requests sent to cold servers: those just started or
    /// returned, with empty caches.
    pub cold: ColdBound,
    /// Limit on the requests sent to a version that is being rolled out and is
    /// not confirmed as good yet.
    pub canary: CanaryBound,
    /// Limit on how far usage caps may be exceeded.
    pub caps: CapBound,
    /// How an entry estimates the speed of a server.
    pub slowness: SlownessStrategy,
    /// How an entry handles stalls: short periods in which a server answers
    /// nothing.
    pub stalls: StallStrategy,
    /// Whether ranks decide at admission while a service is short: requests of restricted
    /// ranks are then refused, or kept from short shards.
    pub rank_admission: bool,
    /// Whether entries divide the connections of servers that accept fewer than one from
    /// each entry.
    pub connection_subsets: bool,
    /// Time without an announcement after which a server's lease expires.
    pub lease: Duration,
    /// Time for a graceful shutdown.
    pub grace: Duration,
    /// Limits on what clients make the instance hold.
    pub clients: ClientLimits,
    /// Minimum level of log lines.
    pub log_level: String,
    /// One in this many ordinary successful requests is logged in full.
    pub log_plain_every: u32,
}

impl RoleSettings {
    /// Returns the addresses at which the seeds listen for other instances.
    pub fn seed_peer_addresses(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
            .collect()
    }

    /// Returns the address at which this instance listens for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }
}

/// Reads the settings of an entry or a control instance. Adds a finding for each
/// fault, and returns `None` if a required value is missing.
pub(crate) fn read_role(
    text: &str,
    object: &Object<'_>,
    findings: &mut FindingList,
) -> Option<RoleSettings> {
    let mut reader = ObjectReader::new(text, object);
    for name in ["role", "instance", "failure_domain", "listen", "seeds"] {
        reader.require_field(name, findings);
    }
    let role = match reader.read_choice("role", &["entry", "control"], findings) {
        Some("control") => RoleKind::Control,
        _ => RoleKind::Entry,
    };
    let dialect = match reader.read_choice("dialect", &["native", "platform"], findings) {
        Some("platform") => DialectKind::Platform,
        _ => DialectKind::Native,
    };
    let instance = reader.read_string("instance", findings);
    let domain = reader.read_string("failure_domain", findings);
    let regions = reader.read_string_map("regions", findings);
    let address = reader.read_parsed("address", "an IP address", findings);
    let peer_port = reader.read_integer("peer_port", 1, 65_535, findings);
    let seeds = reader.read_parsed_list("seeds", ADDRESS_FORMAT, findings);
    let first_start = reader.read_bool("first_start", findings);
    let data_folder = reader
        .read_string("data_folder", findings)
        .map(PathBuf::from);
    let tolerate = reader.read_integer("tolerate", 0, 3, findings);
    let lease = reader.read_integer("lease_ms", 100, 600_000, findings);
    let announce_interval = reader.read_integer("announce_ms", 100, 600_000, findings);
    let grace = reader.read_integer("grace_ms", 100, 600_000, findings);
    let clients = read_client_limits(&mut reader, findings);
    let log_plain_every = reader.read_integer("log_plain_every", 1, 1_000_000, findings);
    let slowness = reader.read_choice("server_pace", &SlownessStrategy::NAMES, findings);
    let stalls = reader.read_choice("server_pauses", &StallStrategy::NAMES, findings);
    let connection_subsets = reader.read_bool("connection_subsets", findings);
    let rank_admission = reader.read_bool("rank_admission", findings);
    let log_level = reader.read_choice("log_level", &LOG_LEVELS, findings);
    let extra = reader.read_object("extra_load", findings);
    let extra = extra.map(|extra| read_extra(extra, findings));
    let cold = reader.read_object("cold_load", findings);
    let cold = cold.map(|cold| read_cold(cold, findings));
    let canary = reader.read_object("rollouts", findings);
    let canary = canary.map(|canary| read_canary(canary, findings));
    let caps = reader.read_object("usage_caps", findings);
    let caps = caps.map(|caps| read_caps(caps, findings));
    let listen = reader.read_object("listen", findings);
    let listen = listen.map(|listen| read_listen(listen, findings));
    let listen = listen.unwrap_or_default();
    check_listeners(role, &listen, reader.object_place(), findings);
    reader.finish(findings);
    let to_duration = |millis: u32| Duration::from_millis(u64::from(millis));
    let announce_interval = announce_interval.map_or(DEFAULT_ANNOUNCE_INTERVAL, to_duration);
    Some(RoleSettings {
        role,
        instance: instance?,
        domain: domain?,
        regions: RegionMap::new(regions),
        dialect,
        callers: listen.callers,
        ready: listen.ready,
        control: listen.control,
        address: address?,
        peer_port: peer_port? as u16,
        metrics: listen.metrics,
        seeds,
        first_start: first_start.unwrap_or(false),
        data_folder,
        tolerate: tolerate.unwrap_or(0) as usize,
        extra: extra.unwrap_or_default(),
        cold: cold.unwrap_or_default(),
        caps: caps.unwrap_or_default(),
        canary: canary.unwrap_or_default(),
        slowness: slowness
            .map(SlownessStrategy::from_name)
            .unwrap_or_default(),
        stalls: stalls.map(StallStrategy::from_name).unwrap_or_default(),
        rank_admission: rank_admission.unwrap_or(false),
        connection_subsets: connection_subsets.unwrap_or(false),
        lease: lease.map_or_else(|| lease_for(announce_interval), to_duration),
        grace: grace.map_or(DEFAULT_GRACE_PERIOD, to_duration),
        clients,
        log_level: log_level.unwrap_or("info").to_string(),
        log_plain_every: log_plain_every.unwrap_or(DEFAULT_LOG_PLAIN_EVERY),
    })
}

#[derive(Debug, Default)]
struct ListenSettings {
    callers: Option<SocketAddr>,
    ready: Option<SocketAddr>,
    control: Option<SocketAddr>,
    metrics: Option<SocketAddr>,
}

fn read_listen(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> ListenSettings {
    let listen = ListenSettings {
        callers: reader.read_parsed("callers", ADDRESS_FORMAT, findings),
        ready: reader.read_parsed("ready", ADDRESS_FORMAT, findings),
        control: reader.read_parsed("control", ADDRESS_FORMAT, findings),
        metrics: reader.read_parsed("metrics", ADDRESS_FORMAT, findings),
    };
    reader.finish(findings);
    listen
}

fn check_listeners(
    role: RoleKind,
    listen: &ListenSettings,
    place: FindingPlace,
    findings: &mut FindingList,
) {
    let missing: &[&str] = match role {
        RoleKind::Entry if listen.callers.is_none() => &["listen.callers"],
        RoleKind::Entry if listen.ready.is_none() => &["listen.ready"],
        RoleKind::Control if listen.control.is_none() => &["listen.control"],
        _ => &[],
    };
    for name in missing {
        findings.add(place.clone(), format!("{name}: missing; the role needs it"));
    }
}

fn read_cold(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> ColdBound {
    let default = ColdBound::default();
    let excess = reader.read_decimal("excess", findings);
    let slack = reader.read_decimal("slack", findings);
    reader.finish(findings);
    ColdBound {
        excess: excess.unwrap_or(default.excess),
        slack: slack.unwrap_or(default.slack),
    }
}

fn read_canary(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> CanaryBound {
    let default = CanaryBound::default();
    let share = reader.read_decimal("share", findings);
    let slack = reader.read_decimal("slack", findings);
    reader.finish(findings);
    CanaryBound {
        share: share.unwrap_or(default.share),
        slack: slack.unwrap_or(default.slack),
    }
}

fn read_caps(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> CapBound {
    let default = CapBound::default();
    let excess = reader.read_decimal("excess", findings);
    let slack = reader.read_decimal("slack", findings);
    let window = reader.read_decimal("window_s", findings);
    reader.finish(findings);
    CapBound {
        excess: excess.unwrap_or(default.excess),
        slack: slack.unwrap_or(default.slack),
        window: window.map_or(default.window, Duration::from_secs_f64),
    }
}

fn read_extra(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> ExtraBound {
    let default = ExtraBound::default();
    let ratio = reader.read_decimal("ratio", findings);
    let slack = reader.read_decimal("slack", findings);
    let window = reader.read_decimal("window_s", findings);
    reader.finish(findings);
    ExtraBound {
        ratio: ratio.unwrap_or(default.ratio),
        slack: slack.unwrap_or(default.slack),
        window: window.map_or(default.window, Duration::from_secs_f64),
    }
}
