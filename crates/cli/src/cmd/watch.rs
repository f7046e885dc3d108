//! `wheelmast watch`: prints the decisions of an instance (such as routing or hedging a request) as
//! the instance makes them.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};
use wheelmast_wire::prelude::DecisionLine;

use crate::client::HttpClient;
use crate::cmd::common::{block_on, first_instance, instance_arg, json_arg};

/// The parsed arguments of `wheelmast watch`.
pub struct WatchCommand {
    instance: SocketAddr,
    part: Option<String>,
    request: Option<String>,
    count: Option<u64>,
    json: bool,
}

impl WatchCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("watch")
            .about("Show decisions as an instance makes them")
            .after_help(
                "Examples:\n  \
                 wheelmast watch --instance 127.0.0.1:7401\n  \
                 wheelmast watch --instance 127.0.0.1:7401 --part hedge --count 10",
            )
            .arg(instance_arg("Listener for operators of an instance"))
            .arg(
                Arg::new("part")
                    .long("part")
                    .value_name("PREFIX")
                    .help("Show only decisions of this component, such as route or hedge"),
            )
            .arg(
                Arg::new("request")
                    .long("request")
                    .value_name("REQUEST")
                    .help("Show only decisions made for this request"),
            )
            .arg(
                Arg::new("count")
                    .long("count")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64).range(1..))
                    .help("Exit after this many decisions"),
            )
            .arg(json_arg())
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<WatchCommand> {
        Ok(WatchCommand {
            instance: first_instance(matches)?,
            part: matches.get_one::<String>("part").cloned(),
            request: matches.get_one::<String>("request").cloned(),
            count: matches.get_one::<u64>("count").copied(),
            json: matches.get_flag("json"),
        })
    }

    /// Prints decisions until the count is reached or the instance closes the stream.
    ///
    /// # Errors
    ///
    /// Fails if the instance cannot be reached.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        block_on(self.print_decisions())?;
        Ok(ExitCode::SUCCESS)
    }

    /// Reads the stream of decisions, one JSON object per line, and prints the matching ones.
    async fn print_decisions(&self) -> anyhow::Result<()> {
        let client = HttpClient::default();
        let mut answer = client
            .open_stream(self.instance, "/v1/decisions/stream")
            .await?;
        let mut unread = Vec::new();
        let mut shown = 0;
        while let Some(bytes) = answer.next_data().await? {
            unread.extend_from_slice(&bytes);
            while let Some(end) = unread.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = unread.drain(..=end).collect();
                shown += u64::from(self.print_if_matching(&line)?);
                if self.count == Some(shown) {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Prints a decision if it passes the filters. Returns whether the decision was printed.
    fn print_if_matching(&self, line: &[u8]) -> anyhow::Result<bool> {
        let decision: DecisionLine = serde_json::from_slice(line)?;
        let matches_part = self.part.as_ref().is_none_or(|part| *part == decision.part);
        let matches_request = self.request.is_none() || self.request == decision.request;
        if !matches_part || !matches_request {
            return Ok(false);
        }
        if self.json {
            println!("{}", String::from_utf8_lossy(line).trim_end());
        } else {
            let request = decision.request.as_deref().unwrap_or("-");
            println!("{:>12.1} ms  {request}  {}", decision.at_ms, decision.text);
        }
        Ok(true)
    }
}
