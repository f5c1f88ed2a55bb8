//! Command line parsing.

mod help;
mod options;

use bpaf::{Args, OptionParser, ParseFailure, Parser};

pub use options::{
    CallOptions, CheckOptions, CheckSubject, Command, ExplainOptions, KeysOptions, MeshOptions,
    NodeKeyOptions, NodeOptions, StatusOptions, TimelineOptions, TokenSource,
};

use crate::exit::Exit;

/// Maximum line width of the `--help` output.
const HELP_WIDTH: usize = 100;

/// Parses the command line of the process.
///
/// # Errors
///
/// Returns the exit code after printing the output of `--help` or `--version`, or a usage error.
pub fn parse() -> Result<Command, Exit> {
    parse_from(Args::current_args()).map_err(|failure| {
        failure.print_message(HELP_WIDTH);
        match failure {
            ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Ok,
            ParseFailure::Stderr(_) => Exit::Usage,
        }
    })
}

/// Parses the given arguments, which must not include the program name.
///
/// # Errors
///
/// Returns the message to print: help on standard output or a usage error on standard error.
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
