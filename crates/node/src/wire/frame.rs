//! Framing of messages: a length prefix, a head encoded with postcard, then the body.

use bytes::Bytes;
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{CallFrame, ControlReply, ControlRequest, ReplyFrame};
use crate::metrics::RejectedInput;

/// First message on a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Head of a call; its body follows.
    Call(Box<CallFrame>),
    /// Control request; no body follows.
    Control(ControlRequest),
}

/// Reply on the same stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Head of the reply to a call; the body of the answer follows.
    Call(Box<ReplyFrame>),
    /// Reply to a control request; no body follows.
    Control(ControlReply),
}

/// Error while reading, writing or validating a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The stream ended or was reset inside a frame.
    #[error("the stream ended inside a frame")]
    Truncated,
    /// A head or body exceeds its size limit; contains its length.
    #[error("a frame of {0} bytes exceeds the size limit")]
    TooLarge(usize),
    /// The head can't be decoded or contains an invalid value.
    #[error("the frame is malformed")]
    Malformed,
    /// The length or checksum of the body differs from the head.
    #[error("the length or checksum of the body does not match the head")]
    Checksum,
    /// The frame did not arrive within the time limit.
    #[error("the frame did not arrive in time")]
    Timeout,
    /// The node name in the frame differs from the name in the sender's certificate.
    #[error("the node name in the frame does not match the sender's certificate")]
    SenderMismatch,
    /// The reply belongs to another attempt, or returns a larger retry allowance than it was granted.
    #[error("the reply does not belong to the call")]
    ReplyMismatch,
}

impl FrameError {
    /// Returns the metrics label for a rejected frame; `None` if only the peer or the network failed.
    pub fn rejected(&self) -> Option<RejectedInput> {
        match self {
            Self::Truncated => None,
            Self::TooLarge(_) | Self::Malformed | Self::Checksum | Self::Timeout => {
                Some(RejectedInput::Frame)
            }
            Self::SenderMismatch => Some(RejectedInput::Name),
            Self::ReplyMismatch => Some(RejectedInput::Reply),
        }
    }
}

impl From<ReadExactError> for FrameError {
    fn from(_: ReadExactError) -> Self {
        Self::Truncated
    }
}

impl From<WriteError> for FrameError {
    fn from(_: WriteError) -> Self {
        Self::Truncated
    }
}

/// Returns the CRC-32 of a body.
///
/// QUIC protects the bytes in transit; the checksum detects a defect inside a node that uses the wrong buffer.
pub fn checksum(body: &[u8]) -> u32 {
    crc32fast::hash(body)
}

/// Writes a head and its body and finishes the stream; returns the number of bytes written.
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

/// Writes a head, which a body may follow; returns the number of bytes written.
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

/// Decoded head together with its encoded size.
#[derive(Clone, Debug)]
pub struct Head<T> {
    /// Decoded value.
    pub value: T,
    /// Encoded size in bytes, including the length prefix.
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

/// Reads a body of exactly `length` bytes; fails if `length` exceeds `limit`.
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
