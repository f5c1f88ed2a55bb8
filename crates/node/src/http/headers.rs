//! Names of the project's headers and the filter for end-to-end headers.

use http::{HeaderMap, header};

use crate::h1::{is_hop_by_hop, named_by_connection};

/// Names of the project's headers.
pub mod names {
    use http::HeaderName;

    /// Id of the call in progress, which the target repeats in its own downstream calls.
    pub const CONTEXT: HeaderName = HeaderName::from_static("coltsfootport-context");
    /// Time left until the deadline in milliseconds.
    pub const DEADLINE: HeaderName = HeaderName::from_static("coltsfootport-deadline-ms");
    /// Name of the call's class.
    pub const CLASS: HeaderName = HeaderName::from_static("coltsfootport-class");
    /// Idempotency token.
    pub const TOKEN: HeaderName = HeaderName::from_static("coltsfootport-token");
    /// Number of the try with this token.
    pub const TRY: HeaderName = HeaderName::from_static("coltsfootport-try");
    /// Whether the request ran.
    pub const OUTCOME: HeaderName = HeaderName::from_static("coltsfootport-outcome");
    /// Error kind of an answer made by a node.
    pub const ERROR: HeaderName = HeaderName::from_static("coltsfootport-error");
    /// Request id.
    pub const REQUEST: HeaderName = HeaderName::from_static("coltsfootport-request");
    /// Delay in milliseconds after which the caller may retry.
    pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("coltsfootport-retry-after-ms");
    /// Whether the answer was stored at an earlier try of the same token.
    pub const REPLAYED: HeaderName = HeaderName::from_static("coltsfootport-replayed");
    /// Idempotency key chosen by the caller.
    pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
}

/// Copies the end-to-end headers: all but `Host`, hop-by-hop headers and headers internal to coltsfootport.
///
/// If internal headers were forwarded, a caller could forge a context issued by a node.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = HeaderMap::with_capacity(headers.len());
    let named = named_by_connection(headers);
    for (name, value) in headers {
        if !is_hop_by_hop(name)
            && name != header::HOST
            && !named.contains(name)
            && !name.as_str().starts_with(INTERNAL_PREFIX)
        {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

const INTERNAL_PREFIX: &str = "coltsfootport-";
