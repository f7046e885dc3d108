//! `wheelmast rollout`: starts a canary roll-out, which moves a service's requests to a new version
//! of its servers, and shows its progress.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde::Deserialize;
use wheelmast_wire::native::ROLLOUTS_PATH;

use crate::cmd::common::{instance_arg, instances, send_to_any_instance};

/// The subcommand that was given, with its arguments.
enum RolloutAction {
    /// Start a roll-out to this version, which must finish within this duration.
    Start { version: String, duration: Duration },
    /// Show the state of the service's last roll-out.
    Show,
}

/// The parsed arguments of `wheelmast rollout`.
pub struct RolloutCommand {
    action: RolloutAction,
    service: String,
    instances: Vec<SocketAddr>,
}

/// State of a roll-out, as reported by a control instance.
#[derive(Debug, Deserialize)]
struct RolloutReport {
    state: String,
    version: String,
}

impl RolloutCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let service = || Arg::new("service").value_name("SERVICE").required(true);
        let instance = || instance_arg("Listener for operators of a control instance");
        Command::new("rollout")
            .about("Move a service's requests to a new version")
            .after_help(
                "A few requests are sent to the new version as canaries. Depending on the \
                 answers of both versions, all requests move to the new one or none do. \
                 A command may be repeated.\n\nExamples:\n  \
                 wheelmast rollout start search v2 --seconds 60 --instance 127.0.0.1:7401\n  \
                 wheelmast rollout show search --instance 127.0.0.1:7401",
            )
            .subcommand_required(true)
            .subcommand(
                Command::new("start")
                    .about("Start a roll-out; servers of both versions must be running")
                    .arg(service())
                    .arg(Arg::new("version").value_name("VERSION").required(true))
                    .arg(
                        Arg::new("seconds")
                            .long("seconds")
                            .value_name("SECONDS")
                            .value_parser(clap::value_parser!(u64).range(1..))
                            .default_value("60")
                            .help("Time that the roll-out may take, in seconds"),
                    )
                    .arg(instance()),
            )
            .subcommand(
                Command::new("show")
                    .about("Show the state of the last roll-out, confirmed by a quorum")
                    .arg(service())
                    .arg(instance()),
            )
    }

    /// Creates the command from its parsed arguments.
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

    /// Runs the subcommand and prints its result.
    ///
    /// # Errors
    ///
    /// Fails if no control instance accepts the command, or one rejects it.
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
