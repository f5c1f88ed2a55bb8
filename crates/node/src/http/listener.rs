//! Accepts HTTP connections and hands each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use super::{CallerConnection, HttpAnswer};

/// Limits of a listener, all of which bound memory that a caller can take.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Connections at a time; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time in which a head must arrive, the first one counted from the connection's begin.
    pub header_timeout: Duration,
    /// Time after an answer in which the next request must begin.
    pub idle_timeout: Duration,
}

/// A listener for callers or for the node's own target.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: ListenerLimits,
    closing: watch::Receiver<bool>,
}

impl Listener {
    /// A listener on a bound socket which winds its connections up when `closing` turns true.
    pub fn new(
        socket: TcpListener,
        limits: ListenerLimits,
        closing: watch::Receiver<bool>,
    ) -> Self {
        Self {
            socket,
            limits,
            closing,
        }
    }

    /// Serves until `closing` turns true and every connection has finished its request.
    pub async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        let room = Arc::new(Semaphore::new(self.limits.connections));
        self.accept(&room, handler).await;
        let _ = room.acquire_many(self.limits.connections as u32).await;
    }

    async fn accept<H, F>(&mut self, room: &Arc<Semaphore>, handler: H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        loop {
            let permit = tokio::select! {
                permit = Arc::clone(room).acquire_owned() => permit,
                _ = self.closing.wait_for(|closing| *closing) => return,
            };
            let Ok(permit) = permit else { return };
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                _ = self.closing.wait_for(|closing| *closing) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let connection = serve(stream, self.limits, self.closing.clone(), handler.clone());
            tokio::spawn(async move {
                connection.await;
                drop(permit);
            });
        }
    }
}

/// Pause after a failed accept, as when the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The smallest buffer that hyper takes.
pub(super) const LEAST_HEADER_BYTES: usize = 8192;

async fn serve<H, F>(
    stream: TcpStream,
    limits: ListenerLimits,
    mut closing: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpAnswer>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let connection = CallerConnection::new(stream);
    let io = TokioIo::new(connection.clone());
    let (using, used) = watch::channel(Use::Fresh);
    let service = service_fn(move |req| {
        using.send_replace(Use::Busy);
        let using = using.clone();
        // Boxed, since hyper sets the room for a handler's future aside for as long as a connection is idle.
        let answer = Box::pin(handler(req, connection.clone()));
        async move {
            let answer = answer.await;
            using.send_replace(Use::Idle);
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_HEADER_BYTES));
    let mut serving = pin!(builder.serve_connection(io, service));
    tokio::select! {
        _ = serving.as_mut() => return,
        () = unused_for_long(used, limits) => return,
        _ = closing.wait_for(|closing| *closing) => {}
    }
    serving.as_mut().graceful_shutdown();
    let _ = serving.await;
}

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Use {
    /// No request has come yet.
    Fresh,
    /// A request is being served.
    Busy,
    /// The last request was answered; the answer may still be on its way.
    Idle,
}

/// Ends when a connection should be closed for want of use.
///
/// hyper counts the time of a head from its first byte. Connections that send none would hold their places for ever, seen as
/// a node that accepts nobody any more; so would a caller that never reads its answer.
async fn unused_for_long(mut used: watch::Receiver<Use>, limits: ListenerLimits) {
    loop {
        let patience = match *used.borrow_and_update() {
            Use::Fresh => limits.header_timeout,
            Use::Idle => limits.idle_timeout,
            Use::Busy => Duration::MAX,
        };
        match tokio::time::timeout(patience, used.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}
