//! `wheelmast domain`: take failure domains out of use and back.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde::Deserialize;
use wheelmast_wire::native::EVACUATIONS_PATH;

use crate::client::{HttpClient, WholeResponse};
use crate::cmd::common::{block_on, instance_arg, instances};

/// Rounds over all instances before an order is given up: an election takes
/// about a second.
const ROUNDS: usize = 6;
/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// What is to be done.
enum DomainStep {
    Out(String),
    Back(String),
    List,
}

/// The subcommand with its arguments.
pub struct DomainCommand {
    step: DomainStep,
    instances: Vec<SocketAddr>,
}

/// The failure domains out of use, as an instance lists them.
#[derive(Debug, Deserialize)]
struct EvacuatedList {
    evacuated: Vec<String>,
}

impl DomainCommand {
    /// Returns the description of the arguments.
    pub fn command() -> Command {
        let domain = || Arg::new("domain").value_name("DOMAIN").required(true);
        let instance = || instance_arg("Listener for operators of a control instance");
        Command::new("domain")
            .about("Take failure domains out of use and back")
            .after_help(
                "The servers of a failure domain out of use get nothing new; what they run is \
                 finished. An order may be repeated.\n\nExamples:\n  \
                 wheelmast domain out oulu-1 --instance 127.0.0.1:7401\n  \
                 wheelmast domain back oulu-1 --instance 127.0.0.1:7401\n  \
                 wheelmast domain list --instance 127.0.0.1:7401",
            )
            .subcommand_required(true)
            .subcommand(
                Command::new("out")
                    .about("Send nothing more to its servers")
                    .arg(domain())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("back")
                    .about("Send to its servers again")
                    .arg(domain())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("list")
                    .about("Show which are out of use, confirmed by a quorum")
                    .arg(instance()),
            )
    }

    /// Reads the arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<DomainCommand> {
        let (name, matches) = matches
            .subcommand()
            .context("could not find a subcommand")?;
        let domain = || {
            let domain = matches.get_one::<String>("domain").cloned();
            domain.context("could not find DOMAIN")
        };
        let step = match name {
            "out" => DomainStep::Out(domain()?),
            "back" => DomainStep::Back(domain()?),
            _ => DomainStep::List,
        };
        Ok(DomainCommand {
            step,
            instances: instances(matches),
        })
    }

    /// Does what was asked.
    ///
    /// # Errors
    ///
    /// Fails if no instance took the order, or one refused it.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        match &self.step {
            DomainStep::Out(domain) => {
                self.order(Method::POST, domain)?;
                println!("{domain}: out of use");
            }
            DomainStep::Back(domain) => {
                self.order(Method::DELETE, domain)?;
                println!("{domain}: in use");
            }
            DomainStep::List => {
                let list: EvacuatedList = self.ask(Method::GET, EVACUATIONS_PATH)?.json()?;
                for domain in list.evacuated {
                    println!("{domain}");
                }
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    fn order(&self, method: Method, domain: &str) -> anyhow::Result<()> {
        self.ask(method, &format!("{EVACUATIONS_PATH}/{domain}"))?;
        Ok(())
    }

    /// Asks one instance after the other until one says yes; a clear no ends it.
    fn ask(&self, method: Method, path: &str) -> anyhow::Result<WholeResponse> {
        let client = HttpClient::default();
        let mut last = None;
        for round in 0..ROUNDS {
            if round > 0 {
                std::thread::sleep(ROUND_PAUSE);
            }
            for instance in &self.instances {
                let reply = block_on(client.order(*instance, method.clone(), path));
                match reply {
                    Ok(reply) if reply.status.is_success() => return Ok(reply),
                    Ok(reply) if reply.status.is_client_error() => {
                        let text = String::from_utf8_lossy(&reply.body);
                        bail!("{instance} refused {method} {path}: {text}");
                    }
                    Ok(reply) => last = Some(format!("{instance} said {}", reply.status)),
                    Err(error) => last = Some(format!("{error:#}")),
                }
            }
        }
        let last = last.unwrap_or_else(|| "no instance named".to_string());
        bail!("could not make {method} {path}: {last}")
    }
}
