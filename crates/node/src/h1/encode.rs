//! Encoding of heads and chunks.

use std::io::Write;

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, StatusCode};

use super::{Framing, RequestHead};

/// Chunk that ends a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Initial buffer capacity for a head in bytes; fits most heads without reallocation.
const HEAD_CAPACITY: usize = 512;

/// Encodes the head of a request, including the framing of its body.
pub fn encode_request_head(head: &RequestHead, framing: Framing) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_CAPACITY);
    buf.put_slice(head.method.as_str().as_bytes());
    buf.put_u8(b' ');
    buf.put_slice(head.target.as_bytes());
    buf.put_slice(b" HTTP/1.1\r\n");
    put_headers(&mut buf, &head.headers);
    let omit_framing = framing == Framing::Length(0) && !usually_has_body(head);
    if !omit_framing {
        put_framing(&mut buf, framing);
    }
    buf.put_slice(b"\r\n");
    buf
}

/// Encodes the head of a response, including the framing of its body.
pub fn encode_response_head(status: StatusCode, headers: &HeaderMap, framing: Framing) -> BytesMut {
    let mut buf = BytesMut::with_capacity(HEAD_CAPACITY);
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut writer = (&mut buf).writer();
    // Writing to a `BytesMut` can't fail.
    let _ = write!(writer, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    put_headers(&mut buf, headers);
    if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        put_framing(&mut buf, framing);
    }
    buf.put_slice(b"\r\n");
    buf
}

/// Encodes one chunk of a body.
pub fn encode_chunk(data: &Bytes) -> BytesMut {
    let mut buf = BytesMut::with_capacity(data.len() + 16);
    let mut writer = (&mut buf).writer();
    let _ = write!(writer, "{:x}\r\n", data.len());
    buf.put_slice(data);
    buf.put_slice(b"\r\n");
    buf
}

fn put_headers(buf: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        buf.put_slice(name.as_str().as_bytes());
        buf.put_slice(b": ");
        buf.put_slice(value.as_bytes());
        buf.put_slice(b"\r\n");
    }
}

fn put_framing(buf: &mut BytesMut, framing: Framing) {
    match framing {
        Framing::Length(length) => {
            let mut writer = buf.writer();
            let _ = write!(writer, "content-length: {length}\r\n");
        }
        Framing::Chunked => buf.put_slice(b"transfer-encoding: chunked\r\n"),
        Framing::UntilClose => buf.put_slice(b"connection: close\r\n"),
    }
}

/// Whether requests of this method usually have a body, so that an empty one needs an explicit `content-length: 0`.
fn usually_has_body(head: &RequestHead) -> bool {
    matches!(head.method.as_str(), "POST" | "PUT" | "PATCH")
}
