//! `wheelmast route`: checks a route table file, compares it with the table in force, applies it,
//! and shows the version in force at each control instance.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{bail, Context};
use clap::{Arg, ArgMatches, Command};
use wheelmast_core::finding::FindingList;
use wheelmast_core::version::route_table::{RouteRule, RouteTable};
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::{NativeDialect, ROUTES_PATH};

use crate::client::HttpClient;
use crate::cmd::common::{block_on, instance_arg, instances};

/// The subcommand that was given, with its arguments.
enum RouteAction {
    /// Check a file without contacting an instance.
    Check(PathBuf),
    /// Show in which routes a file differs from the table in force.
    Plan(PathBuf),
    /// Apply a file to the control group.
    Apply(PathBuf),
    /// Show the version in force at each instance.
    Status,
}

/// The parsed arguments of `wheelmast route`.
pub struct RouteCommand {
    action: RouteAction,
    instances: Vec<SocketAddr>,
}

impl RouteCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let file = || {
            Arg::new("file")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Route table as JSON")
        };
        let instance = || instance_arg("Listener for operators of a control instance");
        Command::new("route")
            .about("Check, compare, apply and read the route table")
            .after_help(
                "The highest version wins; the same or a lower one is acknowledged and changes \
                 nothing.\n\nExamples:\n  \
                 wheelmast route check routes.json\n  \
                 wheelmast route plan routes.json --instance 127.0.0.1:7401\n  \
                 wheelmast route apply routes.json --instance 127.0.0.1:7401",
            )
            .subcommand_required(true)
            .subcommand(
                Command::new("check")
                    .about("Report all findings in a route table file")
                    .arg(file()),
            )
            .subcommand(
                Command::new("plan")
                    .about("Show which routes would change")
                    .arg(file())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("apply")
                    .about("Apply a route table file")
                    .arg(file())
                    .arg(instance()),
            )
            .subcommand(
                Command::new("status")
                    .about("Show the version in force at each instance, confirmed by a quorum")
                    .arg(instance()),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<RouteCommand> {
        let (name, matches) = matches
            .subcommand()
            .context("could not find a subcommand")?;
        let file = || {
            let file = matches.get_one::<PathBuf>("file").cloned();
            file.context("could not find FILE")
        };
        let action = match name {
            "check" => RouteAction::Check(file()?),
            "plan" => RouteAction::Plan(file()?),
            "apply" => RouteAction::Apply(file()?),
            _ => RouteAction::Status,
        };
        let instances = match action {
            RouteAction::Check(_) => Vec::new(),
            _ => instances(matches),
        };
        Ok(RouteCommand { action, instances })
    }

    /// Runs the subcommand and prints its result.
    ///
    /// # Errors
    ///
    /// Fails if a file or an instance cannot be read.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        match &self.action {
            RouteAction::Check(file) => self.check(file),
            RouteAction::Plan(file) => self.plan(file),
            RouteAction::Apply(file) => self.apply(file),
            RouteAction::Status => self.status(),
        }
    }

    /// Checks the file and prints a summary, or all findings.
    fn check(&self, file: &Path) -> anyhow::Result<ExitCode> {
        match read_table(&read_file(file)?) {
            Ok(table) => {
                let (version, routes) = (table.version(), table.routes().len());
                println!(
                    "{}: version {version}, {routes} routes, no findings",
                    file.display()
                );
                Ok(ExitCode::SUCCESS)
            }
            Err(findings) => Ok(print_findings(file, &findings)),
        }
    }

    /// Prints the routes in which the file differs from the table in force.
    fn plan(&self, file: &Path) -> anyhow::Result<ExitCode> {
        let new = match read_table(&read_file(file)?) {
            Ok(table) => table,
            Err(findings) => return Ok(print_findings(file, &findings)),
        };
        let old = read_table(&self.fetch_table(self.first_instance()?)?)?;
        println!("version {} to {}", old.version(), new.version());
        if new.version() <= old.version() {
            println!("it would be acknowledged and change nothing");
            return Ok(ExitCode::SUCCESS);
        }
        for line in describe_changes(&old, &new) {
            println!("{line}");
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Checks the file and sends the table to the first instance.
    fn apply(&self, file: &Path) -> anyhow::Result<ExitCode> {
        let text = read_file(file)?;
        if let Err(findings) = read_table(&text) {
            return Ok(print_findings(file, &findings));
        }
        let client = HttpClient::default();
        let text = String::from_utf8(text).context("could not read the table as text")?;
        let reply = block_on(client.put(self.first_instance()?, ROUTES_PATH, text))?;
        if !reply.status.is_success() {
            let body = String::from_utf8_lossy(&reply.body);
            bail!(
                "could not apply {}: {} {body}",
                file.display(),
                reply.status
            );
        }
        println!("{}: acknowledged", file.display());
        Ok(ExitCode::SUCCESS)
    }

    /// Prints the version in force at each instance. Returns failure if one cannot be read.
    fn status(&self) -> anyhow::Result<ExitCode> {
        let mut code = ExitCode::SUCCESS;
        for instance in &self.instances {
            match self
                .fetch_table(*instance)
                .and_then(|text| Ok(read_table(&text)?))
            {
                Ok(table) => println!(
                    "{instance}  version {}, {} routes, {} services",
                    table.version(),
                    table.routes().len(),
                    table.services().len()
                ),
                Err(error) => {
                    println!("{instance}  {error:#}");
                    code = ExitCode::FAILURE;
                }
            }
        }
        Ok(code)
    }

    /// Returns the first address given with `--instance`.
    fn first_instance(&self) -> anyhow::Result<SocketAddr> {
        let instance = self.instances.first().copied();
        instance.context("could not find --instance")
    }

    /// Requests the route table in force from an instance and returns its JSON text.
    fn fetch_table(&self, instance: SocketAddr) -> anyhow::Result<Vec<u8>> {
        let reply = block_on(HttpClient::default().get(instance, ROUTES_PATH))?;
        if !reply.status.is_success() {
            let body = String::from_utf8_lossy(&reply.body);
            bail!("could not read the table: {} {body}", reply.status);
        }
        Ok(reply.body.to_vec())
    }
}

/// Reads a route table file.
fn read_file(file: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(file).with_context(|| format!("could not read table {}", file.display()))
}

/// Parses and validates a route table. Returns all findings if the table is invalid.
fn read_table(text: &[u8]) -> Result<RouteTable, FindingList> {
    NativeDialect::read_table(text).and_then(RouteTable::check)
}

/// Prints findings to standard error and returns the exit code for failure.
fn print_findings(file: &Path, findings: &FindingList) -> ExitCode {
    for finding in findings.items() {
        eprintln!("{}:{finding}", file.display());
    }
    ExitCode::FAILURE
}

/// Returns one line per route that was added (`+`), changed (`~`) or removed (`-`). Routes are
/// matched by host and prefix.
pub fn describe_changes(old: &RouteTable, new: &RouteTable) -> Vec<String> {
    let by_prefix = |table: &RouteTable| -> BTreeMap<(String, String), RouteRule> {
        let routes = table.routes().iter();
        routes
            .map(|route| ((route.host.clone(), route.prefix.clone()), route.clone()))
            .collect()
    };
    let (old, new) = (by_prefix(old), by_prefix(new));
    let mut lines = Vec::new();
    for (path_key, route) in &new {
        let (host, prefix) = path_key;
        match old.get(path_key) {
            None => lines.push(format!("+ {host}{prefix}  {:?}", route.target)),
            Some(before) if before != route => {
                lines.push(format!("~ {host}{prefix}  {before:?} to {route:?}"));
            }
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|path_key| !new.contains_key(*path_key));
    lines.extend(removed.map(|(host, prefix)| format!("- {host}{prefix}")));
    lines
}
