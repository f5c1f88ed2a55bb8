//! Sends an admitted call to the target and reads its whole answer.

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
use crate::http::{PoolHandle, PooledSender, end_to_end, names, read_whole};

/// Speaks HTTP to the node's own target.
#[derive(Clone, Debug)]
pub struct TargetClient {
    pool: PoolHandle,
    address: SocketAddr,
    body_limit: usize,
}

/// How an exchange with the target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// Not a byte was written.
    NotSent,
    /// Something was written and no whole answer came.
    Lost(ErrorKind),
}

/// A request for the target, ready to be written.
pub type TargetRequest = Request<Full<Bytes>>;

impl TargetClient {
    /// A client of the target at `address`.
    pub fn new(pool: PoolHandle, address: SocketAddr, body_limit: usize) -> Self {
        Self {
            pool,
            address,
            body_limit,
        }
    }

    /// A connection for one call; `None` when the target can't be reached.
    pub async fn connection(&self) -> Option<PooledSender> {
        self.pool.take().await
    }

    /// The request of a call as the target sees it.
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
        // The peer that sent the call may have put in anything: a length or an encoding of its own choice would let the target
        // take the body for a further request, seen as answers that belong to other calls.
        *req.headers_mut() = end_to_end(&call.headers);
        let left = call
            .deadline
            .saturating_duration_since(now)
            .as_millis()
            .to_string();
        let headers = req.headers_mut();
        headers.insert(header::HOST, value(&self.address.to_string())?);
        headers.insert(names::CONTEXT, value(&context.to_string())?);
        headers.insert(names::DEADLINE, value(&left)?);
        headers.insert(names::CLASS, value(&call.class_name)?);
        headers.insert(names::REQUEST, value(&call.request.to_string())?);
        Ok(req)
    }

    /// Writes the request and reads the whole answer.
    ///
    /// A pooled connection which the target closed meanwhile is replaced once: hyper hands the request back only where not a
    /// byte of it was written, so nothing can run twice.
    pub async fn exchange(
        &self,
        connection: PooledSender,
        req: TargetRequest,
    ) -> Result<Arc<Answer>, TargetError> {
        let (connection, res) = match self.send(connection, req).await {
            Ok(done) => done,
            Err(SendError::Unsent(req)) => {
                let fresh = self.pool.connect().await.ok_or(TargetError::NotSent)?;
                self.send(fresh, *req).await.map_err(TargetError::from)?
            }
            Err(SendError::Broken) => return Err(TargetError::Lost(ErrorKind::TargetFailed)),
        };
        let answer = self.read(res).await?;
        connection.give_back();
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
        let body = read_whole(body, self.body_limit)
            .await
            .map_err(|_| TargetError::Lost(ErrorKind::TargetFailed))?;
        let headers = end_to_end(&parts.headers);
        Ok(Answer {
            status: parts.status,
            headers,
            body,
            replayed: false,
        })
    }
}

enum SendError {
    Unsent(Box<TargetRequest>),
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

fn value(text: &str) -> Result<HeaderValue, ErrorKind> {
    HeaderValue::from_str(text).map_err(|_| ErrorKind::BadRequest)
}
