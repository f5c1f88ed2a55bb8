//! One connection to the target.

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::mesh::conn_reuse::is_reusable;

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
        self.buf.is_empty() && is_reusable(&self.stream)
    }
}
