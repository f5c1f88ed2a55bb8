//! A pooled HTTP/1.1 client that reads whole answers.

use std::error::Error;
use std::iter::successors;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::error::RigError;

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest idle time of a pooled connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is read.
const ANSWER_LIMIT: usize = 64 << 20;

/// Time limit of the JSON helpers.
const JSON_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to send.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// Where to connect.
    pub addr: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query, from `/`.
    pub path: String,
    /// Headers besides `host` and `content-length`.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Longest time until the answer is whole; at its end the connection is closed.
    pub timeout: Duration,
}

impl ClientCall {
    /// A call with no headers and an empty body.
    pub fn new<P>(addr: SocketAddr, method: Method, path: P) -> Self
    where
        P: Into<String>,
    {
        Self {
            addr,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: JSON_TIMEOUT,
        }
    }
}

/// An answer that arrived whole.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// The status.
    pub status: StatusCode,
    /// Every header.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// A header's value where it is plain text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A pooled client; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }
}

impl Client {
    /// A client that does not use a connection again that has been idle for longer.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // A request that hyper hands back unsent on a closed pooled connection is sent on a new one. It never left
        // this process, so the target can't see it twice.
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout.min(IDLE_TIMEOUT))
            .retry_canceled_requests(true)
            .build(connector);
        Self { inner }
    }

    /// Sends a call and reads its whole answer.
    pub async fn send(&self, call: ClientCall) -> Result<ClientAnswer, RigError> {
        let mut req = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.addr, call.path))
            .body(Full::new(call.body))?;
        *req.headers_mut() = call.headers;
        match timeout(call.timeout, self.exchange(req)).await {
            Ok(result) => result,
            Err(_) => Err(RigError::Timeout),
        }
    }

    /// Reads JSON from a path.
    pub async fn get<T>(&self, addr: SocketAddr, path: &str) -> Result<T, RigError>
    where
        T: DeserializeOwned,
    {
        let answer = self.send(ClientCall::new(addr, Method::GET, path)).await?;
        Ok(serde_json::from_slice(&success(answer)?.body)?)
    }

    /// Sends a body and expects success.
    pub async fn put<B>(
        &self,
        addr: SocketAddr,
        path: &str,
        body: B,
    ) -> Result<ClientAnswer, RigError>
    where
        B: Into<Bytes>,
    {
        let call = ClientCall {
            body: body.into(),
            ..ClientCall::new(addr, Method::PUT, path)
        };
        success(self.send(call).await?)
    }

    /// Sends JSON by `PUT` and expects success.
    pub async fn put_json<T>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<ClientAnswer, RigError>
    where
        T: Serialize,
    {
        self.put(addr, path, serde_json::to_vec(value)?).await
    }

    /// Sends JSON by `POST` and expects success.
    pub async fn post_json<T>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &T,
    ) -> Result<ClientAnswer, RigError>
    where
        T: Serialize,
    {
        let body = serde_json::to_vec(value)?.into();
        let call = ClientCall {
            body,
            ..ClientCall::new(addr, Method::POST, path)
        };
        success(self.send(call).await?)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<ClientAnswer, RigError> {
        let uri = req.uri().clone();
        let answer = self.inner.request(req).await;
        let answer = answer.map_err(|e| connection_error(&uri, &e))?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body
            .map_err(|e| connection_error(&uri, e.as_ref()))?
            .to_bytes();
        Ok(ClientAnswer {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }
}

/// The error with its address and its causes: by itself it says that a connection failed, and not which way.
fn connection_error(uri: &Uri, e: &(dyn Error + 'static)) -> RigError {
    let causes = successors(e.source(), |cause: &&(dyn Error + 'static)| {
        (*cause).source()
    });
    let told = causes.fold(e.to_string(), |told, cause| format!("{told}: {cause}"));
    RigError::Connection(format!("{uri}: {told}"))
}

fn success(answer: ClientAnswer) -> Result<ClientAnswer, RigError> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Err(RigError::Status {
        status: answer.status.as_u16(),
        body,
    })
}
