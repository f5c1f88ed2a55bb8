//! The reading half of a caller's connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use coltsfootport_core::mesh::{CallerLimits, Refusal};
use coltsfootport_core::quarantine::BodyDigest;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::listener::CallersConfig;
use super::open_request::OpenRequestGuard;
use super::slot::{ConnectionState, ResponseSlot};
use crate::h1::{
    BodyDecoder, Decoded, Framing, H1Error, RequestHead, parse_request, request_framing,
};
use crate::mesh::call::{
    BODY_CHANNEL_CAPACITY, Body, BodyTruncated, CallerAnswer, CallerRequest, MAX_BODY_CHUNK,
    MAX_BUFFERED_BODY,
};

/// Bytes read at a time while a long body comes in.
const LONG_READ: usize = 16 * 1024;

/// Bytes read at a time else: usual heads fit in. Each connection holds so much while it waits, hundreds of them in a surge.
const SHORT_READ: usize = 1024;

/// How long and how much is read after the last answer. Closing with unread bytes resets the connection, and the caller
/// may lose the answer that it has not read yet.
const LINGER: Duration = Duration::from_millis(500);

/// Reads heads and bodies and starts a task for each request.
pub struct Reader {
    read: OwnedReadHalf,
    buf: BytesMut,
    /// Bytes to be read at the next time.
    next_read: usize,
    shared: Arc<ConnectionState>,
    cfg: CallersConfig,
}

/// Why reading has ended.
enum End {
    /// The caller has left, or has been silent for too long.
    Left,
    /// The connection's last answer has been decided; what has been read since must not run.
    Closing,
    /// The caller sent something that is answered by a refusal, after which the connection is closed.
    Refused(Refusal),
}

impl Reader {
    /// A reader at the beginning of a connection.
    pub fn new(read: OwnedReadHalf, shared: Arc<ConnectionState>, cfg: CallersConfig) -> Self {
        Self {
            read,
            buf: BytesMut::new(),
            next_read: SHORT_READ,
            shared,
            cfg,
        }
    }

    /// Reads until the caller leaves. After the connection's last request it goes on reading, without using what comes, to
    /// see when the caller leaves before its answer.
    pub async fn run(&mut self, slots: mpsc::Sender<ResponseSlot>, tasks: &mut JoinSet<()>) {
        loop {
            // Finished tasks keep memory until they are joined.
            while tasks.try_join_next().is_some() {}
            let limits = *self.cfg.limits.borrow();
            match self.next(&limits, &slots, tasks).await {
                Ok(()) if self.shared.is_closing() => return self.drain().await,
                Ok(()) => {}
                Err(End::Left) => return,
                Err(End::Closing) => return self.drain().await,
                Err(End::Refused(refusal)) => {
                    self.shared.record_request();
                    self.shared.close();
                    self.refuse(refusal, &slots).await;
                    return self.drain().await;
                }
            }
        }
    }

    /// Reads and drops what still comes after the last answer.
    pub async fn linger(&mut self) {
        let _counted = OpenRequestGuard::new(&self.cfg.open_requests);
        // Either way the connection ends now.
        let _ = timeout(LINGER, self.drain()).await;
    }

