//! What `call` sends.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use http::uri::{PathAndQuery, Scheme, Uri};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;

use crate::cli::CallOptions;
use crate::commands::input;

use super::policy::Credential;

/// A request of `call`, without what changes from attempt to attempt.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Callers listener of the node.
    pub addr: SocketAddr,
    /// The service, first segment of the path.
    pub service: String,
    method: Method,
    target: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
}

/// The options of `call` make no request.
#[derive(Debug, thiserror::Error)]
pub enum CallFault {
    /// The URL has another form.
    #[error("`{0}` is not of the form http://IP:PORT/SERVICE/PATH")]
    Url(String),
    /// The method is malformed.
    #[error("`{0}` is no method")]
    Method(String),
    /// A header is malformed.
    #[error("`{0}` is not of the form NAME: VALUE")]
    Header(String),
    /// The body can't be read.
    #[error("{0}: {1}")]
    Body(String, std::io::Error),
}

impl CallRequest {
    /// Whether a second run does no harm (RFC 9110, section 9.2.1).
    pub fn is_safe(&self) -> bool {
        self.method.is_safe()
    }

    /// The HTTP request of one attempt with `left` time left.
    pub(super) fn attempt(
        &self,
        credential: Option<&Credential>,
        left: Duration,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(self.target.as_str())
            .header("coltsfootport-deadline-ms", left.as_millis().to_string());
        if let Some(Credential { token, sending }) = credential {
            req = req
                .header("coltsfootport-token", token)
                .header("coltsfootport-try", *sending);
        }
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        req.body(Full::new(self.body.clone()))
    }
}

impl TryFrom<&CallOptions> for CallRequest {
    type Error = CallFault;

    fn try_from(options: &CallOptions) -> Result<Self, Self::Error> {
        let (addr, target) = url(&options.url).ok_or(CallFault::Url(options.url.clone()))?;
        let service = target.path().split('/').nth(1).unwrap_or_default();
        if service.is_empty() {
            return Err(CallFault::Url(options.url.clone()));
        }
        Ok(Self {
            addr,
            service: service.to_owned(),
            method: method(&options.method)?,
            headers: options
                .header
                .iter()
                .map(|text| header(text))
                .collect::<Result<_, _>>()?,
            body: options.data.as_deref().map_or(Ok(Bytes::new()), body)?,
            target,
        })
    }
}

fn url(text: &str) -> Option<(SocketAddr, PathAndQuery)> {
    let parts = text.parse::<Uri>().ok()?.into_parts();
    if parts.scheme != Some(Scheme::HTTP) {
        return None;
    }
    let addr = parts.authority?.as_str().parse().ok()?;
    Some((addr, parts.path_and_query?))
}

fn method(text: &str) -> Result<Method, CallFault> {
    Method::from_bytes(text.as_bytes()).map_err(|_| CallFault::Method(text.to_owned()))
}

fn header(text: &str) -> Result<(HeaderName, HeaderValue), CallFault> {
    let fault = || CallFault::Header(text.to_owned());
    let (name, value) = text.split_once(':').ok_or_else(fault)?;
    let name = name.trim().parse().map_err(|_| fault())?;
    let value = value.trim().parse().map_err(|_| fault())?;
    Ok((name, value))
}

fn body(text: &str) -> Result<Bytes, CallFault> {
    let Some(path) = text.strip_prefix('@') else {
        return Ok(Bytes::copy_from_slice(text.as_bytes()));
    };
    let read = input::read(Path::new(path)).map(Bytes::from);
    read.map_err(|fault| CallFault::Body(path.to_owned(), fault))
}
