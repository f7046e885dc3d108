//! Parses settings files. The file of an instance that forwards requests or
//! belongs to the control group has the key `role`; all other files are those of
//! instances that answer queries from snapshots.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context;
use jsonc_parser::parse_to_ast;
use wheelmast_core::finding::{FindingList, FindingPlace};

use crate::settings::model::{
    ClusterSettings, InstanceSettings, KeySource, LogFormat, PeerSettings,
};
use crate::settings::reader::{read_client_limits, ObjectReader};
use crate::settings::role::{read_role, RoleSettings};

/// Description of a valid address, for findings.
const ADDRESS_FORMAT: &str = "an IP address and port, like \"127.0.0.1:7400\"";

/// Settings of one of the two kinds of instances.
#[derive(Debug, Clone)]
pub enum ParsedSettings {
    /// Settings of an instance that answers queries from snapshots.
    Instance(Box<InstanceSettings>),
    /// Settings of an instance that forwards requests (an entry) or belongs to
    /// the control group.
    Role(Box<RoleSettings>),
}

/// Reads a settings file and parses it with [`read_settings_text`].
///
/// # Errors
///
/// Fails if the file cannot be read. The inner result holds the findings of a
/// file that was read.
pub fn read_settings_file(path: &Path) -> anyhow::Result<Result<ParsedSettings, FindingList>> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("could not read settings {}", path.display()))?;
    Ok(read_settings_text(&text))
}

/// Parses settings of either kind, in JSON with comments. Settings with the key
/// `role` are read as [`RoleSettings`], all others as [`InstanceSettings`].
///
/// # Errors
///
/// Returns all findings if the settings have faults.
pub fn read_settings_text(text: &str) -> Result<ParsedSettings, FindingList> {
    let parsed = parse_to_ast(text, &Default::default(), &Default::default());
    let value = parsed
        .as_ref()
        .ok()
        .and_then(|parsed| parsed.value.as_ref());
    let object = value.and_then(|value| value.as_object());
    let Some(object) = object.filter(|object| object.get("role").is_some()) else {
        return read_instance_settings(text)
            .map(|settings| ParsedSettings::Instance(Box::new(settings)));
    };
    let mut findings = FindingList::default();
    let settings = read_role(text, object, &mut findings);
    match settings {
        Some(settings) if findings.is_empty() => Ok(ParsedSettings::Role(Box::new(settings))),
        _ => Err(findings),
    }
}

/// Parses the settings of an instance that answers queries from snapshots, in
/// JSON with comments.
///
/// # Errors
///
/// Returns all findings if the settings have faults.
pub fn read_instance_settings(text: &str) -> Result<InstanceSettings, FindingList> {
    let mut findings = FindingList::default();
    let parsed = match parse_to_ast(text, &Default::default(), &Default::default()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let place = FindingPlace::Text {
                line: error.line_display(),
                column: error.column_display(),
            };
            findings.add(place, format!("not JSON with comments: {}", error.kind()));
            return Err(findings);
        }
    };
    let mut settings = InstanceSettings::default();
    match parsed.value.as_ref().and_then(|value| value.as_object()) {
        Some(object) => {
            let reader = ObjectReader::new(text, object);
            read_instance(reader, &mut settings, &mut findings);
        }
        None => findings.add(FindingPlace::WholeInput, "settings must be one object"),
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(findings)
    }
}

