//! The HTTP request that `call` sends.

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

/// Request of `call` without the headers that differ between attempts.
#[derive(Clone, Debug)]
pub struct CallRequest {
    /// Address of the callers listener of the node.
    pub addr: SocketAddr,
    /// Service, taken from the first path segment.
    pub service: String,
    method: Method,
    path: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
}

/// Error in the options of `call`.
#[derive(Debug, thiserror::Error)]
pub enum CallRequestError {
    /// The URL does not have the required form.
    #[error("`{0}` is not of the form http://IP:PORT/SERVICE/PATH")]
    Url(String),
    /// The method is not a valid HTTP token.
    #[error("invalid HTTP method `{0}`")]
    Method(String),
    /// A header is malformed.
    #[error("`{0}` is not of the form NAME: VALUE")]
    Header(String),
    /// The file with the body can't be read.
    #[error("{0}: {1}")]
    Body(String, std::io::Error),
}

impl CallRequest {
    /// Whether the method is safe as defined in RFC 9110, section 9.2.1, so that running it twice does no harm.
    pub fn is_safe(&self) -> bool {
        self.method.is_safe()
    }

    /// Builds the HTTP request of one attempt with `time_left` until the deadline.
    pub(super) fn build_attempt(
        &self,
        credential: Option<&Credential>,
        time_left: Duration,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut req = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(
                "coltsfootport-deadline-ms",
                time_left.as_millis().to_string(),
            );
        if let Some(Credential { token, try_number }) = credential {
            req = req
                .header("coltsfootport-token", token)
                .header("coltsfootport-try", *try_number);
        }
        for (name, value) in &self.headers {
            req = req.header(name, value);
        }
        req.body(Full::new(self.body.clone()))
    }
}

impl TryFrom<&CallOptions> for CallRequest {
    type Error = CallRequestError;

    fn try_from(options: &CallOptions) -> Result<Self, Self::Error> {
        let (addr, path) =
            parse_url(&options.url).ok_or(CallRequestError::Url(options.url.clone()))?;
        let service = path.path().split('/').nth(1).unwrap_or_default();
        if service.is_empty() {
            return Err(CallRequestError::Url(options.url.clone()));
        }
        Ok(Self {
            addr,
            service: service.to_owned(),
            method: parse_method(&options.method)?,
            headers: options
                .header
                .iter()
                .map(|text| parse_header(text))
                .collect::<Result<_, _>>()?,
            body: options
                .data
                .as_deref()
                .map_or(Ok(Bytes::new()), read_body)?,
            path,
        })
    }
}

fn parse_url(text: &str) -> Option<(SocketAddr, PathAndQuery)> {
    let parts = text.parse::<Uri>().ok()?.into_parts();
    if parts.scheme != Some(Scheme::HTTP) {
        return None;
    }
    let addr = parts.authority?.as_str().parse().ok()?;
    Some((addr, parts.path_and_query?))
}

fn parse_method(text: &str) -> Result<Method, CallRequestError> {
    Method::from_bytes(text.as_bytes()).map_err(|_| CallRequestError::Method(text.to_owned()))
}

fn parse_header(text: &str) -> Result<(HeaderName, HeaderValue), CallRequestError> {
    let invalid = || CallRequestError::Header(text.to_owned());
    let (name, value) = text.split_once(':').ok_or_else(invalid)?;
    let name = name.trim().parse().map_err(|_| invalid())?;
    let value = value.trim().parse().map_err(|_| invalid())?;
    Ok((name, value))
}

fn read_body(text: &str) -> Result<Bytes, CallRequestError> {
    let Some(path) = text.strip_prefix('@') else {
        return Ok(Bytes::copy_from_slice(text.as_bytes()));
    };
    let read = input::read(Path::new(path)).map(Bytes::from);
    read.map_err(|err| CallRequestError::Body(path.to_owned(), err))
}
