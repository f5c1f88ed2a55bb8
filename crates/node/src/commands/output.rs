//! Standard output of the commands.

use std::io::{self, Write};

use crate::exit::Exit;

/// Writes all of it at once.
pub(super) fn write(bytes: &[u8]) -> io::Result<()> {
    let mut out = io::stdout().lock();
    out.write_all(bytes)?;
    out.flush()
}

/// How a command ends that could not write.
pub(super) fn failed(fault: &io::Error) -> Exit {
    // `timeline --follow | head` closes the pipe when it has seen enough.
    if fault.kind() == io::ErrorKind::BrokenPipe {
        return Exit::Ok;
    }
    eprintln!("coltsfootport: standard output: {fault}");
    Exit::Failed
}
