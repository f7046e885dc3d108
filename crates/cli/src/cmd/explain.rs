//! `wheelmast explain`: prints the decisions made for one request in time order, from the memory
//! of an instance or from log files.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use wheelmast_wire::prelude::{DecisionLine, ProblemBody};

use crate::client::HttpClient;
use crate::cmd::common::{block_on, first_instance, instance_arg, json_arg, text};
use crate::cmd::stories::read_request_log;

/// The parsed arguments of `wheelmast explain`.
pub struct ExplainCommand {
    instance: Option<SocketAddr>,
    logs: Option<PathBuf>,
    request: String,
    json: bool,
}

impl ExplainCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("explain")
            .about("Show the decisions made for one request")
            .after_help(
                "Example:\n  \
                 wheelmast explain 289b5d36311b0b29-76 --instance 127.0.0.1:7401\n  \
                 wheelmast explain 9c41d07be2a35f68 --logs logs/",
            )
            .arg(Arg::new("request").value_name("REQUEST").required(true))
            .arg(
                instance_arg("Listener for operators of the instance that received the request")
                    .required(false)
                    .required_unless_present("logs"),
            )
            .arg(
                Arg::new("logs")
                    .long("logs")
                    .value_name("PLACE")
                    .value_parser(clap::value_parser!(PathBuf))
                    .help(
                        "Logs of one or more processes: a file, a folder, or - for standard input",
                    ),
            )
            .arg(json_arg())
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<ExplainCommand> {
        Ok(ExplainCommand {
            instance: first_instance(matches).ok(),
            logs: matches.get_one::<PathBuf>("logs").cloned(),
            request: text(matches, "request")?,
            json: matches.get_flag("json"),
        })
    }

    /// Reads the decisions from the logs if `--logs` is given, otherwise from the instance, and
    /// prints them.
    ///
    /// # Errors
    ///
    /// Fails if the logs or the instance hold no decisions for the request.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        if let Some(logs) = &self.logs {
            for line in read_request_log(&self.request, logs)? {
                println!("{}  {:<24} {}", line.at, line.process, line.text);
            }
            return Ok(ExitCode::SUCCESS);
        }
        let instance = self.instance.context("could not find --instance")?;
        let client = HttpClient::default();
        let path = format!("/v1/explain/{}", self.request);
        let response = block_on(client.get(instance, &path))?;
        if !response.status.is_success() {
            let problem: ProblemBody = response.json()?;
            bail!("{}: {}", problem.title, problem.detail.unwrap_or_default());
        }
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
            return Ok(ExitCode::SUCCESS);
        }
        for line in response.json::<Vec<DecisionLine>>()? {
            println!("{:>12.1} ms  {}", line.at_ms, line.text);
        }
        Ok(ExitCode::SUCCESS)
    }
}
