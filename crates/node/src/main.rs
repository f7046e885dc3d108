//! `wheelmastd`: the program that runs one instance of the wheelmast query tier.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use tokio::signal::unix::{signal, SignalKind};
use tracing_subscriber::EnvFilter;
use wheelmast_core::prelude::{EntrySafetyChecks, LowestCostPolicy, ServiceTable};
use wheelmast_node::prelude::{
    InstanceHandle, InstanceSettings, InstanceSetup, LogFormat, LogSettings,
};
use wheelmast_node::process::forward::run::run_entry;
use wheelmast_node::process::group::run::run_control;
use wheelmast_node::process::member::initialize_data_folder;
use wheelmast_node::process::output::start_log_output;
use wheelmast_node::settings::read::{read_settings_file, ParsedSettings};
use wheelmast_node::settings::role::{DialectKind, RoleKind, RoleSettings};
use wheelmast_platform::PlatformDialect;
use wheelmast_wire::dialect::ForwardDialect;
use wheelmast_wire::native::NativeDialect;

/// Exit code if the settings have findings or the instance fails.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let matches = build_command().get_matches();
    match run(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("wheelmastd: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn build_command() -> Command {
    Command::new("wheelmastd")
        .version(clap::crate_version!())
        .about("One instance of the wheelmast query tier")
        .after_help(
            "Examples:\n  \
             wheelmastd --settings examples/entry.jsonc --check\n  \
             wheelmastd --settings examples/entry.jsonc\n\n\
             SIGTERM and SIGINT stop the instance gracefully: no request is cut off.\n\
             Exit codes: 0 success, 1 findings or failure, 2 usage error.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Settings file of the instance, in JSON with comments"),
        )
        .arg(
            Arg::new("init")
                .long("init")
                .action(ArgAction::SetTrue)
                .help("Create a data folder for the first start of a control group, then exit"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Check the settings and the table, then exit"),
        )
}

fn run(matches: &ArgMatches) -> anyhow::Result<ExitCode> {
    let path = matches
        .get_one::<PathBuf>("settings")
        .context("could not find --settings")?;
    let settings = match read_settings_file(path)? {
        Ok(ParsedSettings::Instance(settings)) => *settings,
        Ok(ParsedSettings::Role(settings)) => return run_role(matches, path, *settings),
        Err(findings) => return Ok(print_findings(path, &findings)),
    };
    if matches.get_flag("init") {
        return create_data_folder(&settings);
    }
    let mut table = None;
    if let Some(path) = &settings.table {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("could not read table {}", path.display()))?;
        match ServiceTable::parse(&text, 1) {
            Ok(read) => table = Some(read),
            Err(findings) => return Ok(print_findings(path, &findings)),
        }
    }
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    start_log(&settings.log)?;
    run_instance(settings, table)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs an entry, which forwards requests, or a control instance.
fn run_role(matches: &ArgMatches, path: &Path, settings: RoleSettings) -> anyhow::Result<ExitCode> {
    if matches.get_flag("check") {
        println!("{}: no findings", path.display());
        return Ok(ExitCode::SUCCESS);
    }
    let _writer = start_log_output(&settings.log_level)?;
    tracing::info!(
        version = clap::crate_version!(),
        instance = %settings.instance,
        role = ?settings.role,
        dialect = ?settings.dialect,
        domain = %settings.domain,
        seeds = ?settings.seeds,
        first_start = settings.first_start,
        tolerate = settings.tolerate,
        "instance: starting; no group key is set, so other instances are trusted by their address"
    );
    match settings.dialect {
        DialectKind::Native => run_with_dialect::<NativeDialect>(settings, path)?,
        DialectKind::Platform => run_with_dialect::<PlatformDialect>(settings, path)?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs the instance with header names and message formats of the dialect `D`.
fn run_with_dialect<D: ForwardDialect>(settings: RoleSettings, path: &Path) -> anyhow::Result<()> {
    match settings.role {
        RoleKind::Entry => run_entry::<D>(settings, path.to_path_buf()),
        RoleKind::Control => run_control::<D>(settings, path.to_path_buf()),
    }
}

/// Creates the data folder of a control replica, for `--init`.
fn create_data_folder(settings: &InstanceSettings) -> anyhow::Result<ExitCode> {
    let cluster = settings.cluster.as_ref();
    let cluster = cluster.context("could not initialize: the settings name no cluster")?;
    initialize_data_folder(cluster, &settings.instance)?;
    println!("{}: data folder created", settings.instance);
    Ok(ExitCode::SUCCESS)
}

/// Prints the findings of a file to standard error and returns the exit code.
fn print_findings(
    path: &std::path::Path,
    findings: &wheelmast_core::finding::FindingList,
) -> ExitCode {
    for finding in findings.items() {
        eprintln!("{}:{finding}", path.display());
    }
    ExitCode::from(EXIT_FAILURE)
}

/// Starts writing log lines to standard error in the format of the settings.
fn start_log(log: &LogSettings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&log.level)
        .with_context(|| format!("could not read log level {}", log.level))?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(std::io::stderr);
    match log.format {
        LogFormat::Text => builder.init(),
        LogFormat::Json => builder.json().init(),
    }
    Ok(())
}

/// Runs an instance that answers queries from snapshots until SIGTERM or SIGINT.
fn run_instance(settings: InstanceSettings, table: Option<ServiceTable>) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let instance = InstanceHandle::start(InstanceSetup {
            settings,
            table,
            policy: LowestCostPolicy::default(),
            safety_checks: EntrySafetyChecks::default(),
        })?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        instance.shut_down().await;
        Ok(())
    })
}
