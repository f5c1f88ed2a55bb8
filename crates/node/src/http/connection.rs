//! Connection of a caller whose close can be detected before its bytes are read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::socket_input::SocketInput;

/// TCP connection of a caller, shared between hyper and the request handler.
#[derive(Clone, Debug)]
pub struct CallerConnection {
    stream: Arc<TcpStream>,
    closes: Arc<AtomicBool>,
}

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream: Arc::new(stream),
            closes: Arc::default(),
        }
    }

    /// Makes the next answer announce the close of the connection, because the body of its request is not read.
    pub fn close_after_answer(&self) {
        self.closes.store(true, Ordering::Relaxed);
    }

    /// Whether the next answer announces the close of the connection.
    pub fn closes_after_answer(&self) -> bool {
        self.closes.load(Ordering::Relaxed)
    }

    /// Whether the socket's receive buffer holds unread bytes.
    pub fn has_unread(&self) -> bool {
        SocketInput::peek(&self.stream) == SocketInput::Unread
    }

    /// Whether the caller has closed its side of the connection.
    ///
    /// After a pause of the process, a request and the caller's close may be in the same socket buffer. Without this
    /// check the request would be dispatched for a caller that has already been told another outcome or has retried
    /// elsewhere.
    pub fn is_closed(&self) -> bool {
        SocketInput::peek(&self.stream) == SocketInput::Ended
    }

    /// Shuts down the sending side and discards input until the caller closes the connection, for at most `limit`.
    pub async fn linger(mut self, limit: Duration) {
        // Fails if the caller has already reset the connection; then there is nothing to discard either.
        if self.shutdown().await.is_ok() {
            // The connection is closed in either case.
            let _ = timeout(limit, tokio::io::copy(&mut self, &mut tokio::io::sink())).await;
        }
    }
}

impl AsyncRead for CallerConnection {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerConnection {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match self.stream.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
