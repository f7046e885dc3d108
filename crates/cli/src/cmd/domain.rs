//! `wheelmast domain`: evacuates failure domains, so that their servers get no new requests, and
//! returns them to use.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde::Deserialize;
use wheelmast_wire::native::EVACUATIONS_PATH;

use crate::cmd::common::{instance_arg, instances, send_to_any_instance};

/// The subcommand that was given, with its arguments.
enum DomainAction {
    /// Evacuate this failure domain.
    Out(String),
    /// Return this failure domain to use.
    Back(String),
    /// List the evacuated failure domains.
    List,
}

/// The parsed arguments of `wheelmast domain`.
pub struct DomainCommand {
    action: DomainAction,
    instances: Vec<SocketAddr>,
}

/// Response of a control instance that lists the evacuated failure domains.
#[derive(Debug, Deserialize)]
struct EvacuationList {
    evacuated: Vec<String>,
}

impl DomainCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let domain = || Arg::new("domain").value_name("DOMAIN").required(true);
        let instance = || instance_arg("Listener for operators of a control instance");
        Command::new("domain")
            .about("Take failure domains out of use and back")
            .after_help(
                "The servers of a failure domain out of use get no new requests; requests that \
                 are running are finished. A command may be repeated.\n\nExamples:\n  \
                 wheelmast domain out oulu-1 --instance 127.0.0.1:7401\n  \
                 wheelmast domain back oulu-1 --instance 127.0.0.1:7401\n  \
                 wheelmast domain list --instance 127.0.0.1:7401",
            )
            .subcommand_required(true)
            .subcommand(
                Command::new("out")
                    .about("Stop sending requests to its servers")
                    .arg(domain())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("back")
                    .about("Send requests to its servers again")
                    .arg(domain())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("list")
                    .about("List the failure domains out of use, confirmed by a quorum")
                    .arg(instance()),
            )
    }

    /// Creates the command from its parsed arguments.
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
        let action = match name {
            "out" => DomainAction::Out(domain()?),
            "back" => DomainAction::Back(domain()?),
            _ => DomainAction::List,
        };
        Ok(DomainCommand {
            action,
            instances: instances(matches),
        })
    }

    /// Runs the subcommand and prints its result.
    ///
    /// # Errors
    ///
    /// Fails if no control instance accepts the command, or one rejects it.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        match &self.action {
            DomainAction::Out(domain) => {
                self.send_change(Method::POST, domain)?;
                println!("{domain}: out of use");
            }
            DomainAction::Back(domain) => {
                self.send_change(Method::DELETE, domain)?;
                println!("{domain}: in use");
            }
            DomainAction::List => {
                let list: EvacuationList =
                    send_to_any_instance(&self.instances, Method::GET, EVACUATIONS_PATH, "")?
                        .json()?;
                for domain in list.evacuated {
                    println!("{domain}");
                }
            }
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Sends the evacuation (POST) or the return (DELETE) of a failure domain to a control instance.
    fn send_change(&self, method: Method, domain: &str) -> anyhow::Result<()> {
        let path = format!("{EVACUATIONS_PATH}/{domain}");
        send_to_any_instance(&self.instances, method, &path, "")?;
        Ok(())
    }
}
