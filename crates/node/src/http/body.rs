//! Whole bodies of bounded size.

use std::error::Error;
use std::pin::pin;
use std::time::Duration;

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
    collect(body, limit).await
}

/// Reads the body of a request as [`read_whole`] does, and discards some of what is above the limit.
///
/// Closing a connection with unread bytes makes the kernel reset it, which takes the answer away from a caller that is still
/// sending: it would see a broken connection instead of the status 413, and send the same again.
pub async fn read_request(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let is_too_long = body.size_hint().lower() > limit as u64;
    let read = match is_too_long {
        true => Err(BodyError::TooLarge),
        false => collect(&mut body, limit).await,
    };
    if read == Err(BodyError::TooLarge) {
        let discarding = discard(body, MOST_DISCARDED);
        let _ = tokio::time::timeout(DISCARD_TIME, discarding).await;
    }
    read
}

/// Bytes that are read beyond a limit only to be dropped.
const MOST_DISCARDED: usize = 4 * 1024 * 1024;

/// Longest time for which bytes are discarded.
const DISCARD_TIME: Duration = Duration::from_millis(500);

async fn discard(mut body: Incoming, most: usize) {
    let mut discarded = 0;
    while let Some(Ok(frame)) = body.frame().await {
        discarded += frame.data_ref().map_or(0, Bytes::len);
        if discarded > most {
            return;
        }
    }
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
