//! Sends a request on a connection to the target and reads its response.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfootport_core::mesh::{Announcement, Dialect};
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::connection::READ_SIZE;
use super::{InvalidRateLimit, TargetConn, TargetPool, WireRequest, read_announcement};
use crate::h1::{
    BodyDecoder, Decoded, Framing, H1Error, LAST_CHUNK, ResponseHead, encode_chunk,
    encode_request_head, parse_response, response_framing, strip_hop_by_hop,
};
use crate::mesh::body_channel::{BodySender, BodyTruncated, body_channel};
use crate::mesh::call::{Body, MAX_BODY_CHUNK, MAX_BUFFERED_BODY, TargetAnswer};
use crate::mesh::held_bytes::{Account, Held, answer_bytes};

/// Maximum size of a response head, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Number of responses to other requests that are discarded before the connection counts as broken.
const MAX_STALE_RESPONSES: usize = 4;

/// Number of bytes of their bodies that are discarded before the connection counts as broken. A target may send without
/// end.
const MAX_STALE_BYTES: usize = 1024 * 1024;

/// Number of interim responses before one response after which the connection counts as broken.
const MAX_INTERIM_RESPONSES: usize = 32;

/// Why an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was closed before the first byte of a response; the target may have run the request.
    #[error("the target closed the connection before responding: {0}")]
    ConnectionClosed(io::Error),
    /// The response is invalid or incomplete.
    #[error("invalid response from the target: {0}")]
    InvalidResponse(#[from] H1Error),
    /// The caller's body ended early; the target received part of the request.
    #[error("the caller's body ended early")]
    RequestTruncated,
}

/// A response that was checked to belong to the request.
#[derive(Debug)]
pub struct CheckedResponse {
    /// The response.
    pub answer: TargetAnswer,
    /// Whether the target states that it did not run the request.
    pub not_run: bool,
    /// Whether the response carries the target's signature.
    pub signed: bool,
    /// What the target announces about itself.
    pub announcement: Announcement,
    /// A rate limit in the announcement that can't be read, which was left out.
    pub invalid_limit: Option<InvalidRateLimit>,
}

/// Sends a request and reads its response, which is held for `account`; returns the connection to the pool if it can be
/// reused.
///
/// # Errors
///
/// Returns an error if no complete response arrives. The target may have run the request in every such case.
pub async fn exchange(
    mut conn: TargetConn,
    pool: &TargetPool,
    req: WireRequest,
    body: Body,
    dialect: &Dialect,
    account: &Account,
) -> Result<CheckedResponse, ExchangeError> {
    let method = req.head.method.clone();
    let (read, write) = conn.stream.split();
    let mut reader = ResponseReader {
        read,
        buf: &mut conn.buf,
        dialect,
        id: &req.id,
        reusable: true,
    };
    let mut sender = RequestSender { write, sent: false };
    // An early response must be read while the body is still being sent: a target that rejects a long body may never
    // read the rest, and both sides would wait for each other.
    let head = {
        let sending = sender.send(&req, body);
        tokio::pin!(sending);
        let reading = reader.head();
        tokio::pin!(reading);
        tokio::select! {
            biased;
            head = &mut reading => head?,
            sent = &mut sending => match sent {
                Ok(()) => reading.await?,
                Err(SendError::RequestTruncated) => return Err(ExchangeError::RequestTruncated),
                // The target may have responded before it closed the connection.
                Err(SendError::Write) => reading.await?,
            },
        }
    };
    let request_complete = sender.sent;
    let framing = response_framing(&method, head.status, &head.headers)?;
    let reusable =
        reader.reusable && request_complete && head.keep_alive && framing != Framing::UntilClose;
    let mut decoder = BodyDecoder::new(framing);
    let mut held = account.hold(0);
    let (buffered, complete) = reader.read_buffered(&mut decoder, &mut held).await?;
    let keep_alive = keep_alive_time(&head.headers);
    let not_run = head.headers.contains_key(dialect.not_run);
    let signed = head.headers.contains_key(dialect.signature);
    let (announcement, invalid_limit) = read_announcement(&head.headers, dialect);
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let body = match complete {
        true => {
            if reusable && conn.buf.is_empty() {
                pool.put(conn, keep_alive);
            }
            Body::Whole(buffered.freeze())
        }
        false => stream_rest(
            conn,
            decoder,
            framing,
            buffered.freeze(),
            reusable.then(|| Reuse {
                pool: pool.clone(),
                idle_timeout: keep_alive,
            }),
            account,
        ),
    };
    held.resize(answer_bytes(&headers, &body));
    Ok(CheckedResponse {
        answer: TargetAnswer {
            status: head.status,
            headers,
            body,
            held,
        },
        not_run,
        signed,
        announcement,
        invalid_limit,
    })
}

