//! Parsing and encoding of HTTP/1.1 heads and bodies.
//!
//! HTTP server libraries process the requests of a connection one after the other, and client libraries hide the bytes
//! that follow a response. A node has to read ahead on pipelined connections and to detect late, surplus and truncated
//! responses, so it parses the byte stream itself; heads and chunk sizes are parsed by `httparse`.

mod decoder;
mod encode;
mod framing;
mod head;
mod hop;

pub use decoder::{BodyDecoder, Decoded};
pub use encode::{LAST_CHUNK, encode_chunk, encode_request_head, encode_response_head};
pub use framing::{Framing, request_framing, response_framing};
pub use head::{RequestHead, ResponseHead, parse_request, parse_response, valid_status};
pub use hop::{is_hop_by_hop, named_by_connection, strip_hop_by_hop};

/// Error for input that is not valid HTTP/1.1 or not safe to forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum H1Error {
    /// A head can't be parsed.
    #[error("the head is not valid HTTP/1.1")]
    InvalidHead,
    /// A head exceeds its size limit or has too many header lines.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The headers that delimit a body are invalid or contradict each other.
    #[error("the body's framing is ambiguous")]
    AmbiguousFraming,
    /// A chunk can't be parsed.
    #[error("a chunk is malformed")]
    InvalidChunk,
    /// The connection ended inside a head or body.
    #[error("the connection ended inside a head or body")]
    Truncated,
}
