//! Settings of an instance that forwards requests or is of the control group.

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

use crate::settings::reader::ObjectReader;

/// What an address must be.
const ADDRESS_ALLOWED: &str = "an IP address and port, like \"127.0.0.1:7400\"";
/// One in so many plain successes is told in full, unless the settings say.
const DEFAULT_PLAIN_EVERY: u32 = 64;
/// Least levels of log lines.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Time between two announcements of a server, unless the settings name one.
const DEFAULT_ANNOUNCE: Duration = Duration::from_millis(1200);
/// Time for a graceful end, unless the settings name one.
const DEFAULT_GRACE: Duration = Duration::from_secs(6);

/// What the instance does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleKind {
    /// It takes callers' requests.
    Entry,
    /// It takes announcements and operators' changes, and keeps them.
    Control,
}

/// Whose names and formats are spoken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DialectKind {
    /// The product's own.
    Native,
    /// The users' platform's.
    Platform,
}

/// Settings of an instance with a role.
#[derive(Debug, Clone, PartialEq)]
pub struct RoleSettings {
    /// What it does.
    pub role: RoleKind,
    /// Its name.
    pub instance: String,
    /// Failure domain it stands in.
    pub domain: String,
    /// Regions of the failure domains, as far as they are known.
    pub regions: RegionMap,
    /// Whose names and formats are spoken.
    pub dialect: DialectKind,
    /// Listener for callers, of an entry.
    pub callers: Option<SocketAddr>,
    /// Listener for the balancer, of an entry.
    pub ready: Option<SocketAddr>,
    /// Listener for servers and operators, of a control instance.
    pub control: Option<SocketAddr>,
    /// Address of the instance towards others.
    pub address: IpAddr,
    /// Port at which control instances listen for others.
    pub peer_port: u16,
    /// Listener for metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Control instances to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Folder of a control instance.
    pub data_folder: Option<PathBuf>,
    /// Control instances that may be lost at once.
    pub tolerate: usize,
    /// Bound on extra load.
    pub extra: ExtraBound,
    /// Bound on what cold servers get.
    pub cold: ColdBound,
    /// Bound on requests to a version that is rolled out and not proved good.
    pub canary: CanaryBound,
    /// How far usage caps may be exceeded.
    pub caps: CapBound,
    /// How an entry estimates how fast a server is.
    pub slowness: SlownessStrategy,
    /// How an entry meets pauses of servers.
    pub stalls: StallStrategy,
    /// Time without an announcement after which a server counts as silent.
    pub lease: Duration,
    /// Time for a graceful end.
    pub grace: Duration,
    /// Least level of log lines.
    pub log_level: String,
    /// One in so many plain successes is told in full in the log.
    pub log_plain_every: u32,
}

impl RoleSettings {
    /// Returns the seeds' listeners for other instances.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
            .collect()
    }

    /// Returns the instance's own listener for other instances.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }
}

/// Reads the settings of an instance with a role.
pub(crate) fn read_role(
    text: &str,
    object: &Object<'_>,
    findings: &mut FindingList,
) -> Option<RoleSettings> {
    let mut reader = ObjectReader::new(text, object);
    for name in ["role", "instance", "failure_domain", "listen", "seeds"] {
        reader.require(name, findings);
    }
    let role = match reader.word("role", &["entry", "control"], findings) {
        Some("control") => RoleKind::Control,
        _ => RoleKind::Entry,
    };
    let dialect = match reader.word("dialect", &["native", "platform"], findings) {
        Some("platform") => DialectKind::Platform,
        _ => DialectKind::Native,
    };
    let instance = reader.text("instance", findings);
    let domain = reader.text("failure_domain", findings);
    let regions = reader.names("regions", findings);
    let address = reader.parsed("address", "an IP address", findings);
    let peer_port = reader.number("peer_port", 1, 65_535, findings);
    let seeds = reader.parsed_list("seeds", ADDRESS_ALLOWED, findings);
    let first_start = reader.flag("first_start", findings);
    let data_folder = reader.text("data_folder", findings).map(PathBuf::from);
    let tolerate = reader.number("tolerate", 0, 3, findings);
    let lease = reader.number("lease_ms", 100, 600_000, findings);
    let announce = reader.number("announce_ms", 100, 600_000, findings);
    let grace = reader.number("grace_ms", 100, 600_000, findings);
    let plain_every = reader.number("log_plain_every", 1, 1_000_000, findings);
    let slowness = reader.word("server_pace", &SlownessStrategy::NAMES, findings);
    let stalls = reader.word("server_pauses", &StallStrategy::NAMES, findings);
    let log_level = reader.word("log_level", &LOG_LEVELS, findings);
    let extra = reader.object("extra_load", findings);
    let extra = extra.map(|extra| read_extra(extra, findings));
    let cold = reader.object("cold_load", findings);
    let cold = cold.map(|cold| read_cold(cold, findings));
    let canary = reader.object("rollouts", findings);
    let canary = canary.map(|canary| read_canary(canary, findings));
    let caps = reader.object("usage_caps", findings);
    let caps = caps.map(|caps| read_caps(caps, findings));
    let listen = reader.object("listen", findings);
    let listen = listen.map(|listen| read_listen(listen, findings));
    let listen = listen.unwrap_or_default();
    check_listeners(role, &listen, reader.whole_place(), findings);
    reader.finish(findings);
    let millis = |millis: u32| Duration::from_millis(u64::from(millis));
    let announce = announce.map_or(DEFAULT_ANNOUNCE, millis);
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
        lease: lease.map_or_else(|| lease_for(announce), millis),
        grace: grace.map_or(DEFAULT_GRACE, millis),
        log_level: log_level.unwrap_or("info").to_string(),
        log_plain_every: plain_every.unwrap_or(DEFAULT_PLAIN_EVERY),
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
        callers: reader.parsed("callers", ADDRESS_ALLOWED, findings),
        ready: reader.parsed("ready", ADDRESS_ALLOWED, findings),
        control: reader.parsed("control", ADDRESS_ALLOWED, findings),
        metrics: reader.parsed("metrics", ADDRESS_ALLOWED, findings),
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
    let excess = reader.decimal("excess", findings);
    let slack = reader.decimal("slack", findings);
    reader.finish(findings);
    ColdBound {
        excess: excess.unwrap_or(default.excess),
        slack: slack.unwrap_or(default.slack),
    }
}

fn read_canary(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> CanaryBound {
    let default = CanaryBound::default();
    let share = reader.decimal("share", findings);
    let slack = reader.decimal("slack", findings);
    reader.finish(findings);
    CanaryBound {
        share: share.unwrap_or(default.share),
        slack: slack.unwrap_or(default.slack),
    }
}

fn read_caps(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> CapBound {
    let default = CapBound::default();
    let excess = reader.decimal("excess", findings);
    let slack = reader.decimal("slack", findings);
    let window = reader.decimal("window_s", findings);
    reader.finish(findings);
    CapBound {
        excess: excess.unwrap_or(default.excess),
        slack: slack.unwrap_or(default.slack),
        window: window.map_or(default.window, Duration::from_secs_f64),
    }
}

fn read_extra(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> ExtraBound {
    let default = ExtraBound::default();
    let ratio = reader.decimal("ratio", findings);
    let slack = reader.decimal("slack", findings);
    let window = reader.decimal("window_s", findings);
    reader.finish(findings);
    ExtraBound {
        ratio: ratio.unwrap_or(default.ratio),
        slack: slack.unwrap_or(default.slack),
        window: window.map_or(default.window, Duration::from_secs_f64),
    }
}
