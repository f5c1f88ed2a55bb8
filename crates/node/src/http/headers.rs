//! Names of the project's headers and the rules for passing headers on.

use http::{HeaderMap, header};

use crate::h1::{is_hop_by_hop, named_by_connection};

/// Names of the project's headers.
pub mod names {
    use http::HeaderName;

    /// Handle of a call in flight, for the target's own calls.
    pub const CONTEXT: HeaderName = HeaderName::from_static("coltsfootport-context");
    /// Time left in milliseconds.
    pub const DEADLINE: HeaderName = HeaderName::from_static("coltsfootport-deadline-ms");
    /// Name of the call's class.
    pub const CLASS: HeaderName = HeaderName::from_static("coltsfootport-class");
    /// Idempotency token.
    pub const TOKEN: HeaderName = HeaderName::from_static("coltsfootport-token");
    /// Number of a sending of a token.
    pub const TRY: HeaderName = HeaderName::from_static("coltsfootport-try");
    /// Whether the request ran.
    pub const OUTCOME: HeaderName = HeaderName::from_static("coltsfootport-outcome");
    /// Error kind of an answer that a node made.
    pub const ERROR: HeaderName = HeaderName::from_static("coltsfootport-error");
    /// Request id.
    pub const REQUEST: HeaderName = HeaderName::from_static("coltsfootport-request");
    /// When a new try is welcome, in milliseconds.
    pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("coltsfootport-retry-after-ms");
    /// Whether an answer was kept from an earlier try.
    pub const REPLAYED: HeaderName = HeaderName::from_static("coltsfootport-replayed");
    /// A caller's own key.
    pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
}

/// Removes what concerns one connection only and everything that is internal to coltsfootport.
///
/// Internal headers from a caller could otherwise pass for context that a node gave out.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
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
