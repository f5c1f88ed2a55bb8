//! Hop-by-hop headers, which apply to a single connection.

use http::header::{self, HeaderMap, HeaderName};

/// Removes the headers that must not be forwarded: framing, other hop-by-hop headers and those named by `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether a header is always hop-by-hop, regardless of `Connection`.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

/// Returns the headers that `Connection` declares to be hop-by-hop.
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let tokens = values.flat_map(|value| value.as_bytes().split(|b| *b == b','));
    let names = tokens.map(|token| HeaderName::from_bytes(token.trim_ascii()));
    names.filter_map(Result::ok).collect()
}

/// Headers that are always hop-by-hop, including those that frame the body.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];
