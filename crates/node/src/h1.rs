//! HTTP/1.1 as bytes: heads, framing of bodies, and their encoding.
//!
//! Library servers answer the requests of a connection one after the other, and library clients hide what stands behind
//! an answer. A node needs to read ahead on pipelined connections and to see late, extra and cut answers, so it works on
//! the bytes itself; heads and chunk sizes are parsed by `httparse`.

mod decoder;
mod encode;
mod framing;
mod head;
mod hop;

pub use decoder::{BodyDecoder, Decoded};
pub use encode::{LAST_CHUNK, answer_head, chunk, request_head};
pub use framing::{Framing, answer_framing, request_framing};
pub use head::{AnswerHead, RequestHead, parse_answer, parse_request};
pub use hop::{is_hop_by_hop, named_by_connection, strip_hop_by_hop};

/// Bytes that are not HTTP/1.1, or not in a form that is safe to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum H1Error {
    /// A head can't be parsed.
    #[error("the head is not HTTP/1.1")]
    Head,
    /// A head is larger than allowed.
    #[error("the head is too large")]
    HeadTooLarge,
    /// The length of a body is missing, doubled or contradictory.
    #[error("the body's framing is ambiguous")]
    Framing,
    /// A chunk can't be parsed.
    #[error("a chunk is malformed")]
    Chunk,
    /// The connection ended within a head or body.
    #[error("the connection ended early")]
    Cut,
}