    /// Reads and drops until the caller closes.
    async fn drain(&mut self) {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return;
            }
        }
    }

    async fn next(
        &mut self,
        limits: &CallerLimits,
        slots: &mpsc::Sender<ResponseSlot>,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), End> {
        let head = self.head(limits).await?;
        let arrived = self.cfg.entry.clock.now();
        let framing =
            request_framing(&head.headers).map_err(|_| End::Refused(Refusal::BadRequest))?;
        if matches!(framing, Framing::Length(length) if length > limits.body_bytes) {
            return Err(End::Refused(Refusal::BodyTooLarge));
        }
        if !self.shared.record_request() {
            return Err(End::Closing);
        }
        let keep_alive = head.keep_alive;
        if !keep_alive {
            self.shared.close();
        }
        let (tx, rx) = oneshot::channel();
        let slot = ResponseSlot {
            answer: rx,
            keep_alive,
            takes_chunks: head.takes_chunks,
            head_only: head.method == http::Method::HEAD,
            open: OpenRequestGuard::new(&self.cfg.open_requests),
        };
        // Waits while as many requests as allowed have no answer yet.
        slots.send(slot).await.map_err(|_| End::Left)?;
        self.body(head, framing, arrived, limits, tx, tasks).await
    }

    async fn head(&mut self, limits: &CallerLimits) -> Result<RequestHead, End> {
        let mut began: Option<Instant> = None;
        loop {
            match parse_request(&mut self.buf, limits.header_bytes) {
                Ok(Some(head)) => return Ok(head),
                Ok(None) => {}
                Err(H1Error::HeadTooLarge) => return Err(End::Refused(Refusal::HeaderTooLarge)),
                Err(_) => return Err(End::Refused(Refusal::BadRequest)),
            }
            let now = self.cfg.entry.clock.now();
            if began.is_none() && !self.buf.is_empty() {
                began = Some(now);
            }
            let wait = match began {
                Some(began) => limits
                    .header_timeout
                    .saturating_sub(now.saturating_duration_since(began)),
                None => limits.idle_timeout,
            };
            match timeout(wait, self.fill()).await {
                Ok(read) => read?,
                Err(_) if began.is_some() => return Err(End::Refused(Refusal::HeaderTimeout)),
                // A caller that waits for an answer is not idle.
                Err(_) if self.shared.pending() > 0 => {}
                Err(_) => return Err(End::Left),
            }
        }
    }

    /// Reads a body and starts the request: at once where the body is long, and when it is whole where it is short, so
    /// that it can be sent again.
    async fn body(
        &mut self,
        head: RequestHead,
        framing: Framing,
        arrived: Instant,
        limits: &CallerLimits,
        tx: oneshot::Sender<CallerAnswer>,
        tasks: &mut JoinSet<()>,
    ) -> Result<(), End> {
        let mut decoder = BodyDecoder::new(framing);
        let mut held = BytesMut::new();
        let ended = self.hold(&mut decoder, &mut held, limits).await?;
        let digest = BodyDigest::of(&held);
        let req = |body| CallerRequest {
            head,
            body,
            digest,
            arrived,
        };
        if ended {
            self.start(req(Body::Whole(held.freeze())), tx, tasks);
            return Ok(());
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let (pieces, rx) = mpsc::channel(BODY_CHANNEL_CAPACITY);
        let mut total = held.len() as u64;
        // The channel is empty and holds several pieces.
        let _ = pieces.send(Ok(held.freeze())).await;
        self.start(req(Body::Stream { length, rx }), tx, tasks);
        let passed = self
            .pass_on(&mut decoder, &mut total, limits, &pieces)
            .await;
        if passed.is_err() {
            // A request whose body was cut must not look whole to its target.
            let _ = pieces.send(Err(BodyTruncated)).await;
        }
        passed
    }

    async fn hold(
        &mut self,
        decoder: &mut BodyDecoder,
        held: &mut BytesMut,
        limits: &CallerLimits,
    ) -> Result<bool, End> {
        loop {
            let most = MAX_BUFFERED_BODY.saturating_sub(held.len());
            let decoded = decoder.decode_up_to(&mut self.buf, most);
            match decoded.map_err(|_| End::Left)? {
                Decoded::End => return Ok(true),
                Decoded::Data(data) => {
                    held.extend_from_slice(&data);
                    if held.len() as u64 > limits.body_bytes {
                        return Err(End::Left);
                    }
                    if held.len() >= MAX_BUFFERED_BODY && !decoder.is_done() {
                        return Ok(false);
                    }
                }
                Decoded::More => self.fill_in_time(limits).await?,
            }
        }
    }

    async fn pass_on(
        &mut self,
        decoder: &mut BodyDecoder,
        total: &mut u64,
        limits: &CallerLimits,
        pieces: &mpsc::Sender<Result<Bytes, BodyTruncated>>,
    ) -> Result<(), End> {
        loop {
            let decoded = decoder.decode_up_to(&mut self.buf, MAX_BODY_CHUNK);
            match decoded.map_err(|_| End::Left)? {
                Decoded::End => return Ok(()),
                Decoded::Data(data) => {
                    *total += data.len() as u64;
                    if *total > limits.body_bytes {
                        return Err(End::Left);
                    }
                    // Where nobody reads it any more, the answer was early; the rest is read and dropped, so that the
                    // connection can go on.
                    let _ = pieces.send(Ok(data)).await;
                }
                Decoded::More => self.fill_in_time(limits).await?,
            }
        }
    }

    fn start(
        &self,
        req: CallerRequest,
        tx: oneshot::Sender<CallerAnswer>,
        tasks: &mut JoinSet<()>,
    ) {
        let entry = self.cfg.entry.clone();
        tasks.spawn(async move {
            let answer = entry.serve(req).await;
            // The writer has gone where the caller has.
            let _ = tx.send(answer);
        });
    }

    async fn refuse(&self, refusal: Refusal, slots: &mpsc::Sender<ResponseSlot>) {
        let answer = self.cfg.entry.refuse(refusal.into(), "", None);
        let (tx, rx) = oneshot::channel();
        let _ = tx.send(answer);
        let slot = ResponseSlot {
            answer: rx,
            keep_alive: false,
            takes_chunks: true,
            head_only: false,
            open: OpenRequestGuard::new(&self.cfg.open_requests),
        };
        let _ = slots.send(slot).await;
    }

    async fn fill_in_time(&mut self, limits: &CallerLimits) -> Result<(), End> {
        match timeout(limits.idle_timeout, self.fill()).await {
            Ok(read) => read,
            Err(_) => Err(End::Left),
        }
    }

    async fn fill(&mut self) -> Result<(), End> {
        self.buf.reserve(self.next_read);
        let read = match self.read.read_buf(&mut self.buf).await {
            Ok(read) if read > 0 => read,
            _ => return Err(End::Left),
        };
        self.next_read = match read >= self.next_read {
            true => LONG_READ,
            false => SHORT_READ,
        };
        Ok(())
    }
}
