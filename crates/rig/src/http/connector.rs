//! TCP connections on which an answer can still be read after a write has failed.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

type Inner = TokioIo<TcpStream>;

/// Opens [`ClientStream`]s.
#[derive(Clone, Debug)]
pub struct Connector(pub HttpConnector);

impl Service<Uri> for Connector {
    type Response = ClientStream;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<ClientStream, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.0.call(uri);
        Box::pin(async move {
            Ok(ClientStream {
                inner: connecting.await?,
                write_closed: false,
            })
        })
    }
}

/// Connection that discards what is written after the server has closed it.
///
/// A server may answer and close before it has read the complete request. hyper would report the failed write and not
/// the answer. If there is no answer, the read fails or ends, which hyper reports as well.
#[derive(Debug)]
pub struct ClientStream {
    inner: Inner,
    write_closed: bool,
}

impl ClientStream {
    /// Replaces the error of a write to a closed connection by the success of writing `len` bytes.
    fn written(&mut self, result: io::Result<usize>, len: usize) -> io::Result<usize> {
        match result {
            Err(e) if is_closed(&e) => {
                self.write_closed = true;
                Ok(len)
            }
            result => result,
        }
    }
}

fn is_closed(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionReset
    )
}

impl Connection for ClientStream {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buf)
    }
}

impl Write for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.write_closed {
            return Poll::Ready(Ok(buf.len()));
        }
        let result = ready!(Pin::new(&mut self.inner).poll_write(cx, buf));
        Poll::Ready(self.written(result, buf.len()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        if self.write_closed {
            return Poll::Ready(Ok(len));
        }
        let result = ready!(Pin::new(&mut self.inner).poll_write_vectored(cx, bufs));
        Poll::Ready(self.written(result, len))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
