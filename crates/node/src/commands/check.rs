//! `check`: a document or settings without a node.

use crate::cli::CheckOptions;
use crate::exit::Exit;

/// Checks the file and prints its faults.
pub fn run(options: &CheckOptions) -> Exit {
    eprintln!(
        "coltsfootport: check {}: not built yet",
        options.file.display()
    );
    Exit::Failed
}
