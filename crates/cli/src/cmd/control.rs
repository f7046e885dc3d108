//! `wheelmast control`: shows the state of the control group. Reads the metrics of each control
//! instance and reports problems such as a missing leader or different route tables.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::bail;
use clap::{ArgMatches, Command};

use crate::client::HttpClient;
use crate::cmd::common::{block_on, instance_arg, instances};

/// HTTP path at which an instance exposes its metrics.
const METRICS_PATH: &str = "/metrics";
/// Prefix of the names of all metrics.
const NAME_PREFIX: &str = "wheelmast_";
/// Most batches that wait for a disk that keeps up with the writes. More are reported as a
/// problem.
const MAX_WAITING_BATCHES: f64 = 4.0;

/// The gauges of an instance by name, without the prefix `wheelmast_`.
pub type InstanceGauges = BTreeMap<String, f64>;

/// The parsed arguments of `wheelmast control`.
pub struct ControlCommand {
    instances: Vec<SocketAddr>,
}

impl ControlCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("control")
            .about("Show the state of the control group")
            .subcommand_required(true)
            .subcommand(
                Command::new("status")
                    .about("Show each instance's role in the group, and its problems")
                    .after_help(
                        "Reads the metrics of each instance. Exits with 1 if there is a problem.\n\
                         The group replaces lost members itself: start a new instance with an \
                         empty data folder and the seeds.\n\nExample:\n  \
                         wheelmast control status --instance 10.0.0.1:9464,10.0.0.2:9464",
                    )
                    .arg(instance_arg("Metrics listener of a control instance")),
            )
    }

    /// Creates the command from its parsed arguments.
    pub fn new(matches: &ArgMatches) -> ControlCommand {
        let matches = matches.subcommand_matches("status").unwrap_or(matches);
        ControlCommand {
            instances: instances(matches),
        }
    }

    /// Prints the status of each instance, then the problems of the group. Returns failure if there
    /// are problems.
    pub fn run(&self) -> ExitCode {
        let mut group = Vec::with_capacity(self.instances.len());
        for instance in &self.instances {
            let gauges = fetch_gauges(*instance);
            match &gauges {
                Ok(gauges) => println!("{instance}  {}", format_status(gauges)),
                Err(error) => println!("{instance}  {error:#}"),
            }
            group.push((instance.to_string(), gauges.ok()));
        }
        let findings = find_problems(&group);
        for finding in &findings {
            println!("{finding}");
        }
        if findings.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

/// Requests the metrics of an instance and returns its gauges.
fn fetch_gauges(instance: SocketAddr) -> anyhow::Result<InstanceGauges> {
    let reply = block_on(HttpClient::default().get(instance, METRICS_PATH))?;
    if !reply.status.is_success() {
        bail!("could not read the metrics: {}", reply.status);
    }
    Ok(read_gauges(&String::from_utf8_lossy(&reply.body)))
}

/// Parses metrics in the Prometheus text format and returns the metrics of `wheelmast` that have
/// no labels.
pub fn read_gauges(text: &str) -> InstanceGauges {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| {
        let (name, value) = line.split_once(' ')?;
        let name = name.strip_prefix(NAME_PREFIX)?;
        Some((name.to_string(), value.trim().parse().ok()?))
    });
    pairs.collect()
}

/// Returns the value of a gauge, or 0 if the instance does not expose that gauge.
fn read_gauge(gauges: &InstanceGauges, name: &str) -> f64 {
    gauges.get(name).copied().unwrap_or_default()
}

/// Returns the printed status of an instance: its role, term, commit index and counts.
fn format_status(gauges: &InstanceGauges) -> String {
    let gauge = |name: &str| read_gauge(gauges, name);
    let role = if gauge("replica_up") < 1.0 {
        "stopped by its disk"
    } else if gauge("replica_leads") > 0.0 {
        "leads"
    } else if gauge("replica_votes") > 0.0 {
        "votes"
    } else {
        "learns"
    };
    format!(
        "{role}, term {}, commit {}, {} members, table {}, {} entries, {} servers ({} silent), {} in contact",
        gauge("replica_term"),
        gauge("replica_commit_index"),
        gauge("replica_members"),
        gauge("route_table_version"),
        gauge("group_entries"),
        gauge("servers_known"),
        gauge("servers_silent"),
        gauge("group_contacts"),
    )
}

/// Returns the problems of a control group, one text each. The gauges of an instance are `None` if
/// the instance did not answer.
pub fn find_problems(group: &[(String, Option<InstanceGauges>)]) -> Vec<String> {
    let mut findings = Vec::new();
    let mut leaders = Vec::new();
    let mut versions = Vec::new();
    for (instance, gauges) in group {
        let Some(gauges) = gauges else {
            findings.push(format!("{instance}: does not answer"));
            continue;
        };
        let gauge = |name: &str| read_gauge(gauges, name);
        if gauge("replica_up") < 1.0 {
            findings.push(format!(
                "{instance}: its replica stands still, see its disk"
            ));
            continue;
        }
        if gauge("replica_has_leader") < 1.0 {
            findings.push(format!("{instance}: knows no leader"));
        }
        if gauge("disk_batches_waiting") > MAX_WAITING_BATCHES {
            findings.push(format!("{instance}: its disk does not keep up"));
        }
        if gauge("replica_leads") > 0.0 {
            leaders.push(instance.as_str());
        }
        versions.push(gauge("route_table_version"));
    }
    match leaders[..] {
        [_] => {}
        [] => findings.push("no instance leads".to_string()),
        _ => findings.push(format!("more than one leads: {}", leaders.join(", "))),
    }
    if versions.windows(2).any(|pair| pair[0] != pair[1]) {
        findings.push("not the same table is in force on all".to_string());
    }
    findings
}
