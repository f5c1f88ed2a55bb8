//! Entry point of the `coltsfootport` binary.

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
        Command::Mesh(options) => commands::mesh::run(&options),
        Command::Check(options) => commands::check::run(&options),
        Command::Status(options) => commands::status::run(&options),
        Command::Timeline(options) => commands::timeline::run(&options),
        Command::Explain(options) => commands::explain::run(&options),
        Command::Keys(options) => commands::keys::run(&options),
        Command::Call(options) => commands::call::run(&options),
    }
}
