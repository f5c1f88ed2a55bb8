//! Whole bodies of bounded size.

use std::error::Error;
use std::pin::pin;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::body::Incoming;

/// Why a body was not read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is above its limit.
    #[error("the body is above its limit")]
    TooLarge,
    /// The other side ended it early or broke the framing.
    #[error("the body is not whole")]
    Cut,
}

/// Reads a body to its end, at most `limit` bytes.
///
/// A body that ends early must not pass for a whole one: hyper reports a missing last chunk or a short content length as an
/// error, which is kept apart here.
pub async fn read_whole(body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    // What is announced as too long is refused at once, whether or not it ever comes.
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
    // Copied together, since frames that are kept one by one cost many times their size where a caller sends single bytes.
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(BodyError::from)?;
        if let Ok(data) = frame.into_data() {
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

impl From<Box<dyn Error + Send + Sync>> for BodyError {
    fn from(e: Box<dyn Error + Send + Sync>) -> Self {
        match e.is::<LengthLimitError>() {
            true => Self::TooLarge,
            false => Self::Cut,
        }
    }
}
