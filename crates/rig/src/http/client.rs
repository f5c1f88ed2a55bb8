//! HTTP/1.1 client with a connection pool that reads complete responses.

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

use super::connector::Connector;
use crate::error::RigError;

/// Time limit for establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time that an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest response body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Default time limit of a request.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// A request and its time limit.
#[derive(Clone, Debug)]
pub struct ClientCall {
    /// Server address.
    pub addr: SocketAddr,
    /// Request method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers other than `host` and `content-length`.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Time limit for receiving the complete response; when it expires, the connection is closed.
    pub timeout: Duration,
}

impl ClientCall {
    /// Creates a request without headers and with an empty body.
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
            timeout: DEFAULT_TIMEOUT,
        }
    }
}

/// A response that was received completely.
#[derive(Clone, Debug)]
pub struct ClientAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl ClientAnswer {
    /// Returns the value of a header if it is present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// HTTP client with a connection pool; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: legacy::Client<Connector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::with_idle_timeout(IDLE_TIMEOUT)
    }
}

impl Client {
    /// Creates a client that doesn't reuse connections idle for longer than `idle_timeout`, capped at `IDLE_TIMEOUT`.
    pub fn with_idle_timeout(idle_timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        // Resends a request on a new connection if its pooled connection was closed before the request was written. It
        // never left this process, so the target can't receive it twice.
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout.min(IDLE_TIMEOUT))
            .retry_canceled_requests(true)
            .build(Connector(connector));
        Self { inner }
    }

    /// Sends a request and reads the complete response.
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

    /// Sends a `GET` request and parses the JSON body of the response; fails unless the status is 2xx.
    pub async fn get<T>(&self, addr: SocketAddr, path: &str) -> Result<T, RigError>
    where
        T: DeserializeOwned,
    {
        let answer = self.send(ClientCall::new(addr, Method::GET, path)).await?;
        Ok(serde_json::from_slice(&require_success(answer)?.body)?)
    }

    /// Sends a `PUT` request; fails unless the response status is 2xx.
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
        require_success(self.send(call).await?)
    }

    /// Sends a `PUT` request with a JSON body; fails unless the response status is 2xx.
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

    /// Sends a `POST` request with a JSON body; fails unless the response status is 2xx.
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
        require_success(self.send(call).await?)
    }

    async fn exchange(&self, req: Request<Full<Bytes>>) -> Result<ClientAnswer, RigError> {
        let uri = req.uri().clone();
        let answer = self.inner.request(req).await;
        let answer = answer.map_err(|e| connection_error(&uri, &e))?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
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

/// Formats an error with the URI and its chain of sources; hyper's own message doesn't include the cause.
fn connection_error(uri: &Uri, e: &(dyn Error + 'static)) -> RigError {
    let sources = successors(e.source(), |source: &&(dyn Error + 'static)| {
        (*source).source()
    });
    let message = sources.fold(e.to_string(), |message, source| {
        format!("{message}: {source}")
    });
    RigError::Connection(format!("{uri}: {message}"))
}

/// Turns a response with a status other than 2xx into [`RigError::Status`].
fn require_success(answer: ClientAnswer) -> Result<ClientAnswer, RigError> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    Err(RigError::Status {
        status: answer.status.as_u16(),
        body,
    })
}
