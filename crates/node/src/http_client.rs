//! Small HTTP/1.1 client for the commands: one connection per request, complete answers only.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Maximum size of an answer body in bytes.
pub const MAX_BODY: usize = 64 * 1024 * 1024;

/// Error of a request that received no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection failed, so no byte of the request was sent.
    #[error("cannot connect to {0}: {1}")]
    NotSent(SocketAddr, io::Error),
    /// The request may have arrived, but its answer did not arrive completely.
    #[error("no complete answer from {0}: {1}")]
    Lost(SocketAddr, String),
}

/// Sends a request and waits for its complete answer, for at most `limit` in total.
///
/// # Errors
///
/// The error tells whether the request may have arrived.
pub async fn fetch(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, FetchError> {
    let deadline = tokio::time::Instant::now() + limit;
    let stream = connect(addr, limit)
        .await
        .map_err(|e| FetchError::NotSent(addr, e))?;
    match tokio::time::timeout_at(deadline, exchange(addr, stream, req)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(reason)) => Err(FetchError::Lost(addr, reason)),
        Err(_) => Err(FetchError::Lost(
            addr,
            String::from("the request timed out"),
        )),
    }
}

async fn connect(addr: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(addr)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

async fn exchange(
    addr: SocketAddr,
    stream: TcpStream,
    mut req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, String> {
    let host = HeaderValue::from_str(&addr.to_string()).map_err(|e| e.to_string())?;
    req.headers_mut().insert(HOST, host);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut tx, connection) = handshake.map_err(|e| e.to_string())?;
    let exchange = async {
        let answer = tx.send_request(req).await.map_err(|e| e.to_string())?;
        read_answer(answer).await
    };
    // The connection future performs all I/O; it completes on its own only if the peer closes the connection.
    tokio::pin!(exchange);
    tokio::pin!(connection);
    tokio::select! {
        answer = &mut exchange => answer,
        _ = &mut connection => exchange.await,
    }
}

async fn read_answer(answer: Response<hyper::body::Incoming>) -> Result<Response<Bytes>, String> {
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(|e| match e.downcast_ref::<LengthLimitError>() {
            Some(_) => format!("the body exceeds {MAX_BODY} bytes"),
            None => e.to_string(),
        })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
