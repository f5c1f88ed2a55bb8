//! Writes command output to standard output.

use std::io::{self, Write};

use crate::exit::Exit;

/// Writes and flushes all bytes while holding the lock of standard output.
pub(super) fn write(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}

/// Reports a failed write and returns the exit code of the command.
pub(super) fn handle_write_error(err: &io::Error) -> Exit {
    // The reader closed the pipe, as `timeline --follow | head` does after enough lines.
    if err.kind() == io::ErrorKind::BrokenPipe {
        return Exit::Ok;
    }
    eprintln!("coltsfootport: failed to write to standard output: {err}");
    Exit::Failed
}
