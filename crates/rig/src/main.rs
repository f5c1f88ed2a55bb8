//! Entry point of the rig: parses the command line and runs one subcommand.

use std::process::ExitCode;

use coltsfootport_rig::cli;

fn main() -> ExitCode {
    match cli::run(cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("coltsfootport-rig: {e}");
            ExitCode::FAILURE
        }
    }
}
