//! `wheelmast table`: checks a service table file, compares it with the table in force, applies it,
//! and shows versions in force and past versions.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use wheelmast_core::prelude::ServiceTable;
use wheelmast_core::version::table::CellChange;
use wheelmast_wire::prelude::{
    ProblemBody, TableChange, TableChangeResult, TableHistoryEntry, TableStatus,
};

use crate::client::{HttpClient, HttpResponse};
use crate::cmd::common::{block_on, first_instance, instance_arg, instances, json_arg};

/// The parsed arguments of `wheelmast table`.
pub struct TableCommand {
    action: TableAction,
    json: bool,
}

/// The subcommand that was given, with its arguments.
enum TableAction {
    /// Check a file without contacting an instance.
    Check(PathBuf),
    /// Show in which cells a file differs from the table in force at an instance.
    Plan(PathBuf, SocketAddr),
    /// Apply a file through an instance.
    Apply(PathBuf, SocketAddr, ApplyOptions),
    /// Show the version in force at each instance.
    Status(Vec<SocketAddr>),
    /// Show the last versions, as known to an instance.
    History(SocketAddr),
}

/// Options of `wheelmast table apply`.
struct ApplyOptions {
    /// Version the change is based on; `None` for the version in force.
    base: Option<u64>,
    /// Identity of the change, by which a resent change is recognised; `None` for a random one.
    change: Option<String>,
    note: String,
    /// The operators' token.
    token: Option<String>,
}

/// Returns the positional `FILE` argument.
fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .required(true)
        .value_parser(clap::value_parser!(PathBuf))
        .help("Service table as CSV")
}

