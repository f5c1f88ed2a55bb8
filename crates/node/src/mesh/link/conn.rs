//! A TCP connection between two nodes that carries frames, one request at a time.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::mesh::conn_reuse::is_reusable;
use crate::socket_input::SocketInput;
use crate::wire::FrameError;

/// Size of the length prefix of heads and body chunks, in bytes.
const LENGTH_BYTES: usize = 4;

/// Minimum buffer space for a read, in bytes. Most requests and replies fit and are read in a single system call.
const READ_SIZE: usize = 4 * 1024;

/// A connection with its read buffer.
#[derive(Debug)]
pub struct PeerConn {
    stream: TcpStream,
    buf: BytesMut,
}

impl PeerConn {
    /// Wraps a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Whether the connection can carry another request: it is open and has no unread input.
    pub fn is_reusable(&self) -> bool {
        self.buf.is_empty() && is_reusable(&self.stream)
    }

    /// Frees the read buffer, which an idle connection would hold for seconds.
    pub fn release_buffer(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Sets the TCP user timeout: how long sent bytes may stay unacknowledged before the connection is dropped.
    ///
    /// # Errors
    ///
    /// The connection is already lost.
    pub fn set_user_timeout(&self, timeout: Duration) -> Result<(), FrameError> {
        SockRef::from(&self.stream)
            .set_tcp_user_timeout(Some(timeout))
            .map_err(connection_lost)
    }

    /// Writes a head and a buffered body.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write<T>(&mut self, head: &T, body: &[u8]) -> Result<(), WriteError>
    where
        T: Serialize,
    {
        let mut buf = encode_head(head)?;
        buf.extend_from_slice(body);
        let first = self.stream.write(&buf).await;
        let written = first.map_err(|_| WriteError::NothingSent)?;
        let rest = self.stream.write_all(&buf[written..]).await;
        rest.map_err(|_| WriteError::ConnectionLost)
    }

    /// Writes two heads at once.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write_pair<A, B>(&mut self, first: &A, second: &B) -> Result<(), WriteError>
    where
        A: Serialize,
        B: Serialize,
    {
        let second = encode_head(second)?;
        self.write(first, &second).await
    }

    /// Writes one chunk of a streamed body; an empty chunk ends the body.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write_chunk(&mut self, chunk: &[u8]) -> Result<(), FrameError> {
        let buf = encode_chunk(chunk)?;
        self.stream.write_all(&buf).await.map_err(connection_lost)
    }

    /// Writes one chunk like [`PeerConn::write_chunk`]. Returns `false` if the peer sends something before the whole
    /// chunk is written.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write_chunk_unless_answered(&mut self, chunk: &[u8]) -> Result<bool, FrameError> {
        let buf = encode_chunk(chunk)?;
        let (mut rx, mut tx) = self.stream.split();
        let mut byte = [0];
        tokio::select! {
            written = tx.write_all(&buf) => written.map(|()| true).map_err(connection_lost),
            _ = rx.peek(&mut byte) => Ok(false),
        }
    }

    /// Reads a head of at most `limit` bytes. Cancel safe: received bytes stay in the buffer.
    ///
    /// # Errors
    ///
    /// The connection is closed, or the data is no valid head.
    pub async fn read_head<T>(&mut self, limit: usize) -> Result<T, FrameError>
    where
        T: DeserializeOwned,
    {
        let head = self.read_chunk(limit).await?;
        postcard::from_bytes(&head).map_err(|_| FrameError::Malformed)
    }

    /// Reads one chunk of at most `limit` bytes, as written by [`PeerConn::write_chunk`].
    ///
    /// # Errors
    ///
    /// The connection is closed, or the chunk is larger than `limit`.
    pub async fn read_chunk(&mut self, limit: usize) -> Result<Bytes, FrameError> {
        self.fill(LENGTH_BYTES).await?;
        let mut length = [0; LENGTH_BYTES];
        length.copy_from_slice(&self.buf[..LENGTH_BYTES]);
        let length = u32::from_be_bytes(length) as usize;
        if length > limit {
            return Err(FrameError::TooLarge(length));
        }
        self.fill(LENGTH_BYTES + length).await?;
        let mut chunk = self.buf.split_to(LENGTH_BYTES + length);
        Ok(chunk.split_off(LENGTH_BYTES).freeze())
    }

    /// Reads a body of exactly `length` bytes.
    ///
    /// # Errors
    ///
    /// The connection is closed.
    pub async fn read_body(&mut self, length: usize) -> Result<Bytes, FrameError> {
        self.fill(length).await?;
        Ok(self.buf.split_to(length).freeze())
    }

    /// Resolves when the peer closes the connection or sends something, which remains unread.
    pub async fn closed(&self) {
        if self.buf.is_empty() {
            let mut byte = [0];
            // End of file, a reset and unexpected input all end the exchange.
            let _ = self.stream.peek(&mut byte).await;
        }
    }

    /// Whether the peer has closed the connection, or sent something, behind what was read.
    pub fn is_closed(&self) -> bool {
        !self.buf.is_empty() || SocketInput::peek(&self.stream) != SocketInput::Empty
    }

    /// Ends the connection after what was written. The peer can still send.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn finish_writing(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Discards input until the peer closes the connection: closing with unread input would reset the connection and
    /// lose what the peer has not read yet.
    pub async fn discard_input(&mut self) {
        self.buf.clear();
        while matches!(self.stream.read_buf(&mut self.buf).await, Ok(read) if read > 0) {
            self.buf.clear();
        }
    }

    /// Reads until the buffer holds at least `needed` bytes.
    async fn fill(&mut self, needed: usize) -> Result<(), FrameError> {
        while self.buf.len() < needed {
            self.buf.reserve(READ_SIZE.max(needed - self.buf.len()));
            let read = self
                .stream
                .read_buf(&mut self.buf)
                .await
                .map_err(connection_lost)?;
            if read == 0 {
                return Err(FrameError::Truncated);
            }
        }
        Ok(())
    }
}

/// Why a frame could not be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The connection was already closed; nothing was sent.
    #[error("connection already closed")]
    NothingSent,
    /// The connection was lost while the frame was written.
    #[error("connection lost")]
    ConnectionLost,
    /// The head could not be encoded.
    #[error(transparent)]
    Head(#[from] FrameError),
}

impl From<WriteError> for FrameError {
    fn from(error: WriteError) -> Self {
        match error {
            WriteError::NothingSent | WriteError::ConnectionLost => Self::Truncated,
            WriteError::Head(e) => e,
        }
    }
}

/// Encodes a head with its length prefix.
fn encode_head<T>(head: &T) -> Result<Vec<u8>, FrameError>
where
    T: Serialize,
{
    let prefix = vec![0; LENGTH_BYTES];
    let mut buf = postcard::to_extend(head, prefix).map_err(|_| FrameError::Malformed)?;
    let length = u32::try_from(buf.len() - LENGTH_BYTES).map_err(|_| FrameError::Malformed)?;
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(buf)
}

/// Encodes a chunk with its length prefix.
fn encode_chunk(chunk: &[u8]) -> Result<BytesMut, FrameError> {
    let length = u32::try_from(chunk.len()).map_err(|_| FrameError::TooLarge(chunk.len()))?;
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + chunk.len());
    buf.put_u32(length);
    buf.put_slice(chunk);
    Ok(buf)
}

fn connection_lost(_: io::Error) -> FrameError {
    FrameError::Truncated
}
