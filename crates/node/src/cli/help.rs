//! Footer of the `--help` output.

use std::fmt::Write;

use crate::exit::Exit;

/// Returns the table of exit codes.
pub(super) fn exit_codes() -> String {
    let mut text = String::from(" Exit codes:");
    for exit in Exit::ALL {
        // Writing to a string can't fail.
        let _ = write!(text, "\n {:>3}  {}", exit.code(), exit.description());
    }
    text
}
