//! `wheelmast measure`: runs the measurements whose results are reported in `docs/CAPACITY.md` and
//! `docs/MEASUREMENTS.md`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::bail;
use clap::{Arg, ArgMatches, Command};

use crate::cmd::common::block_on;
use crate::measure::capacity::{measure_message_sizes, measure_slopes};
use crate::measure::control::{measure_replica_open, MeasuredGroup};
use crate::measure::fleet::{FleetModel, FleetSize};
use crate::measure::gossip::measure_gossip;

/// Table changes whose time from submission until all instances apply them is measured.
const MEASURED_CHANGES: u32 = 100;
/// Numbers of concurrent submissions for which the throughput is measured.
const IN_FLIGHT_COUNTS: [usize; 3] = [1, 16, 256];
/// Pairs (members, servers) for which the gossip load is measured.
const GOSSIP_SIZES: [(usize, usize); 7] = [
    (7, 0),
    (50, 0),
    (150, 0),
    (7, 110),
    (50, 240),
    (150, 710),
    (570, 0),
];
/// Fleet sizes for which messages between entries and control instances are counted.
const FLEET_SIZES: [FleetSize; 5] = [
    fleet_size(30, 6, 290),
    fleet_size(100, 6, 970),
    fleet_size(300, 12, 2_900),
    fleet_size(1_000, 24, 10_000),
    fleet_size(2_382, 24, 23_000),
];
/// Length of one throughput measurement of submissions.
const SUBMISSION_RUN_TIME: Duration = Duration::from_secs(3);

/// Returns a fleet size with these numbers of entries, control instances and servers.
const fn fleet_size(entries: usize, control: usize, servers: usize) -> FleetSize {
    FleetSize {
        entries,
        control,
        servers,
    }
}

/// The parsed arguments of `wheelmast measure`.
pub struct MeasureCommand {
    measurement: String,
    folder: PathBuf,
}

impl MeasureCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        let folder = Arg::new("folder")
            .long("folder")
            .value_name("FOLDER")
            .value_parser(clap::value_parser!(PathBuf))
            .default_value(".")
            .help("Folder in which temporary data folders are created and removed");
        Command::new("measure")
            .about("Run the measurements of docs/CAPACITY.md and docs/MEASUREMENTS.md")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  \
                 wheelmast measure capacity\n  \
                 wheelmast measure control --folder .",
            )
            .subcommand(Command::new("capacity").about("Slopes of time, memory and messages"))
            .subcommand(
                Command::new("gossip")
                    .about("Messages, bytes and CPU time per member, by number of members"),
            )
            .subcommand(
                Command::new("fleet")
                    .about("Messages and bytes between entries and control, by kind and size"),
            )
            .subcommand(
                Command::new("control")
                    .about("The control group: dissemination, elections, claims, start-up")
                    .arg(folder),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if the subcommand is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<MeasureCommand> {
        let Some((measurement, matches)) = matches.subcommand() else {
            bail!("could not find a subcommand of measure");
        };
        let folder = matches.try_get_one::<PathBuf>("folder").ok().flatten();
        Ok(MeasureCommand {
            measurement: measurement.to_string(),
            folder: folder.cloned().unwrap_or_else(|| PathBuf::from(".")),
        })
    }

    /// Runs the chosen measurement and prints its results.
    ///
    /// # Errors
    ///
    /// Fails if the measurement fails.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        match self.measurement.as_str() {
            "capacity" => print_capacity()?,
            "gossip" => print_gossip()?,
            "fleet" => print_fleet()?,
            _ => self.print_control()?,
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Measures and prints start-up time, time until a change is applied everywhere, submission
    /// throughput and recovery after a replica is killed.
    fn print_control(&self) -> anyhow::Result<()> {
        for changes in [1000, 10_000] {
            let elapsed_ms = measure_replica_open(&self.folder, changes)?;
            println!("start after {changes} changes: {elapsed_ms:.1} ms");
        }
        let mut group = MeasuredGroup::start(&self.folder)?;
        block_on(async {
            let times = group.measure_apply(MEASURED_CHANGES).await?;
            println!(
                "apply to in force on 7 instances, {MEASURED_CHANGES} changes: median {:.1} ms, worst {:.1} ms",
                times.value_at_quantile(0.5) as f64 / 1e3,
                times.max() as f64 / 1e3
            );
            for in_flight in IN_FLIGHT_COUNTS {
                let rate = group.measure_claims(in_flight, SUBMISSION_RUN_TIME).await?;
                println!("keyed submissions, {in_flight} in flight: {rate:.0} a second");
            }
            for (node, elapsed_ms) in group.measure_failovers().await?.iter().enumerate() {
                println!("replica {node} ended: next change accepted after {elapsed_ms:.0} ms");
            }
            Ok(())
        })
    }
}

/// Measures and prints the gossip load of an idle member for each of [`GOSSIP_SIZES`].
fn print_gossip() -> anyhow::Result<()> {
    println!("members servers  messages/s    bytes/s  core %  (each member, idle)");
    for (members, servers) in GOSSIP_SIZES {
        let load = measure_gossip(members, servers)?;
        println!(
            "{members:>7} {servers:>7} {:>11.1} {:>10.0} {:>7.2}",
            load.messages, load.bytes, load.core_percent
        );
    }
    Ok(())
}

/// Counts and prints messages and bytes per event for each of [`FLEET_SIZES`].
fn print_fleet() -> anyhow::Result<()> {
    println!("event            entries control servers kind           messages        bytes  between regions");
    for size in FLEET_SIZES {
        let model = FleetModel::new(size);
        let events = [
            ("a second", model.count_idle_second()?),
            ("a server leaves", model.count_server_leave()?),
            ("a server comes", model.count_server_join()?),
            ("an entry joins", model.count_entry_join()?),
        ];
        for (event, counts) in events {
            for (kind, count) in counts {
                println!(
                    "{event:<16} {:>7} {:>7} {:>7} {kind:<12} {:>10.0} {:>12.0} {:>16.0}",
                    size.entries,
                    size.control,
                    size.servers,
                    count.messages,
                    count.bytes,
                    count.cross_region_bytes
                );
            }
        }
    }
    Ok(())
}

/// Measures and prints the linear fits of time, memory and messages, and the sizes of messages.
fn print_capacity() -> anyhow::Result<()> {
    for slope in measure_slopes()? {
        println!("{} ({} by {}):", slope.name, slope.unit, slope.per);
        for point in &slope.points {
            println!("  {:>8} {:>14.1}", point.size, point.value);
        }
        println!(
            "  {:.3} {} a {}, {:.1} beside, residual {:.0}%",
            slope.fit.slope,
            slope.unit,
            slope.per,
            slope.fit.offset,
            slope.fit.residual * 100.0
        );
    }
    for (name, bytes) in measure_message_sizes()? {
        println!("{name}: {bytes} bytes");
    }
    Ok(())
}
