//! HTTP/1.1 server that stops when its handle is dropped.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::http::{Answer, Handled};

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Service error that makes hyper close the connection without a response.
#[derive(Debug, Error)]
#[error("connection dropped by the request handler")]
struct Dropped;

/// A running server; dropping it closes its listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    task: JoinHandle<Infallible>,
}

impl Server {
    /// Starts serving the connections of `listener` with `handler`.
    ///
    /// The handler's future is dropped when the client closes the connection.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Handled> + Send + 'static,
    {
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { addr, task })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a TCP listener to `addr`.
pub async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}

async fn accept<H, F>(listener: TcpListener, handler: H) -> Infallible
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Handled> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, handler.clone()));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Handled>,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req| {
        let handled = handler(req);
        async move { into_service_result(handled.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // A client that disconnects early causes an error, which doesn't concern the server.
    let _ = connection.await;
}

fn into_service_result(handled: Handled) -> Result<Answer, Dropped> {
    match handled {
        Handled::Answer(answer) => Ok(answer),
        Handled::Drop => Err(Dropped),
    }
}
