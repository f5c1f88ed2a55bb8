//! Call as read from its caller.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::ServiceName;
use coltsfootport_core::once::Try;
use http::{HeaderMap, HeaderName, Method, Uri};
use rustc_hash::FxHasher;

use crate::http::names;

/// Call as read from its caller, before classification.
#[derive(Clone, Debug)]
pub struct InboundCall {
    /// Service that is called.
    pub service: ServiceName,
    /// Method of the HTTP request.
    pub method: Method,
    /// Path and query to send to the target.
    pub path: String,
    /// All headers, including those of coltsfootport itself.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl InboundCall {
    /// Splits `/{service}/{path}` into the service and the path and query to send to the target.
    pub fn split_uri(uri: &Uri) -> Result<(ServiceName, String), ErrorKind> {
        let whole = uri
            .path_and_query()
            .map(|path| path.as_str())
            .ok_or(ErrorKind::BadRequest)?;
        let rest = whole.strip_prefix('/').ok_or(ErrorKind::BadRequest)?;
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (service, path) = rest.split_at(end);
        if service.is_empty() {
            return Err(ErrorKind::BadRequest);
        }
        let path = if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        };
        Ok((ServiceName::from(service), path))
    }

    /// Returns the time limit set by the caller, if any.
    pub fn time_limit(&self) -> Result<Option<Duration>, ErrorKind> {
        let Some(text) = self.single_header(&names::DEADLINE)? else {
            return Ok(None);
        };
        let millis: u64 = text.parse().map_err(|_| ErrorKind::BadRequest)?;
        Ok(Some(Duration::from_millis(millis)))
    }

    /// Returns the number of the try, if the caller gives one.
    pub fn try_number(&self) -> Result<Option<Try>, ErrorKind> {
        let Some(text) = self.single_header(&names::TRY)? else {
            return Ok(None);
        };
        match text.parse() {
            Ok(number) if number > 0 => Ok(Some(Try(number))),
            _ => Err(ErrorKind::BadRequest),
        }
    }

    /// Returns the text of a header that may occur only once.
    pub fn single_header(&self, name: &HeaderName) -> Result<Option<&str>, ErrorKind> {
        let mut values = self.headers.get_all(name).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(ErrorKind::BadRequest);
        }
        value.to_str().map(Some).map_err(|_| ErrorKind::BadRequest)
    }

    /// Returns a hash of service, method, path and body, by which a target's own retry of a call is recognized.
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.service.hash(&mut hasher);
        self.method.hash(&mut hasher);
        self.path.hash(&mut hasher);
        self.body.hash(&mut hasher);
        hasher.finish()
    }
}
