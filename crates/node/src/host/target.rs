//! HTTP client of the node's own target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use http::header::HeaderValue;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::data::{Answer, Call};
use crate::gate::ContextHandle;
use crate::http::{PoolHandle, PooledSender, end_to_end_headers, names, read_to_end};

/// Sends admitted calls to the node's own target over HTTP.
#[derive(Clone, Debug)]
pub struct TargetClient {
    pool: PoolHandle,
    address: SocketAddr,
    body_limit: usize,
}

/// Why an exchange with the target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No byte of the request was written.
    NotSent,
    /// Part of the request may have been written, but no complete answer was received.
    Lost(ErrorKind),
}

/// A complete request for the target.
pub type TargetRequest = Request<Full<Bytes>>;

impl TargetClient {
    /// Creates a client of the target at `address` that rejects answers with a body above `body_limit` bytes.
    pub fn new(pool: PoolHandle, address: SocketAddr, body_limit: usize) -> Self {
        Self {
            pool,
            address,
            body_limit,
        }
    }

    /// Returns a connection for one call, or `None` if the target is unreachable.
    pub async fn connection(&self) -> Option<PooledSender> {
        self.pool.take().await
    }

    /// Builds the HTTP request that the target receives for a call.
    pub fn request(
        &self,
        call: &Call,
        context: ContextHandle,
        now: Instant,
    ) -> Result<TargetRequest, ErrorKind> {
        let body = Full::new(call.body.clone());
        let mut req = Request::new(body);
        *req.method_mut() = call.method.clone();
        *req.uri_mut() = call.path.parse().map_err(|_| ErrorKind::BadRequest)?;
        // Headers from a peer are untrusted. A content length or transfer encoding chosen by the peer could make the target
        // parse the body as another request (request smuggling), so that calls would receive the answers of others.
        *req.headers_mut() = end_to_end_headers(&call.headers);
        let time_left = call
            .deadline
            .saturating_duration_since(now)
            .as_millis()
            .to_string();
        let headers = req.headers_mut();
        headers.insert(header::HOST, header_value(&self.address.to_string())?);
        headers.insert(names::CONTEXT, header_value(&context.to_string())?);
        headers.insert(names::DEADLINE, header_value(&time_left)?);
        headers.insert(names::CLASS, header_value(&call.class_name)?);
        headers.insert(names::REQUEST, header_value(&call.request.to_string())?);
        Ok(req)
    }

    /// Sends the request and reads the complete answer.
    ///
    /// If the target has closed the pooled connection, the request is retried once on a new one. hyper returns the request
    /// only if no byte of it was written, so it can't run twice.
    pub async fn exchange(
        &self,
        connection: PooledSender,
        req: TargetRequest,
    ) -> Result<Arc<Answer>, TargetError> {
        let (connection, res) = match self.send(connection, req).await {
            Ok(sent) => sent,
            Err(SendError::Unsent(req)) => {
                let fresh = self.pool.connect().await.ok_or(TargetError::NotSent)?;
                self.send(fresh, *req).await.map_err(TargetError::from)?
            }
            Err(SendError::Broken) => return Err(TargetError::Lost(ErrorKind::TargetFailed)),
        };
        let answer = self.read(res).await?;
        connection.return_to_pool();
        Ok(Arc::new(answer))
    }

    async fn send(
        &self,
        mut connection: PooledSender,
        req: TargetRequest,
    ) -> Result<(PooledSender, Response<Incoming>), SendError> {
        match connection.sender.try_send_request(req).await {
            Ok(res) => Ok((connection, res)),
            Err(mut e) => match e.take_message() {
                Some(req) => Err(SendError::Unsent(Box::new(req))),
                None => Err(SendError::Broken),
            },
        }
    }

    async fn read(&self, res: Response<Incoming>) -> Result<Answer, TargetError> {
        let (parts, body) = res.into_parts();
        let body = read_to_end(body, self.body_limit)
            .await
            .map_err(|_| TargetError::Lost(ErrorKind::TargetFailed))?;
        let headers = end_to_end_headers(&parts.headers);
        Ok(Answer {
            status: parts.status,
            headers,
            body,
            replayed: false,
        })
    }
}

/// Why a request got no response head.
enum SendError {
    /// No byte was written; holds the request for a retry.
    Unsent(Box<TargetRequest>),
    /// The connection failed after part of the request may have been written.
    Broken,
}

impl From<SendError> for TargetError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::Unsent(_) => Self::NotSent,
            SendError::Broken => Self::Lost(ErrorKind::TargetFailed),
        }
    }
}

fn header_value(text: &str) -> Result<HeaderValue, ErrorKind> {
    HeaderValue::from_str(text).map_err(|_| ErrorKind::BadRequest)
}
