//! `wheelmast completions`: prints a shell completion script.

use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use clap_complete::Shell;

use crate::app;

/// The parsed arguments of `wheelmast completions`.
pub struct CompletionsCommand {
    shell: Shell,
}

impl CompletionsCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("completions")
            .about("Print a shell completion script")
            .after_help("Example:\n  wheelmast completions bash > /etc/bash_completion.d/wheelmast")
            .arg(
                Arg::new("shell")
                    .value_name("SHELL")
                    .required(true)
                    .value_parser(clap::value_parser!(Shell)),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if the shell is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<CompletionsCommand> {
        let shell = matches.get_one::<Shell>("shell").copied();
        Ok(CompletionsCommand {
            shell: shell.context("could not find SHELL")?,
        })
    }

    /// Prints the completion script to standard output.
    ///
    /// # Errors
    ///
    /// Never fails.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let mut command = app::command();
        clap_complete::generate(
            self.shell,
            &mut command,
            "wheelmast",
            &mut std::io::stdout(),
        );
        Ok(ExitCode::SUCCESS)
    }
}
