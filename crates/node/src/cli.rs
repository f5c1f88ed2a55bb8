//! The command line.

mod help;
mod options;

use bpaf::{Args, OptionParser, ParseFailure, Parser};

pub use options::{
    CallOptions, CheckOptions, CheckSubject, Command, ExplainOptions, KeysOptions, MeshOptions,
    NodeKeyOptions, NodeOptions, StatusOptions, TimelineOptions, TokenChoice,
};

use crate::exit::Exit;

/// Characters a line of `--help`.
const HELP_WIDTH: usize = 100;

/// Reads the process's command line.
///
/// # Errors
///
/// The exit to end with, after `--help`, `--version` or the fault have been printed.
pub fn parse() -> Result<Command, Exit> {
    parse_from(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_WIDTH);
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Ok,
            ParseFailure::Stderr(_) => Exit::Usage,
        }
    })
}

/// Reads a command line that is given without the name of the program.
///
/// # Errors
///
/// What to print: help on standard output or a fault on standard error.
pub fn parse_from(args: Args<'_>) -> Result<Command, ParseFailure> {
    parser().run_inner(args)
}

fn parser() -> OptionParser<Command> {
    options::command()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Overload control for service call graphs: one node beside each target instance")
        .footer(help::exit_codes().as_str())
}
