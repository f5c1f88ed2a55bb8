//! The `coltsfootport` binary.

use std::process::ExitCode;

use coltsfootport::cli::{self, Command};
use coltsfootport::commands;
use coltsfootport::exit::Exit;

fn main() -> ExitCode {
    let command = match cli::parse() {
        Ok(command) => command,
        Err(exit) => return exit.into(),
    };
    run(command).into()
}

fn run(command: Command) -> Exit {
    match command {
        Command::Node(options) => commands::node::run(&options),
        Command::Check(options) => commands::check::run(&options),
        Command::Status(_) => not_built("status"),
        Command::Timeline(_) => not_built("timeline"),
        Command::Keys(_) => not_built("keys"),
        Command::Call(_) => not_built("call"),
    }
}

fn not_built(command: &str) -> Exit {
    eprintln!("coltsfootport: {command}: not built yet");
    Exit::Failed
}
