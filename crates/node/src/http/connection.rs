//! A caller's connection whose end can be seen before its bytes are read.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A caller's TCP connection, shared between hyper and the handler of its requests.
#[derive(Clone, Debug)]
pub struct CallerConnection(Arc<TcpStream>);

impl CallerConnection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Whether bytes of the caller wait in the kernel.
    pub fn has_unread(&self) -> bool {
        let mut buf = [MaybeUninit::uninit(); 1];
        matches!(SockRef::from(&*self.0).peek(&mut buf), Ok(1..))
    }

    /// Whether the caller has closed its side.
    ///
    /// A process that was paused finds a request and the caller's close in the same socket buffer. Without this look the
    /// request would be dispatched for a caller that has long been told something else or has tried elsewhere. The kernel is
    /// asked directly, since the runtime may not yet have polled the socket after the pause.
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
