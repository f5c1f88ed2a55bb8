//! Incremental decoder for HTTP/1.1 bodies.

use bytes::{Buf, Bytes, BytesMut};

use super::{Framing, H1Error};

/// Maximum length in bytes of an incomplete chunk-size line with its extensions, or of an incomplete trailer line.
const MAX_LINE: usize = 4096;

/// Maximum length in bytes of all trailer lines of a body, which are discarded.
const MAX_TRAILERS: usize = 64 * 1024;

/// Extracts the data of one body and detects its end.
#[derive(Clone, Debug)]
pub struct BodyDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    /// Trailer lines with this many bytes consumed so far.
    Trailers(usize),
    UntilClose,
    Done,
}

/// Result of one decoding step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// Part of the body.
    Data(Bytes),
    /// The body has ended; the remaining bytes do not belong to it.
    End,
    /// More input is needed.
    More,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Whether the body has ended.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Consumes the next part of the body from the front of `buf`.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed or the trailers are too long.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<Decoded, H1Error> {
        self.decode_up_to(buf, usize::MAX)
    }

    /// Like [`BodyDecoder::decode`], but returns at most `limit` bytes of the body; the rest stays in `buf`.
    ///
    /// # Errors
    ///
    /// Fails if a chunk is malformed or the trailers are too long.
    pub fn decode_up_to(&mut self, buf: &mut BytesMut, limit: usize) -> Result<Decoded, H1Error> {
        let limit = limit as u64;
        loop {
            match self.state {
                State::Done => return Ok(Decoded::End),
                State::UntilClose => {
                    return Ok(take(buf, limit).map_or(Decoded::More, Decoded::Data));
                }
                State::Length(left) => {
                    let Some(data) = take(buf, left.min(limit)) else {
                        return Ok(Decoded::More);
                    };
                    self.state = match left - data.len() as u64 {
                        0 => State::Done,
                        left => State::Length(left),
                    };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkData(left) => {
                    let Some(data) = take(buf, left.min(limit)) else {
                        return Ok(Decoded::More);
                    };
                    self.state = match left - data.len() as u64 {
                        0 => State::ChunkEnd,
                        left => State::ChunkData(left),
                    };
                    return Ok(Decoded::Data(data));
                }
                State::ChunkSize | State::ChunkEnd | State::Trailers(_) => {
                    if !self.consume_line(buf)? {
                        return Ok(Decoded::More);
                    }
                }
            }
        }
    }

    /// Handles the orderly end of the connection, as opposed to a reset.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete.
    pub fn finish(&mut self) -> Result<(), H1Error> {
        match self.state {
            State::Done | State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(H1Error::Truncated),
        }
    }

    /// Consumes one chunk-size, chunk-end or trailer line; returns `false` if it is incomplete.
    fn consume_line(&mut self, buf: &mut BytesMut) -> Result<bool, H1Error> {
        let Some(end) = buf.iter().position(|b| *b == b'\n') else {
            return match buf.len() > MAX_LINE {
                true => Err(H1Error::InvalidChunk),
                false => Ok(false),
            };
        };
        let line = buf.split_to(end + 1);
        let Some(text) = line.strip_suffix(b"\r\n") else {
            return Err(H1Error::InvalidChunk);
        };
        self.state = match self.state {
            State::ChunkSize => match chunk_size(&line)? {
                0 => State::Trailers(0),
                size => State::ChunkData(size),
            },
            State::ChunkEnd if text.is_empty() => State::ChunkSize,
            State::ChunkEnd => return Err(H1Error::InvalidChunk),
            _ if text.is_empty() => State::Done,
            State::Trailers(length) if length + line.len() <= MAX_TRAILERS => {
                State::Trailers(length + line.len())
            }
            _ => return Err(H1Error::InvalidChunk),
        };
        Ok(true)
    }
}

fn take(buf: &mut BytesMut, limit: u64) -> Option<Bytes> {
    if buf.is_empty() {
        return None;
    }
    let size = usize::try_from(limit).unwrap_or(usize::MAX).min(buf.len());
    Some(buf.copy_to_bytes(size))
}

fn chunk_size(line: &[u8]) -> Result<u64, H1Error> {
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) => Ok(size),
        _ => Err(H1Error::InvalidChunk),
    }
}