struct RequestSender<'c> {
    write: WriteHalf<'c>,
    sent: bool,
}

enum SendError {
    RequestTruncated,
    Write,
}

impl From<BodyTruncated> for SendError {
    fn from(_: BodyTruncated) -> Self {
        Self::RequestTruncated
    }
}

impl From<io::Error> for SendError {
    fn from(_: io::Error) -> Self {
        Self::Write
    }
}

impl RequestSender<'_> {
    async fn send(&mut self, req: &WireRequest, body: Body) -> Result<(), SendError> {
        match body {
            Body::Whole(bytes) => {
                let framing = Framing::Length(bytes.len() as u64);
                let mut buf = encode_request_head(&req.head, framing);
                buf.extend_from_slice(&bytes);
                self.write.write_all(&buf).await?;
            }
            Body::Stream { length, mut rx } => {
                let framing = length.map_or(Framing::Chunked, Framing::Length);
                self.write
                    .write_all(&encode_request_head(&req.head, framing))
                    .await?;
                while let Some(piece) = rx.recv().await? {
                    match framing {
                        Framing::Chunked => self.write.write_all(&encode_chunk(&piece)).await?,
                        _ => self.write.write_all(&piece).await?,
                    }
                }
                if framing == Framing::Chunked {
                    self.write.write_all(LAST_CHUNK).await?;
                }
            }
        }
        self.sent = true;
        Ok(())
    }
}

struct ResponseReader<'c, 'r> {
    read: ReadHalf<'c>,
    buf: &'c mut BytesMut,
    dialect: &'r Dialect,
    id: &'r str,
    reusable: bool,
}

