//! Framing: a length, a head encoded by postcard, then the body.

use bytes::Bytes;
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{CallFrame, ControlReply, ControlRequest, ReplyFrame};
use crate::metrics::RejectedInput;

/// The first message on a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A call; its body follows.
    Call(Box<CallFrame>),
    /// Control traffic; no body follows.
    Control(ControlRequest),
}

/// The reply on the same stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to a call; the answer's body follows.
    Call(Box<ReplyFrame>),
    /// Reply to control traffic; no body follows.
    Control(ControlReply),
}

/// Why a frame could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream ended or was reset inside a frame.
    #[error("the stream ended inside a frame")]
    Cut,
    /// A head or body is above its limit.
    #[error("a frame of {0} bytes is above its limit")]
    TooLarge(usize),
    /// The head can't be decoded.
    #[error("the frame is malformed")]
    Malformed,
    /// The body is not the one that was sent.
    #[error("length or checksum of the body differ")]
    Checksum,
    /// The frame did not arrive in time.
    #[error("the frame did not arrive in time")]
    Slow,
    /// The sender speaks under a name that its certificate does not bear.
    #[error("the sender speaks under the name of another node")]
    Name,
    /// The reply is to another call, or gives back more than it was given.
    #[error("the reply does not belong to the call")]
    Reply,
}

impl FrameError {
    /// What the frame is counted as; `None` where the other end or the network just went away.
    pub fn rejected(&self) -> Option<RejectedInput> {
        match self {
            Self::Cut => None,
            Self::TooLarge(_) | Self::Malformed | Self::Checksum | Self::Slow => {
                Some(RejectedInput::Frame)
            }
            Self::Name => Some(RejectedInput::Name),
            Self::Reply => Some(RejectedInput::Reply),
        }
    }
}

impl From<ReadExactError> for FrameError {
    fn from(_: ReadExactError) -> Self {
        Self::Cut
    }
}

impl From<WriteError> for FrameError {
    fn from(_: WriteError) -> Self {
        Self::Cut
    }
}

/// CRC-32 of a body.
///
/// QUIC protects bytes on the wire; this sum guards against a defect that hands out the wrong buffer inside a node.
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}

/// Writes a head and its body and ends the stream; returns the bytes written.
pub async fn write_frame<T>(tx: &mut SendStream, head: &T, body: Bytes) -> Result<usize, FrameError>
where
    T: Serialize,
{
    let written = write_head(tx, head).await? + body.len();
    if !body.is_empty() {
        tx.write_chunk(body).await?;
    }
    let _ = tx.finish();
    Ok(written)
}

/// Writes a head; a body may follow. Returns the bytes written.
pub async fn write_head<T>(tx: &mut SendStream, head: &T) -> Result<usize, FrameError>
where
    T: Serialize,
{
    let mut buf = vec![0; LENGTH_BYTES];
    buf = postcard::to_extend(head, buf).map_err(|_| FrameError::Malformed)?;
    let length = (buf.len() - LENGTH_BYTES) as u32;
    buf[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    let written = buf.len();
    tx.write_chunk(Bytes::from(buf)).await?;
    Ok(written)
}

/// A head as read, with its size on the stream.
#[derive(Clone, Debug)]
pub struct Head<T> {
    /// The head.
    pub value: T,
    /// Its bytes, the length included.
    pub bytes: usize,
}

/// Reads a head of at most `limit` bytes.
pub async fn read_head<T>(rx: &mut RecvStream, limit: usize) -> Result<Head<T>, FrameError>
where
    T: DeserializeOwned,
{
    let mut length = [0; LENGTH_BYTES];
    rx.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > limit {
        return Err(FrameError::TooLarge(length));
    }
    let mut buf = vec![0; length];
    rx.read_exact(&mut buf).await?;
    let value = postcard::from_bytes(&buf).map_err(|_| FrameError::Malformed)?;
    let bytes = LENGTH_BYTES + length;
    Ok(Head { value, bytes })
}

/// Reads a body of exactly `length` bytes, which is at most `limit`.
pub async fn read_body(
    rx: &mut RecvStream,
    length: u32,
    limit: usize,
) -> Result<Bytes, FrameError> {
    let length = length as usize;
    if length > limit {
        return Err(FrameError::TooLarge(length));
    }
    let mut buf = vec![0; length];
    rx.read_exact(&mut buf).await?;
    Ok(Bytes::from(buf))
}

const LENGTH_BYTES: usize = 4;
