//! Defines the command line of `wheelmast` and runs the chosen subcommand.

use std::process::ExitCode;

use clap::{ArgMatches, Command};

use crate::cmd::completions::CompletionsCommand;
use crate::cmd::control::ControlCommand;
use crate::cmd::data::DataCommand;
use crate::cmd::demo::DemoCommand;
use crate::cmd::domain::DomainCommand;
use crate::cmd::explain::ExplainCommand;
use crate::cmd::load::LoadCommand;
use crate::cmd::measure::MeasureCommand;
use crate::cmd::query::QueryCommand;
use crate::cmd::rollout::RolloutCommand;
use crate::cmd::route::RouteCommand;
use crate::cmd::table::TableCommand;
use crate::cmd::watch::WatchCommand;

/// Returns the `clap` definition of the command line with all subcommands.
pub fn command() -> Command {
    Command::new("wheelmast")
        .version(clap::crate_version!())
        .about("Query, control and monitor the wheelmast query tier")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Exit codes: 0 success, 1 findings or failure, 2 usage error.")
        .subcommand(DemoCommand::command())
        .subcommand(QueryCommand::command())
        .subcommand(LoadCommand::command())
        .subcommand(TableCommand::command())
        .subcommand(RouteCommand::command())
        .subcommand(ControlCommand::command())
        .subcommand(DomainCommand::command())
        .subcommand(RolloutCommand::command())
        .subcommand(DataCommand::command())
        .subcommand(ExplainCommand::command())
        .subcommand(WatchCommand::command())
        .subcommand(MeasureCommand::command())
        .subcommand(CompletionsCommand::command())
}

/// Runs the subcommand given on the command line and returns its exit code.
///
/// # Errors
///
/// Fails if the subcommand fails or is unknown.
pub fn dispatch(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    match matches.subcommand() {
        Some(("demo", matches)) => DemoCommand::new(matches)?.run(),
        Some(("query", matches)) => QueryCommand::new(matches)?.run(),
        Some(("load", matches)) => LoadCommand::new(matches)?.run(),
        Some(("table", matches)) => TableCommand::new(matches)?.run(),
        Some(("route", matches)) => RouteCommand::new(matches)?.run(),
        Some(("control", matches)) => Ok(ControlCommand::new(matches).run()),
        Some(("domain", matches)) => DomainCommand::new(matches)?.run(),
        Some(("rollout", matches)) => RolloutCommand::new(matches)?.run(),
        Some(("data", matches)) => DataCommand::new(matches)?.run(),
        Some(("explain", matches)) => ExplainCommand::new(matches)?.run(),
        Some(("watch", matches)) => WatchCommand::new(matches)?.run(),
        Some(("measure", matches)) => MeasureCommand::new(matches)?.run(),
        Some(("completions", matches)) => CompletionsCommand::new(matches)?.run(),
        _ => anyhow::bail!("could not find a subcommand"),
    }
}
