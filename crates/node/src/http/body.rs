//! Reading of complete bodies of limited size.

use std::error::Error;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::body::Incoming;

/// Error while reading a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body exceeds its size limit.
    #[error("the body exceeds its size limit")]
    TooLarge,
    /// The sender ended the body early or violated the framing.
    #[error("the body is incomplete")]
    Truncated,
}

/// Reads a body to its end; fails if it exceeds `limit` bytes.
///
/// A truncated body must not be taken for a complete one. hyper reports a missing last chunk, or fewer bytes than the
/// content length, as an error, which is returned as a different error than a body that exceeds the limit.
pub async fn read_to_end(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    // Rejects a body by its announced length, without waiting for its bytes.
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    collect(body, limit).await
}

async fn collect<B>(body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error>,
{
    let mut body = pin!(Limited::new(body, limit));
    // Copies all frames into one buffer: if a caller sends single bytes, separately stored frames would take many times
    // the size of the body.
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::from)?;
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}

impl From<Box<dyn Error + Send + Sync>> for BodyError {
    fn from(e: Box<dyn Error + Send + Sync>) -> Self {
        match e.is::<LengthLimitError>() {
            true => Self::TooLarge,
            false => Self::Truncated,
        }
    }
}