impl ResponseReader<'_, '_> {
    /// Reads the head of the response to this request.
    ///
    /// A target may send a response twice, with the second copy arriving where the next response is expected. It
    /// carries the id of its own request and would reach the wrong caller if passed on, so such stale responses are
    /// read and discarded.
    async fn head(&mut self) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..MAX_STALE_RESPONSES {
            let head = self.next_head().await?;
            if self.matches_request(&head) {
                return Ok(head);
            }
            self.reusable = false;
            self.discard_body(&head).await?;
        }
        Err(H1Error::InvalidHead.into())
    }

    async fn next_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            let head = self.any_head().await?;
            // Interim responses such as 100 say nothing about the outcome.
            if !head.status.is_informational() {
                return Ok(head);
            }
        }
        Err(H1Error::InvalidHead.into())
    }

    async fn any_head(&mut self) -> Result<ResponseHead, ExchangeError> {
        loop {
            match parse_response(self.buf, MAX_HEAD)? {
                Some(head) => return Ok(head),
                None => self.fill().await?,
            }
        }
    }

    fn matches_request(&self, head: &ResponseHead) -> bool {
        match head.headers.get(self.dialect.request_id) {
            Some(id) => id.as_bytes() == self.id.as_bytes(),
            // A response without an id is valid only for a request without one, or for one that the target could not
            // parse.
            None => {
                self.id.is_empty() || head.status.is_client_error() || head.status.is_server_error()
            }
        }
    }

    async fn discard_body(&mut self, head: &ResponseHead) -> Result<(), ExchangeError> {
        let framing = response_framing(&Method::GET, head.status, &head.headers)?;
        if framing == Framing::UntilClose {
            return Err(H1Error::AmbiguousFraming.into());
        }
        let mut decoder = BodyDecoder::new(framing);
        let mut left = MAX_STALE_BYTES;
        loop {
            match decoder.decode(self.buf)? {
                Decoded::End => return Ok(()),
                Decoded::Data(data) => {
                    let rest = left.checked_sub(data.len());
                    left = rest.ok_or(H1Error::InvalidHead)?;
                }
                Decoded::More => self.fill().await?,
            }
        }
    }

    /// Reads the body up to its end or the buffer limit; also returns whether the body is complete.
    async fn read_buffered(
        &mut self,
        decoder: &mut BodyDecoder,
        held: &mut Held,
    ) -> Result<(BytesMut, bool), ExchangeError> {
        let mut buffered = BytesMut::new();
        loop {
            held.resize(buffered.capacity());
            let limit = MAX_BUFFERED_BODY.saturating_sub(buffered.len());
            match decoder.decode_up_to(self.buf, limit)? {
                Decoded::End => return Ok((buffered, true)),
                Decoded::Data(data) => {
                    buffered.extend_from_slice(&data);
                    if buffered.len() >= MAX_BUFFERED_BODY && !decoder.is_done() {
                        return Ok((buffered, false));
                    }
                }
                Decoded::More => match self.read_some().await {
                    Ok(0) => {
                        decoder.finish()?;
                        return Ok((buffered, true));
                    }
                    Ok(_) => {}
                    // A reset does not mark the end of the body: the rest may be missing.
                    Err(_) => return Err(H1Error::Truncated.into()),
                },
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ExchangeError> {
        let partial = !self.buf.is_empty();
        match self.read_some().await {
            Ok(0) if partial => Err(H1Error::Truncated.into()),
            Ok(0) => Err(ExchangeError::ConnectionClosed(
                io::ErrorKind::UnexpectedEof.into(),
            )),
            Ok(_) => Ok(()),
            Err(e) => Err(ExchangeError::ConnectionClosed(e)),
        }
    }

    async fn read_some(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_SIZE / 4);
        self.read.read_buf(self.buf).await
    }
}

/// Where a connection goes after a complete response.
struct Reuse {
    pool: TargetPool,
    idle_timeout: Option<Duration>,
}

/// Streams the rest of a long body from a separate task.
fn stream_rest(
    mut conn: TargetConn,
    mut decoder: BodyDecoder,
    framing: Framing,
    buffered: Bytes,
    reuse: Option<Reuse>,
    account: &Account,
) -> Body {
    let length = match framing {
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let (tx, rx) = body_channel(account);
    tokio::spawn(async move {
        if tx.send(buffered).await.is_err() {
            return;
        }
        // Dropping the sender without finishing truncates the body.
        if let Ok(true) = forward_body(&mut conn, &mut decoder, &tx).await {
            tx.finish();
            if let Some(reuse) = reuse
                && conn.buf.is_empty()
            {
                reuse.pool.put(conn, reuse.idle_timeout);
            }
        }
    });
    Body::Stream { length, rx }
}

/// Forwards the body; returns `true` if it was forwarded completely, `false` if the receiver was dropped.
async fn forward_body(
    conn: &mut TargetConn,
    decoder: &mut BodyDecoder,
    tx: &BodySender,
) -> Result<bool, BodyTruncated> {
    loop {
        let decoded = decoder.decode_up_to(&mut conn.buf, MAX_BODY_CHUNK);
        match decoded.map_err(|_| BodyTruncated)? {
            Decoded::End => return Ok(true),
            Decoded::Data(data) => {
                if tx.send(data).await.is_err() {
                    return Ok(false);
                }
            }
            Decoded::More => {
                conn.buf.reserve(READ_SIZE);
                let read = tokio::select! {
                    read = conn.stream.read_buf(&mut conn.buf) => read,
                    () = tx.closed() => return Ok(false),
                };
                match read {
                    Ok(0) => return decoder.finish().map(|()| true).map_err(|_| BodyTruncated),
                    Ok(_) => {}
                    Err(_) => return Err(BodyTruncated),
                }
            }
        }
    }
}

/// Returns the keep-alive timeout announced by the target, if any.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
