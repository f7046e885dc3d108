//! `wheelmast rollout`: move a service's requests to a new version.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde::Deserialize;
use wheelmast_wire::native::ROLLOUTS_PATH;

use crate::cmd::common::{instance_arg, instances, send_to_any_instance};

/// What is to be done.
enum RolloutAction {
    Start { version: String, duration: Duration },
    Show,
}

/// The subcommand with its arguments.
pub struct RolloutCommand {
    action: RolloutAction,
    service: String,
    instances: Vec<SocketAddr>,
}

/// How far a roll-out is, as an instance tells it.
#[derive(Debug, Deserialize)]
struct RolloutReport {
    state: String,
    version: String,
}

impl RolloutCommand {
    /// Returns the description of the arguments.
    pub fn command() -> Command {
        let service = || Arg::new("service").value_name("SERVICE").required(true);
        let instance = || instance_arg("Listener for operators of a control instance");
        Command::new("rollout")
            .about("Move a service's requests to a new version")
            .after_help(
                "A few requests try the new version; by how both versions answer, all requests \
                 move to it or none. An order may be repeated.\n\nExamples:\n  \
                 wheelmast rollout start search v2 --seconds 60 --instance 127.0.0.1:7401\n  \
                 wheelmast rollout show search --instance 127.0.0.1:7401",
            )
            .subcommand_required(true)
            .subcommand(
                Command::new("start")
                    .about("Begin a roll-out; the servers of the new version run beside the old")
                    .arg(service())
                    .arg(Arg::new("version").value_name("VERSION").required(true))
                    .arg(
                        Arg::new("seconds")
                            .long("seconds")
                            .value_name("SECONDS")
                            .value_parser(clap::value_parser!(u64).range(1..))
                            .default_value("60")
                            .help("Time that it may take"),
                    )
                    .arg(instance()),
            )
            .subcommand(
                Command::new("show")
                    .about("Show how far the last roll-out is, confirmed by a quorum")
                    .arg(service())
                    .arg(instance()),
            )
    }

    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<RolloutCommand> {
        let (name, matches) = matches
            .subcommand()
            .context("could not find a subcommand")?;
        let text = |name: &str| {
            let text = matches.get_one::<String>(name).cloned();
            text.with_context(|| format!("could not find {name}"))
        };
        let action = match name {
            "start" => {
                let seconds = matches.get_one::<u64>("seconds").copied();
                RolloutAction::Start {
                    version: text("version")?,
                    duration: Duration::from_secs(seconds.context("could not find --seconds")?),
                }
            }
            "show" => RolloutAction::Show,
            other => bail!("could not find the subcommand {other}"),
        };
        Ok(RolloutCommand {
            action,
            service: text("service")?,
            instances: instances(matches),
        })
    }

    /// Does what was asked.
    ///
    /// # Errors
    ///
    /// Fails if no instance took the order, or one refused it.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let service = &self.service;
        match &self.action {
            RolloutAction::Start { version, duration } => {
                let body = serde_json::json!({
                    "service": service,
                    "version": version,
                    "duration_ms": duration.as_millis() as u64,
                });
                let body = body.to_string();
                send_to_any_instance(&self.instances, Method::POST, ROLLOUTS_PATH, &body)?;
                println!("{service}: roll-out to {version} taken");
            }
            RolloutAction::Show => {
                let path = format!("{ROLLOUTS_PATH}/{service}");
                let reply = send_to_any_instance(&self.instances, Method::GET, &path, "")?;
                let report: RolloutReport = reply.json()?;
                println!("{service}: {} to {}", report.state, report.version);
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}
