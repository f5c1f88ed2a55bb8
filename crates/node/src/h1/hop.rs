//! Headers that concern one connection only.

use http::header::{self, HeaderMap, HeaderName};

/// Removes what must not be passed on: the framing, the connection's own headers and those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    for name in named_by_connection(headers) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Whether a header concerns one connection only, whatever `Connection` says.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name)
}

/// Headers that the sender meant for this connection only.
pub fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let words = values.flat_map(|value| value.as_bytes().split(|b| *b == b','));
    let names = words.map(|word| HeaderName::from_bytes(word.trim_ascii()));
    names.filter_map(Result::ok).collect()
}

/// Framing and the connection's own headers; names in lower case.
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
