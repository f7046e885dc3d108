//! `wheelmast data`: look at the data folder of a control instance.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context;
use clap::{Arg, ArgMatches, Command};
use wheelmast_node::process::store::folder::DataFolder;
use wheelmast_node::process::store::replica_store::ReplicaStore;

/// The subcommand with its arguments.
pub struct DataCommand {
    folder: PathBuf,
}

impl DataCommand {
    /// Returns the description of the arguments.
    pub fn command() -> Command {
        Command::new("data")
            .about("Look at the data folder of a control instance")
            .subcommand_required(true)
            .subcommand(
                Command::new("check")
                    .about("Read the folder of an instance that is stopped, and report damage")
                    .after_help(
                        "A torn tail, left by a loss of power, is cut as at a start.\n\n\
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

    /// Reads the arguments.
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

    /// Reads the folder and prints what it holds.
    ///
    /// # Errors
    ///
    /// Fails on damage, with file and offset, and if another process uses it.
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
