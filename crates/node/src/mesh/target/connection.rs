//! One connection to the target.

use std::io;

use bytes::BytesMut;
use tokio::net::TcpStream;

/// Bytes read at a time.
pub const READ_SIZE: usize = 16 * 1024;

/// A connection with the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct TargetConn {
    /// The socket.
    pub stream: TcpStream,
    /// Bytes that were read.
    pub buf: BytesMut,
}

impl TargetConn {
    /// A connection on which nothing was sent.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Whether nothing has come since the last answer, neither bytes nor the end.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        self.buf.is_empty()
            && matches!(self.stream.try_read(&mut byte), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}
