//! `wheelmast demo`: runs instances, fake upstream servers and callers in one process, injects
//! faults, and checks every answer. A second run with another policy can be made for comparison.

use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context;
use clap::{Arg, ArgAction, ArgMatches, Command};
use wheelmast_core::prelude::{
    EntrySafetyChecks, LeastOutstanding, LowestCostPolicy, RandomChoice, TwoChoices,
};
use wheelmast_fake::deployment::{by_name, DEPLOYMENT_NAMES};
use wheelmast_fake::fault::{fault_by_name, FaultKind, FAULTS};

use crate::demo::report::{print_run, DemoReport, RunReport};
use crate::demo::run::{run_plan, RunPlan};

/// Worker threads of the runtime that runs the fake servers and the callers.
const RUNTIME_THREADS: usize = 4;
/// Length of the uncounted run before a comparison.
const WARM_UP: Duration = Duration::from_secs(2);
/// Value of `--fault` that selects all faults.
const ALL_FAULTS_NAME: &str = "all";
/// Values of `--policy`: `table` is the policy under test, the others are run after it for
/// comparison.
const POLICIES: [&str; 6] = [
    "table",
    "baseline",
    "least-outstanding",
    "two-choices",
    "no-hedge",
    "no-eject",
];

/// The parsed arguments of `wheelmast demo`.
pub struct DemoCommand {
    plan: RunPlan,
    policy: String,
    json: bool,
}

