//! Reads input of the commands from files or standard input.

use std::io::{self, Read};
use std::path::Path;

/// Reads a whole file; `-` reads standard input.
pub(super) fn read(path: &Path) -> io::Result<Vec<u8>> {
    if path.as_os_str() != "-" {
        return std::fs::read(path);
    }
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads a whole file as UTF-8; `-` reads standard input.
pub(super) fn read_text(path: &Path) -> io::Result<String> {
    String::from_utf8(read(path)?).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
