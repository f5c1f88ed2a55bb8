//! Connection of a caller whose close can be detected before its bytes are read.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP connection of a caller, shared between hyper and the request handler.
#[derive(Clone, Debug)]
pub struct CallerConnection(Arc<TcpStream>);

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Whether the socket's receive buffer holds unread bytes.
    pub fn has_unread(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        matches!(SockRef::from(&*self.0).peek(&mut buf), Ok(1..))
    }

    /// Whether the caller has closed its side of the connection.
    ///
    /// After a pause of the process, a request and the caller's close may be in the same socket buffer. Without this
    /// check the request would be dispatched for a caller that has already been told another outcome or has retried
    /// elsewhere. The check peeks at the socket directly, since the runtime may not have polled it yet after the pause.
    pub fn is_closed(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        match SockRef::from(&*self.0).peek(&mut buf) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
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
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
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
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                done => return Poll::Ready(done),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(std::net::Shutdown::Write))
    }
}
