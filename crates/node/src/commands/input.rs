//! Files and standard input of the commands.

use std::io::{self, Read};
use std::path::Path;

/// Reads all bytes; `-` is standard input.
pub(super) fn read(path: &Path) -> io::Result<Vec<u8>> {
    if path.as_os_str() != "-" {
        return std::fs::read(path);
    }
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Reads text; `-` is standard input.
pub(super) fn read_text(path: &Path) -> io::Result<String> {
    let text = String::from_utf8(read(path)?);
    text.map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
}
