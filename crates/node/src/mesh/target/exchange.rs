//! One request and its answer on a connection to the target.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use coltsfootport_core::mesh::Dialect;
use http::{HeaderMap, Method};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::mpsc;

use super::connection::READ_SIZE;
use super::{TargetConn, TargetPool, WireRequest};
use crate::h1::{
    AnswerHead, BodyDecoder, Decoded, Framing, H1Error, LAST_CHUNK, answer_framing, chunk,
    parse_answer, request_head, strip_hop_by_hop,
};
use crate::mesh::call::{
    BODY_CHANNEL_CAPACITY, Body, BodyTruncated, MAX_BODY_CHUNK, MAX_BUFFERED_BODY, TargetAnswer,
};

/// Largest head of an answer, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// Answers to other requests that are passed over before the connection counts as broken.
const MOST_STRAYS: usize = 4;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeFault {
    /// The connection ended before a byte of an answer; the target may have run the request.
    #[error("the target closed the connection without an answer: {0}")]
    Closed(io::Error),
    /// What came is no answer, or only a part of one.
    #[error("the target's answer is unusable: {0}")]
    Broken(#[from] H1Error),
    /// The caller's body ended early; the target has a part of a request.
    #[error("the caller's body ended early")]
    CallerCut,
}

/// An answer, checked to belong to the request.
#[derive(Debug)]
pub struct Exchanged {
    /// The answer.
    pub answer: TargetAnswer,
    /// Whether the target says that it did not run the request.
    pub not_run: bool,
    /// Whether the target has signed it as its own.
    pub signed: bool,
}

/// Sends a request and reads its answer; the connection goes back to the pool where it can be used again.
///
/// # Errors
///
/// There is no whole answer; only [`ExchangeFault`] values that are made before anything is sent say that it has not run,
/// and there are none here.
pub async fn exchange(
    mut conn: TargetConn,
    pool: &TargetPool,
    req: WireRequest,
    body: Body,
    dialect: &Dialect,
) -> Result<Exchanged, ExchangeFault> {
    let method = req.head.method.clone();
    let (read, write) = conn.stream.split();
    let mut reader = AnswerReader {
        read,
        buf: &mut conn.buf,
        dialect,
        id: &req.id,
        clean: true,
    };
    let mut sender = RequestSender { write, done: false };
    // An early answer must be read while the body still goes out: a target that rejects a long body may never read the
    // rest, and both sides would wait for each other.
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
                Err(SendFault::CallerCut) => return Err(ExchangeFault::CallerCut),
                // The target may have answered before it closed.
                Err(SendFault::Write) => reading.await?,
            },
        }
    };
    let whole_request = sender.done;
    let framing = answer_framing(&method, head.status, &head.headers)?;
    let clean = reader.clean && whole_request && head.keep_alive && framing != Framing::UntilClose;
    let mut decoder = BodyDecoder::new(framing);
    let (held, ended) = reader.hold(&mut decoder).await?;
    let keep = keep_alive_time(&head.headers);
    let not_run = head.headers.contains_key(dialect.not_run);
    let signed = head.headers.contains_key(dialect.signature);
    let mut headers = head.headers;
    strip_hop_by_hop(&mut headers);
    let body = match ended {
        true => {
            if clean && conn.buf.is_empty() {
                pool.put(conn, keep);
            }
            Body::Whole(held.freeze())
        }
        false => stream_rest(
            conn,
            decoder,
            framing,
            held.freeze(),
            clean,
            keep,
            pool.clone(),
        ),
    };
    Ok(Exchanged {
        answer: TargetAnswer {
            status: head.status,
            headers,
            body,
        },
        not_run,
        signed,
    })
}

struct RequestSender<'c> {
    write: WriteHalf<'c>,
    done: bool,
}

enum SendFault {
    CallerCut,
    Write,
}

impl From<io::Error> for SendFault {
    fn from(_: io::Error) -> Self {
        Self::Write
    }
}

impl RequestSender<'_> {
    async fn send(&mut self, req: &WireRequest, body: Body) -> Result<(), SendFault> {
        match body {
            Body::Whole(bytes) => {
                let framing = Framing::Length(bytes.len() as u64);
                let mut buf = request_head(&req.head, framing);
                buf.extend_from_slice(&bytes);
                self.write.write_all(&buf).await?;
            }
            Body::Stream { length, mut rx } => {
                let framing = length.map_or(Framing::Chunked, Framing::Length);
                self.write
                    .write_all(&request_head(&req.head, framing))
                    .await?;
                while let Some(piece) = rx.recv().await {
                    let piece = piece.map_err(|BodyTruncated| SendFault::CallerCut)?;
                    match framing {
                        Framing::Chunked => self.write.write_all(&chunk(&piece)).await?,
                        _ => self.write.write_all(&piece).await?,
                    }
                }
                if framing == Framing::Chunked {
                    self.write.write_all(LAST_CHUNK).await?;
                }
            }
        }
        self.done = true;
        Ok(())
    }
}

