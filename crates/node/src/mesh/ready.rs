//! The readiness check and metrics, over HTTP.

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
use tokio::sync::watch;

use crate::mesh::controller::ControllerHandle;
use crate::mesh::metrics::MeshMetrics;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// What is needed to answer; cheap to clone.
#[derive(Clone)]
pub struct Ready {
    /// Knows whether there is a configuration.
    pub controller: ControllerHandle,
    /// Where the check stands.
    pub dialect: Arc<Dialect>,
    /// Counters.
    pub metrics: MeshMetrics,
    /// Turns true when the node is about to stop.
    pub stopping: watch::Receiver<bool>,
}

/// Answers for as long as the process lives.
pub async fn serve(listener: TcpListener, ready: Ready) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, ready.clone()));
        }
    }
}

async fn serve_connection(stream: TcpStream, ready: Ready) {
    let service = service_fn(move |req| {
        let ready = ready.clone();
        async move { Ok::<_, Infallible>(ready.answer(&req).await) }
    });
    // A fault ends this connection; whoever asked asks again.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

impl Ready {
    async fn answer(&self, req: &Request<Incoming>) -> Response<Full<Bytes>> {
        let path = req.uri().path();
        let (status, body) = match path {
            METRICS_PATH => (StatusCode::OK, Bytes::from(self.metrics.text())),
            path if path == self.dialect.ready_path => (self.status().await, Bytes::new()),
            _ => (StatusCode::NOT_FOUND, Bytes::new()),
        };
        let mut res = Response::new(Full::new(body));
        *res.status_mut() = status;
        res
    }

    async fn status(&self) -> StatusCode {
        match !*self.stopping.borrow() && self.controller.is_ready().await {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