impl TableCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let instance = || instance_arg("Listener for operators of an instance");
        Command::new("table")
            .about("Check, compare, apply and show the service table")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  \
                 wheelmast table check examples/kivela.csv\n  \
                 wheelmast table plan examples/kivela.csv --instance 127.0.0.1:7401\n  \
                 wheelmast table apply examples/kivela.csv --instance 127.0.0.1:7401 \
                 --change night-shift-7\n  \
                 wheelmast table status --instance 127.0.0.1:7401,127.0.0.1:7411",
            )
            .subcommand(
                Command::new("check")
                    .about("Report every invalid cell of a table file")
                    .arg(file_arg())
                    .arg(json_arg()),
            )
            .subcommand(
                Command::new("plan")
                    .about("Show the cells in which a file differs from the table in force")
                    .arg(file_arg())
                    .arg(instance())
                    .arg(json_arg()),
            )
            .subcommand(
                Command::new("apply")
                    .about("Make a file the table in force everywhere")
                    .long_about(
                        "Make a file the table in force everywhere. A change names the version \
                         it is based on; if another change was accepted since, the change is \
                         refused and the table in force is shown. A change that is resent with \
                         the same identity \
                         gets the outcome of the first attempt.",
                    )
                    .arg(file_arg())
                    .arg(instance())
                    .arg(
                        Arg::new("base")
                            .long("base")
                            .value_name("VERSION")
                            .value_parser(clap::value_parser!(u64))
                            .help("Version the change is based on; defaults to the one in force"),
                    )
                    .arg(
                        Arg::new("change")
                            .long("change")
                            .value_name("ID")
                            .help("Identity of the change; random if not given"),
                    )
                    .arg(
                        Arg::new("note")
                            .long("note")
                            .value_name("TEXT")
                            .default_value("")
                            .help("Who makes the change, and why"),
                    )
                    .arg(
                        Arg::new("token-file")
                            .long("token-file")
                            .value_name("FILE")
                            .value_parser(clap::value_parser!(PathBuf))
                            .help("File with the operators' token"),
                    )
                    .arg(json_arg()),
            )
            .subcommand(
                Command::new("status")
                    .about("Show the version in force at each instance")
                    .arg(instance())
                    .arg(json_arg()),
            )
            .subcommand(
                Command::new("history")
                    .about("Show the last versions, who made them, and why")
                    .arg(instance())
                    .arg(json_arg()),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing or the token file cannot be read.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<TableCommand> {
        let Some((name, matches)) = matches.subcommand() else {
            bail!("could not find a subcommand of table");
        };
        let file = || {
            let file = matches.get_one::<PathBuf>("file").cloned();
            file.context("could not find FILE")
        };
        let action = match name {
            "check" => TableAction::Check(file()?),
            "plan" => TableAction::Plan(file()?, first_instance(matches)?),
            "apply" => {
                TableAction::Apply(file()?, first_instance(matches)?, apply_options(matches)?)
            }
            "status" => TableAction::Status(instances(matches)),
            _ => TableAction::History(first_instance(matches)?),
        };
        Ok(TableCommand {
            action,
            json: matches.get_flag("json"),
        })
    }

    /// Runs the subcommand and prints its result.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or an instance does not respond.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        match &self.action {
            TableAction::Check(file) => self.check(file),
            TableAction::Plan(file, instance) => self.plan(file, *instance),
            TableAction::Apply(file, instance, options) => self.apply(file, *instance, options),
            TableAction::Status(instances) => self.status(instances),
            TableAction::History(instance) => self.history(*instance),
        }
    }

    /// Checks the file and prints a summary, or all findings.
    fn check(&self, file: &Path) -> anyhow::Result<ExitCode> {
        match ServiceTable::parse(&read_file(file)?, 1) {
            Ok(table) => {
                let services = table.rows().count();
                if self.json {
                    println!(
                        "{}",
                        serde_json::json!({"services": services, "findings": []})
                    );
                } else {
                    println!("{}: {services} services, no findings", file.display());
                }
                Ok(ExitCode::SUCCESS)
            }
            Err(findings) => {
                let lines = findings.items().iter().map(ToString::to_string);
                let lines: Vec<String> = lines.collect();
                if self.json {
                    println!("{}", serde_json::json!({"findings": lines}));
                } else {
                    for line in lines {
                        println!("{}: {line}", file.display());
                    }
                }
                Ok(ExitCode::FAILURE)
            }
        }
    }

    /// Prints the cells in which the file differs from the table in force.
    fn plan(&self, file: &Path, instance: SocketAddr) -> anyhow::Result<ExitCode> {
        let next = ServiceTable::parse(&read_file(file)?, 1)?;
        let status = block_on(read_status(instance))?;
        let current = if status.version == 0 {
            ServiceTable::default()
        } else {
            ServiceTable::parse(&status.csv, status.version)?
        };
        let changes = current.diff(&next);
        if self.json {
            let lines = changes.iter().map(|change| {
                serde_json::json!({"service": change.service, "column": change.column,
                    "before": change.before, "after": change.after})
            });
            let lines: Vec<_> = lines.collect();
            println!(
                "{}",
                serde_json::json!({"base": status.version, "changes": lines})
            );
        } else {
            println!(
                "{} cells differ from version {}",
                changes.len(),
                status.version
            );
            changes.iter().for_each(print_change);
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Sends the file as a change to the instance. Returns failure unless the change is accepted.
    fn apply(
        &self,
        file: &Path,
        instance: SocketAddr,
        options: &ApplyOptions,
    ) -> anyhow::Result<ExitCode> {
        let csv = read_file(file)?;
        let response = block_on(async {
            let base = match options.base {
                Some(base) => base,
                None => read_status(instance).await?.version,
            };
            let random_id = || format!("{:016x}", rand::random::<u64>());
            let change = TableChange {
                base,
                change: options.change.clone().unwrap_or_else(random_id),
                note: options.note.clone(),
                csv,
            };
            let client = HttpClient::default();
            client
                .post(instance, "/v1/table", &change, options.token.as_deref())
                .await
        })?;
        if self.json {
            println!("{}", String::from_utf8_lossy(&response.body));
        }
        if !response.status.is_success() {
            let problem: ProblemBody = response.json()?;
            let detail = problem.detail.unwrap_or_default();
            bail!("could not apply: {}, {detail}", problem.title);
        }
        let body: TableChangeResult = response.json()?;
        if !self.json {
            print_apply(&body);
        }
        Ok(match body {
            TableChangeResult::Accepted { .. } => ExitCode::SUCCESS,
            _ => ExitCode::FAILURE,
        })
    }

    /// Prints the version in force at each instance. Returns failure unless all instances have the
    /// newest version.
    fn status(&self, instances: &[SocketAddr]) -> anyhow::Result<ExitCode> {
        let statuses = block_on(async {
            let mut statuses = Vec::new();
            for instance in instances {
                statuses.push((*instance, read_status(*instance).await));
            }
            Ok(statuses)
        })?;
        let known = statuses
            .iter()
            .filter_map(|(_, status)| status.as_ref().ok());
        let newest = known.map(|status| status.version).max().unwrap_or(0);
        let mut all_current = true;
        for (instance, status) in &statuses {
            let version = status.as_ref().map(|status| status.version).ok();
            all_current &= version == Some(newest);
            if self.json {
                println!(
                    "{}",
                    serde_json::json!({"instance": instance, "version": version})
                );
                continue;
            }
            match status {
                Ok(status) if status.version < newest => {
                    println!(
                        "{instance}  version {}  lags behind {newest}",
                        status.version
                    );
                }
                Ok(status) => println!("{instance}  version {}", status.version),
                Err(error) => println!("{instance}  {error:#}"),
            }
        }
        Ok(if all_current {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    /// Prints the last versions of the table.
    fn history(&self, instance: SocketAddr) -> anyhow::Result<ExitCode> {
        let client = HttpClient::default();
        let response = block_on(client.get(instance, "/v1/table/history"))?;
        let versions: Vec<TableHistoryEntry> = read_body(&response)?;
        for line in versions {
            if self.json {
                println!("{}", serde_json::to_string(&line)?);
            } else {
                println!(
                    "version {}  change {}  {}",
                    line.version, line.change, line.note
                );
            }
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Returns the options of `apply`, with the token read from its file.
fn apply_options(matches: &ArgMatches) -> anyhow::Result<ApplyOptions> {
    let token = match matches.get_one::<PathBuf>("token-file") {
        Some(path) => Some(read_file(path)?.trim().to_string()),
        None => None,
    };
    Ok(ApplyOptions {
        base: matches.get_one::<u64>("base").copied(),
        change: matches.get_one::<String>("change").cloned(),
        note: matches
            .get_one::<String>("note")
            .cloned()
            .unwrap_or_default(),
        token,
    })
}

/// Reads a text file.
fn read_file(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).with_context(|| format!("could not read {}", path.display()))
}

/// Parses the body of a successful response, or fails with the problem that the response names.
fn read_body<T: serde::de::DeserializeOwned>(response: &HttpResponse) -> anyhow::Result<T> {
    if response.status.is_success() {
        return response.json();
    }
    let problem: ProblemBody = response.json()?;
    bail!("{}: {}", problem.title, problem.detail.unwrap_or_default())
}

/// Requests the version and the text of the table in force from an instance.
async fn read_status(instance: SocketAddr) -> anyhow::Result<TableStatus> {
    let response = HttpClient::default().get(instance, "/v1/table").await?;
    read_body(&response)
}

/// Prints a changed cell with its old and new value.
fn print_change(change: &CellChange) {
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "(no row)".to_string());
    println!(
        "{}, {}: {} -> {}",
        change.service,
        change.column,
        text(&change.before),
        text(&change.after)
    );
}

/// Prints the outcome of a change: accepted, in conflict with a newer version, or rejected.
fn print_apply(body: &TableChangeResult) {
    match body {
        TableChangeResult::Accepted { version } => println!("accepted as version {version}"),
        TableChangeResult::Conflict { version, csv } => {
            println!("conflict: version {version} stands\n{csv}");
        }
        TableChangeResult::Rejected { findings } => {
            for finding in findings {
                println!("{finding}");
            }
        }
    }
}