struct AnswerReader<'c, 'r> {
    read: ReadHalf<'c>,
    buf: &'c mut BytesMut,
    dialect: &'r Dialect,
    id: &'r str,
    clean: bool,
}

impl AnswerReader<'_, '_> {
    /// The head of this request's answer.
    ///
    /// A target may send an answer twice, the second one late, where the next answer is expected. It bears the id of its
    /// own request; passed on it would reach another caller. So strays are read and dropped.
    async fn head(&mut self) -> Result<AnswerHead, ExchangeFault> {
        for _ in 0..MOST_STRAYS {
            let head = self.any_head().await?;
            if self.is_ours(&head) {
                return Ok(head);
            }
            self.clean = false;
            self.drop_body(&head).await?;
        }
        Err(H1Error::Head.into())
    }

    async fn any_head(&mut self) -> Result<AnswerHead, ExchangeFault> {
        loop {
            match parse_answer(self.buf, MAX_HEAD)? {
                // Interim answers such as 100 say nothing about the request.
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None => self.fill().await?,
            }
        }
    }

    fn is_ours(&self, head: &AnswerHead) -> bool {
        match head.headers.get(self.dialect.request_id) {
            Some(id) => id.as_bytes() == self.id.as_bytes(),
            // Only a request without an id is answered without one, or one that the target could not read.
            None => {
                self.id.is_empty() || head.status.is_client_error() || head.status.is_server_error()
            }
        }
    }

    async fn drop_body(&mut self, head: &AnswerHead) -> Result<(), ExchangeFault> {
        let framing = answer_framing(&Method::GET, head.status, &head.headers)?;
        if framing == Framing::UntilClose {
            return Err(H1Error::Framing.into());
        }
        let mut decoder = BodyDecoder::new(framing);
        loop {
            match decoder.decode(self.buf)? {
                Decoded::End => return Ok(()),
                Decoded::Data(_) => {}
                Decoded::More => self.fill().await?,
            }
        }
    }

    /// Reads the body up to its end, or until more is held than may be; tells whether it has ended.
    async fn hold(&mut self, decoder: &mut BodyDecoder) -> Result<(BytesMut, bool), ExchangeFault> {
        let mut held = BytesMut::new();
        loop {
            let most = MAX_BUFFERED_BODY.saturating_sub(held.len());
            match decoder.decode_up_to(self.buf, most)? {
                Decoded::End => return Ok((held, true)),
                Decoded::Data(data) => {
                    held.extend_from_slice(&data);
                    if held.len() >= MAX_BUFFERED_BODY && !decoder.is_done() {
                        return Ok((held, false));
                    }
                }
                Decoded::More => match self.read_some().await {
                    Ok(0) => {
                        decoder.finish()?;
                        return Ok((held, true));
                    }
                    Ok(_) => {}
                    // A reset is not an end: the rest may be missing.
                    Err(_) => return Err(H1Error::Cut.into()),
                },
            }
        }
    }

    async fn fill(&mut self) -> Result<(), ExchangeFault> {
        let began = !self.buf.is_empty();
        match self.read_some().await {
            Ok(0) if began => Err(H1Error::Cut.into()),
            Ok(0) => Err(ExchangeFault::Closed(io::ErrorKind::UnexpectedEof.into())),
            Ok(_) => Ok(()),
            Err(e) => Err(ExchangeFault::Closed(e)),
        }
    }

    async fn read_some(&mut self) -> io::Result<usize> {
        self.buf.reserve(READ_SIZE / 4);
        self.read.read_buf(self.buf).await
    }
}

/// Passes on the rest of a long body from a task of its own.
fn stream_rest(
    mut conn: TargetConn,
    mut decoder: BodyDecoder,
    framing: Framing,
    held: Bytes,
    clean: bool,
    keep: Option<Duration>,
    pool: TargetPool,
) -> Body {
    let length = match framing {
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let (tx, rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
    tokio::spawn(async move {
        if tx.send(Ok(held)).await.is_err() {
            return;
        }
        match pass_on(&mut conn, &mut decoder, &tx).await {
            Ok(true) if clean && conn.buf.is_empty() => pool.put(conn, keep),
            Ok(_) => {}
            Err(BodyTruncated) => drop(tx.send(Err(BodyTruncated)).await),
        }
    });
    Body::Stream { length, rx }
}

/// Whether the body was passed on whole; `false` where nobody reads it any more.
async fn pass_on(
    conn: &mut TargetConn,
    decoder: &mut BodyDecoder,
    tx: &mpsc::Sender<Result<Bytes, BodyTruncated>>,
) -> Result<bool, BodyTruncated> {
    loop {
        let decoded = decoder.decode_up_to(&mut conn.buf, MAX_BODY_CHUNK);
        match decoded.map_err(|_| BodyTruncated)? {
            Decoded::End => return Ok(true),
            Decoded::Data(data) => {
                if tx.send(Ok(data)).await.is_err() {
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

/// How long the target keeps a connection without a request, where it says so.
fn keep_alive_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