impl DemoCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let faults = FAULTS.iter().map(|(name, _)| *name);
        let faults: Vec<&str> = faults.chain([ALL_FAULTS_NAME]).collect();
        Command::new("demo")
            .about("Run three instances and a fake deployment in this process")
            .long_about(
                "Run three instances, each in a failure domain of its own, and the fake \
                 upstream servers of one deployment, all in this process and on loopback. \
                 Send requests, inject faults, and check every answer against what the fake \
                 servers really did. Exits with code 1 if a guarantee was violated.",
            )
            .after_help(
                "Examples:\n  \
                 wheelmast demo\n  \
                 wheelmast demo --deployment lonestar --fault straggler --fault roll\n  \
                 wheelmast demo --seconds 20 --fault all --json\n  \
                 wheelmast demo --fault straggler --policy baseline",
            )
            .arg(
                Arg::new("deployment")
                    .long("deployment")
                    .value_parser(DEPLOYMENT_NAMES)
                    .default_value(DEPLOYMENT_NAMES[0])
                    .help("Deployment whose services and sizes are used"),
            )
            .arg(
                Arg::new("seconds")
                    .long("seconds")
                    .value_name("N")
                    .value_parser(clap::value_parser!(u64).range(1..=3600))
                    .default_value("10")
                    .help("How long requests are sent, in seconds"),
            )
            .arg(
                Arg::new("rate")
                    .long("rate")
                    .value_name("FACTOR")
                    .value_parser(clap::value_parser!(f64))
                    .default_value("1")
                    .help("Factor applied to the deployment's request rates"),
            )
            .arg(
                Arg::new("fault")
                    .long("fault")
                    .action(ArgAction::Append)
                    .value_parser(faults)
                    .help("A fault to inject during the run; may be repeated"),
            )
            .arg(
                Arg::new("policy")
                    .long("policy")
                    .value_parser(POLICIES)
                    .default_value("table")
                    .help("A policy to run after the table's, for comparison"),
            )
            .arg(
                Arg::new("explain")
                    .long("explain")
                    .action(ArgAction::SetTrue)
                    .help("Print the decisions of the slowest request"),
            )
            .arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Print one JSON object as the last line"),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing or out of range.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<DemoCommand> {
        let text = |name: &str| {
            let value = matches.get_one::<String>(name);
            value.with_context(|| format!("could not find --{name}"))
        };
        let deployment = text("deployment")?;
        let rate = matches.get_one::<f64>("rate").copied().unwrap_or(1.0);
        if !(0.01..=100.0).contains(&rate) {
            anyhow::bail!("invalid --rate {rate}: expected a factor from 0.01 to 100");
        }
        let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(10);
        let json = matches.get_flag("json");
        Ok(DemoCommand {
            plan: RunPlan {
                deployment: by_name(deployment)
                    .with_context(|| format!("could not find deployment {deployment}"))?,
                length: Duration::from_secs(seconds),
                faults: read_faults(matches),
                rate_factor: rate,
                should_kill: false,
                should_explain_slowest: matches.get_flag("explain"),
                safety_checks: EntrySafetyChecks::default(),
                should_print_progress: !json,
            },
            policy: text("policy")?.clone(),
            json,
        })
    }

    /// Runs the demo, and the comparison if one was requested, and prints the report. Returns
    /// failure if a guarantee was violated.
    ///
    /// # Errors
    ///
    /// Fails if a run of the demo cannot be started.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .enable_all()
            .build()
            .context("could not create a Tokio runtime")?;
        if self.policy != POLICIES[0] {
            runtime.block_on(self.warm_up())?;
        }
        let run = runtime.block_on(run_plan(&self.plan, LowestCostPolicy::default(), "table"))?;
        // Each run gets a new runtime; dropping this one stops the servers of the first run.
        drop(runtime);
        let baseline = self.run_baseline()?;
        let p99_ratio = baseline
            .as_ref()
            .map(|baseline| run.counts.p99_ms / baseline.counts.p99_ms);
        let report = DemoReport {
            run,
            baseline,
            p99_ratio,
        };
        self.print(&report)?;
        Ok(if report.is_clean() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }

    /// Makes a short run whose results are discarded. The first run in a process is slower whatever
    /// its policy, so without this run the policy under test would lose every comparison.
    async fn warm_up(&self) -> anyhow::Result<()> {
        let plan = RunPlan {
            length: WARM_UP,
            faults: Vec::new(),
            should_print_progress: false,
            should_explain_slowest: false,
            ..self.plan.clone()
        };
        run_plan(&plan, LowestCostPolicy::default(), "warm-up").await?;
        Ok(())
    }

    /// Runs the policy given with `--policy` and returns its report, or `None` if no comparison
    /// was requested.
    fn run_baseline(&self) -> anyhow::Result<Option<RunReport>> {
        if self.policy == POLICIES[0] {
            return Ok(None);
        }
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .enable_all()
            .build()
            .context("could not create a Tokio runtime")?;
        let name = self.policy.as_str();
        let plan = &self.plan;
        let report = runtime.block_on(async {
            match name {
                "least-outstanding" => run_plan(plan, LeastOutstanding, name).await,
                "two-choices" => run_plan(plan, TwoChoices, name).await,
                "no-hedge" => {
                    let policy = LowestCostPolicy {
                        disable_hedging: true,
                        ..LowestCostPolicy::default()
                    };
                    run_plan(plan, policy, name).await
                }
                "no-eject" => {
                    let policy = LowestCostPolicy {
                        disable_ejection: true,
                        ..LowestCostPolicy::default()
                    };
                    run_plan(plan, policy, name).await
                }
                _ => run_plan(plan, RandomChoice, name).await,
            }
        })?;
        Ok(Some(report))
    }

    /// Prints the report as text or as one line of JSON.
    fn print(&self, report: &DemoReport) -> anyhow::Result<()> {
        if self.json {
            println!("{}", serde_json::to_string(report)?);
            return Ok(());
        }
        print_run(&report.run);
        if let Some(baseline) = &report.baseline {
            print_run(baseline);
        }
        if let Some(ratio) = report.p99_ratio {
            println!("p99 is {ratio:.2} of the baseline's");
        }
        Ok(())
    }
}

/// Returns the faults given with `--fault`; `all` stands for every fault.
fn read_faults(matches: &ArgMatches) -> Vec<FaultKind> {
    let named = matches.get_many::<String>("fault").unwrap_or_default();
    let mut faults = Vec::new();
    for name in named {
        match fault_by_name(name) {
            Some(fault) => faults.push(fault),
            None => faults.extend(FAULTS.iter().map(|(_, fault)| *fault)),
        }
    }
    faults.dedup();
    faults
}
