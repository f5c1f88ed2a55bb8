//! An HTTP/1.1 server that ends with its handle.

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

/// Pause after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Returned to hyper so that it closes the connection without an answer.
#[derive(Debug, Error)]
#[error("connection dropped on purpose")]
struct Dropped;

/// A running server; dropping it closes its listener and every connection.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    task: JoinHandle<Infallible>,
}

impl Server {
    /// Serves every request on `listener` by `handler`.
    ///
    /// The future of a request is dropped as soon as its client closes the connection.
    pub fn start<H, F>(listener: TcpListener, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Handled> + Send + 'static,
    {
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, handler));
        Ok(Self { addr, task })
    }

    /// The address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds a listener.
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
            Err(_) => sleep(ACCEPT_PAUSE).await,
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
        async move { answer_of(handled.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // A client that goes away ends its connection with an error; there is nobody to tell.
    let _ = connection.await;
}

fn answer_of(handled: Handled) -> Result<Answer, Dropped> {
    match handled {
        Handled::Answer(answer) => Ok(answer),
        Handled::Drop => Err(Dropped),
    }
}
