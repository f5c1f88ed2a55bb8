//! A small HTTP/1.1 client for the commands: one connection a request, whole answers only.

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

/// Bytes of an answer's body at most.
pub const MAX_BODY: usize = 64 * 1024 * 1024;

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// No byte of the request has left this process.
    #[error("not connected to {0}: {1}")]
    NotSent(SocketAddr, io::Error),
    /// The request may have arrived, and its answer did not arrive whole.
    #[error("no whole answer from {0}: {1}")]
    Lost(SocketAddr, String),
}

/// Sends a request and waits for its whole answer, for at most `limit` in all.
///
/// # Errors
///
/// Whether the request may have arrived.
pub async fn fetch(
    addr: SocketAddr,
    req: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Response<Bytes>, FetchError> {
    let deadline = tokio::time::Instant::now() + limit;
    let stream = connect(addr, limit)
        .await
        .map_err(|fault| FetchError::NotSent(addr, fault))?;
    match tokio::time::timeout_at(deadline, exchange(addr, stream, req)).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(reason)) => Err(FetchError::Lost(addr, reason)),
        Err(_) => Err(FetchError::Lost(
            addr,
            String::from("the time limit passed"),
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
    let host = HeaderValue::from_str(&addr.to_string()).map_err(|fault| fault.to_string())?;
    req.headers_mut().insert(HOST, host);
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut tx, connection) = handshake.map_err(|fault| fault.to_string())?;
    let exchange = async {
        let answer = tx
            .send_request(req)
            .await
            .map_err(|fault| fault.to_string())?;
        whole(answer).await
    };
    // The connection does the work of reading and writing; it ends by itself only where the peer closes it.
    tokio::pin!(exchange);
    tokio::pin!(connection);
    tokio::select! {
        answer = &mut exchange => answer,
        _ = &mut connection => exchange.await,
    }
}

async fn whole(answer: Response<hyper::body::Incoming>) -> Result<Response<Bytes>, String> {
    let (parts, body) = answer.into_parts();
    let body = Limited::new(body, MAX_BODY)
        .collect()
        .await
        .map_err(|fault| match fault.downcast_ref::<LengthLimitError>() {
            Some(_) => format!("the body has more than {MAX_BODY} bytes"),
            None => fault.to_string(),
        })?;
    Ok(Response::from_parts(parts, body.to_bytes()))
}
