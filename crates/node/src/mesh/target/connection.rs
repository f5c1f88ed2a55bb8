//! A connection to the target.

use bytes::BytesMut;
use tokio::net::TcpStream;

use crate::mesh::conn_reuse::is_reusable;

/// Buffer space reserved for a read, in bytes.
pub const READ_SIZE: usize = 16 * 1024;

/// A connection and the bytes read from it but not yet consumed.
#[derive(Debug)]
pub struct TargetConn {
    /// The socket.
    pub stream: TcpStream,
    /// Unconsumed bytes.
    pub buf: BytesMut,
}

impl TargetConn {
    /// Wraps a stream on which nothing has been sent yet.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Whether neither data nor the end of the stream has arrived since the last response.
    pub fn is_quiet(&self) -> bool {
        self.buf.is_empty() && is_reusable(&self.stream)
    }
}
