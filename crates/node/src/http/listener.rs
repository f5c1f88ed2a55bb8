//! Accepts HTTP connections and hands each request to a handler.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};

use super::{CallerConnection, HttpAnswer, ListenerStage};

/// Limits of a listener, all of which bound memory that a caller can take.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Connections at a time; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Time in which a head must arrive, counted from the connection's begin or the last answer.
    pub header_timeout: Duration,
    /// Time in which an answer must be read.
    pub idle_timeout: Duration,
}

/// A listener for callers or for the node's own target.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: ListenerLimits,
    stage: watch::Receiver<ListenerStage>,
}

impl Listener {
    /// A listener on a bound socket which winds its connections up as `stage` says.
    pub fn new(
        socket: TcpListener,
        limits: ListenerLimits,
        stage: watch::Receiver<ListenerStage>,
    ) -> Self {
        Self {
            socket,
            limits,
            stage,
        }
    }

    /// Serves until the stage is `Closing` and every connection has finished its request.
    pub async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        let room = Arc::new(Semaphore::new(self.limits.connections));
        self.accept(&room, &handler).await;
        let limits = self.limits;
        self.accept_rest(&room, &handler).await;
        let _ = room.acquire_many(limits.connections as u32).await;
    }

    async fn accept<H, F>(&mut self, room: &Arc<Semaphore>, handler: &H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        loop {
            let permit = tokio::select! {
                permit = Arc::clone(room).acquire_owned() => permit,
                () = is_closing(&mut self.stage) => return,
            };
            let Ok(permit) = permit else { return };
            let accepted = tokio::select! {
                accepted = self.socket.accept() => accepted,
                () = is_closing(&mut self.stage) => return,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            self.serve(stream, permit, handler);
        }
    }

    /// Takes the connections that wait in the kernel's queue and closes the socket.
    ///
    /// To their callers they are open, and a request may be on its way; closing the socket over them would reset them.
    async fn accept_rest<H, F>(self, room: &Arc<Semaphore>, handler: &H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        loop {
            let Ok(permit) = Arc::clone(room).acquire_owned().await else {
                return;
            };
            // The kernel is asked directly: the runtime may not yet have heard of a connection that waits.
            let Ok((stream, _)) = SockRef::from(&self.socket).accept() else {
                return;
            };
            let stream = std::net::TcpStream::from(stream);
            let _ = stream.set_nonblocking(true);
            if let Ok(stream) = TcpStream::from_std(stream) {
                self.serve(stream, permit, handler);
            }
        }
    }

    fn serve<H, F>(&self, stream: TcpStream, permit: OwnedSemaphorePermit, handler: &H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<HttpAnswer>> + Send + 'static,
    {
        let connection = serve(stream, self.limits, self.stage.clone(), handler.clone());
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

/// Pause after a failed accept, as when the process has no file descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// How long an open connection may still bring a request once the node has drained.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(200);

/// The smallest buffer that hyper takes.
pub(super) const LEAST_HEADER_BYTES: usize = 8192;

async fn serve<H, F>(
    stream: TcpStream,
    limits: ListenerLimits,
    mut stage: watch::Receiver<ListenerStage>,
    handler: H,
) where
    H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
    F: Future<Output = Response<HttpAnswer>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let connection = CallerConnection::new(stream);
    let io = TokioIo::new(connection.clone());
    let caller = connection.clone();
    let now = stage.clone();
    let (answering, mut answered) = watch::channel(false);
    let service = service_fn(move |req| {
        answering.send_replace(false);
        let answering = answering.clone();
        // Boxed, since hyper sets the room for a handler's future aside for as long as a connection is idle.
        let answer = Box::pin(handler(req, connection.clone()));
        let now = now.clone();
        async move {
            let answer = answer.await;
            answering.send_replace(true);
            Ok::<_, Infallible>(last_where_leaving(answer, &now))
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(LEAST_HEADER_BYTES));
    let mut serving = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            _ = serving.as_mut() => return,
            () = unread_for_long(&mut answered, limits) => {}
            () = is_closing(&mut stage) => break,
        }
        // A process that was paused finds the time over and, in the same moment, a request that came meanwhile. Closing the
        // connection over it would leave its caller without an answer.
        // Looked at before the connection is served again, which reads what is unread.
        let has_unread = caller.has_unread();
        let begins = async { has_unread && begins_soon(&mut answered).await };
        let begun = tokio::select! {
            _ = serving.as_mut() => return,
            begun = begins => begun,
        };
        if !begun {
            return;
        }
    }
    // A connection that has just been made is closed at once by hyper, with its first request on its way.
    tokio::select! {
        _ = serving.as_mut() => return,
        () = tokio::time::sleep(LAST_REQUEST_WAIT) => {}
    }
    // A request that has arrived and was not yet read is served; its answer closes the connection.
    if !caller.has_unread() {
        serving.as_mut().graceful_shutdown();
    }
    let _ = serving.await;
}

async fn is_closing(stage: &mut watch::Receiver<ListenerStage>) {
    let _ = stage
        .wait_for(|stage| *stage >= ListenerStage::Closing)
        .await;
}

fn last_where_leaving(
    mut res: Response<HttpAnswer>,
    stage: &watch::Receiver<ListenerStage>,
) -> Response<HttpAnswer> {
    if *stage.borrow() >= ListenerStage::Leaving {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// Ends when a caller has not taken in its last answer for long.
///
/// hyper bounds the time between requests and that of a head, but not that of writing. A caller that never reads its answer
/// would hold a connection and the answer's body for ever, seen as memory that grows and a node that accepts nobody any more.
async fn unread_for_long(answered: &mut watch::Receiver<bool>, limits: ListenerLimits) {
    loop {
        let patience = match *answered.borrow_and_update() {
            true => limits.idle_timeout,
            false => Duration::MAX,
        };
        match tokio::time::timeout(patience, answered.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Whether a request that has arrived is handed to the handler within a short time.
async fn begins_soon(answered: &mut watch::Receiver<bool>) -> bool {
    let begun = answered.wait_for(|answered| !answered);
    matches!(
        tokio::time::timeout(LAST_REQUEST_WAIT, begun).await,
        Ok(Ok(_))
    )
}
