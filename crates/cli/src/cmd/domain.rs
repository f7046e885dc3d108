//! `wheelmast domain`: take failure domains out of use and back.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use hyper::Method;
use serde::Deserialize;
use wheelmast_wire::native::EVACUATIONS_PATH;

use crate::cmd::common::{instance_arg, instances, send_to_any_instance};

/// What is to be done.
enum DomainAction {
    Out(String),
    Back(String),
    List,
}

/// The subcommand with its arguments.
pub struct DomainCommand {
    action: DomainAction,
    instances: Vec<SocketAddr>,
}

/// The failure domains out of use, as an instance lists them.
#[derive(Debug, Deserialize)]
struct EvacuationList {
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

    /// Does what was asked.
    ///
    /// # Errors
    ///
    /// Fails if no instance took the order, or one refused it.
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

    fn send_change(&self, method: Method, domain: &str) -> anyhow::Result<()> {
        let path = format!("{EVACUATIONS_PATH}/{domain}");
        send_to_any_instance(&self.instances, method, &path, "")?;
        Ok(())
    }
}
