//! `wheelmast`: the command-line tool that operators use to query, control and monitor a
//! deployment, and that runs a demo of the system in one process.

use std::process::ExitCode;

use wheelmast_cli::app;

fn main() -> ExitCode {
    let matches = app::command().get_matches();
    match app::dispatch(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("wheelmast: {error:#}");
            ExitCode::FAILURE
        }
    }
}
