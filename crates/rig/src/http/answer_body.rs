//! Bodies of answers: whole, or cut short on purpose.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::{Sleep, sleep};

/// Time between the last byte of a truncated body and the close of its connection.
///
/// hyper drops what it has buffered when a body fails, so without a pause the reader would see no byte at all.
const TRUNCATION_PAUSE: Duration = Duration::from_millis(20);

/// The body of an answer.
pub enum AnswerBody {
    /// Every byte is sent.
    Whole(Full<Bytes>),
    /// The connection is closed after a part of the announced length.
    Truncated(TruncatedBody),
}

impl AnswerBody {
    /// A body that is sent whole.
    pub fn whole<B>(body: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self::Whole(Full::new(body.into()))
    }

    /// A body that announces its full length but ends after `sent` bytes.
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

/// A body that announces more bytes than it sends, then fails.
pub struct TruncatedBody {
    announced: u64,
    rest: Option<Bytes>,
    pause: Option<Pin<Box<Sleep>>>,
}

impl TruncatedBody {
    fn new(mut body: Bytes, sent: usize) -> Self {
        let announced = body.len() as u64;
        body.truncate(sent);
        Self {
            announced,
            rest: Some(body),
            pause: None,
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
        if let Some(rest) = self.rest.take().filter(|rest| !rest.is_empty()) {
            return Poll::Ready(Some(Ok(Frame::data(rest))));
        }
        let pause = self
            .pause
            .get_or_insert_with(|| Box::pin(sleep(TRUNCATION_PAUSE)));
        ready!(pause.as_mut().poll(cx));
        Poll::Ready(Some(Err(io::Error::other("truncated on purpose"))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced)
    }
}
