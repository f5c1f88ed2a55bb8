//! Memory that requests and responses take.

use http::HeaderMap;

use crate::h1::RequestHead;
use crate::mesh::call::Body;

/// Memory of a request besides its head and body: its tasks, and the buffers of the connections on which it is sent.
const REQUEST_BASE: usize = 12 * 1024;

/// Memory of one header line of a request besides its text. A request has up to three maps of them at a time: as it
/// was read, as it is sent to a host and as it is sent to the target.
const REQUEST_HEADER: usize = 512;

/// Memory of one header line of a response besides its text.
const ANSWER_HEADER: usize = 160;

/// Copies of the text of a head at a time: as it was read, and as it is sent on.
const HEAD_COPIES: usize = 2;

/// Memory of a streamed body: its first chunk, those that are queued, and the buffers on both sides of its channel.
pub const STREAM_BYTES: usize = 192 * 1024;

/// Bytes held for a request while it is processed, besides those of its body.
pub fn request_bytes(head: &RequestHead) -> usize {
    let text = head.target.len() + text_bytes(&head.headers);
    REQUEST_BASE + head.headers.len() * REQUEST_HEADER + text * HEAD_COPIES
}

/// Bytes held for a response until it has been written, besides those of a streamed body.
pub fn answer_bytes(headers: &HeaderMap, body: &Body) -> usize {
    let body = match body {
        Body::Whole(bytes) => bytes.len(),
        Body::Stream { .. } => 0,
    };
    headers.len() * ANSWER_HEADER + text_bytes(headers) * HEAD_COPIES + body
}

fn text_bytes(headers: &HeaderMap) -> usize {
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    lengths.sum()
}
