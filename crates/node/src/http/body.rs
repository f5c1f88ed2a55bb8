//! Whole bodies of bounded size.

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
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
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BodyError::TooLarge),
        Err(_) => Err(BodyError::Cut),
    }
}