fn read_instance(
    mut reader: ObjectReader<'_, '_>,
    settings: &mut InstanceSettings,
    findings: &mut FindingList,
) {
    for name in ["instance", "failure_domain", "listen"] {
        reader.require_field(name, findings);
    }
    set_if_some(
        &mut settings.instance,
        reader.read_string("instance", findings),
    );
    set_if_some(
        &mut settings.domain,
        reader.read_string("failure_domain", findings),
    );
    set_if_some(&mut settings.region, reader.read_string("region", findings));
    settings.source = reader.read_parsed("source", "an IP address", findings);
    settings.table = reader.read_string("table", findings).map(PathBuf::from);
    set_if_some(
        &mut settings.instances,
        reader.read_integer("instances", 1, 1000, findings),
    );
    set_if_some(
        &mut settings.in_flight,
        reader.read_integer("in_flight", 1, 100_000, findings),
    );
    settings.clients = read_client_limits(&mut reader, findings);
    set_if_some(
        &mut settings.decisions_per_second,
        reader.read_integer("decisions_per_second", 0, 1_000_000, findings),
    );
    let drain_notice = reader.read_integer("drain_notice_ms", 0, 60_000, findings);
    set_if_some(
        &mut settings.drain_notice,
        drain_notice.map(|millis| Duration::from_millis(u64::from(millis))),
    );
    let mut peer_listener = None;
    if let Some(listen) = reader.read_object("listen", findings) {
        peer_listener = read_listen(listen, settings, findings);
    }
    let token = reader.read_string("operator_token_file", findings);
    settings.operator_token = token.map(|path| KeySource::File(path.into()));
    if let Some(cluster) = reader.read_object("cluster", findings) {
        let place = reader.object_place();
        settings.cluster = read_cluster(cluster, peer_listener, place.clone(), findings);
        if settings.table.is_some() {
            findings.add(
                place,
                "table: not allowed with cluster; apply the table to the control group",
            );
        }
    }
    if let Some(log) = reader.read_object("log", findings) {
        read_log(log, settings, findings);
    }
    reader.finish(findings);
}

fn read_listen(
    mut reader: ObjectReader<'_, '_>,
    settings: &mut InstanceSettings,
    findings: &mut FindingList,
) -> Option<SocketAddr> {
    let expected = ADDRESS_FORMAT;
    for name in ["callers", "operators", "upstreams"] {
        reader.require_field(name, findings);
    }
    set_if_some(
        &mut settings.callers,
        reader.read_parsed("callers", expected, findings),
    );
    set_if_some(
        &mut settings.operators,
        reader.read_parsed("operators", expected, findings),
    );
    set_if_some(
        &mut settings.upstreams,
        reader.read_parsed("upstreams", expected, findings),
    );
    let peers = reader.read_parsed("peers", expected, findings);
    reader.finish(findings);
    peers
}

fn read_cluster(
    mut reader: ObjectReader<'_, '_>,
    listen: Option<SocketAddr>,
    place: FindingPlace,
    findings: &mut FindingList,
) -> Option<ClusterSettings> {
    for name in ["name", "key_file"] {
        reader.require_field(name, findings);
    }
    let cluster = reader.read_string("name", findings);
    let key = reader.read_string("key_file", findings);
    let data_folder = reader
        .read_string("data_folder", findings)
        .map(PathBuf::from);
    let readers = reader.read_object_list("peers", findings);
    let peers = readers
        .into_iter()
        .filter_map(|peer| read_peer(peer, findings));
    let peers = peers.collect();
    reader.finish(findings);
    if listen.is_none() {
        findings.add(place, "listen.peers: missing; cluster needs it");
    }
    Some(ClusterSettings {
        cluster: cluster?,
        listen: listen?,
        peers,
        key: KeySource::File(key?.into()),
        data_folder,
    })
}

fn read_peer(mut reader: ObjectReader<'_, '_>, findings: &mut FindingList) -> Option<PeerSettings> {
    for name in ["name", "address"] {
        reader.require_field(name, findings);
    }
    let name = reader.read_string("name", findings);
    let address = reader.read_parsed("address", ADDRESS_FORMAT, findings);
    let replica = reader.read_bool("replica", findings);
    reader.finish(findings);
    Some(PeerSettings {
        name: name?,
        address: address?,
        is_replica: replica.unwrap_or(false),
    })
}

fn read_log(
    mut reader: ObjectReader<'_, '_>,
    settings: &mut InstanceSettings,
    findings: &mut FindingList,
) {
    match reader.read_choice("format", &["text", "json"], findings) {
        Some("json") => settings.log.format = LogFormat::Json,
        Some(_) => settings.log.format = LogFormat::Text,
        None => {}
    }
    set_if_some(
        &mut settings.log.level,
        reader.read_string("level", findings),
    );
    set_if_some(
        &mut settings.log.decisions,
        reader.read_bool("decisions", findings),
    );
    reader.finish(findings);
}

/// Assigns `value` to `field` if there is a value; a default stays otherwise.
fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}
