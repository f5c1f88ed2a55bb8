//! Check of idle connections before their reuse.

use std::io;

use tokio::net::TcpStream;

/// Whether an idle connection can carry another request: it is open and has no unread input.
pub fn is_reusable(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
