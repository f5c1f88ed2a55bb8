//! Response bodies, optionally truncated for fault injection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

/// Delay between the last byte of a truncated body and closing the connection.
///
/// hyper discards its write buffer when a body fails, so without the delay the client would receive no bytes at all.
const TRUNCATION_DELAY: Duration = Duration::from_millis(20);

/// Body of a response.
pub enum AnswerBody {
    /// Sent completely.
    Whole(Full<Bytes>),
    /// Cut off before the announced length by closing the connection.
    Truncated(TruncatedBody),
}

impl AnswerBody {
    /// Creates a body that is sent completely.
    pub fn whole<B>(body: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self::Whole(Full::new(body.into()))
    }

    /// Creates a body that announces its full length but fails after `sent` bytes.
    pub fn truncated<B>(body: B, sent: usize) -> Self
    where
        B: Into<Bytes>,
    {
        Self::Truncated(TruncatedBody::new(body.into(), sent))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Self::Truncated(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Truncated(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Truncated(body) => body.size_hint(),
        }
    }
}

/// A body that fails before it has sent its announced length.
pub struct TruncatedBody {
    announced: u64,
    remaining: Option<Bytes>,
    delay: Option<Pin<Box<Sleep>>>,
}

impl TruncatedBody {
    fn new(mut body: Bytes, sent: usize) -> Self {
        let announced = body.len() as u64;
        body.truncate(sent);
        Self {
            announced,
            remaining: Some(body),
            delay: None,
        }
    }
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(data) = self.remaining.take().filter(|data| !data.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        let delay = self
            .delay
            .get_or_insert_with(|| Box::pin(sleep(TRUNCATION_DELAY)));
        ready!(delay.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::other(
            "response body truncated by fault injection",
        ))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}
