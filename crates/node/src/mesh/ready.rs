//! HTTP server for the readiness check and metrics.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use coltsfootport_core::mesh::Dialect;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, yield_now};
use tokio::time::sleep;

use crate::mesh::connection_registry::ACCEPT_RETRY_DELAY;
use crate::mesh::controller::ControllerHandle;
use crate::mesh::journal::Journal;
use crate::mesh::metrics::MeshMetrics;
use crate::mesh::shutdown::ShutdownWatch;

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";

/// State shared by the request handlers; cheap to clone.
#[derive(Clone)]
pub struct StatusServer {
    /// Controller, which reports whether the node is ready.
    pub controller: ControllerHandle,
    /// HTTP dialect, which defines the path of the readiness check.
    pub dialect: Arc<Dialect>,
    /// Journal in which failures are logged.
    pub journal: Journal,
    /// Metrics to serve.
    pub metrics: MeshMetrics,
    /// Progress of the node's shutdown; the readiness check fails from its start on.
    pub shutdown: ShutdownWatch,
}

/// Maximum number of open connections of a listener. Beyond it, the oldest one is closed.
const MAX_CONNECTIONS: usize = 32;

/// Maximum size of a connection's read buffer in bytes, and so of a request's head.
const MAX_BUFFER: usize = 16 * 1024;

/// Accepts connections until the process exits.
pub async fn serve(listener: TcpListener, server: StatusServer) {
    let mut open = VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                open.retain(|conn: &JoinHandle<()>| !conn.is_finished());
                if open.len() >= MAX_CONNECTIONS
                    && let Some(oldest) = open.pop_front()
                {
                    oldest.abort();
                    // Lets it close its socket before the next one is accepted.
                    yield_now().await;
                }
                open.push_back(tokio::spawn(serve_connection(stream, server.clone())));
            }
            Err(e) => {
                server.journal.accept_failed("status", &e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, server: StatusServer) {
    let service = service_fn(move |req| {
        let server = server.clone();
        async move { Ok::<_, Infallible>(server.respond(&req).await) }
    });
    // An error closes only this connection; the client can retry.
    let _ = http1::Builder::new()
        .max_buf_size(MAX_BUFFER)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

impl StatusServer {
    async fn respond(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path();
        let (status, body) = match path {
            METRICS_PATH => (StatusCode::OK, Bytes::from(self.metrics.text())),
            path if path == self.dialect.ready_path => (self.readiness().await, Bytes::new()),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut res = Response::new(Full::new(body));
        *res.status_mut() = status;
        res
    }

    async fn readiness(&self) -> StatusCode {
        match !self.shutdown.is_stopping() && self.controller.is_ready().await {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
