//! HTTP listener that accepts connections and passes each request to a handler.

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

use super::{CallerConnection, ListenerStage, ResponseBody};

/// Limits of a listener, all of which limit the memory that callers can occupy.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of open connections; further ones wait in the kernel's accept queue.
    pub connections: usize,
    /// Maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// Time limit for receiving a head, counted from the start of the connection or the last answer.
    pub header_timeout: Duration,
    /// Time limit for the caller to read an answer.
    pub idle_timeout: Duration,
}

/// Listener for callers or for the node's own target.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    limits: ListenerLimits,
    stage: watch::Receiver<ListenerStage>,
}

impl Listener {
    /// Creates a listener on a bound socket; `stage` controls how it shuts down.
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

    /// Serves until the stage is `Closing` and every connection has completed its request.
    pub async fn run<H, F>(mut self, handler: H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        self.accept(&permits, &handler).await;
        let limits = self.limits;
        self.accept_queued(&permits, &handler).await;
        let _ = permits.acquire_many(limits.connections as u32).await;
    }

    async fn accept<H, F>(&mut self, permits: &Arc<Semaphore>, handler: &H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        loop {
            let permit = tokio::select! {
                permit = Arc::clone(permits).acquire_owned() => permit,
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

    /// Accepts the connections in the kernel's accept queue, then closes the socket.
    ///
    /// Their callers see them as established and may already have sent a request; closing the socket first would reset
    /// them.
    async fn accept_queued<H, F>(self, permits: &Arc<Semaphore>, handler: &H)
    where
        H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        loop {
            let Ok(permit) = Arc::clone(permits).acquire_owned().await else {
                return;
            };
            // Calls `accept` directly, since the runtime may not have been notified yet of a queued connection.
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
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let _ = stream.set_nodelay(true);
        let connection = CallerConnection::new(stream);
        let serving = serve(
            connection.clone(),
            self.limits,
            self.stage.clone(),
            handler.clone(),
        );
        tokio::spawn(async move {
            if serving.await == ConnectionEnd::Completed {
                connection.linger(LINGER_TIMEOUT).await;
            }
            drop(permit);
        });
    }
}

/// Pause after a failed `accept`, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time during which an open connection may still deliver a request after its idle timeout or the start of `Closing`.
const LAST_REQUEST_WAIT: Duration = Duration::from_millis(200);

/// Longest time for which input is read and discarded after the last answer. Closing a socket with unread input resets
/// the connection, and the caller may lose the answer that it has not read yet.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum read buffer size that hyper accepts.
pub(super) const MIN_HEADER_BYTES: usize = 8192;

/// How the serving of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// hyper has ended the connection after its last answer or because of an error.
    Completed,
    /// The connection was idle, or its caller did not read an answer in time.
    IdleTimeout,
}

async fn serve<H, F>(
    connection: CallerConnection,
    limits: ListenerLimits,
    mut stage: watch::Receiver<ListenerStage>,
    handler: H,
) -> ConnectionEnd
where
    H: Fn(Request<Incoming>, CallerConnection) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let io = TokioIo::new(connection.clone());
    let caller = connection.clone();
    let current_stage = stage.clone();
    let (answering, mut answered) = watch::channel(false);
    let service = service_fn(move |req| {
        answering.send_replace(false);
        let answering = answering.clone();
        // Boxed, since hyper reserves the space for the handler's future in every connection, even while it is idle.
        let answer = Box::pin(handler(req, connection.clone()));
        let (current_stage, connection) = (current_stage.clone(), connection.clone());
        async move {
            let mut answer = answer.await;
            answering.send_replace(true);
            let leaving = *current_stage.borrow() >= ListenerStage::Leaving;
            if leaving || connection.closes_after_answer() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES));
    let mut serving = pin!(builder.serve_connection(io, service));
    loop {
        tokio::select! {
            _ = serving.as_mut() => return ConnectionEnd::Completed,
            () = idle_timeout(&mut answered, limits) => {}
            () = is_closing(&mut stage) => break,
        }
        // After a pause of the process, the timeout has passed and a request may have arrived in the meantime. Closing
        // the connection then would leave the caller without an answer. The check precedes further polling of the
        // connection, which would consume the unread bytes.
        let has_unread = caller.has_unread();
        let starts = async { has_unread && request_starts_soon(&mut answered).await };
        let started = tokio::select! {
            _ = serving.as_mut() => return ConnectionEnd::Completed,
            started = starts => started,
        };
        if !started {
            return ConnectionEnd::IdleTimeout;
        }
    }
    // On shutdown, hyper closes a new connection at once, even if its first request is in transit. The wait lets the
    // request arrive.
    tokio::select! {
        _ = serving.as_mut() => return ConnectionEnd::Completed,
        () = tokio::time::sleep(LAST_REQUEST_WAIT) => {}
    }
    // A request that has arrived but is still unread is served; its answer closes the connection.
    if !caller.has_unread() {
        serving.as_mut().graceful_shutdown();
    }
    let _ = serving.await;
    ConnectionEnd::Completed
}

async fn is_closing(stage: &mut watch::Receiver<ListenerStage>) {
    let _ = stage
        .wait_for(|stage| *stage >= ListenerStage::Closing)
        .await;
}

/// Completes when the time since the last answer exceeds the idle timeout.
///
/// hyper limits the time between requests and for reading a head, but not for writing an answer. A caller that never
/// reads its answer would hold the connection and the answer body forever; memory would grow and in the end the node
/// would accept no more connections.
async fn idle_timeout(answered: &mut watch::Receiver<bool>, limits: ListenerLimits) {
    loop {
        let timeout = match *answered.borrow_and_update() {
            true => limits.idle_timeout,
            false => Duration::MAX,
        };
        match tokio::time::timeout(timeout, answered.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return,
        }
    }
}

/// Whether a received request reaches the handler within [`LAST_REQUEST_WAIT`].
async fn request_starts_soon(answered: &mut watch::Receiver<bool>) -> bool {
    let started = answered.wait_for(|answered| !answered);
    matches!(
        tokio::time::timeout(LAST_REQUEST_WAIT, started).await,
        Ok(Ok(_))
    )
}
