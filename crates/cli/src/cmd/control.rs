//! `wheelmast control`: how the control group is.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::bail;
use clap::{ArgMatches, Command};

use crate::client::HttpClient;
use crate::cmd::common::{block_on, instance_arg, instances};

/// Where an instance exposes its metrics.
const METRICS_PATH: &str = "/metrics";
/// What stands before the names of the metrics.
const NAME_PREFIX: &str = "wheelmast_";
/// Batches that may wait for a disk that keeps up.
const MAX_WAITING_BATCHES: f64 = 4.0;

/// The gauges of an instance, without their common prefix.
pub type InstanceGauges = BTreeMap<String, f64>;

/// The subcommand with its arguments.
pub struct ControlCommand {
    instances: Vec<SocketAddr>,
}

impl ControlCommand {
    /// Returns the description of the arguments.
    pub fn command() -> Command {
        Command::new("control")
            .about("Show how the control group is")
            .subcommand_required(true)
            .subcommand(
                Command::new("status")
                    .about("Show each instance's part in the group, and what is wrong with it")
                    .after_help(
                        "Reads the metrics of each instance. Ends with 1 if anything is wrong.\n\
                         The group replaces lost members itself: start a new instance with an \
                         empty data folder and the seeds.\n\nExample:\n  \
                         wheelmast control status --instance 10.0.0.1:9464,10.0.0.2:9464",
                    )
                    .arg(instance_arg("Metrics listener of a control instance")),
            )
    }

    /// Reads the arguments.
    pub fn new(matches: &ArgMatches) -> ControlCommand {
        let matches = matches.subcommand_matches("status").unwrap_or(matches);
        ControlCommand {
            instances: instances(matches),
        }
    }

    /// Asks each instance and prints what it says.
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

fn fetch_gauges(instance: SocketAddr) -> anyhow::Result<InstanceGauges> {
    let reply = block_on(HttpClient::default().get(instance, METRICS_PATH))?;
    if !reply.status.is_success() {
        bail!("could not read the metrics: {}", reply.status);
    }
    Ok(read_gauges(&String::from_utf8_lossy(&reply.body)))
}

/// Reads the gauges without labels out of metrics as text.
pub fn read_gauges(text: &str) -> InstanceGauges {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let pairs = lines.filter_map(|line| {
        let (name, value) = line.split_once(' ')?;
        let name = name.strip_prefix(NAME_PREFIX)?;
        Some((name.to_string(), value.trim().parse().ok()?))
    });
    pairs.collect()
}

/// Returns a gauge; 0 if the instance has none of that name.
fn read_gauge(gauges: &InstanceGauges, name: &str) -> f64 {
    gauges.get(name).copied().unwrap_or_default()
}

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

/// Returns what is wrong with a group of instances; `None` stands for one that
/// did not answer.
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
