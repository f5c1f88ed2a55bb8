//! One TCP connection between two nodes: frames, one request at a time.

use std::io;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::mesh::conn_reuse::is_reusable;
use crate::wire::FrameError;

/// Bytes of the length before a head or a piece of a body.
const LENGTH_BYTES: usize = 4;

/// Room for one read, in bytes. Most requests and answers fit in whole, so that one system call brings them.
const READ_SIZE: usize = 4 * 1024;

/// A connection with the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct PeerConn {
    stream: TcpStream,
    buf: BytesMut,
}

impl PeerConn {
    /// A connection on which nothing was sent.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::new(),
        }
    }

    /// Whether nothing has come since the last frame, neither bytes nor the end.
    pub fn is_quiet(&self) -> bool {
        self.buf.is_empty() && is_reusable(&self.stream)
    }

    /// Gives back the room of the buffer; an idle connection would hold it for seconds.
    pub fn rest(&mut self) {
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
    }

    /// Sets for how long sent bytes may stay at this end without the other one taking them, after which the connection is lost.
    ///
    /// # Errors
    ///
    /// The connection is lost already.
    pub fn set_patience(&self, time: Duration) -> Result<(), FrameError> {
        SockRef::from(&self.stream)
            .set_tcp_user_timeout(Some(time))
            .map_err(cut)
    }

    /// Writes a head and a body that is held.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write<T>(&mut self, head: &T, body: &[u8]) -> Result<(), WriteFault>
    where
        T: Serialize,
    {
        let mut buf = encoded(head)?;
        buf.extend_from_slice(body);
        let first = self.stream.write(&buf).await;
        let written = first.map_err(|_| WriteFault::NothingSent)?;
        let rest = self.stream.write_all(&buf[written..]).await;
        rest.map_err(|_| WriteFault::Cut)
    }

    /// Writes one piece of a body that is not held; an empty one is its end.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write_piece(&mut self, piece: &[u8]) -> Result<(), FrameError> {
        let buf = with_length(piece)?;
        self.stream.write_all(&buf).await.map_err(cut)
    }

    /// Writes one piece as [`PeerConn::write_piece`] does; `false` where something comes from the other end before it has
    /// taken the whole piece.
    ///
    /// # Errors
    ///
    /// The connection is lost.
    pub async fn write_piece_unless_answered(&mut self, piece: &[u8]) -> Result<bool, FrameError> {
        let buf = with_length(piece)?;
        let (mut rx, mut tx) = self.stream.split();
        let mut byte = [0];
        tokio::select! {
            written = tx.write_all(&buf) => written.map(|()| true).map_err(cut),
            _ = rx.peek(&mut byte) => Ok(false),
        }
    }

    /// Reads a head of at most `limit` bytes. Dropped before the end, nothing that has come is lost.
    ///
    /// # Errors
    ///
    /// The connection has ended, or sends what is no such head.
    pub async fn read_head<T>(&mut self, limit: usize) -> Result<T, FrameError>
    where
        T: DeserializeOwned,
    {
        let head = self.read_piece(limit).await?;
        postcard::from_bytes(&head).map_err(|_| FrameError::Malformed)
    }

    /// Reads one piece of at most `limit` bytes, as [`PeerConn::write_piece`] wrote it.
    ///
    /// # Errors
    ///
    /// The connection has ended, or the piece is larger.
    pub async fn read_piece(&mut self, limit: usize) -> Result<Bytes, FrameError> {
        self.fill(LENGTH_BYTES).await?;
        let mut length = [0; LENGTH_BYTES];
        length.copy_from_slice(&self.buf[..LENGTH_BYTES]);
        let length = u32::from_be_bytes(length) as usize;
        if length > limit {
            return Err(FrameError::TooLarge(length));
        }
        self.fill(LENGTH_BYTES + length).await?;
        let mut piece = self.buf.split_to(LENGTH_BYTES + length);
        Ok(piece.split_off(LENGTH_BYTES).freeze())
    }

    /// Reads a body of exactly `length` bytes.
    ///
    /// # Errors
    ///
    /// The connection has ended.
    pub async fn read_body(&mut self, length: usize) -> Result<Bytes, FrameError> {
        self.fill(length).await?;
        Ok(self.buf.split_to(length).freeze())
    }

    /// Resolves when the other end has closed or sends something; what it sends stays to be read.
    pub async fn closed(&self) {
        if self.buf.is_empty() {
            let mut byte = [0];
            // An end, a reset or bytes: each of them ends the exchange.
            let _ = self.stream.peek(&mut byte).await;
        }
    }

    /// Reads until so many bytes are there.
    async fn fill(&mut self, wanted: usize) -> Result<(), FrameError> {
        while self.buf.len() < wanted {
            self.buf.reserve(READ_SIZE.max(wanted - self.buf.len()));
            let read = self.stream.read_buf(&mut self.buf).await.map_err(cut)?;
            if read == 0 {
                return Err(FrameError::Cut);
            }
        }
        Ok(())
    }
}

/// Why a frame was not written.
#[derive(Debug, thiserror::Error)]
pub enum WriteFault {
    /// The connection had ended before: no byte has left this node.
    #[error("the connection had ended")]
    NothingSent,
    /// The connection was lost within the frame.
    #[error("the connection was lost")]
    Cut,
    /// The head can't be encoded.
    #[error(transparent)]
    Head(#[from] FrameError),
}

impl From<WriteFault> for FrameError {
    fn from(fault: WriteFault) -> Self {
        match fault {
            WriteFault::NothingSent | WriteFault::Cut => Self::Cut,
            WriteFault::Head(e) => e,
        }
    }
}

/// A head with its length before it.
fn encoded<T>(head: &T) -> Result<Vec<u8>, FrameError>
where
    T: Serialize,
{
    let room = vec![0; LENGTH_BYTES];
    let mut buf = postcard::to_extend(head, room).map_err(|_| FrameError::Malformed)?;
    let length = u32::try_from(buf.len() - LENGTH_BYTES).map_err(|_| FrameError::Malformed)?;
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(buf)
}

/// A piece with its length before it.
fn with_length(piece: &[u8]) -> Result<BytesMut, FrameError> {
    let length = u32::try_from(piece.len()).map_err(|_| FrameError::TooLarge(piece.len()))?;
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + piece.len());
    buf.put_u32(length);
    buf.put_slice(piece);
    Ok(buf)
}

fn cut(_: io::Error) -> FrameError {
    FrameError::Cut
}
