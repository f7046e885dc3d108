//! `wheelmast data`: checks the data folder of a stopped control instance and prints the stored
//! state of its replica.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use wheelmast_node::process::store::folder::DataFolder;
use wheelmast_node::process::store::replica_store::ReplicaStore;

/// The parsed arguments of `wheelmast data`.
pub struct DataCommand {
    folder: PathBuf,
}

impl DataCommand {
    /// Returns the `clap` definition of the subcommand.
    pub fn command() -> Command {
        Command::new("data")
            .about("Inspect the data folder of a control instance")
            .subcommand_required(true)
            .subcommand(
                Command::new("check")
                    .about("Read the data folder of a stopped instance and report corruption")
                    .after_help(
                        "An incomplete last record, left by a power loss, is truncated, as when an \
                         instance starts.\n\n\
                         Example:\n  wheelmast data check /var/lib/wheelmast",
                    )
                    .arg(
                        Arg::new("folder")
                            .value_name("FOLDER")
                            .required(true)
                            .value_parser(clap::value_parser!(PathBuf)),
                    ),
            )
    }

    /// Creates the command from its parsed arguments.
    ///
    /// # Errors
    ///
    /// Fails if an argument is missing.
    pub fn new(matches: &ArgMatches) -> anyhow::Result<DataCommand> {
        let matches = matches.subcommand_matches("check");
        let folder = matches.and_then(|matches| matches.get_one::<PathBuf>("folder"));
        Ok(DataCommand {
            folder: folder.cloned().context("could not find FOLDER")?,
        })
    }

    /// Reads the data folder and prints the replica's hard state, log positions and members.
    ///
    /// # Errors
    ///
    /// Fails if a file is corrupt (the error names file and offset) or if another process uses the
    /// folder.
    pub fn run(&self) -> anyhow::Result<ExitCode> {
        let (folder, replica) = DataFolder::open_existing(&self.folder)?;
        let store = ReplicaStore::open(folder)?;
        let persisted_state = store.persisted_state();
        let last = persisted_state
            .entries
            .last()
            .map_or(persisted_state.snapshot_position.index, |entry| entry.index);
        println!(
            "replica {replica}, term {}, vote {:?}",
            persisted_state.hard_state.term, persisted_state.hard_state.vote
        );
        println!(
            "snapshot up to {}, entries up to {last}, committed up to {}",
            persisted_state.snapshot_position.index, persisted_state.commit
        );
        println!(
            "route table in the snapshot: version {}",
            persisted_state.state.route_version()
        );
        for member in persisted_state.state.members() {
            println!(
                "member {} {} at {}",
                member.id, member.instance, member.address
            );
        }
        Ok(ExitCode::SUCCESS)
    }
}
