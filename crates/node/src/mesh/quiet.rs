//! Whether a kept connection can carry another request.

use std::io;

use tokio::net::TcpStream;

/// Whether nothing has come on a connection that waits for its next request, neither bytes nor the end.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
}
